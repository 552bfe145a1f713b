"""Which requests a leaving host accepts, and until when it serves them."""

from __future__ import annotations

from turmericflow.relay import _membership as membership
from turmericflow.relay._tables import Tables
from turmericflow.verdict import ErrorCode, not_run

RETRY_ELSEWHERE_S = 0.0  # another host is ready
RETRY_LATER_S = 1.0  # a host restarts within this time


def check_accepted(tables: Tables, deadline: float, now: float) -> None:
    """Check that this host has the time to serve a request.

    A host that leaves accepts requests of any length for a part of its time, so that
    callers learn that it leaves; then only those whose deadline passes before it
    stops.

    Parameters
    ----------
    tables
        The tables.
    deadline
        Deadline of the request on the event loop's clock, in seconds.
    now
        Time of the event loop.

    Raises
    ------
    RequestFailed
        If the host may stop before the request has its response.
    """
    drain = tables.hosts.drain
    if drain is None or now < drain.accept_until or deadline <= drain.serve_until:
        return
    ready_elsewhere = bool(membership.addresses(tables, now))
    raise not_run(
        ErrorCode.STOPPING,
        f"this host stops {deadline - drain.serve_until:.1f} s before the deadline",
        RETRY_ELSEWHERE_S if ready_elsewhere else RETRY_LATER_S,
    )
