"""Backup's decisions on changes and records sent by a slot's owner."""

from __future__ import annotations

from turmericflow import wire
from turmericflow.systems import _slots as slots_system
from turmericflow.systems._records import journal_length, to_claim, to_record
from turmericflow.tables import Claim, RequestId, Tables

MAX_TRANSFER_BYTES = 1_000_000
RECORD_OVERHEAD_BYTES = 256


def _apply_owner_entry(
    tables: Tables, raw: wire.WireSlot, now: float
) -> wire.WireSlot | None:
    """Apply an owner's slot entry; return None if its epoch is now in force here.

    Otherwise the entry in force here is returned, or the owner's own entry if this
    host has no such slot.
    """
    slots = tables.slots
    if not 0 <= raw.slot < len(slots.entries):
        return raw
    slots_system.apply_peer_entry(
        tables, raw.slot, slots_system.to_slot_entry(raw), now
    )
    current = slots.entries[raw.slot]
    if current.epoch != raw.epoch:
        return slots_system.to_wire_slot(raw.slot, current)
    return None


def _is_ahead(row: Claim, record: wire.Record) -> bool:
    """Return whether this host's record of a generation is ahead of the owner's.

    It is if it has ended or has the longer journal.
    """
    if row.generation != record.generation or not row.generation:
        return False
    return row.ended or journal_length(row) > journal_length(record)


def _merge(tables: Tables, record: wire.Record, now: float) -> wire.Record | None:
    """Merge an owner's record; return this host's record if that is ahead."""
    new_row = to_claim(tables, record, now)
    row = tables.claims.rows.get(new_row.request_id)
    if row is not None and _is_ahead(row, record):
        if row.ended and not new_row.ended:
            row.seq = new_row.seq
            return to_record(row)
        if not row.ended:
            new_row.tokens, new_row.attempts = row.tokens, row.attempts
            tables.claims.rows[new_row.request_id] = new_row
            return None if new_row.ended else to_record(new_row)
    tables.claims.rows[new_row.request_id] = new_row
    return None


def store(tables: Tables, msg: wire.Store, now: float) -> wire.Stored:
    """Store an owner's change of a claim, if this host is still its backup.

    Returns
    -------
    Stored
        Accepted only in the slot epoch that this host knows, only if this host
        holds the slot's records or is receiving them, and not if a later change
        of the claim was stored.  Carries this host's record if that is ahead.
    """
    newer = _apply_owner_entry(tables, msg.slot, now)
    if newer is not None:
        return wire.Stored(msg.rid, False, newer)
    slot = msg.slot.slot
    if msg.slot.backup != tables.host:
        return wire.Stored(msg.rid, False)
    receiving = tables.slots.receiving_epochs.get(slot) == msg.slot.epoch
    if not receiving and not slots_system.holds(tables, slot):
        return wire.Stored(msg.rid, False)
    row = tables.claims.rows.get(RequestId(msg.record.customer, msg.record.key))
    if row is not None and msg.record.seq < row.seq:
        return wire.Stored(msg.rid, False)
    return wire.Stored(msg.rid, True, None, _merge(tables, msg.record, now))


def transfer(tables: Tables, msg: wire.Transfer, now: float) -> wire.Stored:
    """Store one part of a transfer of a slot's records.

    Parts are refused if the first part of the same epoch is missing, or if the
    owner addresses another incarnation of this host.
    """
    newer = _apply_owner_entry(tables, msg.slot, now)
    if newer is not None:
        return wire.Stored(msg.rid, False, newer)
    slots, slot, epoch = tables.slots, msg.slot.slot, msg.slot.epoch
    own = tables.peers.incarnation
    if msg.slot.backup != tables.host or (own and msg.incarnation != own):
        return wire.Stored(msg.rid, False)
    if msg.first:
        slots.receiving_epochs[slot] = epoch
    elif slots.receiving_epochs.get(slot) != epoch:
        return wire.Stored(msg.rid, False)
    for record in msg.records:
        row = tables.claims.rows.get(RequestId(record.customer, record.key))
        if row is None or row.seq <= record.seq:
            _merge(tables, record, now)
    if msg.last:
        del slots.receiving_epochs[slot]
        slots.held_epochs[slot] = epoch
        _apply_windows(tables, msg, now)
    return wire.Stored(msg.rid, True)


def _apply_windows(tables: Tables, msg: wire.Transfer, now: float) -> None:
    """Apply the remaining times in which the slot may lack records or grants."""
    slots, slot = tables.slots, msg.slot.slot
    slots.retention_until.pop(slot, None)
    if msg.retention_s > 0:
        slots.retention_until[slot] = now + msg.retention_s
    if msg.unseen_grants_s > 0:
        slots.unseen_grants_until[slot] = now + msg.unseen_grants_s


def build_transfers(tables: Tables, slot: int, now: float) -> list[wire.Transfer]:
    """Return the messages that transfer a slot's records to its backup.

    Their ``rid`` is 0; the sender sets it.
    """
    slots = tables.slots
    entry = slots.entries[slot]
    rows = [row for row in tables.claims.rows.values() if row.slot == slot]
    parts: list[list[wire.Record]] = [[]]
    size = 0
    for record in map(to_record, rows):
        size += len(record.body) + sum(map(len, record.tokens)) + RECORD_OVERHEAD_BYTES
        if size > MAX_TRANSFER_BYTES and parts[-1]:
            parts.append([])
            size = 0
        parts[-1].append(record)
    retention_s = max(0.0, slots.retention_until.get(slot, now) - now)
    unseen_grants_s = max(0.0, slots.unseen_grants_until.get(slot, now) - now)
    raw = slots_system.to_wire_slot(slot, entry)
    incarnation = slots.incarnations.get(entry.backup, 0)
    return [
        wire.Transfer(
            0,
            raw,
            incarnation,
            number == 0,
            number == len(parts) - 1,
            part,
            retention_s,
            unseen_grants_s,
        )
        for number, part in enumerate(parts)
    ]
