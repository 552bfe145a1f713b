"""Placement of slots on hosts: changes of the owner map after membership changes."""

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
    """Return a host's current incarnation, 0 if it never sent a message."""
    if host == tables.host:
        return tables.peers.incarnation
    return tables.peers.rows[host].incarnation


def usable_hosts(tables: Tables) -> dict[str, str]:
    """Return the data centre of each host that can be given slots.

    A host that the map still names with an earlier incarnation must first be
    removed from the map, unless there is no other host.
    """
    hosts = {
        host: membership.data_centre_of(tables, host)
        for host in membership.staying_hosts(tables)
        if incarnation_of(tables, host) > 0
    }
    same = {
        host: data_centre
        for host, data_centre in hosts.items()
        if same_incarnation(tables, host)
    }
    return same or hosts


def writer_rank(tables: Tables) -> int:
    """Return this host's turn, from 0, to write changes for lost owners."""
    hosts = sorted(usable_hosts(tables), key=lambda host: _weight(host, "writer"))
    return hosts.index(tables.host) if tables.host in hosts else len(hosts)


def _most_contacts_respond(tables: Tables) -> bool:
    """Return whether most contacts sent a message since the last suspicion.

    A host that is being cut off suspects its contacts one after another.  Its
    other contacts still count as alive for a while after the first suspicion.
    """
    rows = tables.peers.rows
    suspected = [
        row
        for row in rows.values()
        if row.state in (PeerState.SUSPECT, PeerState.DEAD) and not row.leaving
    ]
    if not suspected:
        return True
    last = max(row.changed_at for row in suspected)
    contacts = [rows[host] for host in overlay.contacts(tables) if host in rows]
    live = [row for row in contacts if row.state is not PeerState.DEAD]
    responsive = sum(1 for row in live if row.last_contact_at > last)
    return not live or 2 * responsive > len(live)


def may_write(tables: Tables, now: float) -> bool:
    """Return whether this host may change the map.

    A host that is cut off from most others would assign itself slots whose
    owners and backups are alive, and their records would be lost once it is
    reachable again.  Such a host serves the slots that it took over as a backup
    and writes nothing.
    """
    return membership.in_majority(tables, now) and _most_contacts_respond(tables)


class _SlotCounts:
    """Numbers of owned and backup slots by host, for choosing backups."""

    __slots__ = ("backups", "hosts", "owners", "pairs", "share")

    def __init__(self, hosts: dict[str, str], entries: list[SlotEntry]) -> None:
        self.hosts = hosts
        self.owners = Counter(entry.owner for entry in entries)
        self.backups = Counter(entry.backup for entry in entries)
        self.pairs = Counter((entry.owner, entry.backup) for entry in entries)
        self.share = len(entries) / max(1, len(hosts))

    def choose_backup(self, slot: int, owner: str) -> str:
        """Choose the host with the fewest backups, in another data centre if any."""
        others = [host for host in self.hosts if host != owner]
        data_centre = self.hosts.get(owner)
        elsewhere = [host for host in others if self.hosts[host] != data_centre]
        candidates = elsewhere or others
        if not candidates:
            return ""
        key = str(slot)
        return min(
            candidates, key=lambda host: (self.backups[host], _weight(host, key))
        )

    def find_new_owner(self, owner: str) -> str:
        """Find a host below its share for a slot of an owner that is above its own.

        Returns
        -------
        str
            "" if there is none, or if one is already the backup of a slot of the owner.
        """
        if self.owners[owner] <= self.share + 1:
            return ""
        found = [
            host
            for host in self.hosts
            if host != owner
            and self.owners[host] < self.share
            and self.in_different_data_centres(owner, host)
        ]
        if any(self.pairs[owner, host] for host in found):
            return ""
        return min(found, key=lambda host: (self.owners[host], host), default="")

    def in_different_data_centres(self, owner: str, backup: str) -> bool:
        """Return whether two hosts differ in data centre, or all share a single one."""
        data_centres = set(self.hosts.values())
        differ = self.hosts.get(owner) != self.hosts.get(backup)
        return differ or len(data_centres) < 2

    def record_change(self, before: SlotEntry, after: SlotEntry) -> None:
        """Update the counts with a change of one slot's entry."""
        self.owners[before.owner] -= 1
        self.backups[before.backup] -= 1
        self.owners[after.owner] += 1
        self.backups[after.backup] += 1
        self.pairs[before.owner, before.backup] -= 1
        self.pairs[after.owner, after.backup] += 1


