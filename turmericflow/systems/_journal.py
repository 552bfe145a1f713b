"""Journal holder's decisions: appends, uploads and retention of records."""

from __future__ import annotations

import enum

from turmericflow import wire
from turmericflow.systems import _slots as slots_system
from turmericflow.systems._convert import to_attempts
from turmericflow.systems._records import journal_length, to_claim
from turmericflow.tables import Claim, ClaimState, RequestId, Tables

IDEMPOTENT_KEEP_S = 60.0
ENDED_KEEP_S = slots_system.RETENTION_S
RUNNING_KEEP_S = 3600.0
MAX_ENDED_BYTES = 64_000_000


class AppendOutcome(enum.Enum):
    """Answer to an append: stored, runner replaced, or journal not known here."""

    ACCEPTED = enum.auto()
    REPLACED = enum.auto()
    UNKNOWN = enum.auto()


def append(tables: Tables, entry: wire.AppendEntry, now: float) -> AppendOutcome:
    """Append tokens to a journal; a duplicate or late append changes nothing.

    Returns
    -------
    AppendOutcome
        ``REPLACED`` if the sender is no longer the request's runner and must
        send its caller nothing more.  ``UNKNOWN`` if the runner must upload
        the journal first.
    """
    request_id = RequestId(entry.customer, entry.key)
    row = tables.claims.rows.get(request_id)
    if row is None or row.runner_epoch < entry.runner_epoch:
        return AppendOutcome.UNKNOWN
    if row.runner_epoch > entry.runner_epoch:
        return AppendOutcome.REPLACED
    if row.state not in (ClaimState.RUNNING, ClaimState.FINISHED):
        return AppendOutcome.REPLACED
    pending = tables.claims.pending
    if pending and request_id in pending:
        # A new runner may be pending that was granted with the present journal: it
        # would lack tokens that are appended now.
        return AppendOutcome.UNKNOWN
    length = len(row.tokens)
    if entry.start > length:
        return AppendOutcome.UNKNOWN
    end = entry.start + len(entry.texts)
    if end > length:
        if row.state is ClaimState.FINISHED:
            return AppendOutcome.REPLACED
        row.tokens.extend(entry.texts[length - entry.start :])
    if entry.attempts and entry.attempts[-1].attempt >= journal_length(row).attempt:
        row.attempts = to_attempts(entry.attempts)
    row.updated_at = now
    if entry.complete:
        row.state = ClaimState.FINISHED
    return AppendOutcome.ACCEPTED


def upload(tables: Tables, msg: wire.Upload, now: float) -> wire.Uploaded:
    """Store a runner's whole journal, under the slot's current epoch.

    Returns
    -------
    Uploaded
        Refused with this host's slot entry if the epochs differ or this host does
        not hold the slot's records.  Refused as replaced if the sender is no
        longer the request's runner.
    """
    record = msg.record
    request_id = RequestId(record.customer, record.key)
    if not tables.slots.entries:
        return wire.Uploaded(msg.rid, False)
    slot = tables.slots.slot_of(request_id)
    entry = tables.slots.entries[slot]
    if entry.epoch != msg.slot_epoch or not slots_system.holds(tables, slot):
        raw = slots_system.to_wire_slot(slot, entry)
        return wire.Uploaded(msg.rid, False, False, raw)
    if request_id in tables.claims.pending:
        return wire.Uploaded(msg.rid, False)
    row = tables.claims.rows.get(request_id)
    if row is not None and not _may_replace(row, record):
        return wire.Uploaded(msg.rid, False, True)
    _store_upload(tables, row, record, now)
    return wire.Uploaded(msg.rid, True)


def _may_replace(row: Claim, record: wire.Record) -> bool:
    if record.runner_epoch != row.runner_epoch:
        return record.runner_epoch > row.runner_epoch and not row.ended
    if record.generation != row.generation:
        return False
    return row.state in (ClaimState.RUNNING, ClaimState.FINISHED)


def _store_upload(
    tables: Tables, row: Claim | None, record: wire.Record, now: float
) -> None:
    new_row = to_claim(tables, record, now)
    if row is not None:
        new_row.claim_id, new_row.seq = row.claim_id, row.seq
        new_row.regranted, new_row.refused_before = row.regranted, row.refused_before
        if row.state is ClaimState.FINISHED:
            new_row.state = row.state
        same_runner = row.runner_epoch == new_row.runner_epoch
        if same_runner and journal_length(row) > journal_length(new_row):
            new_row.tokens, new_row.attempts = row.tokens, row.attempts
    tables.claims.rows[new_row.request_id] = new_row


def _keep_s(row: Claim) -> float:
    if not row.ended:
        return RUNNING_KEEP_S
    if row.idempotent and not row.regranted:
        return IDEMPOTENT_KEEP_S
    return ENDED_KEEP_S


def _size_bytes(row: Claim) -> int:
    if row.size_bytes < 0:
        row.size_bytes = sum(map(len, row.tokens)) + len(row.body)
    return row.size_bytes


def sweep(tables: Tables, now: float, max_bytes: int = MAX_ENDED_BYTES) -> int:
    """Drop expired records, and ended ones that take too much memory.

    When the answers of finished idempotent requests take more than
    ``max_bytes``, the oldest of them are dropped early.  Records of other
    requests are always kept for their full time.

    Returns
    -------
    int
        Number of records dropped early.
    """
    rows = tables.claims.rows
    for request_id in [
        rid for rid, row in rows.items() if now - row.updated_at > _keep_s(row)
    ]:
        del rows[request_id]
    finished = [
        row
        for row in rows.values()
        if row.idempotent and row.state is ClaimState.FINISHED
    ]
    excess = sum(map(_size_bytes, finished)) - max_bytes
    dropped = 0
    for row in sorted(finished, key=lambda each: each.updated_at):
        if excess <= 0:
            break
        excess -= _size_bytes(row)
        dropped += 1
        del rows[row.request_id]
    return dropped
