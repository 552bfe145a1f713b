"""Runner's decisions on its journal: what to send next, and what an answer commits.

A part starts where the last one sent ended, so that several may be under way.
A part that was lost and an upload start a new round: sending goes back to the
last committed token, and answers to parts of older rounds commit nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from turmericflow import wire
from turmericflow.systems import _slots as slots_system
from turmericflow.systems._convert import to_wire_attempts
from turmericflow.tables import RequestRow, Tables


@dataclass(slots=True)
class SentState:
    """What the holder's acknowledgement of a part or an upload commits.

    Attributes
    ----------
    row
        The request.
    round
        Round in which it was sent.
    end
        Number of tokens that the journal then has.
    attempt
        Newest attempt that the journal then has.
    complete
        Whether the answer ends there.
    """

    row: RequestRow
    round: int
    end: int
    attempt: int
    complete: bool


@dataclass(slots=True)
class Append:
    """An entry that is to be sent now, and what it commits."""

    entry: wire.AppendEntry
    sent: SentState


def holder(tables: Tables, row: RequestRow) -> str:
    """Return the holder of a row's journal, empty if it is to be uploaded."""
    entry = tables.slots.entries[row.slot]
    if entry.epoch != row.journal_epoch:
        return ""
    found = slots_system.holder(tables, entry, tables.host)
    return found if found == row.journal_at else ""


def _snapshot(row: RequestRow) -> SentState:
    return SentState(row, row.journal_round, len(row.tokens), row.attempt, row.complete)


def has_unsent(row: RequestRow) -> bool:
    """Return whether a row has anything that was not sent."""
    if row.ended:
        return False
    return (
        len(row.tokens) != row.journaled
        or row.attempt != row.journaled_attempt
        or row.complete != row.journaled_complete
    )


def next_append(row: RequestRow) -> Append | None:
    """Take what is to be sent next, or None if all was sent."""
    sent = _snapshot(row)
    same = sent.attempt == row.journaled_attempt
    if same and sent.end == row.journaled and sent.complete == row.journaled_complete:
        return None
    entry = wire.AppendEntry(
        row.request_id.customer,
        row.request_id.key,
        row.runner_epoch,
        row.journaled,
        row.tokens[row.journaled :],
        [] if same else to_wire_attempts(row.attempts),
        sent.complete,
    )
    _note_sent(sent)
    return Append(entry, sent)


def _note_sent(sent: SentState) -> None:
    row = sent.row
    row.journaled = sent.end
    row.journaled_attempt = sent.attempt
    row.journaled_complete = sent.complete


def _in_force(tables: Tables, sent: SentState) -> bool:
    """Return whether an answer is of the present round and the present slot."""
    row = sent.row
    if sent.round != row.journal_round:
        return False
    return tables.slots.entries[row.slot].epoch == row.journal_epoch


def commit(tables: Tables, sent: SentState) -> bool:
    """Take an acknowledgement; return whether it counts.

    The holder leaves no gap, so that all tokens before the end are committed.
    """
    row = sent.row
    if row.ended or not _in_force(tables, sent):
        return False
    row.committed = max(row.committed, sent.end)
    row.ended = sent.complete
    return True


def rewind(row: RequestRow) -> None:
    """Start a new round after the last committed token."""
    row.journal_round += 1
    row.journaled = row.committed
    row.journaled_attempt = 0
    row.journaled_complete = False


def on_append_lost(sent: SentState) -> None:
    """Take in that a part was not acknowledged."""
    if sent.round == sent.row.journal_round:
        rewind(sent.row)


def on_journal_unknown(sent: SentState) -> bool:
    """Take in that the journal is not there; return whether to upload it."""
    row = sent.row
    if row.ended or sent.round != row.journal_round:
        return False
    row.journal_epoch = 0
    return True


def start_upload(row: RequestRow) -> SentState:
    """Take a journal from its holder until an upload is accepted."""
    rewind(row)
    row.journal_epoch = 0
    return _snapshot(row)


def finish_upload(
    tables: Tables, sent: SentState, journal_at: str, slot_epoch: int
) -> bool:
    """Take in that an upload was accepted in a slot epoch.

    Returns
    -------
    bool
        Whether it counts; if not, it is to be repeated in the present epoch.
    """
    row = sent.row
    if row.ended or sent.round != row.journal_round:
        return False
    if tables.slots.entries[row.slot].epoch != slot_epoch:
        return False
    row.journal_at, row.journal_epoch = journal_at, slot_epoch
    _note_sent(sent)
    return commit(tables, sent)
