"""Which requests a leaving host accepts, and until when it serves them."""

from __future__ import annotations

from turmericflow.relay import _membership as membership, _silence as silence
from turmericflow.relay._attempts import Attempts
from turmericflow.relay._tables import Tables
from turmericflow.verdict import ErrorCode, not_run

RETRY_ELSEWHERE_S = 0.0  # another host is ready
RETRY_LATER_S = 1.0  # a host restarts within this time


def check_accepted(tables: Tables, attempts: Attempts, now: float) -> None:
    """Check that this host has the time to serve a request.

    A host that leaves accepts requests for a part of its time, so that callers learn
    that it leaves, unless they are expected to outlast it and another host is ready.
    Then it accepts only those whose deadline passes before it stops.

    Parameters
    ----------
    tables
        The tables.
    attempts
        Attempts of the request, with its deadline.
    now
        Time of the event loop, in seconds.

    Raises
    ------
    RequestFailed
        If the host may stop before the request has its response.
    """
    drain = tables.hosts.drain
    if drain is None or attempts.deadline <= drain.serve_until:
        return
    ready_elsewhere = bool(membership.addresses(tables, now))
    if now < drain.accept_until:
        expected_s = silence.expected_stream_s(
            tables, attempts.match.service, attempts.call
        )
        fits = expected_s is None or now + expected_s <= drain.serve_until
        if fits or not ready_elsewhere:
            return
    raise not_run(
        ErrorCode.STOPPING,
        f"this host stops {attempts.deadline - drain.serve_until:.1f} s before the"
        " request's deadline",
        RETRY_ELSEWHERE_S if ready_elsewhere else RETRY_LATER_S,
    )
