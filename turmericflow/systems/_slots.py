"""Owner map: owners and backups of slots, records held here, and takeover."""

from __future__ import annotations

from turmericflow import wire
from turmericflow.tables import PeerState, SlotEntry, SlotTable, Tables

CREATED_EPOCH = 2  # epoch of a new slot, which has no records yet
RETENTION_S = 600.0
IDEMPOTENT_RETENTION_S = 30.0


def to_wire_slot(slot: int, entry: SlotEntry) -> wire.WireSlot:
    """Return the wire form of a slot entry."""
    return wire.WireSlot(
        slot,
        entry.owner,
        entry.backup,
        entry.epoch,
        entry.owner_since,
        entry.backup_since,
    )


def to_slot_entry(raw: wire.WireSlot) -> SlotEntry:
    """Return the slot entry of a wire form."""
    return SlotEntry(
        raw.owner, raw.backup, raw.epoch, raw.owner_since, raw.backup_since
    )


def same_incarnation(tables: Tables, host: str) -> bool:
    """Return whether a host has not restarted since the map named it.

    A restarted host has lost its records.  A host whose incarnation is not known, or
    not in the map, counts as not restarted.
    """
    named = tables.slots.incarnations.get(host)
    if host == tables.host:
        present = tables.peers.incarnation
    else:
        row = tables.peers.rows.get(host)
        present = 0 if row is None else row.incarnation
    return named is None or present <= 0 or named == present


def alive(tables: Tables, host: str) -> bool:
    """Return whether a host is not considered dead and has not restarted."""
    if not host:
        return False
    row = tables.peers.rows.get(host)
    if host != tables.host and (row is None or row.state is PeerState.DEAD):
        return False
    return same_incarnation(tables, host)


def holds(tables: Tables, slot: int) -> bool:
    """Return whether this host holds all records of a slot as owner or backup."""
    entry = tables.slots.entries[slot]
    if entry.owner == tables.host:
        since = entry.owner_since
    elif entry.backup == tables.host:
        since = entry.backup_since
    else:
        return False
    if not same_incarnation(tables, tables.host):
        return False
    return since <= CREATED_EPOCH or tables.slots.held_epochs.get(slot, -1) >= since


def serves(tables: Tables, slot: int) -> bool:
    """Return whether this host decides on claims of a slot as its owner."""
    return tables.slots.entries[slot].owner == tables.host and holds(tables, slot)


def is_takeover(entry: SlotEntry) -> bool:
    """Return whether an entry is a takeover that the map does not yet show."""
    return entry.epoch % 2 == 1


def _drop_records(tables: Tables, slot: int) -> None:
    claims = tables.claims
    for request_id in [rid for rid, row in claims.rows.items() if row.slot == slot]:
        del claims.rows[request_id]
    for request_id in [
        rid for rid, pending in claims.pending.items() if pending.row.slot == slot
    ]:
        del claims.pending[request_id]


def _release_slot(tables: Tables, slot: int) -> None:
    slots = tables.slots
    _drop_records(tables, slot)
    for table in (slots.held_epochs, slots.receiving_epochs, slots.synced_epochs):
        table.pop(slot, None)
    slots.retention_until.pop(slot, None)
    slots.unseen_grants_until.pop(slot, None)


def _open_empty(tables: Tables, slot: int, epoch: int, now: float) -> None:
    tables.slots.held_epochs[slot] = epoch
    tables.slots.retention_until[slot] = now + RETENTION_S
    tables.slots.opened_empty += 1


def retention_left_s(tables: Tables, slot: int, idempotent: bool, now: float) -> float:
    """Return for how long unknown keys of a slot may still have run, in seconds.

    Idempotent work may run again.  Its time is shorter: it lasts only until no
    delayed copy of a try that a router has refused can arrive any more.
    """
    left = tables.slots.retention_until.get(slot, now) - now
    if idempotent:
        left -= RETENTION_S - IDEMPOTENT_RETENTION_S
    return max(0.0, left)


