"""Slot owner's decisions on which router may run a request.

A change of a claim takes effect once the slot's backup has acknowledged it.
Until then the change is pending and the owner decides nothing else for that
request.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from turmericflow import wire
from turmericflow.systems import _claim_replies as claim_replies, _slots as slots_system
from turmericflow.systems._convert import to_wire_failure
from turmericflow.systems._records import to_claim, to_record
from turmericflow.tables import (
    Claim,
    ClaimState,
    PendingClaim,
    RequestId,
    SlotEntry,
    Tables,
)
from turmericflow.verdict import ErrorCode, Failure, Verdict

# Keep the numbers of one slot epoch above those of the epochs before it.
RUNNER_EPOCH_STRIDE = 1024
SEQ_STRIDE = 1 << 32
NO_EPOCH = -1


@dataclass(slots=True, frozen=True)
class Replicate:
    """Replicate a change to the backup before its reply is sent."""

    backup: str
    store: wire.Store


@dataclass(slots=True, frozen=True)
class Wait:
    """Wait for the pending change of the same request, then decide again."""


Decision = wire.Message | Replicate | Wait


def _first_runner_epoch(entry: SlotEntry) -> int:
    return entry.epoch * RUNNER_EPOCH_STRIDE + 1


def _new_claim(tables: Tables, msg: wire.Claim, slot: int, now: float) -> Claim:
    entry = tables.slots.entries[slot]
    return Claim(
        request_id=RequestId(msg.customer, msg.key),
        try_no=msg.try_no,
        fingerprint=msg.fingerprint,
        generation=msg.generation,
        profile=msg.profile,
        idempotent=msg.idempotent,
        runner=msg.runner,
        runner_epoch=_first_runner_epoch(entry),
        body=msg.body,
        updated_at=now,
        slot=slot,
        claim_id=msg.generation,
        journal_host=slots_system.journal_holder(tables, entry, msg.runner),
    )


def _apply(tables: Tables, row: Claim, reply: wire.Message) -> wire.Message:
    tables.claims.rows[row.request_id] = row
    if isinstance(reply, wire.Granted):
        return claim_replies.granted(reply.rid, row)
    return reply


def _commit_change(
    tables: Tables, row: Claim, reply: wire.Message, unconfirmed: wire.Message
) -> Decision:
    """Replicate a changed claim to the backup, or apply it without one.

    When the backup is considered dead, and after a takeover that the owner map
    does not show yet, only idempotent work is granted without an
    acknowledgement; any other change returns ``unconfirmed``.
    """
    entry = tables.slots.entries[row.slot]
    tables.claims.seq += 1
    row.seq = entry.epoch * SEQ_STRIDE + tables.claims.seq
    if entry.backup and slots_system.alive(tables, entry.backup):
        tables.claims.pending[row.request_id] = PendingClaim(row, entry.epoch, reply)
        slot = slots_system.to_wire_slot(row.slot, entry)
        return Replicate(entry.backup, wire.Store(reply.rid, slot, to_record(row)))
    if not entry.backup and not slots_system.is_takeover(entry):
        return _apply(tables, row, reply)
    if row.idempotent and isinstance(reply, wire.Granted):
        return _apply(tables, row, reply)
    return unconfirmed


def complete_pending(
    tables: Tables, request_id: RequestId, seq: int, stored: wire.Stored | None
) -> wire.Message | None:
    """Apply or drop a pending change, by the backup's answer.

    Parameters
    ----------
    tables
        The owner's tables.
    request_id, seq
        Request and sequence number of the change.
    stored
        The backup's answer, None if it did not answer.

    Returns
    -------
    Message or None
        The reply to send; None if the change is no longer pending.
    """
    pending = tables.claims.pending.get(request_id)
    if pending is None or pending.row.seq != seq:
        return None
    del tables.claims.pending[request_id]
    row, rid = pending.row, pending.reply.rid
    entry = tables.slots.entries[row.slot]
    if entry.epoch != pending.epoch:
        return claim_replies.moved(tables, rid, row.slot)
    if stored is None or not stored.accepted:
        if stored is not None:
            # The backup refused the change, so it needs all records once more.
            tables.slots.synced_epochs.pop(row.slot, None)
        return wire.Moved(rid)
    if stored.record is not None:
        return _merge_backup_record(tables, pending, stored.record)
    return _apply(tables, row, pending.reply)


def _merge_backup_record(
    tables: Tables, pending: PendingClaim, raw: wire.Record
) -> wire.Message:
    """Merge the backup's record, which is ahead of this host's.

    That happens when the backup holds the journal.
    """
    row = pending.row
    stored = to_claim(tables, raw, row.updated_at)
    if stored.ended:
        stored.seq = row.seq
        tables.claims.rows[row.request_id] = stored
        if isinstance(pending.reply, wire.Ended):
            return wire.Ended(pending.reply.rid)
        return claim_replies.ended(pending.reply.rid, stored)
    row.tokens, row.attempts = stored.tokens, stored.attempts
    return _apply(tables, row, pending.reply)


def _may_retry(row: Claim, try_no: int) -> bool:
    """Return whether a higher try may run after an earlier one failed."""
    if row.state not in (ClaimState.FAILED, ClaimState.SEALED):
        return False
    if try_no <= row.try_no:
        return False
    return row.idempotent or row.failure.verdict is Verdict.NOT_RUN


def _key_conflict(key: str) -> Failure:
    message = f"key {key!r} was used before with another body"
    return Failure(ErrorCode.KEY_CONFLICT, Verdict.NOT_RUN, message)


def _reply_to_existing(
    tables: Tables, row: Claim, msg: wire.Claim | wire.Seal
) -> wire.Message | None:
    """Return the reply for an existing claim; None if a retry may be granted."""
    if row.fingerprint != msg.fingerprint and msg.fingerprint:
        return claim_replies.refused(msg.rid, _key_conflict(msg.key))
    if _may_retry(row, msg.try_no):
        return None
    if row.refused_before is not None and msg.try_no < row.try_no:
        return claim_replies.refused(msg.rid, row.refused_before)
    if row.ended:
        return claim_replies.ended(msg.rid, row)
    return wire.Attached(msg.rid, row.generation, row.runner, row.runner_epoch)


def _is_runner_lost(tables: Tables, row: Claim, msg: wire.Claim) -> bool:
    """Return whether a claim may replace the runner that its sender found lost.

    Work that is not idempotent is taken from a runner only if the runner is the
    sender, has answered that it does not run the request, or is considered dead.
    """
    if msg.lost_epoch != row.runner_epoch:
        return False
    if row.idempotent or msg.gone or row.runner == msg.runner:
        return True
    return not slots_system.alive(tables, row.runner)


def _regrant(tables: Tables, row: Claim, msg: wire.Claim, now: float) -> Decision:
    """Grant a request to another runner, which continues from its journal.

    Work that is not idempotent may have been sent to a target already, so it
    fails instead.  If the journal was lost with its holder, the request starts
    over as a new generation.
    """
    entry = tables.slots.entries[row.slot]
    updated = dataclasses.replace(row, updated_at=now, regranted=True)
    updated.runner_epoch = max(row.runner_epoch + 1, _first_runner_epoch(entry))
    if not row.idempotent:
        message = "the router that ran this request was lost"
        updated.state = ClaimState.FAILED
        updated.failure = Failure(ErrorCode.RUNNER_LOST, Verdict.MAY_HAVE_RUN, message)
        return _commit_change(
            tables,
            updated,
            claim_replies.refused(msg.rid, updated.failure),
            _ask_again(msg),
        )
    updated.runner, updated.claim_id = msg.runner, msg.generation
    if not _journal_reachable(tables, row):
        updated.generation, updated.tokens, updated.attempts = msg.generation, [], []
    updated.journal_host = slots_system.journal_holder(tables, entry, msg.runner)
    return _commit_change(
        tables, updated, claim_replies.granted(msg.rid, updated), _ask_again(msg)
    )


def _journal_reachable(tables: Tables, row: Claim) -> bool:
    """Return whether this host or a live backup holds the journal."""
    if row.journal_host == tables.host:
        return True
    backup = tables.slots.entries[row.slot].backup
    return row.journal_host == backup and slots_system.alive(tables, backup)


def _ask_again(msg: wire.Message) -> wire.Moved:
    return wire.Moved(msg.rid)


def _grant_retry(tables: Tables, row: Claim, msg: wire.Claim, now: float) -> Decision:
    """Grant a higher try of a request whose earlier try was refused."""
    retry = _new_claim(tables, msg, row.slot, now)
    retry.runner_epoch = max(row.runner_epoch + 1, retry.runner_epoch)
    retry.refused_before = row.failure
    return _commit_change(
        tables, retry, claim_replies.granted(msg.rid, retry), _ask_again(msg)
    )


def _reject_unknown(
    tables: Tables, slot: int, msg: wire.Claim, now: float
) -> Failure | None:
    wait_s = slots_system.retention_left_s(tables, slot, msg.idempotent, now)
    if wait_s > 0:
        message = "the records of this key's slot were lost: the request may have run"
        return Failure(ErrorCode.RETENTION, Verdict.MAY_HAVE_RUN, message, wait_s)
    if not msg.body:
        message = f"no request with key {msg.key!r} is known"
        return Failure(ErrorCode.NOT_FOUND, Verdict.MAY_HAVE_RUN, message)
    return None


def _check_slot(
    tables: Tables, msg: wire.Claim | wire.Seal
) -> tuple[int, wire.Message | Wait | None]:
    """Return the slot, and the early reply if nothing can be decided now."""
    request_id = RequestId(msg.customer, msg.key)
    if not tables.slots.entries:
        return -1, wire.Moved(msg.rid)
    slot = tables.slots.slot_of(request_id)
    entry = tables.slots.entries[slot]
    if not slots_system.serves(tables, slot) or entry.epoch != msg.slot_epoch:
        return slot, claim_replies.moved(tables, msg.rid, slot)
    if request_id in tables.claims.pending:
        return slot, Wait()
    return slot, None


def claim(tables: Tables, msg: wire.Claim, now: float) -> Decision:
    """Decide whether the sender of a claim may run the request.

    Parameters
    ----------
    tables
        The owner's tables.
    msg
        The claim.
    now
        Time in seconds of the host's clock.

    Returns
    -------
    Decision
        A grant, the current runner, the recorded answer or a refusal, or
        `Moved` if this host cannot decide; `Replicate` if the backup must
        acknowledge the change first.
    """
    slot, early_reply = _check_slot(tables, msg)
    if early_reply is not None:
        return early_reply
    row = tables.claims.rows.get(RequestId(msg.customer, msg.key))
    if row is None:
        failure = _reject_unknown(tables, slot, msg, now)
        if failure is not None:
            return claim_replies.refused(msg.rid, failure)
        row = _new_claim(tables, msg, slot, now)
        return _commit_change(
            tables, row, claim_replies.granted(msg.rid, row), _ask_again(msg)
        )
    reply = _reply_to_existing(tables, row, msg)
    if reply is None:
        return _grant_retry(tables, row, msg, now)
    if not isinstance(reply, wire.Attached):
        return reply
    if row.runner == msg.runner and row.claim_id == msg.generation:
        # The claim was granted before and is repeated, so its reply was lost.
        return claim_replies.granted(msg.rid, row)
    if _is_runner_lost(tables, row, msg):
        return _regrant(tables, row, msg, now)
    return reply


def seal(tables: Tables, msg: wire.Seal, failure: Failure, now: float) -> Decision:
    """Record that a router refuses a try, so that this try can never run.

    The verdict stays ``NOT_RUN`` only if the backup has stored the refusal and
    no other host can have granted the request without this one knowing it.
    """
    slot, early_reply = _check_slot(tables, msg)
    if early_reply is not None:
        return early_reply
    existing = tables.claims.rows.get(RequestId(msg.customer, msg.key))
    if existing is not None:
        answer = _reply_to_existing(tables, existing, msg)
        if answer is not None:
            return answer
    may_have_run = dataclasses.replace(failure, verdict=Verdict.MAY_HAVE_RUN)
    unconfirmed = wire.Sealed(msg.rid, to_wire_failure(may_have_run))
    if _may_be_granted_elsewhere(tables, slot, msg.idempotent, now):
        return unconfirmed
    row = _sealed_claim(tables, slot, msg, failure, now)
    if existing is not None:
        row.runner_epoch = existing.runner_epoch + 1
        row.refused_before = existing.failure
        if existing.failure.verdict is not Verdict.NOT_RUN:
            row.failure = may_have_run
    reply = wire.Sealed(msg.rid, to_wire_failure(row.failure))
    return _commit_change(tables, row, reply, unconfirmed)


def _may_be_granted_elsewhere(
    tables: Tables, slot: int, idempotent: bool, now: float
) -> bool:
    slots = tables.slots
    if now < slots.retention_until.get(slot, now):
        return True
    return idempotent and now < slots.unseen_grants_until.get(slot, now)


def _sealed_claim(
    tables: Tables, slot: int, msg: wire.Seal, failure: Failure, now: float
) -> Claim:
    return Claim(
        request_id=RequestId(msg.customer, msg.key),
        try_no=msg.try_no,
        fingerprint=msg.fingerprint,
        generation="",
        profile=msg.profile,
        idempotent=msg.idempotent,
        runner="",
        runner_epoch=_first_runner_epoch(tables.slots.entries[slot]),
        state=ClaimState.SEALED,
        failure=failure,
        updated_at=now,
        slot=slot,
    )


def end(tables: Tables, msg: wire.End, failure: Failure, now: float) -> Decision:
    """Record that a runner reports its request as failed.

    ``NOT_RUN`` is kept only from the first runner: a later one cannot know
    whether an earlier one dispatched the request.
    """
    request_id = RequestId(msg.customer, msg.key)
    downgraded = failure
    if failure.verdict is Verdict.NOT_RUN:
        downgraded = dataclasses.replace(failure, verdict=Verdict.MAY_HAVE_RUN)
    unrecorded = wire.Ended(msg.rid, to_wire_failure(downgraded))
    if not tables.slots.entries:
        return unrecorded
    slot = tables.slots.slot_of(request_id)
    if not slots_system.serves(tables, slot):
        return claim_replies.moved(tables, msg.rid, slot)
    if request_id in tables.claims.pending:
        return Wait()
    row = tables.claims.rows.get(request_id)
    if row is None:
        return unrecorded
    if row.runner_epoch != msg.runner_epoch:
        return wire.Ended(msg.rid, None)
    if row.ended:
        failure = row.failure
        return wire.Ended(
            msg.rid, None if failure is None else to_wire_failure(failure)
        )
    ended = dataclasses.replace(row, state=ClaimState.FAILED, updated_at=now)
    ended.failure = downgraded if row.regranted else failure
    reply = wire.Ended(msg.rid, to_wire_failure(ended.failure))
    return _commit_change(tables, ended, reply, unrecorded)
