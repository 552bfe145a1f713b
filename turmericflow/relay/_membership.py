"""Membership of the entry hosts, and the statuses that they gossip."""

from __future__ import annotations

from collections.abc import Container
from functools import partial
from typing import TypeVar

from turmericflow.relay import (
    _broadcast as broadcast,
    _discovery as discovery,
    _intervals as intervals,
    _placement as placement,
)
from turmericflow.relay._budgets import PeerRetryUsage, RetryUsage
from turmericflow.relay._host_tables import (
    CENTRE_RINGS,
    PROTOCOL,
    CustomerStatus,
    Host,
    HostState,
    HostStatus,
    HostTable,
    RolloutStatus,
)
from turmericflow.relay._model import HostEntry
from turmericflow.relay._store import Kind
from turmericflow.relay._tables import Tables
from turmericflow.relay._target_tables import Load

T = TypeVar("T")

ENTRY_TTL_S = 20.0  # a silent host's entry is removed from the store after this
MAX_ADDRESSES = 64
# With fewer hosts nearly all are connected directly, and the rings over all hosts take
# one hop less.
MIN_CENTRE_RING_HOSTS = 32
GATEWAYS = 2  # streams to each other data centre: one for each ring
WATCHERS = 6  # one is enough; the others may fail at once, still undetected
RESYNCERS = 2  # one is enough; the other may fail, still undetected


def _recent(items: list[tuple[float, T]], max_age_s: float, now: float) -> list[T]:
    """Drop the timed items above an age from the list; return the others."""
    items[:] = [timed for timed in items if now - timed[0] < max_age_s]
    return [item for _, item in items]


def own_status(tables: Tables, now: float) -> HostStatus:
    """Return the status that this host sends now, under a new sequence number."""
    hosts = tables.hosts
    hosts.status_number += 1
    rows = tables.targets.rows
    max_age_s = intervals.gossip_window_s(tables)
    part_crashes, part_times = tables.crashing_parts.news(max_age_s, now)
    build, more = HostStatus, {}
    if tables.rollouts is not None:
        build, more = RolloutStatus, tables.rollouts.news(now)
    customers = tables.fair_shares.news() if tables.fair_shares is not None else b""
    if customers:
        build = partial(CustomerStatus, customers=customers)
    return build(
        entry=hosts.own,
        number=hosts.status_number,
        urgent=hosts.urgent_changes,
        state=int(hosts.state),
        deployment_revision=tables.deployment.revision,
        targets_revision=tables.targets.changed_revision,
        targets_age_s=now - tables.targets.verified_at,
        reads_store=not hosts.unanswered_kinds,
        loads={
            key: row.own_load for key, row in rows.items() if row.own_load != Load()
        },
        lost={
            key: now - row.lost_at
            for key, row in rows.items()
            if now - row.lost_at < max_age_s
        },
        gone=[key for key, row in rows.items() if now - row.gone_at < max_age_s],
        adopted=_recent(tables.targets.own_adoptions, max_age_s, now),
        target_changes=_recent(tables.targets.recent_changes, max_age_s, now),
        retry_usage=tables.retry_budgets.usage(now),
        crashes=tables.crashes.recent_own(max_age_s, now),
        part_crashes=part_crashes,
        part_times=part_times,
        limits=tables.rate_limits.news(max_age_s, now),
        stream_versions=tables.stream_versions.news(max_age_s, now),
        leaving=_recent(tables.targets.own_leaving, max_age_s, now),
        deployment_version=tables.deployment.version,
        cut_off=list(tables.paths.cut_off),
        full=_recent(tables.targets.own_full, max_age_s, now),
        protocol=PROTOCOL,
        versions_in_force=tables.stream_versions.own_sets,
        recorded=tables.stream_versions.recorded_news(max_age_s, now),
        records_age_s=tables.stream_versions.own_age_s(now),
        knows_streams=tables.stream_versions.knows_all,
        rings=hosts.rings,
        waiting=_waiting(tables, now),
        **more,
    )


def _waiting(tables: Tables, now: float) -> dict[str, dict[int, int]]:
    if not tables.waiting:
        return {}
    counts = {name: queue.counts(now) for name, queue in tables.waiting.items()}
    return {name: found for name, found in counts.items() if found}