def apply_entry(tables: Tables, slot: int, entry: SlotEntry, now: float) -> bool:
    """Apply a slot's entry if it is newer.

    A host that is neither owner nor backup any more drops its records.  An
    owner without the records opens the slot empty and rejects unknown keys
    until the retention window has passed.

    Returns
    -------
    bool
        Whether the entry was newer.
    """
    slots = tables.slots
    if entry.epoch <= slots.entries[slot].epoch:
        return False
    had_records = holds(tables, slot)
    slots.entries[slot] = entry
    slots.change_count += 1
    slots.synced_epochs.pop(slot, None)
    if tables.host not in (entry.owner, entry.backup):
        _release_slot(tables, slot)
        return True
    if had_records and holds(tables, slot):
        slots.held_epochs[slot] = entry.epoch
    if entry.owner == tables.host and same_incarnation(tables, tables.host):
        slots.receiving_epochs.pop(slot, None)
        if not holds(tables, slot):
            _drop_records(tables, slot)
            _open_empty(tables, slot, entry.epoch, now)
    if is_takeover(entry):
        slots.unseen_grants_until[slot] = now + RETENTION_S
    return True


def apply_map(
    tables: Tables,
    version: int,
    entries: list[SlotEntry],
    hosts: dict[str, tuple[int, str]],
    now: float,
) -> None:
    """Apply an owner map; no slot goes back to an older epoch.

    Parameters
    ----------
    tables
        This host's tables.
    version
        Version of the map in the platform's store.
    entries
        Entries by slot.
    hosts
        Incarnation and data centre of each host that the map names.
    now
        Time in seconds of the host's clock.
    """
    slots = tables.slots
    if version <= slots.version:
        return
    slots.version = version
    slots.map_entries = entries
    slots.change_count += 1
    slots.incarnations = {host: number for host, (number, _) in hosts.items()}
    slots.data_centres = {host: centre for host, (_, centre) in hosts.items()}
    if not slots.entries:
        slots.entries = [SlotEntry("", "", 0)] * len(entries)
    for slot, entry in enumerate(entries):
        apply_entry(tables, slot, entry, now)


def take_over(tables: Tables, now: float) -> list[tuple[int, SlotEntry]]:
    """Take over the slots that have a dead owner and this host as backup.

    Afterwards this host acknowledges no change in the old epoch.

    Returns
    -------
    list
        Slots taken over, with their new entries, to send to every router.
    """
    slots = tables.slots
    taken = []
    for slot, entry in enumerate(slots.entries):
        if entry.backup != tables.host or alive(tables, entry.owner):
            continue
        if not holds(tables, slot):
            continue
        takeover = SlotEntry(tables.host, "", entry.epoch + 1, entry.backup_since, 0)
        apply_entry(tables, slot, takeover, now)
        taken.append((slot, takeover))
    return taken


def apply_peer_entry(tables: Tables, slot: int, entry: SlotEntry, now: float) -> bool:
    """Apply an entry received from another host, if it is valid.

    An even epoch comes from the owner map and is always valid.  The odd epoch
    next to the current one is valid only for the backup that this host knows.
    """
    slots = tables.slots
    if not 0 <= slot < len(slots.entries):
        return False
    current = slots.entries[slot]
    if is_takeover(entry) and entry.epoch == current.epoch + 1:
        if entry.owner != current.backup:
            return False
    return apply_entry(tables, slot, entry, now)


def journal_holder(tables: Tables, entry: SlotEntry, runner: str) -> str:
    """Return the host that holds a runner's journal.

    This is the owner if it is in another data centre than the runner, else the
    backup; without a live backup it is always the owner.
    """
    centres = tables.slots.data_centres
    if centres.get(entry.owner) != centres.get(runner):
        return entry.owner
    if entry.backup and alive(tables, entry.backup):
        return entry.backup
    return entry.owner


def apply_peer_entries(tables: Tables, raw: list[wire.WireSlot], now: float) -> int:
    """Apply entries received from another host; return the number that were newer."""
    return sum(
        apply_peer_entry(tables, each.slot, to_slot_entry(each), now) for each in raw
    )


def is_fully_assigned(slots: SlotTable) -> bool:
    """Return whether each slot has an owner, and a backup if several hosts exist."""
    several_hosts = len(slots.data_centres) > 1
    return bool(slots.entries) and all(
        entry.owner and (entry.backup or not several_hosts) for entry in slots.entries
    )
