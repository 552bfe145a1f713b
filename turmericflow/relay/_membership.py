"""Which hosts are there, and what they tell each other."""

from __future__ import annotations

from typing import TypeVar

from turmericflow.relay import (
    _broadcast as broadcast,
    _discovery as discovery,
    _pace as pace,
    _placement as placement,
)
from turmericflow.relay._budgets import Others, Spent
from turmericflow.relay._host_tables import Host, HostState, HostStatus, HostTable
from turmericflow.relay._model import HostEntry
from turmericflow.relay._tables import Tables
from turmericflow.relay._target_tables import Load

T = TypeVar("T")

ENTRY_TTL_S = 20.0  # after this the entry of a silent host is removed
MAX_ADDRESSES = 64
WATCHERS = 6  # all but one may be lost together without notice
READERS = 2  # one may be lost without notice for as long as it counts as alive


def _lately(told: list[tuple[float, T]], told_s: float, now: float) -> list[T]:
    """Return what is new, and forget what has been told for long enough."""
    told[:] = [each for each in told if now - each[0] < told_s]
    return [what for _, what in told]


def own_status(tables: Tables, now: float) -> HostStatus:
    """Return what this host says of itself now."""
    hosts = tables.hosts
    hosts.status_number += 1
    rows = tables.targets.rows
    told_s = pace.told_s(tables)
    return HostStatus(
        entry=hosts.own,
        number=hosts.status_number,
        urgent=hosts.urgent_changes,
        state=int(hosts.state),
        deployment_revision=tables.deployment.revision,
        targets_revision=tables.targets.revision,
        reads_store=not hosts.unanswered_kinds,
        loads={key: row.own for key, row in rows.items() if row.own != Load()},
        lost={
            key: now - row.lost_at
            for key, row in rows.items()
            if now - row.lost_at < told_s
        },
        gone=[key for key, row in rows.items() if now - row.gone_at < told_s],
        adopted=_lately(tables.targets.adopted_here, told_s, now),
        target_changes=_lately(tables.targets.news, told_s, now),
        spent=tables.budgets.spent(now),
        crashes=tables.crashes.seen_lately(told_s, now),
    )


def _is_newer(status: HostStatus, known: HostStatus | None) -> bool:
    if known is None:
        return True
    version = status.entry.incarnation, status.number
    return version > (known.entry.incarnation, known.number)


def upsert_entry(hosts: HostTable, entry: HostEntry, now: float) -> Host | None:
    """Take in an entry of the store; return the host's row, None for this one."""
    if entry.name == hosts.own.name:
        return None
    row = hosts.rows.get(entry.name)
    if row is None or entry.incarnation > row.entry.incarnation:
        row = hosts.rows[entry.name] = Host(entry, now)
    return row


def is_urgent(tables: Tables, status: HostStatus) -> bool:
    """Return whether a status holds a change that is to be forwarded at once."""
    row = tables.hosts.rows.get(status.entry.name)
    return row is None or row.status is None or status.urgent > row.status.urgent


def is_outdated(tables: Tables, status: HostStatus) -> bool:
    """Return whether a newer status of the same host is known."""
    row = tables.hosts.rows.get(status.entry.name)
    known = row.status if row is not None else None
    return known is not None and _is_newer(known, status)


def apply_status(tables: Tables, status: HostStatus, now: float) -> bool:
    """Take in a host's status; return whether it is new."""
    hosts = tables.hosts
    if status.entry.name == hosts.own.name:
        return False
    row = hosts.rows.get(status.entry.name)
    if row is None:
        row = hosts.rows[status.entry.name] = Host(status.entry, now)
    if not _is_newer(status, row.status):
        return False
    _forget_loads(tables, row)
    row.entry, row.status, row.last_status_at = status.entry, status, now
    _take_loads(tables, status)
    for change in status.target_changes:
        discovery.apply(tables.targets, change, now)
    _take_losses(tables, status, now)
    return True


def _forget_loads(tables: Tables, row: Host) -> None:
    for key in row.status.loads if row.status is not None else ():
        target = tables.targets.rows.get(key)
        if target is not None:
            target.others.pop(row.entry.name, None)


def _take_loads(tables: Tables, status: HostStatus) -> None:
    for key, load in status.loads.items():
        target = tables.targets.rows.get(key)
        if target is not None:
            target.others[status.entry.name] = load


def _take_losses(tables: Tables, status: HostStatus, now: float) -> None:
    for key, age_s in status.lost.items():
        target = tables.targets.rows.get(key)
        if target is not None:
            placement.note_loss(tables.targets, target, now - age_s)
    for key in status.gone:
        target = tables.targets.rows.get(key)
        if target is not None:
            target.gone = True
    for content, key, age_s in status.crashes:
        tables.crashes.note(content, key, now - age_s)
        target = tables.targets.rows.get(key)
        if target is not None:
            placement.note_crash(target, now - age_s)


