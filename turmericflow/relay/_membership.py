"""Which hosts are there, and what they tell each other."""

from __future__ import annotations

import xxhash

from turmericflow.relay import _placement as placement
from turmericflow.relay._model import HostEntry
from turmericflow.relay._tables import (
    Host,
    HostState,
    HostStatus,
    HostTable,
    Load,
    Tables,
)

BEAT_S = 0.25
ALIVE_S = 1.5  # six beats; the status of a far host takes a few hops
TOLD_S = 3.0  # for so long losses are told on
FORGET_S = 20.0  # after this the entry of a silent host is removed
MOST_ADDRESSES = 64
READERS = 2  # one may be lost without notice for as long as it counts as alive


def own_status(tables: Tables, now: float) -> HostStatus:
    """Return what this host says of itself now."""
    hosts = tables.hosts
    hosts.number += 1
    rows = tables.targets.rows
    return HostStatus(
        entry=hosts.own,
        number=hosts.number,
        urgent=hosts.urgent,
        state=int(hosts.state),
        deployment_revision=tables.deployment.revision,
        targets_revision=tables.targets.revision,
        reads_store=not hosts.unanswered,
        loads={key: row.own for key, row in rows.items() if row.own != Load()},
        lost={
            key: now - row.lost_at
            for key, row in rows.items()
            if now - row.lost_at < TOLD_S
        },
        gone=[key for key, row in rows.items() if now - row.gone_at < TOLD_S],
        adopted=list(tables.targets.adopted.values()),
        crashes=tables.crashes.lately(TOLD_S, now),
    )


def _is_newer(status: HostStatus, known: HostStatus | None) -> bool:
    if known is None:
        return True
    version = status.entry.incarnation, status.number
    return version > (known.entry.incarnation, known.number)


def note_entry(hosts: HostTable, entry: HostEntry, now: float) -> Host | None:
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


def learn(tables: Tables, status: HostStatus, now: float) -> bool:
    """Take in a host's status; return whether it is new, to be forwarded."""
    hosts = tables.hosts
    if status.entry.name == hosts.own.name:
        return False
    row = hosts.rows.get(status.entry.name)
    if row is None:
        row = hosts.rows[status.entry.name] = Host(status.entry, now)
    if not _is_newer(status, row.status):
        return False
    _forget_loads(tables, row)
    row.entry, row.status, row.heard_at = status.entry, status, now
    _take_loads(tables, status)
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
    for content, target, age_s in status.crashes:
        tables.crashes.note(content, target, now - age_s)


def is_alive(host: Host, now: float) -> bool:
    """Return whether a host was heard of lately."""
    return host.status is not None and now - host.heard_at < ALIVE_S


def expire(tables: Tables, now: float) -> list[str]:
    """Drop the loads of hosts that fell silent; return the names of those hosts."""
    silent = []
    for name, row in tables.hosts.rows.items():
        if row.status is not None and not is_alive(row, now):
            _forget_loads(tables, row)
            row.status = None
            silent.append(name)
    return silent


def live_hosts(tables: Tables, now: float) -> int:
    """Return the number of hosts, this one included."""
    return 1 + sum(1 for row in tables.hosts.rows.values() if is_alive(row, now))


def is_reader(tables: Tables, now: float) -> bool:
    """Return whether this host is one of those that read the store again and again.

    A waiting watch can miss a change without a sign of it, so a few hosts read
    all objects every second, and the others learn from them.
    """
    hosts = tables.hosts
    if hosts.unanswered:
        return False
    names = [hosts.own.name]
    for name, row in hosts.rows.items():
        if is_alive(row, now) and row.status.reads_store:
            names.append(name)
    names.sort(key=lambda name: xxhash.xxh3_64_intdigest(name.encode()))
    return hosts.own.name in names[:READERS]


def peer_reads_store(tables: Tables, now: float) -> bool:
    """Return whether the store answers another live host."""
    return any(
        is_alive(row, now) and row.status.reads_store
        for row in tables.hosts.rows.values()
    )


def is_first(tables: Tables, now: float) -> bool:
    """Return whether this host is the first of the live ones by name."""
    hosts = tables.hosts
    live = (name for name, row in hosts.rows.items() if is_alive(row, now))
    return all(hosts.own.name < name for name in live)


def addresses(tables: Tables, now: float) -> list[str]:
    """Return the callers' addresses of the hosts that take requests."""
    hosts = tables.hosts
    found = [hosts.own.callers] if hosts.state is HostState.READY else []
    for row in hosts.rows.values():
        if is_alive(row, now) and row.status.state == HostState.READY:
            found.append(row.entry.callers)
    return found[:MOST_ADDRESSES]


def _on_ring(names: list[str], own: str) -> list[str]:
    """Return the names at distances 1, 2, 4, ... after one's own."""
    names = sorted(names)
    start = names.index(own)
    found, distance = [], 1
    while distance < len(names):
        found.append(names[(start + distance) % len(names)])
        distance *= 2
    return found


def contacts(tables: Tables, now: float) -> list[HostEntry]:
    """Return the hosts that this host connects to.

    They are the next on a ring of the live hosts, at distances that double, so that
    a status reaches all hosts in a logarithmic number of hops; and the same on a
    ring of all hosts, so that two sides of a cut find each other again.
    """
    hosts = tables.hosts
    own = hosts.own.name
    live = [name for name, row in hosts.rows.items() if is_alive(row, now)]
    names = _on_ring([own, *live], own) + _on_ring([own, *hosts.rows], own)
    return [hosts.rows[name].entry for name in dict.fromkeys(names)]


def forgotten(tables: Tables, now: float) -> list[Host]:
    """Return the hosts whose entries this host is to remove from the store.

    The live host that follows a silent one on the ring of names removes it.
    """
    hosts = tables.hosts
    live = [hosts.own.name]
    live += [name for name, row in hosts.rows.items() if is_alive(row, now)]
    found = []
    for name, row in hosts.rows.items():
        silent = now - row.heard_at >= FORGET_S
        if not silent or row.revision is None:
            continue
        after = [other for other in live if other > name]
        if min(after or live) == hosts.own.name:
            found.append(row)
    return found