def _is_newer(status: HostStatus, other: HostStatus | None) -> bool:
    if other is None:
        return True
    version = status.entry.incarnation, status.number
    return version > (other.entry.incarnation, other.number)


def upsert_entry(hosts: HostTable, entry: HostEntry, now: float) -> Host | None:
    """Add or update a host by its store entry.

    Returns
    -------
    Host or None
        The host's row, or None if the entry is this host's own.
    """
    if entry.name == hosts.own.name:
        return None
    row = hosts.rows.get(entry.name)
    if row is None or entry.incarnation > row.entry.incarnation:
        row = hosts.rows[entry.name] = Host(entry, now)
    return row


def is_urgent(tables: Tables, status: HostStatus) -> bool:
    """Return whether a status holds a change that must be forwarded at once."""
    row = tables.hosts.rows.get(status.entry.name)
    return row is None or row.status is None or status.urgent > row.status.urgent


def is_outdated(tables: Tables, status: HostStatus) -> bool:
    """Return whether this host already has a newer status of the same host."""
    row = tables.hosts.rows.get(status.entry.name)
    latest = row.status if row is not None else None
    return latest is not None and _is_newer(latest, status)


def apply_status(tables: Tables, status: HostStatus, now: float) -> bool:
    """Apply another host's status to the tables; return whether it was new."""
    hosts = tables.hosts
    if status.entry.name == hosts.own.name:
        return False
    row = hosts.rows.get(status.entry.name)
    if row is None:
        row = hosts.rows[status.entry.name] = Host(status.entry, now)
    if not _is_newer(status, row.status):
        return False
    previous = row.status.loads if row.status is not None else {}
    _clear_loads(tables, row)
    row.entry, row.status, row.last_status_at = status.entry, status, now
    _apply_loads(tables, status)
    for change in status.target_changes:
        discovery.apply(tables.targets, change, now)
    discovery.confirm(
        tables.targets, status.targets_revision, -1, now - status.targets_age_s
    )
    for key in status.leaving:
        discovery.record_leaving(tables.targets, key, now)
    for key in status.full:
        target = tables.targets.rows.get(key)
        # A status repeats what the one before it told.
        if target is not None and now - target.full_at > placement.MIN_FULL_S:
            placement.record_full(target, status.entry.name, now)
    _apply_failures(tables, status, now)
    if tables.on_loads is not None:
        tables.on_loads(previous, status.loads, now)
    if status.limits:
        tables.rate_limits.apply(status.limits, now)
    if status.stream_versions:
        tables.stream_versions.apply(status.stream_versions, now)
    tables.stream_versions.note_status(
        status.entry.name, status.entry.incarnation, status.knows_streams
    )
    if status.records_age_s < float("inf"):
        tables.stream_versions.apply_recorder(
            status.versions_in_force, status.recorded, status.records_age_s, now
        )
    if tables.rollouts is not None and isinstance(status, RolloutStatus):
        tables.rollouts.apply(status, now)
    if tables.fair_shares is not None:
        tables.fair_shares.apply(status)
    return True


def _clear_loads(tables: Tables, row: Host) -> None:
    for key in row.status.loads if row.status is not None else ():
        target = tables.targets.rows.get(key)
        if target is not None:
            target.other_loads.pop(row.entry.name, None)


def _apply_loads(tables: Tables, status: HostStatus) -> None:
    for key, load in status.loads.items():
        target = tables.targets.rows.get(key)
        if target is not None:
            target.other_loads[status.entry.name] = load


def _apply_failures(tables: Tables, status: HostStatus, now: float) -> None:
    for key, age_s in status.lost.items():
        target = tables.targets.rows.get(key)
        if target is not None and target.entry.service not in status.cut_off:
            placement.record_loss(tables.targets, target, now - age_s)
    for key in status.gone:
        target = tables.targets.rows.get(key)
        if target is not None:
            target.gone = True
    for fingerprint, key, age_s in status.crashes:
        tables.crashes.record(fingerprint, key, now - age_s)
        target = tables.targets.rows.get(key)
        if target is not None:
            placement.record_crash(target, now - age_s)
    times = status.part_times
    if status.part_crashes or times.sound or times.convicted:
        tables.crashing_parts.apply_gossip(status.part_crashes, times, now)


