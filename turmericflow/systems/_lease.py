"""Lease for sending orders: who may acquire it, and who may act under it.

Clocks are not compared between hosts.  A holder measures the term from just
before it sent the write that renewed the lease.  A successor measures it from
when it first saw the version that this write produced, which is later.
"""

from __future__ import annotations

from turmericflow.tables import Lease

SAFE_TERM_FRACTION = 0.6
ORDER_SEND_TIMEOUT_S = 2.0


def observe(lease: Lease, holder: str, version: int, now: float) -> None:
    """Update the lease from the platform's version of it."""
    if version != lease.version:
        lease.holder, lease.version, lease.seen_at = holder, version, now


def may_take(
    lease: Lease, host: str, now: float, term_s: float, targets_check_fence: bool
) -> bool:
    """Return whether a host may try to acquire the lease.

    If some targets do not check fencing tokens, a successor also waits until
    the last order of the former holder has timed out.
    """
    if lease.holder in ("", host):
        return True
    wait_s = term_s if targets_check_fence else term_s + ORDER_SEND_TIMEOUT_S
    return now - lease.seen_at >= wait_s


def record_acquired(lease: Lease, host: str, version: int, asked_at: float) -> None:
    """Record that this host acquired or renewed the lease.

    ``asked_at`` is the time just before the write was sent.
    """
    if lease.holder != host or not lease.fence:
        lease.fence, lease.taken_at = version, asked_at
    lease.holder, lease.version = host, version
    lease.seen_at = lease.renewed_at = asked_at


def record_lost(lease: Lease) -> None:
    """Record that this host no longer holds the lease."""
    lease.renewed_at = float("-inf")
    lease.fence = 0


def may_order(lease: Lease, host: str, now: float, term_s: float) -> bool:
    """Return whether this host may send an order now.

    A holder stops well before the lease can expire, so that its last order has
    ended by then as well.
    """
    return lease.holder == host and now - lease.renewed_at < term_s * SAFE_TERM_FRACTION