def create(tables: Tables, count: int) -> list[SlotEntry]:
    """Return the entries of a new map over the usable hosts."""
    hosts = usable_hosts(tables)
    names = sorted(hosts)
    counts = _SlotCounts(hosts, [])
    entries = []
    for slot in range(count):
        owner = names[slot % len(names)]
        backup = counts.choose_backup(slot, owner)
        counts.backups[backup] += 1
        entry = SlotEntry(owner, backup, CREATED_EPOCH, CREATED_EPOCH, CREATED_EPOCH)
        entries.append(entry)
    return entries


def next_epoch(entry: SlotEntry) -> int:
    """Return the next even epoch of a slot.

    Changes that are written to the map have even epochs; takeovers have odd ones.
    """
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
    tables: Tables, slot: int, entry: SlotEntry, counts: _SlotCounts
) -> SlotEntry | None:
    """Return the entry that the owner wants for one of its slots, or None."""
    backup = entry.backup
    if backup not in counts.hosts or not alive(tables, backup):
        found = counts.choose_backup(slot, entry.owner)
        # Even without another host, the map must show a takeover or a lost backup.
        if found or is_takeover(entry) or backup:
            return _with_backup(entry, found)
        return None
    if not counts.in_different_data_centres(entry.owner, backup):
        return _with_backup(entry, counts.choose_backup(slot, entry.owner))
    synced = tables.slots.synced_epochs.get(slot) == entry.epoch
    if not synced:
        return None
    if tables.host not in counts.hosts:
        return _swapped(entry)
    if (
        counts.owners[tables.host] > counts.share + 1
        and counts.owners[backup] < counts.share
    ):
        return _swapped(entry)
    new_owner = counts.find_new_owner(tables.host)
    if new_owner:
        # The slot is handed over once its records are there.
        return _with_backup(entry, new_owner)
    if counts.backups[backup] > counts.share + 1:
        found = counts.choose_backup(slot, entry.owner)
        if counts.backups[found] + 1 < counts.share:
            return _with_backup(entry, found)
    return None


def own_changes(tables: Tables) -> list[Change]:
    """Return the map changes that this host wants for the slots that it owns.

    Lost backups are replaced, a leaving owner hands its slots to synced backups,
    and a host with more than its share hands some slots over.
    """
    counts = _SlotCounts(usable_hosts(tables), tables.slots.entries)
    changes = []
    for slot, entry in enumerate(tables.slots.entries):
        if not slots_system.serves(tables, slot):
            continue
        after = _own_change(tables, slot, entry, counts)
        if after is not None:
            counts.record_change(entry, after)
            changes.append((slot, after))
    return changes


def leaving_changes(tables: Tables) -> list[Change]:
    """Return the changes that replace this leaving host as a backup."""
    counts = _SlotCounts(usable_hosts(tables), tables.slots.entries)
    changes = []
    for slot, entry in enumerate(tables.slots.entries):
        if entry.backup == tables.host and alive(tables, entry.owner):
            after = _with_backup(entry, counts.choose_backup(slot, entry.owner))
            counts.record_change(entry, after)
            changes.append((slot, after))
    return changes


def orphan_changes(tables: Tables) -> list[Change]:
    """Return the changes for slots whose owner is lost and has no usable backup."""
    counts = _SlotCounts(usable_hosts(tables), tables.slots.entries)
    names = sorted(counts.hosts, key=lambda host: (counts.owners[host], host))
    changes = []
    for slot, entry in enumerate(tables.slots.entries):
        if alive(tables, entry.owner) or not names:
            continue
        if alive(tables, entry.backup) and entry.backup != tables.host:
            continue
        if entry.backup == tables.host and holds(tables, slot):
            continue
        owner = min(names, key=lambda host: counts.owners[host])
        if entry.backup == tables.host and tables.host in counts.hosts:
            owner = tables.host
        epoch = next_epoch(entry)
        after = SlotEntry(owner, counts.choose_backup(slot, owner), epoch, epoch, epoch)
        counts.record_change(entry, after)
        changes.append((slot, after))
    return changes


def merge(entries: list[SlotEntry], changes: list[Change]) -> list[SlotEntry]:
    """Return a map's entries with the changes that follow the current epochs."""
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
    """Return the incarnation and the data centre of each host in the entries.

    A host that was in the map before and has stayed an owner or backup keeps
    the incarnation that the map names.
    """
    names = {entry.owner for entry in entries} | {entry.backup for entry in entries}
    unchanged = set()
    for entry, old in zip(entries, before):
        if entry.owner_since <= old.epoch:
            unchanged.add(entry.owner)
        if entry.backup_since <= old.epoch:
            unchanged.add(entry.backup)
    named = {}
    for host in sorted(names - {""}):
        if host in known and host in unchanged:
            named[host] = known[host]
        else:
            data_centre = membership.data_centre_of(tables, host)
            named[host] = (incarnation_of(tables, host), data_centre)
    return named
