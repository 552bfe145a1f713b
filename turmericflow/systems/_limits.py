"""Rate limits of customers, shared by all routers without a central counter.

Each customer's limit has a keeper, chosen by rendezvous over the live hosts.
Routers tell it their demand and get allotments that lapse.  A router without
an allotment uses an equal part of the limit.  A keeper that sees only some of
the known hosts hands out only their part, so that the sides of a partition
together keep to the limit.
"""

from __future__ import annotations

import xxhash

from turmericflow.profile import Customer
from turmericflow.tables import Demand, LoadTable, PeerState, RateBucket, Tables

DEMAND_INTERVAL_S = 0.5
ALLOTMENT_S = 2.0
HEADROOM = 1.25
FLOOR_SHARE = 0.1


def live_hosts(tables: Tables) -> set[str]:
    """Return the hosts of the routers that are alive, this one included."""
    peers = tables.peers.rows.values()
    others = {peer.host for peer in peers if peer.state is PeerState.ALIVE}
    return others | {tables.host}


def live_routers(tables: Tables) -> int:
    """Return the number of routers that are alive, this one included."""
    peers = tables.peers.rows.values()
    return 1 + sum(1 for peer in peers if peer.state is PeerState.ALIVE)


def known_routers(tables: Tables) -> int:
    """Return the number of routers that are known, dead ones included."""
    return 1 + len(tables.peers.rows)


def keeper_of(customer: str, hosts: list[str]) -> str:
    """Return the host that keeps a customer's limit."""

    def place(host: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{customer}\0{host}".encode())

    return max(hosts, key=place)


def _fill(bucket: RateBucket, customer: Customer, known: int, now: float) -> None:
    if now >= bucket.lapses_at:
        bucket.rate_per_s = customer.rate_per_s / known
    largest = max(1.0, customer.burst * bucket.rate_per_s / customer.rate_per_s)
    if bucket.refilled_at == float("-inf"):
        bucket.tokens = max(1.0, customer.burst / known)
    else:
        bucket.tokens += (now - bucket.refilled_at) * bucket.rate_per_s
    bucket.tokens = min(bucket.tokens, largest)
    bucket.refilled_at = now


def take_token(load: LoadTable, customer: Customer, known: int, now: float) -> float:
    """Take one request out of a customer's rate.

    Parameters
    ----------
    load
        This host's table.
    customer
        The customer.
    known
        Number of hosts that are known, dead ones included.
    now
        Time in seconds of the host's clock.

    Returns
    -------
    float
        0 if it may come, else the seconds after which one may.
    """
    bucket = load.buckets.get(customer.name)
    if bucket is None:
        bucket = load.buckets[customer.name] = RateBucket()
    _fill(bucket, customer, known, now)
    bucket.requests += 1
    if bucket.tokens >= 1.0:
        bucket.tokens -= 1.0
        return 0.0
    missing = 1.0 - bucket.tokens
    lapses_in_s = max(0.0, bucket.lapses_at - now)
    after_lapse_s = lapses_in_s + missing * known / customer.rate_per_s
    return min(missing / max(1e-6, bucket.rate_per_s), after_lapse_s)


def return_token(load: LoadTable, customer: str) -> None:
    """Give back what a request took that was refused for another reason."""
    bucket = load.buckets.get(customer)
    if bucket is not None:
        bucket.tokens += 1.0


def demands(load: LoadTable, elapsed_s: float) -> dict[str, float]:
    """Return this host's demand of each customer since the last call, per second."""
    found = {}
    for name in list(load.buckets):
        bucket = load.buckets[name]
        if bucket.requests:
            found[name] = bucket.requests / elapsed_s
            bucket.requests = 0
    return found


def forget_idle(load: LoadTable, now: float, idle_s: float) -> None:
    """Drop the buckets of customers that have not come for a while."""
    for name in list(load.buckets):
        if now - load.buckets[name].refilled_at > idle_s:
            del load.buckets[name]


def _split(limit: float, wanted: dict[str, float]) -> dict[str, float]:
    """Split a limit by max-min fairness; what is over goes out in equal parts."""
    parts: dict[str, float] = {}
    left = limit
    for number, host in enumerate(sorted(wanted, key=wanted.__getitem__)):
        part = min(wanted[host], left / (len(wanted) - number))
        parts[host] = part
        left -= part
    return {host: part + left / len(parts) for host, part in parts.items()}


def _reserved(
    rows: dict[str, Demand], customer: Customer, live: set[str], known: int
) -> float:
    """Return what hosts out of sight may be using: an equal part, or their grant."""
    part = customer.rate_per_s / known
    grants = [row.granted_per_s for name, row in rows.items() if name not in live]
    without_grant = max(0, known - len(live) - len(grants))
    return part * without_grant + sum(max(part, grant) for grant in grants)


def allot(
    load: LoadTable,
    customer: Customer,
    host: str,
    rate_per_s: float,
    live: set[str],
    known: int,
    now: float,
) -> float:
    """Decide as the keeper on a host's part of a customer's rate.

    What was granted to others and has not lapsed is never granted twice, but
    for a floor, so that a host that has just come is not left without a part.

    Parameters
    ----------
    load
        The keeper's table.
    customer
        The customer whose limit it is.
    host
        The host that asks, alive since it does.
    rate_per_s
        Requests per second that it saw.
    live
        Hosts that are alive, the keeper included.
    known
        Number of hosts that are known, dead ones included.
    now
        Time in seconds of the keeper's clock.

    Returns
    -------
    float
        Requests per second that the host may let through until it lapses.
    """
    rows = load.demands.setdefault(customer.name, {})
    for name in [each for each in rows if now - rows[each].reported_at >= ALLOTMENT_S]:
        del rows[name]
    row = rows.setdefault(host, Demand(rate_per_s, now))
    row.rate_per_s, row.reported_at = rate_per_s, now
    live = live | {host}
    floor = FLOOR_SHARE * customer.rate_per_s / known
    present = {name: each for name, each in rows.items() if name in live}
    silent = len(live) - len(present)
    limit = customer.rate_per_s - _reserved(rows, customer, live, known)
    limit -= silent * floor
    wanted = {
        name: max(floor, each.rate_per_s * HEADROOM) for name, each in present.items()
    }
    others = sum(each.granted_per_s for each in present.values()) - row.granted_per_s
    row.granted_per_s = max(floor, min(_split(limit, wanted)[host], limit - others))
    return row.granted_per_s


def apply_allotment(bucket: RateBucket, rate_per_s: float, asked_at: float) -> None:
    """Put an allotment in force; it lapses counted from when it was asked for."""
    bucket.rate_per_s = rate_per_s
    bucket.lapses_at = asked_at + ALLOTMENT_S
