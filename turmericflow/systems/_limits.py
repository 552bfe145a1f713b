"""Rate limits of customers, shared by all routers without a central counter.

Each customer's limit has a keeper, chosen by rendezvous hashing over the live
hosts.  Routers report their demand to the keeper and get allotments that expire.
A router without an allotment uses an equal part of the limit.  A keeper that
reaches only some of the known hosts allots only the part of these hosts, so that
both sides of a network partition together stay within the limit.
"""

from __future__ import annotations

import xxhash

from turmericflow.profile import Customer
from turmericflow.tables import Demand, LoadTable, PeerState, RateBucket, Tables

DEMAND_INTERVAL_S = 0.5
ALLOTMENT_S = 2.0
DEMAND_HEADROOM = 1.25
MIN_ALLOTMENT_SHARE = 0.1


def live_hosts(tables: Tables) -> set[str]:
    """Return the names of the hosts in state "alive", this host included.

    Suspected and leaving hosts, which `membership.live_hosts` includes, are not.
    """
    peers = tables.peers.rows.values()
    others = {peer.host for peer in peers if peer.state is PeerState.ALIVE}
    return others | {tables.host}


def live_routers(tables: Tables) -> int:
    """Return the number of routers in state "alive", this one included."""
    peers = tables.peers.rows.values()
    return 1 + sum(1 for peer in peers if peer.state is PeerState.ALIVE)


def known_routers(tables: Tables) -> int:
    """Return the number of known routers, this one and dead ones included."""
    return 1 + len(tables.peers.rows)


def keeper_of(customer: str, hosts: list[str]) -> str:
    """Return the host that keeps a customer's limit, by rendezvous hashing."""

    def weight(host: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{customer}\0{host}".encode())

    return max(hosts, key=weight)


def _refill(
    bucket: RateBucket, customer: Customer, known_count: int, now: float
) -> None:
    if now >= bucket.expires_at:
        bucket.rate_per_s = customer.rate_per_s / known_count
    max_tokens = max(1.0, customer.burst * bucket.rate_per_s / customer.rate_per_s)
    if bucket.refilled_at == float("-inf"):
        bucket.tokens = max(1.0, customer.burst / known_count)
    else:
        bucket.tokens += (now - bucket.refilled_at) * bucket.rate_per_s
    bucket.tokens = min(bucket.tokens, max_tokens)
    bucket.refilled_at = now


def take_token(
    load: LoadTable, customer: Customer, known_count: int, now: float
) -> float:
    """Take a token for one request of a customer.

    Parameters
    ----------
    load
        This host's table.
    customer
        The customer that sends the request.
    known_count
        Number of known hosts, dead ones included.
    now
        Time in seconds of the host's clock.

    Returns
    -------
    float
        0 if the request may pass, else the time until a request may pass, in
        seconds.
    """
    bucket = load.buckets.get(customer.name)
    if bucket is None:
        bucket = load.buckets[customer.name] = RateBucket()
    _refill(bucket, customer, known_count, now)
    bucket.requests += 1
    if bucket.tokens >= 1.0:
        bucket.tokens -= 1.0
        return 0.0
    missing = 1.0 - bucket.tokens
    expires_in_s = max(0.0, bucket.expires_at - now)
    wait_after_expiry_s = expires_in_s + missing * known_count / customer.rate_per_s
    return min(missing / max(1e-6, bucket.rate_per_s), wait_after_expiry_s)


def return_token(load: LoadTable, customer: str) -> None:
    """Return the token of a request that was refused for another reason."""
    bucket = load.buckets.get(customer)
    if bucket is not None:
        bucket.tokens += 1.0


def demands(load: LoadTable, elapsed_s: float) -> dict[str, float]:
    """Return this host's demand by customer since the last call, per second."""
    rates = {}
    for name in list(load.buckets):
        bucket = load.buckets[name]
        if bucket.requests:
            rates[name] = bucket.requests / elapsed_s
            bucket.requests = 0
    return rates


def forget_idle(load: LoadTable, now: float, idle_s: float) -> None:
    """Remove the buckets of customers without requests for ``idle_s``."""
    for name in list(load.buckets):
        if now - load.buckets[name].refilled_at > idle_s:
            del load.buckets[name]


def _split(limit: float, wanted: dict[str, float]) -> dict[str, float]:
    """Split a limit by max-min fairness; the surplus is split into equal parts."""
    parts: dict[str, float] = {}
    left = limit
    for number, host in enumerate(sorted(wanted, key=wanted.__getitem__)):
        part = min(wanted[host], left / (len(wanted) - number))
        parts[host] = part
        left -= part
    return {host: part + left / len(parts) for host, part in parts.items()}


def _unreachable_rate_per_s(
    rows: dict[str, Demand], customer: Customer, live: set[str], known_count: int
) -> float:
    """Return the rate that unreachable hosts may use: an equal part or their grant."""
    equal_part = customer.rate_per_s / known_count
    grants = [row.granted_per_s for name, row in rows.items() if name not in live]
    without_grant = max(0, known_count - len(live) - len(grants))
    return equal_part * without_grant + sum(max(equal_part, grant) for grant in grants)


def allot(
    load: LoadTable,
    customer: Customer,
    host: str,
    rate_per_s: float,
    live: set[str],
    known_count: int,
    now: float,
) -> float:
    """Return the part of a customer's rate that the keeper allots to a host.

    A rate that was granted to another host and has not expired is not granted
    again.  The only exception is a minimum rate, so that a new host is not left
    without a part.

    Parameters
    ----------
    load
        The keeper's table.
    customer
        The customer whose limit is split.
    host
        The host that reports its demand; it counts as live.
    rate_per_s
        Demand of the customer at that host, in requests per second.
    live
        Names of the live hosts, the keeper included.
    known_count
        Number of known hosts, dead ones included.
    now
        Time in seconds of the keeper's clock.

    Returns
    -------
    float
        Allotted rate in requests per second, until the allotment expires.
    """
    rows = load.demands.setdefault(customer.name, {})
    for name in [each for each in rows if now - rows[each].reported_at >= ALLOTMENT_S]:
        del rows[name]
    row = rows.setdefault(host, Demand(rate_per_s, now))
    row.rate_per_s, row.reported_at = rate_per_s, now
    live = live | {host}
    min_rate_per_s = MIN_ALLOTMENT_SHARE * customer.rate_per_s / known_count
    reported = {name: each for name, each in rows.items() if name in live}
    without_report = len(live) - len(reported)
    limit = customer.rate_per_s - _unreachable_rate_per_s(
        rows, customer, live, known_count
    )
    limit -= without_report * min_rate_per_s
    wanted = {
        name: max(min_rate_per_s, each.rate_per_s * DEMAND_HEADROOM)
        for name, each in reported.items()
    }
    granted_to_others = (
        sum(each.granted_per_s for each in reported.values()) - row.granted_per_s
    )
    row.granted_per_s = max(
        min_rate_per_s, min(_split(limit, wanted)[host], limit - granted_to_others)
    )
    return row.granted_per_s


def apply_allotment(bucket: RateBucket, rate_per_s: float, requested_at: float) -> None:
    """Apply an allotment; it expires ``ALLOTMENT_S`` after the time of the request."""
    bucket.rate_per_s = rate_per_s
    bucket.expires_at = requested_at + ALLOTMENT_S
