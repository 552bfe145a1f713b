"""Exchange of requests in flight and of demand between routers.

A target's load report is a fraction of a second old.  Routers in a small group
send each other their counts of requests in flight several times a second, so
that each router can correct the reports.  The group's size does not grow with
the fleet.
"""

from __future__ import annotations

import msgspec

from turmericflow.systems import (
    _estimates as estimates,
    _fairness as fairness,
    _overlay as overlay,
)
from turmericflow.tables import PeerState, Tables
from turmericflow.wire import PoolDemand

SHARE_INTERVAL_S = 0.1
FULL_INTERVAL_S = 1.0
COUNTS_TTL_S = 2.5
MAX_GROUP_PEERS = 7


def group(tables: Tables) -> list[str]:
    """Return the peers that this host sends its counts to.

    These are the next hosts on a ring of the live hosts.  If there are more live
    hosts than a group takes and enough of them are in this data centre, the ring
    has only the hosts of this data centre.
    """
    rows = tables.peers.rows.values()
    live = [row for row in rows if row.state is PeerState.ALIVE]
    if len(live) > MAX_GROUP_PEERS:
        near = [row for row in live if row.data_centre == tables.data_centre]
        live = near if len(near) >= MAX_GROUP_PEERS else live
    return overlay.successors([row.host for row in live], tables.host, MAX_GROUP_PEERS)


def changed_counts(tables: Tables, sent: dict[str, int], full: bool) -> dict[str, int]:
    """Return the counts to send, and store the sent state in ``sent``."""
    rows = tables.targets.rows.values()
    busy = {target.name: target.in_flight for target in rows if target.in_flight}
    found = {}
    for name, number in busy.items():
        if full or number != sent.get(name):
            found[name] = number
    found.update(dict.fromkeys(sent.keys() - busy.keys(), 0))
    sent.clear()
    sent.update(busy)
    return found


def pool_demands(tables: Tables) -> dict[str, PoolDemand]:
    """Return this host's queue length and highest demands by pool.

    The demands are included once after each measurement.
    """
    found = {}
    for name, pool in tables.load.pools.items():
        number = fairness.queue_length(pool)
        if pool.top_flows_pending:
            pool.top_flows_pending = False
            demand_per_s = round(pool.demand.per_s) if pool.top_flows else 0.0
            hold_s = round(pool.hold_s, 2)
            found[name] = PoolDemand(number, demand_per_s, hold_s, pool.top_flows)
        elif number:
            found[name] = PoolDemand(number)
    return found


def learn_demands(tables: Tables, host: str, demands: dict[str, PoolDemand]) -> None:
    """Store the queue lengths and demands that another router reports."""
    for name, pool in tables.load.pools.items():
        each = demands.get(name, PoolDemand())
        if each.flows is None:
            last = pool.peer_demands.get(host, PoolDemand())
            each = msgspec.structs.replace(last, waiting=each.waiting)
        pool.peer_demands[host] = each


def learn_counts(
    tables: Tables, host: str, counts: dict[str, int], full: bool, now: float
) -> None:
    """Apply another router's counts of requests in flight by target.

    The first message of a router states requests that were there before, so it
    is not recorded as a change.  Until a full message arrives, others are ignored.
    """
    is_first = host not in tables.load.counts_received_at
    if is_first and not full:
        return
    tables.load.counts_received_at[host] = now
    rows = tables.targets.rows
    reported = tables.load.reported_targets.setdefault(host, set())
    names = counts.keys() | reported if full else counts.keys()
    for name in sorted(names & rows.keys()):
        target = rows[name]
        before = target.peer_in_flight.get(host, 0)
        number = counts.get(name, 0)
        if number == before:
            continue
        target.peer_in_flight[host] = number
        if is_first:
            estimates.shift_known_in_flight(target, number - before)
        else:
            estimates.change_known_in_flight(target, number - before, now)
    if full:
        reported.clear()
    reported.update(name for name, number in counts.items() if number)


def expire_counts(tables: Tables, now: float) -> None:
    """Remove the counts of routers that sent none for ``COUNTS_TTL_S``."""
    received_at = tables.load.counts_received_at
    for host in [
        each for each in received_at if now - received_at[each] > COUNTS_TTL_S
    ]:
        del received_at[host]
        for pool in tables.load.pools.values():
            pool.peer_demands.pop(host, None)
        tables.load.reported_targets.pop(host, None)
        for target in tables.targets.rows.values():
            estimates.shift_known_in_flight(target, -target.peer_in_flight.pop(host, 0))
