"""Which requests a leaving host accepts, and until when it serves them."""

from __future__ import annotations

from turmericflow.relay import _membership as membership
from turmericflow.relay._tables import Tables
from turmericflow.verdict import ErrorCode, not_run

ACCEPT_SHARE = 3 / 8  # of the time to leave; callers' lists of addresses expire in it
END_MARGIN_S = 0.4  # to end responses and connections before the process is killed
RETRY_ELSEWHERE_S = 0.0  # another host is ready
RETRY_LATER_S = 1.0  # a host restarts within this time


def accept_until(leaving_since: float, leave_s: float) -> float:
    """Return the time until which requests of any length are accepted."""
    return leaving_since + ACCEPT_SHARE * leave_s


def serve_until(leaving_since: float, leave_s: float) -> float:
    """Return the time at which responses that are not complete are ended."""
    return leaving_since + leave_s - END_MARGIN_S


def check_accepted(tables: Tables, deadline: float, leave_s: float, now: float) -> None:
    """Check that this host has the time to serve a request.

    A host that leaves accepts requests of any length for a part of its time, so that
    callers learn that it leaves; then only those whose deadline passes before it
    stops.

    Parameters
    ----------
    tables
        The tables.
    deadline
        Deadline of the request.
    leave_s
        Time from the order to leave until the process is killed, in seconds.
    now
        Time of the event loop.

    Raises
    ------
    RequestFailed
        If the host may stop before the request has its response.
    """
    leaving_since = tables.hosts.leaving_since
    if leaving_since is None or now < accept_until(leaving_since, leave_s):
        return
    overrun_s = deadline - serve_until(leaving_since, leave_s)
    if overrun_s <= 0:
        return
    ready_elsewhere = bool(membership.addresses(tables, now))
    raise not_run(
        ErrorCode.STOPPING,
        f"this host stops {overrun_s:.1f} s before the request's deadline",
        RETRY_ELSEWHERE_S if ready_elsewhere else RETRY_LATER_S,
    )