def live_peers(tables: Tables, now: float) -> list[Host]:
    """Return the other hosts whose last status is recent."""
    since = now - intervals.heartbeat_timeout_s(tables)
    rows = tables.hosts.rows.values()
    return [
        row for row in rows if row.status is not None and row.last_status_at > since
    ]


def expire(tables: Tables, now: float) -> list[str]:
    """Drop the status and loads of hosts that fell silent; return their names."""
    silent = []
    since = now - intervals.heartbeat_timeout_s(tables)
    for name, row in tables.hosts.rows.items():
        if row.status is not None and row.last_status_at <= since:
            _clear_loads(tables, row)
            row.status = None
            if tables.fair_shares is not None:
                tables.fair_shares.forget(name)
            silent.append(name)
    return silent


def count_live_hosts(tables: Tables, now: float) -> int:
    """Return the number of live hosts, this one included."""
    return 1 + len(live_peers(tables, now))


def peer_retry_usage(
    tables: Tables, service: str, announced: bool, now: float
) -> PeerRetryUsage:
    """Return the other hosts' usage of a service's retry budget.

    Parameters
    ----------
    tables
        Tables of this host.
    service
        Name of the service.
    announced
        Whether hosts announce sends to the service as new work.
    now
        Time in seconds.
    """
    nothing = RetryUsage()
    usages = [
        row.status.retry_usage.get(service, nothing) for row in live_peers(tables, now)
    ]
    propagation_s = intervals.gossip_window_s(tables)
    if announced:
        propagation_s = min(propagation_s, intervals.load_propagation_s(tables))
    return PeerRetryUsage(usages, 1 + len(tables.hosts.rows), propagation_s)


def try_spend_retry(tables: Tables, service: str, announced: bool, now: float) -> bool:
    """Charge one retry to a service's budget; return whether it is allowed.

    The parameters are those of `peer_retry_usage`.
    """
    others = peer_retry_usage(tables, service, announced, now)
    return tables.retry_budgets.try_spend(service, others, now)


def _hosts_reading_store(tables: Tables, now: float) -> list[str]:
    """Return the live hosts that can read the store, in the same order on all hosts."""
    hosts = tables.hosts
    names = [] if hosts.unanswered_kinds else [hosts.own.name]
    names += [
        row.entry.name for row in live_peers(tables, now) if row.status.reads_store
    ]
    return sorted(names, key=lambda name: broadcast.ring_position(1, name))


def is_resyncer(tables: Tables, now: float) -> bool:
    """Return whether this host periodically resyncs with the store.

    A watch can miss a change without an error, so a few hosts read all objects every
    second and gossip the differences to the others.
    """
    return tables.hosts.own.name in _hosts_reading_store(tables, now)[:RESYNCERS]


def is_first_reader(tables: Tables, now: float) -> bool:
    """Return whether this host is the first of those that can read the store."""
    return _hosts_reading_store(tables, now)[:1] == [tables.hosts.own.name]


def is_watcher(tables: Tables, now: float) -> bool:
    """Return whether this host watches the targets and hosts in the store.

    The other hosts get the changes from the watchers.  A host that the store did not
    answer always watches, to notice when the store answers again.
    """
    if tables.hosts.unanswered_kinds:
        return True
    return tables.hosts.own.name in _hosts_reading_store(tables, now)[:WATCHERS]


def peer_reads_store(tables: Tables, now: float) -> bool:
    """Return whether another live host can read the store."""
    return any(row.status.reads_store for row in live_peers(tables, now))


def own_revisions(tables: Tables) -> dict[Kind, int]:
    """Return the version of this host's deployment, and the revision of its targets."""
    return {
        Kind.DEPLOYMENT: tables.deployment.version,
        Kind.TARGETS: tables.targets.revision,
    }


def announced_revision(status: HostStatus, kind: Kind) -> int:
    """Return the version of a host's deployment, or its last change of the targets."""
    if kind is Kind.DEPLOYMENT:
        return status.deployment_version
    return status.targets_revision


def is_ahead(tables: Tables, status: HostStatus) -> bool:
    """Return whether a host has a newer deployment or newer targets than this one."""
    return (
        status.deployment_version > tables.deployment.version
        or status.targets_revision > tables.targets.revision
    )


def is_first_by_name(tables: Tables, now: float) -> bool:
    """Return whether this host's name sorts first among the live hosts."""
    own = tables.hosts.own.name
    return all(own < row.entry.name for row in live_peers(tables, now))


