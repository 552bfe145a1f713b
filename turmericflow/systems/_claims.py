"""Owner's decisions: who may run a request, and what its journal holds."""

from __future__ import annotations

from turmericflow import wire
from turmericflow.systems._convert import to_attempts, to_wire_attempts, to_wire_failure
from turmericflow.tables import Claim, ClaimState, RequestId, Tables
from turmericflow.verdict import ErrorCode, Failure, Verdict

ClaimReply = wire.Granted | wire.Attached | wire.Recorded | wire.Refused


def _refused(rid: int, code: ErrorCode, verdict: Verdict, message: str) -> wire.Refused:
    return wire.Refused(rid, to_wire_failure(Failure(code, verdict, message)))


def _granted(rid: int, row: Claim) -> wire.Granted:
    return wire.Granted(
        rid,
        row.generation,
        row.runner_epoch,
        to_wire_attempts(row.attempts),
        list(row.tokens),
        row.body,
    )


def _new_claim(msg: wire.Claim, now: float) -> Claim:
    return Claim(
        request_id=RequestId(msg.customer, msg.key),
        try_no=msg.try_no,
        fingerprint=msg.fingerprint,
        generation=msg.generation,
        profile=msg.profile,
        idempotent=msg.idempotent,
        runner=msg.runner,
        runner_epoch=1,
        body=msg.body,
        touched_at=now,
    )


def _repeat(row: Claim, msg: wire.Claim, now: float) -> ClaimReply:
    if row.fingerprint != msg.fingerprint and msg.fingerprint:
        message = f"key {msg.key!r} was used before with another body"
        return _refused(msg.rid, ErrorCode.KEY_CONFLICT, Verdict.NOT_RUN, message)
    match row.state:
        case ClaimState.FINISHED:
            attempts = to_wire_attempts(row.attempts)
            return wire.Recorded(msg.rid, row.generation, attempts, list(row.tokens))
        case ClaimState.FAILED | ClaimState.SEALED:
            return wire.Refused(msg.rid, to_wire_failure(row.failure))
    if row.runner == msg.runner and row.generation == msg.generation:
        return _granted(msg.rid, row)
    if msg.lost_epoch == row.runner_epoch:
        row.runner = msg.runner
        row.runner_epoch += 1
        row.touched_at = now
        return _granted(msg.rid, row)
    return wire.Attached(msg.rid, row.generation, row.runner, row.runner_epoch)


def claim(tables: Tables, msg: wire.Claim, now: float) -> ClaimReply:
    """Decide on a claim.

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
    ClaimReply
        A grant, the present runner, the recorded answer, or a refusal.
    """
    request_id = RequestId(msg.customer, msg.key)
    entry = tables.slots.entry_of(request_id)
    if entry is None or entry.owner != tables.host or entry.epoch != msg.slot_epoch:
        message = f"{tables.host} does not own the slot in epoch {msg.slot_epoch}"
        return _refused(msg.rid, ErrorCode.NO_OWNER, Verdict.NOT_RUN, message)
    row = tables.claims.rows.get(request_id)
    if row is not None:
        return _repeat(row, msg, now)
    if not msg.body:
        message = f"no request with key {msg.key!r} is known"
        return _refused(msg.rid, ErrorCode.NOT_FOUND, Verdict.MAY_HAVE_RUN, message)
    row = _new_claim(msg, now)
    tables.claims.rows[request_id] = row
    return _granted(msg.rid, row)


def append(tables: Tables, entry: wire.AppendEntry, now: float) -> bool:
    """Add tokens to a journal.

    Returns
    -------
    bool
        False if the sender is no longer the request's runner; it can then
        give its caller nothing more.
    """
    row = tables.claims.rows.get(RequestId(entry.customer, entry.key))
    if row is None or row.runner_epoch != entry.runner_epoch:
        return False
    if row.state is not ClaimState.RUNNING or entry.start > len(row.tokens):
        return False
    row.tokens[entry.start :] = entry.texts
    row.attempts = to_attempts(entry.attempts)
    row.touched_at = now
    if entry.complete:
        row.state = ClaimState.FINISHED
    return True


def end(tables: Tables, msg: wire.End, failure: Failure, now: float) -> None:
    """Record that a runner has ended its request with a failure."""
    row = tables.claims.rows.get(RequestId(msg.customer, msg.key))
    if row is None or row.runner_epoch != msg.runner_epoch:
        return
    if row.state is ClaimState.RUNNING:
        row.state = ClaimState.FAILED
        row.failure = failure
        row.touched_at = now
