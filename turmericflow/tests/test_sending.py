"""Tests of the runner's side of journal replication."""

from __future__ import annotations

import pytest

from turmericflow.profile import Profile
from turmericflow.systems import sending
from turmericflow.tables import AttemptStart, RequestId, RequestRow, SlotEntry, Tables

EPOCH = 2


@pytest.fixture
def tables():
    tables = Tables("entry-1", "north")
    tables.slots.entries = [SlotEntry("entry-2", "entry-1", EPOCH)]
    tables.slots.data_centres = {"entry-1": "north", "entry-2": "south"}
    return tables


@pytest.fixture
def row():
    profile = Profile("quotation", "redactor")
    row = RequestRow(RequestId("norte", "k"), profile, "g", 2049, b"{}", "p", 9, 0.0)
    row.slot, row.journal_host, row.journal_epoch = 0, "entry-2", EPOCH
    row.attempts.append(AttemptStart(1, 0, "redactor-1"))
    return row


def send(row, *texts):
    row.tokens.extend(texts)
    return sending.next_append(row)


def test_append_starts_where_the_last_one_sent_ended(tables, row):
    first = send(row, "a ", "b ")
    second = send(row, "c ")
    assert (second.entry.start, second.entry.texts) == (2, ["c "])
    assert first.entry.attempts and not second.entry.attempts
    assert sending.next_append(row) is None
    assert sending.commit(tables, first.sent)
    assert row.committed == 2


def test_acknowledgement_commits_all_before_its_end(tables, row):
    first, second = send(row, "a "), send(row, "b ")
    assert sending.commit(tables, second.sent)
    assert row.committed == 2
    assert sending.commit(tables, first.sent)
    assert row.committed == 2


def test_lost_append_is_resent_with_all_that_followed(tables, row):
    first, second = send(row, "a "), send(row, "b ")
    sending.on_append_lost(first.sent)
    sending.on_append_lost(second.sent)
    again = send(row, "c ")
    assert (again.entry.start, again.entry.texts) == (0, ["a ", "b ", "c "])
    assert [each.attempt for each in again.entry.attempts] == [1]
    assert not sending.commit(tables, second.sent)
    assert sending.commit(tables, again.sent)
    assert row.committed == 3


def test_upload_invalidates_appends_in_flight(tables, row):
    append = send(row, "a ")
    upload = sending.start_upload(row)
    assert sending.journal_holder(tables, row) == ""
    assert not sending.commit(tables, append.sent)
    assert not sending.on_journal_unknown(append.sent)
    assert sending.finish_upload(tables, upload, "entry-2", EPOCH)
    assert (row.committed, sending.next_append(row)) == (1, None)


def test_upload_into_an_older_slot_epoch_commits_nothing(tables, row):
    row.tokens.append("a ")
    upload = sending.start_upload(row)
    tables.slots.entries = [SlotEntry("entry-1", "", EPOCH + 2)]
    assert not sending.finish_upload(tables, upload, "entry-2", EPOCH)
    assert row.committed == 0


def test_completion_without_new_tokens_is_sent(tables, row):
    send(row, "a ")
    row.complete = True
    append = sending.next_append(row)
    assert (append.entry.start, append.entry.texts, append.entry.complete) == (
        1,
        [],
        True,
    )
    assert sending.commit(tables, append.sent)
    assert row.ended
