"""What routers tell each other of the work that each has on the targets.

A target's own report is a fraction of a second old.  A few routers near each
other tell each other their counts many times a second, so that each knows what
the others have sent since.  Their number is bounded whatever the fleet's size.
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
GROUP_PEERS = 7


def group(tables: Tables) -> list[str]:
    """Return the peers that this host tells its counts to.

    They are the next ones on a ring of the hosts, the nearest data centre
    first when there are more than a group takes.
    """
    rows = tables.peers.rows.values()
    live = [row for row in rows if row.state is PeerState.ALIVE]
    if len(live) > GROUP_PEERS:
        near = [row for row in live if row.data_centre == tables.data_centre]
        live = near if len(near) >= GROUP_PEERS else live
    return overlay.successors([row.host for row in live], tables.host, GROUP_PEERS)


def changed_counts(tables: Tables, told: dict[str, int], full: bool) -> dict[str, int]:
    """Return the counts to tell, and note them in ``told``."""
    rows = tables.targets.rows.values()
    busy = {target.name: target.in_flight for target in rows if target.in_flight}
    found = {}
    for name, number in busy.items():
        if full or number != told.get(name):
            found[name] = number
    found.update(dict.fromkeys(told.keys() - busy.keys(), 0))
    told.clear()
    told.update(busy)
    return found


def pool_demands(tables: Tables) -> dict[str, PoolDemand]:
    """Return by pool how much work waits here, and which customers ask most.

    Customers are told once each time that they were measured.
    """
    found = {}
    for name, pool in tables.load.pools.items():
        number = fairness.queue_length(pool)
        if pool.top_flows_pending:
            pool.top_flows_pending = False
            asked = round(pool.demand.per_s) if pool.top_flows else 0.0
            hold_s = round(pool.hold_s, 2)
            found[name] = PoolDemand(number, asked, hold_s, pool.top_flows)
        elif number:
            found[name] = PoolDemand(number)
    return found


def learn_demands(tables: Tables, host: str, told: dict[str, PoolDemand]) -> None:
    """Take in how much work waits at another router, and who asks there."""
    for name, pool in tables.load.pools.items():
        each = told.get(name, PoolDemand())
        if each.flows is None:
            last = pool.peer_demands.get(host, PoolDemand())
            each = msgspec.structs.replace(last, waiting=each.waiting)
        pool.peer_demands[host] = each


def learn_counts(
    tables: Tables, host: str, counts: dict[str, int], full: bool, now: float
) -> None:
    """Take in what another router has on the targets.

    The first word of a router tells what was there before and is no change.
    """
    first = host not in tables.load.counts_received_at
    if first and not full:
        return
    tables.load.counts_received_at[host] = now
    rows = tables.targets.rows
    told = tables.load.reported_targets.setdefault(host, set())
    names = counts.keys() | told if full else counts.keys()
    for name in sorted(names & rows.keys()):
        target = rows[name]
        before = target.peer_in_flight.get(host, 0)
        number = counts.get(name, 0)
        if number == before:
            continue
        target.peer_in_flight[host] = number
        if first:
            estimates.shift_known_in_flight(target, number - before)
        else:
            estimates.change_known_in_flight(target, number - before, now)
    if full:
        told.clear()
    told.update(name for name, number in counts.items() if number)


def expire_counts(tables: Tables, now: float) -> None:
    """Forget the counts of routers that are no longer heard."""
    heard = tables.load.counts_received_at
    for host in [each for each in heard if now - heard[each] > COUNTS_TTL_S]:
        del heard[host]
        for pool in tables.load.pools.values():
            pool.peer_demands.pop(host, None)
        tables.load.reported_targets.pop(host, None)
        for target in tables.targets.rows.values():
            estimates.shift_known_in_flight(target, -target.peer_in_flight.pop(host, 0))