def addresses(tables: Tables, now: float) -> list[str]:
    """Return the addresses at which callers reach the hosts that are ready.

    At most `MAX_ADDRESSES` are returned; if there are more, each host leaves out
    different ones, so that together they name all.
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


def _at_doubling_distances(names: list[str]) -> list[str]:
    """Return the names at distances 1, 2, 4, ... along the ring."""
    found, distance = [], 1
    while distance <= len(names):
        found.append(names[distance - 1])
        distance *= 2
    return found


def neighbours(tables: Tables, now: float) -> list[HostEntry]:
    """Return the hosts that this host connects to.

    They are the successors at doubling distances on each ring of the live hosts, so
    that a status reaches all hosts in a logarithmic number of hops, and those on a
    ring of all hosts, so that the two sides of a network partition reconnect.  With
    several data centres they are those on the rings of this host's data centre, and a
    few hosts of each other one.  While not all hosts serve these rings, both are
    connected, so that a change of the rings finds the streams that it needs.
    """
    hosts = tables.hosts
    own = hosts.own.name
    live = [row.entry.name for row in live_peers(tables, now)]
    names = _at_doubling_distances(broadcast.ring_successors(0, hosts.rows, own))
    if not uses_centre_rings(tables, now):
        for ring in range(broadcast.RINGS):
            names += _at_doubling_distances(broadcast.ring_successors(ring, live, own))
    names += _centre_neighbours(tables, now)
    return [hosts.rows[name].entry for name in dict.fromkeys(names)]


def _live_by_centre(tables: Tables, now: float) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for row in live_peers(tables, now):
        found.setdefault(row.entry.data_centre, []).append(row.entry.name)
    return found


def _centre_neighbours(tables: Tables, now: float) -> list[str]:
    """Return the hosts that rings by data centre need streams to.

    There are none if all live hosts are in one data centre, or if they are few.
    """
    own = tables.hosts.own
    live = _live_by_centre(tables, now)
    if not live.keys() - {own.data_centre} or not _is_large(tables):
        return []
    names: list[str] = []
    near = live.pop(own.data_centre, [])
    for ring in range(broadcast.RINGS):
        names += _at_doubling_distances(broadcast.ring_successors(ring, near, own.name))
    for far in live.values():
        names += broadcast.ring_successors(1, far, own.name)[:GATEWAYS]
    return names


def uses_centre_rings(tables: Tables, now: float) -> bool:
    """Return whether this host's statuses go along the rings by data centre.

    All live hosts must say that they serve them, and be many, in several data centres.
    """
    hosts = tables.hosts
    live = live_peers(tables, now)
    return (
        _is_large(tables)
        and hosts.rings >= CENTRE_RINGS
        and all(row.status.rings >= CENTRE_RINGS for row in live)
        and any(row.entry.data_centre != hosts.own.data_centre for row in live)
    )


def _is_large(tables: Tables) -> bool:
    return 1 + len(tables.hosts.rows) >= MIN_CENTRE_RING_HOSTS


def own_spans(tables: Tables, now: float) -> list[broadcast.Span]:
    """Return the parts of rings within which this host's statuses are forwarded."""
    own = tables.hosts.own.name
    if not uses_centre_rings(tables, now):
        return broadcast.full_spans(own)
    return broadcast.centre_spans(own, _live_by_centre(tables, now))


def lacks_successor(tables: Tables, linked: Container[str], now: float) -> bool:
    """Return whether there is no stream to a successor in this host's data centre.

    Then statuses on the rings by data centre may miss that host.
    """
    own = tables.hosts.own
    near = _live_by_centre(tables, now).get(own.data_centre, [])
    return any(
        name not in linked
        for ring in range(broadcast.RINGS)
        for name in broadcast.ring_successors(ring, near, own.name)[:1]
    )


def expired_hosts(tables: Tables, now: float) -> list[Host]:
    """Return the silent hosts whose entries this host must remove from the store.

    Only the first of the hosts that can read the store removes entries.
    """
    if not is_first_reader(tables, now):
        return []
    rows = tables.hosts.rows.values()
    return [
        row
        for row in rows
        if row.revision is not None and now - row.last_status_at >= ENTRY_TTL_S
    ]
