"""Status of a host, as shown to operators."""

from __future__ import annotations

import math

import msgspec

from turmericflow.profile import CUSTOMER_ADAPTER, MARK_ADAPTER, PROFILE_ADAPTER
from turmericflow.systems import (
    _breakers as breakers,
    _freshness as freshness,
    _slots as slots,
)
from turmericflow.tables import ClaimState, PeerState, Tables, Target

IN_USE = "in use"


class MemberStatus(msgspec.Struct):
    """State of one member, as this host sees it."""

    host: str
    data_centre: str
    entry: str
    state: str


class SlotStatus(msgspec.Struct):
    """The current owner map, and this host's part in it.

    ``backed`` is the number of slots that this host is the backup of, ``synced``
    the number of owned slots whose backup has all their records.
    """

    version: int
    total: int
    owned: int
    backed: int
    synced: int = 0


class TargetStatus(msgspec.Struct):
    """A target, and the reason if it receives no new work from this host."""

    name: str
    service: str
    data_centre: str
    state: str
    models: list[str]
    in_flight: int


class HostStatus(msgspec.Struct):
    """Status of a host, its counters and its view of members, slots and targets.

    ``view_age_s`` is the time since its configuration was last confirmed, in
    seconds, None if it never was.  ``running`` counts the requests that it runs
    and ``claims`` its claims by state.
    """

    host: str
    data_centre: str
    ready: bool
    stopping: bool
    incarnation: int
    view_age_s: float | None
    may_dispatch: bool
    versions: dict[str, int]
    members: list[MemberStatus]
    slots: SlotStatus
    targets: list[TargetStatus]
    running: int
    claims: dict[str, int]
    counts: dict[str, int]


def is_ready(tables: Tables) -> bool:
    """Return whether this host has the state that it needs to accept requests."""
    config = tables.config
    if not (config.bootstrapped and config.profiles and tables.targets.all_polled):
        return False
    return slots.is_fully_assigned(tables.slots)


def _members(tables: Tables, entry: str) -> list[MemberStatus]:
    state = PeerState.LEAVING if tables.stopping else PeerState.ALIVE
    own = MemberStatus(tables.host, tables.data_centre, entry, state)
    rows = tables.peers.rows.values()
    others = [
        MemberStatus(row.host, row.data_centre, str(row.entry), row.state)
        for row in rows
    ]
    return [own, *others]


def _slots(tables: Tables) -> SlotStatus:
    entries = tables.slots.entries
    owned = sum(1 for entry in entries if entry.owner == tables.host)
    backed = sum(1 for entry in entries if entry.backup == tables.host)
    synced = sum(
        1
        for slot, entry in enumerate(entries)
        if entry.owner == tables.host
        and tables.slots.synced_epochs.get(slot) == entry.epoch
    )
    return SlotStatus(tables.slots.version, len(entries), owned, backed, synced)


def _target_state(tables: Tables, target: Target, now: float) -> str:
    mark = tables.config.marks.get(target.name)
    if mark is not None and mark.leaving:
        return "shut out: marked as leaving"
    if target.leaving:
        return "shut out: leaving by the host list"
    if target.suspect_until > now:
        return f"shut out: lost, for {target.suspect_until - now:.1f} s more"
    if not breakers.allows(target, now):
        return f"shut out: breaker {target.breaker.state}"
    return IN_USE


def _target(tables: Tables, target: Target, now: float) -> TargetStatus:
    return TargetStatus(
        target.name,
        target.service,
        target.data_centre,
        _target_state(tables, target, now),
        sorted(target.models),
        target.in_flight,
    )


def describe(
    tables: Tables, entry: str, counts: dict[str, int], now: float
) -> HostStatus:
    """Return the status of this host.

    Parameters
    ----------
    tables
        The host's tables.
    entry
        Address of this host for callers.
    counts
        Counters of this host.
    now
        Time in seconds of the host's clock.
    """
    age = freshness.config_age_s(tables, now)
    claims = dict.fromkeys((state.value for state in ClaimState), 0)
    for claim in tables.claims.rows.values():
        claims[claim.state] += 1
    return HostStatus(
        tables.host,
        tables.data_centre,
        is_ready(tables),
        tables.stopping,
        tables.peers.incarnation,
        round(age, 3) if math.isfinite(age) else None,
        freshness.may_dispatch(tables, now),
        dict(tables.config.versions),
        _members(tables, entry),
        _slots(tables),
        [_target(tables, each, now) for each in tables.targets.rows.values()],
        sum(1 for row in tables.requests.rows.values() if not row.ended),
        claims,
        dict(counts),
    )


def declarations(tables: Tables) -> list[dict]:
    """Return the declarations in force, without the key hashes of customers."""
    config = tables.config
    kinds = (
        ("profile", PROFILE_ADAPTER, config.declared),
        ("customer", CUSTOMER_ADAPTER, config.customers),
        ("mark", MARK_ADAPTER, config.marks),
    )
    found = []
    for kind, adapter, rows in kinds:
        for name, row in rows.items():
            value = adapter.dump_python(row, mode="json")
            value.pop("key_hashes", None)
            path = f"{kind}/{name}"
            version = config.versions.get(path, 0)
            found.append({"path": path, "version": version, "value": value})
    return found
