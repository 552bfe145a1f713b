"""The lease for giving orders: who may take it, and who may act on it.

No clock is compared between hosts.  A holder counts its time from just before
it sent the write that renewed the lease; a successor counts from when it first
saw the version that the holder wrote, which is later.
"""

from __future__ import annotations

from turmericflow.tables import Lease

SAFE_TERM_FRACTION = 0.6
ORDER_SEND_TIMEOUT_S = 2.0


def observe(lease: Lease, holder: str, version: int, now: float) -> None:
    """Take in the lease as the platform gives it."""
    if version != lease.version:
        lease.holder, lease.version, lease.seen_at = holder, version, now


def may_take(
    lease: Lease, host: str, now: float, term_s: float, targets_check_fence: bool
) -> bool:
    """Return whether a host may write itself in as holder.

    Where some targets do not check fencing numbers, a successor also waits
    until the last order of the former holder is over.
    """
    if lease.holder in ("", host):
        return True
    wait_s = term_s if targets_check_fence else term_s + ORDER_SEND_TIMEOUT_S
    return now - lease.seen_at >= wait_s


def record_acquired(lease: Lease, host: str, version: int, asked_at: float) -> None:
    """Record that this host's write was accepted."""
    if lease.holder != host or not lease.fence:
        lease.fence, lease.taken_at = version, asked_at
    lease.holder, lease.version = host, version
    lease.seen_at = lease.renewed_at = asked_at


def record_lost(lease: Lease) -> None:
    """Record that this host holds the lease no more."""
    lease.renewed_at = float("-inf")
    lease.fence = 0


def may_order(lease: Lease, host: str, now: float, term_s: float) -> bool:
    """Return whether this host may send an order now.

    It stops well before the lease can have lapsed, so that an order is over
    by then as well.
    """
    return lease.holder == host and now - lease.renewed_at < term_s * SAFE_TERM_FRACTION