def live_peers(tables: Tables, now: float) -> list[Host]:
    """Return the other hosts that were heard of lately."""
    since = now - pace.alive_s(tables)
    rows = tables.hosts.rows.values()
    return [
        row for row in rows if row.status is not None and row.last_status_at > since
    ]


def expire(tables: Tables, now: float) -> list[str]:
    """Drop the loads of hosts that fell silent; return the names of those hosts."""
    silent = []
    since = now - pace.alive_s(tables)
    for name, row in tables.hosts.rows.items():
        if row.status is not None and row.last_status_at <= since:
            _forget_loads(tables, row)
            row.status = None
            silent.append(name)
    return silent


def count_live_hosts(tables: Tables, now: float) -> int:
    """Return the number of hosts, this one included."""
    return 1 + len(live_peers(tables, now))


def budget_others(tables: Tables, service: str, announced: bool, now: float) -> Others:
    """Return what is known of the hosts that share a service's budget.

    ``announced`` says whether sends to it are announced as new work.
    """
    nothing = Spent()
    spent = [row.status.spent.get(service, nothing) for row in live_peers(tables, now)]
    told_s = pace.told_s(tables)
    if announced:
        told_s = min(told_s, pace.announced_s(tables))
    return Others(spent, 1 + len(tables.hosts.rows), told_s)


def _store_readers(tables: Tables, now: float) -> list[str]:
    """Return the live hosts that the store answers, in an order all agree on."""
    hosts = tables.hosts
    names = [] if hosts.unanswered_kinds else [hosts.own.name]
    names += [
        row.entry.name for row in live_peers(tables, now) if row.status.reads_store
    ]
    return sorted(names, key=lambda name: broadcast.ring_position(1, name))


def is_reader(tables: Tables, now: float) -> bool:
    """Return whether this host is one of those that read the store again and again.

    A waiting watch can miss a change without a sign of it, so a few hosts read
    all objects every second, and the others learn from them.
    """
    return tables.hosts.own.name in _store_readers(tables, now)[:READERS]


def is_watcher(tables: Tables, now: float) -> bool:
    """Return whether this host follows the store's targets and hosts itself.

    The others learn of changes from these; a host that the store does not answer
    asks it again.
    """
    if tables.hosts.unanswered_kinds:
        return True
    return tables.hosts.own.name in _store_readers(tables, now)[:WATCHERS]


def peer_reads_store(tables: Tables, now: float) -> bool:
    """Return whether the store answers another live host."""
    return any(row.status.reads_store for row in live_peers(tables, now))


def is_ahead(tables: Tables, status: HostStatus | None) -> bool:
    """Return whether a host has a newer deployment or newer targets than this one."""
    if status is None:
        return False
    return (
        status.deployment_revision > tables.deployment.revision
        or status.targets_revision > tables.targets.revision
    )


def is_first_by_name(tables: Tables, now: float) -> bool:
    """Return whether this host is the first of the live ones by name."""
    own = tables.hosts.own.name
    return all(own < row.entry.name for row in live_peers(tables, now))


def addresses(tables: Tables, now: float) -> list[str]:
    """Return the callers' addresses of hosts that take requests.

    Of more hosts than an answer holds, each host leaves out others.
    """
    hosts = tables.hosts
    ready = {
        row.entry.name: row.entry.callers
        for row in live_peers(tables, now)
        if row.status.state == HostState.READY
    }
    found = [hosts.own.callers] if hosts.state is HostState.READY else []
    found += [
        ready[name] for name in broadcast.ring_successors(1, ready, hosts.own.name)
    ]
    return found[:MAX_ADDRESSES]


def _spaced(names: list[str]) -> list[str]:
    """Return the names at distances 1, 2, 4, ... from the start."""
    found, distance = [], 1
    while distance <= len(names):
        found.append(names[distance - 1])
        distance *= 2
    return found


def neighbours(tables: Tables, now: float) -> list[HostEntry]:
    """Return the hosts that this host connects to.

    They are the next on each ring of the live hosts, at distances that double, so
    that a status reaches all hosts in a logarithmic number of hops; and the same on
    a ring of all hosts, so that two sides of a cut find each other again.
    """
    hosts = tables.hosts
    own = hosts.own.name
    alive = [row.entry.name for row in live_peers(tables, now)]
    names = _spaced(broadcast.ring_successors(0, hosts.rows, own))
    for ring in range(broadcast.RINGS):
        names += _spaced(broadcast.ring_successors(ring, alive, own))
    return [hosts.rows[name].entry for name in dict.fromkeys(names)]


def expired_hosts(tables: Tables, now: float) -> list[Host]:
    """Return the hosts whose entries this host is to remove from the store.

    Of the hosts that follow the store's entries the first one removes them.
    """
    if _store_readers(tables, now)[:1] != [tables.hosts.own.name]:
        return []
    rows = tables.hosts.rows.values()
    return [
        row
        for row in rows
        if row.revision is not None and now - row.last_status_at >= ENTRY_TTL_S
    ]
