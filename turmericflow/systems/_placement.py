"""Placement of slots on hosts: what each change of membership asks of the map."""

from __future__ import annotations

from collections import Counter

import xxhash

from turmericflow.systems import (
    _membership as membership,
    _overlay as overlay,
    _slots as slots_system,
)
from turmericflow.systems._slots import (
    CREATED_EPOCH,
    alive,
    holds,
    is_takeover,
    same_incarnation,
)
from turmericflow.tables import PeerState, SlotEntry, Tables

Change = tuple[int, SlotEntry]


def _weight(host: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{host}\0{name}".encode())


def incarnation_of(tables: Tables, host: str) -> int:
    """Return a host's present incarnation, 0 if it was never heard of."""
    if host == tables.host:
        return tables.peers.incarnation
    return tables.peers.rows[host].incarnation


def usable_hosts(tables: Tables) -> dict[str, str]:
    """Return the data centre of each host that can be given slots.

    A host that the map still names from an earlier life has to be out of the
    map first, unless there is no other host.
    """
    hosts = {
        host: membership.data_centre_of(tables, host)
        for host in membership.staying_hosts(tables)
        if incarnation_of(tables, host) > 0
    }
    same = {host: at for host, at in hosts.items() if same_incarnation(tables, host)}
    return same or hosts


def writer_rank(tables: Tables) -> int:
    """Return this host's turn to write changes that no owner can make."""
    hosts = sorted(usable_hosts(tables), key=lambda host: _weight(host, "writer"))
    return hosts.index(tables.host) if tables.host in hosts else len(hosts)


def _hears_most(tables: Tables) -> bool:
    """Return whether most contacts were heard since one was last doubted.

    A host that is being cut off comes to doubt its contacts one after another,
    and each is still held alive for a while after the first.
    """
    rows = tables.peers.rows
    doubted = [
        row
        for row in rows.values()
        if row.state in (PeerState.SUSPECT, PeerState.DEAD) and not row.leaving
    ]
    if not doubted:
        return True
    last = max(row.changed_at for row in doubted)
    contacts = [rows[host] for host in overlay.contacts(tables) if host in rows]
    live = [row for row in contacts if row.state is not PeerState.DEAD]
    heard = sum(1 for row in live if row.last_contact_at > last)
    return not live or 2 * heard > len(live)


def may_write(tables: Tables, now: float) -> bool:
    """Return whether this host may change the map.

    A host that is cut off from most others would name itself for slots whose
    parties are well, and their records would be lost once it is heard again.
    It serves what it took over as a backup, and writes nothing.
    """
    return membership.in_majority(tables, now) and _hears_most(tables)


class _Load:
    """Counts of slots by host, and the choice of a backup by them."""

    __slots__ = ("backups", "hosts", "owners", "share")

    def __init__(self, hosts: dict[str, str], entries: list[SlotEntry]) -> None:
        self.hosts = hosts
        self.owners = Counter(entry.owner for entry in entries)
        self.backups = Counter(entry.backup for entry in entries)
        self.share = len(entries) / max(1, len(hosts))

    def choose_backup(self, slot: int, owner: str) -> str:
        """Choose a backup in another data centre than the owner's, if any is."""
        others = [host for host in self.hosts if host != owner]
        centre = self.hosts.get(owner)
        elsewhere = [host for host in others if self.hosts[host] != centre]
        found = elsewhere or others
        if not found:
            return ""
        key = str(slot)
        return min(found, key=lambda host: (self.backups[host], _weight(host, key)))

    def in_another_centre(self, owner: str, backup: str) -> bool:
        """Return whether two hosts stand apart, as far as hosts allow."""
        centres = set(self.hosts.values())
        apart = self.hosts.get(owner) != self.hosts.get(backup)
        return apart or len(centres) < 2

    def note(self, before: SlotEntry, after: SlotEntry) -> None:
        """Count a change."""
        self.owners[before.owner] -= 1
        self.backups[before.backup] -= 1
        self.owners[after.owner] += 1
        self.backups[after.backup] += 1


def create(tables: Tables, count: int) -> list[SlotEntry]:
    """Return the entries of a new map over the usable hosts."""
    hosts = usable_hosts(tables)
    names = sorted(hosts)
    load = _Load(hosts, [])
    entries = []
    for slot in range(count):
        owner = names[slot % len(names)]
        backup = load.choose_backup(slot, owner)
        load.backups[backup] += 1
        entry = SlotEntry(owner, backup, CREATED_EPOCH, CREATED_EPOCH, CREATED_EPOCH)
        entries.append(entry)
    return entries


def next_epoch(entry: SlotEntry) -> int:
    """Return the epoch of the map's next change of a slot."""
    return entry.epoch + 2 - entry.epoch % 2


def _with_backup(entry: SlotEntry, backup: str) -> SlotEntry:
    epoch = next_epoch(entry)
    return SlotEntry(entry.owner, backup, epoch, entry.owner_since, epoch)


def _swapped(entry: SlotEntry) -> SlotEntry:
    return SlotEntry(
        entry.backup,
        entry.owner,
        next_epoch(entry),
        entry.backup_since,
        entry.owner_since,
    )


def _own_change(
    tables: Tables, slot: int, entry: SlotEntry, load: _Load
) -> SlotEntry | None:
    """Return what the owner wants changed of one of its slots."""
    backup = entry.backup
    if backup not in load.hosts or not alive(tables, backup):
        found = load.choose_backup(slot, entry.owner)
        if found or is_takeover(entry) or backup:
            return _with_backup(entry, found)
        return None
    if not load.in_another_centre(entry.owner, backup):
        return _with_backup(entry, load.choose_backup(slot, entry.owner))
    synced = tables.slots.synced_epochs.get(slot) == entry.epoch
    if not synced:
        return None
    if tables.host not in load.hosts:
        return _swapped(entry)
    if load.owners[tables.host] > load.share + 1 and load.owners[backup] < load.share:
        return _swapped(entry)
    if load.backups[backup] > load.share + 1:
        found = load.choose_backup(slot, entry.owner)
        if load.backups[found] + 1 < load.share:
            return _with_backup(entry, found)
    return None


def own_changes(tables: Tables) -> list[Change]:
    """Return the changes of the map that this host wants for slots it owns.

    Lost backups are replaced, a leaving owner gives its slots to synced
    backups, and a host with more than its share gives some away.
    """
    load = _Load(usable_hosts(tables), tables.slots.entries)
    changes = []
    for slot, entry in enumerate(tables.slots.entries):
        if not slots_system.serves(tables, slot):
            continue
        after = _own_change(tables, slot, entry, load)
        if after is not None:
            load.note(entry, after)
            changes.append((slot, after))
    return changes


def leaving_changes(tables: Tables) -> list[Change]:
    """Return the changes that free a leaving host of its duties as backup."""
    load = _Load(usable_hosts(tables), tables.slots.entries)
    changes = []
    for slot, entry in enumerate(tables.slots.entries):
        if entry.backup == tables.host and alive(tables, entry.owner):
            after = _with_backup(entry, load.choose_backup(slot, entry.owner))
            load.note(entry, after)
            changes.append((slot, after))
    return changes


def orphan_changes(tables: Tables) -> list[Change]:
    """Return the changes for slots that no party can look after any more."""
    load = _Load(usable_hosts(tables), tables.slots.entries)
    names = sorted(load.hosts, key=lambda host: (load.owners[host], host))
    changes = []
    for slot, entry in enumerate(tables.slots.entries):
        if alive(tables, entry.owner) or not names:
            continue
        if alive(tables, entry.backup) and entry.backup != tables.host:
            continue
        if entry.backup == tables.host and holds(tables, slot):
            continue
        owner = min(names, key=lambda host: load.owners[host])
        if entry.backup == tables.host and tables.host in load.hosts:
            owner = tables.host
        epoch = next_epoch(entry)
        after = SlotEntry(owner, load.choose_backup(slot, owner), epoch, epoch, epoch)
        load.note(entry, after)
        changes.append((slot, after))
    return changes


def merge(entries: list[SlotEntry], changes: list[Change]) -> list[SlotEntry]:
    """Return a map's entries with those changes that are still next in turn."""
    merged = list(entries)
    for slot, after in changes:
        if next_epoch(merged[slot]) == after.epoch:
            merged[slot] = after
    return merged


def named_hosts(
    tables: Tables,
    entries: list[SlotEntry],
    before: list[SlotEntry],
    known: dict[str, tuple[int, str]],
) -> dict[str, tuple[int, str]]:
    """Return incarnation and data centre of each host that entries name.

    A host that was named before and is a party without a break keeps the
    incarnation under which it became one.
    """
    names = {entry.owner for entry in entries} | {entry.backup for entry in entries}
    kept = set()
    for entry, old in zip(entries, before):
        if entry.owner_since <= old.epoch:
            kept.add(entry.owner)
        if entry.backup_since <= old.epoch:
            kept.add(entry.backup)
    named = {}
    for host in sorted(names - {""}):
        if host in known and host in kept:
            named[host] = known[host]
        else:
            centre = membership.data_centre_of(tables, host)
            named[host] = (incarnation_of(tables, host), centre)
    return named
