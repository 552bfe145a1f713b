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
class Sent:
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
class Part:
    """An entry that is to be sent now, and what it commits."""

    entry: wire.AppendEntry
    sent: Sent


def holder(tables: Tables, row: RequestRow) -> str:
    """Return the holder of a row's journal, empty if it is to be uploaded."""
    entry = tables.slots.entries[row.slot]
    if entry.epoch != row.journal_epoch:
        return ""
    found = slots_system.journal_holder(tables, entry, tables.host)
    return found if found == row.journal_host else ""


def _snapshot(row: RequestRow) -> Sent:
    return Sent(row, row.send_epoch, len(row.tokens), row.attempt, row.complete)


def is_due(row: RequestRow) -> bool:
    """Return whether a row has anything that was not sent."""
    if row.ended:
        return False
    return (
        len(row.tokens) != row.sent_tokens
        or row.attempt != row.sent_attempt
        or row.complete != row.sent_complete
    )


def next_part(row: RequestRow) -> Part | None:
    """Take what is to be sent next, or None if all was sent."""
    sent = _snapshot(row)
    same = sent.attempt == row.sent_attempt
    if same and sent.end == row.sent_tokens and sent.complete == row.sent_complete:
        return None
    entry = wire.AppendEntry(
        row.request_id.customer,
        row.request_id.key,
        row.runner_epoch,
        row.sent_tokens,
        row.tokens[row.sent_tokens :],
        [] if same else to_wire_attempts(row.attempts),
        sent.complete,
    )
    _note_sent(sent)
    return Part(entry, sent)


def _note_sent(sent: Sent) -> None:
    row = sent.row
    row.sent_tokens = sent.end
    row.sent_attempt = sent.attempt
    row.sent_complete = sent.complete


def _in_force(tables: Tables, sent: Sent) -> bool:
    """Return whether an answer is of the present round and the present slot."""
    row = sent.row
    if sent.round != row.send_epoch:
        return False
    return tables.slots.entries[row.slot].epoch == row.journal_epoch


def commit(tables: Tables, sent: Sent) -> bool:
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
    row.send_epoch += 1
    row.sent_tokens = row.committed
    row.sent_attempt = 0
    row.sent_complete = False


def lost(sent: Sent) -> None:
    """Take in that a part was not acknowledged."""
    if sent.round == sent.row.send_epoch:
        rewind(sent.row)


def unknown(sent: Sent) -> bool:
    """Take in that the journal is not there; return whether to upload it."""
    row = sent.row
    if row.ended or sent.round != row.send_epoch:
        return False
    row.journal_epoch = 0
    return True


def start_upload(row: RequestRow) -> Sent:
    """Take a journal from its holder until an upload is accepted."""
    rewind(row)
    row.journal_epoch = 0
    return _snapshot(row)


def finish_upload(
    tables: Tables, sent: Sent, journal_host: str, slot_epoch: int
) -> bool:
    """Take in that an upload was accepted in a slot epoch.

    Returns
    -------
    bool
        Whether it counts; if not, it is to be repeated in the present epoch.
    """
    row = sent.row
    if row.ended or sent.round != row.send_epoch:
        return False
    if tables.slots.entries[row.slot].epoch != slot_epoch:
        return False
    row.journal_host, row.journal_epoch = journal_host, slot_epoch
    _note_sent(sent)
    return commit(tables, sent)
