"""Runner's side of journal replication: appends, uploads and acknowledgements."""

from __future__ import annotations

from dataclasses import dataclass

from turmericflow import wire
from turmericflow.systems import _slots as slots_system
from turmericflow.systems._convert import to_wire_attempts
from turmericflow.tables import RequestRow, Tables

# Appends are pipelined and resent as in go-back-N: each starts where the last one
# sent ended.  A lost append and an upload start a new send epoch at the last committed
# token; acknowledgements of older send epochs commit nothing.


@dataclass(slots=True)
class SentState:
    """State of the journal that an acknowledgement of an append or upload commits.

    Attributes
    ----------
    row
        The request.
    send_epoch
        Send epoch of the append or upload.
    end
        Number of tokens in the journal after it.
    attempt
        Newest attempt in the journal after it.
    complete
        Whether the answer is complete after it.
    """

    row: RequestRow
    send_epoch: int
    end: int
    attempt: int
    complete: bool


@dataclass(slots=True)
class Append:
    """An append to send, and what its acknowledgement commits."""

    entry: wire.AppendEntry
    sent: SentState


def journal_holder(tables: Tables, row: RequestRow) -> str:
    """Return the host that holds a request's journal; empty if it must be uploaded."""
    entry = tables.slots.entries[row.slot]
    if entry.epoch != row.journal_epoch:
        return ""
    found = slots_system.journal_holder(tables, entry, tables.host)
    return found if found == row.journal_host else ""


def _snapshot(row: RequestRow) -> SentState:
    return SentState(row, row.send_epoch, len(row.tokens), row.attempt, row.complete)


def has_unsent(row: RequestRow) -> bool:
    """Return whether a request has changes that were not sent to the holder."""
    if row.ended:
        return False
    return (
        len(row.tokens) != row.sent_tokens
        or row.attempt != row.sent_attempt
        or row.complete != row.sent_complete
    )


def next_append(row: RequestRow) -> Append | None:
    """Return the next append and mark it as sent; None if all was sent."""
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
    _mark_sent(sent)
    return Append(entry, sent)


def _mark_sent(sent: SentState) -> None:
    row = sent.row
    row.sent_tokens = sent.end
    row.sent_attempt = sent.attempt
    row.sent_complete = sent.complete


def _is_current(tables: Tables, sent: SentState) -> bool:
    """Return whether an acknowledgement is of the current send and slot epochs."""
    row = sent.row
    if sent.send_epoch != row.send_epoch:
        return False
    return tables.slots.entries[row.slot].epoch == row.journal_epoch


def commit(tables: Tables, sent: SentState) -> bool:
    """Record an acknowledgement; return whether it is current.

    The holder accepts no gaps, so all tokens before the end are committed.
    """
    row = sent.row
    if row.ended or not _is_current(tables, sent):
        return False
    row.committed = max(row.committed, sent.end)
    row.ended = sent.complete
    return True


def rewind(row: RequestRow) -> None:
    """Start a new send epoch after the last committed token."""
    row.send_epoch += 1
    row.sent_tokens = row.committed
    row.sent_attempt = 0
    row.sent_complete = False


def on_append_lost(sent: SentState) -> None:
    """Rewind after an append that was not acknowledged."""
    if sent.send_epoch == sent.row.send_epoch:
        rewind(sent.row)


def on_journal_unknown(sent: SentState) -> bool:
    """Record that the holder has no such journal; return whether to upload it."""
    row = sent.row
    if row.ended or sent.send_epoch != row.send_epoch:
        return False
    row.journal_epoch = 0
    return True


def start_upload(row: RequestRow) -> SentState:
    """Start an upload; the journal has no holder until the upload is accepted."""
    rewind(row)
    row.journal_epoch = 0
    return _snapshot(row)


def finish_upload(
    tables: Tables, sent: SentState, journal_host: str, slot_epoch: int
) -> bool:
    """Record that an upload was accepted in a slot epoch.

    Returns
    -------
    bool
        Whether the upload is current; if not, it must be repeated.
    """
    row = sent.row
    if row.ended or sent.send_epoch != row.send_epoch:
        return False
    if tables.slots.entries[row.slot].epoch != slot_epoch:
        return False
    row.journal_host, row.journal_epoch = journal_host, slot_epoch
    _mark_sent(sent)
    return commit(tables, sent)
