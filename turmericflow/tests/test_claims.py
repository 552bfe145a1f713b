"""Tests of the decisions of a slot's owner, backup and journal holder."""

from __future__ import annotations

import pytest

from turmericflow import wire
from turmericflow.systems import (
    backup,
    claims,
    journal,
    records,
    slots,
    to_wire_failure,
)
from turmericflow.tables import Peer, PeerState, RequestId, SlotEntry, Tables
from turmericflow.verdict import ErrorCode, Failure, Verdict

CENTRES = {"entry-1": "north", "entry-2": "south", "entry-3": "west"}
KEY = RequestId("norte", "k")
OVERLOADED = Failure(ErrorCode.OVERLOADED, Verdict.NOT_RUN, "too much work", 1.0)


def make_tables(host, *entries):
    tables = Tables(host, CENTRES[host])
    tables.slots.entries = list(entries)
    tables.slots.data_centres = dict(CENTRES)
    for other in CENTRES:
        if other != host:
            tables.peers.rows[other] = Peer(other, CENTRES[other], None, None)
    return tables


@pytest.fixture
def tables():
    return make_tables("entry-1", SlotEntry("entry-1", "", 2))


@pytest.fixture
def owner():
    return make_tables("entry-1", SlotEntry("entry-1", "entry-2", 2))


@pytest.fixture
def backup_tables():
    return make_tables("entry-2", SlotEntry("entry-1", "entry-2", 2))


def make_claim(rid=1, generation="g1", runner="entry-2", **fields):
    values = {"try_no": 1, "fingerprint": "f", "idempotent": True, "slot_epoch": 2}
    values |= {"lost_epoch": -1, "body": b"{}", "profile": "quotation"} | fields
    return wire.Claim(
        rid=rid,
        customer="norte",
        key="k",
        generation=generation,
        runner=runner,
        **values,
    )


def make_seal(rid=9, try_no=1, idempotent=True, slot_epoch=2):
    failure = to_wire_failure(OVERLOADED)
    return wire.Seal(
        rid, "norte", "k", try_no, "f", "quotation", idempotent, slot_epoch, failure
    )


def make_entry(epoch, start=0, texts=("a ",), complete=False, attempts=()):
    raw = [wire.WireAttempt(*each, "redactor-1") for each in attempts]
    return wire.AppendEntry("norte", "k", epoch, start, list(texts), raw, complete)


def confirm(owner, backup_tables, decision, now=0.0, lost=False):
    """Return the owner's reply after its backup acknowledged a change.

    With ``lost`` the acknowledgement does not arrive.
    """
    assert isinstance(decision, claims.Replicate)
    stored = backup.store(backup_tables, decision.store, now)
    seq = decision.store.record.seq
    return claims.complete_pending(owner, KEY, seq, None if lost else stored)


def test_second_claim_attaches_to_runner(tables):
    granted = claims.claim(tables, make_claim(), 0.0)
    answer = claims.claim(tables, make_claim(2, "g2", "entry-3"), 1.0)
    assert answer == wire.Attached(2, "g1", "entry-2", granted.runner_epoch)


def test_replaced_runner_cannot_append(tables):
    first = claims.claim(tables, make_claim(), 0.0).runner_epoch
    msg = make_claim(2, "g2", "entry-3", lost_epoch=first)
    second = claims.claim(tables, msg, 1.0).runner_epoch
    assert second > first
    outcome = journal.append(tables, make_entry(first), 2.0)
    assert outcome is journal.AppendOutcome.REPLACED
    outcome = journal.append(tables, make_entry(second), 2.0)
    assert outcome is journal.AppendOutcome.ACCEPTED


def test_finished_request_is_recorded(tables):
    epoch = claims.claim(tables, make_claim(), 0.0).runner_epoch
    journal.append(tables, make_entry(epoch, complete=True), 1.0)
    answer = claims.claim(tables, make_claim(3, "g3", "entry-3"), 2.0)
    assert isinstance(answer, wire.Recorded)
    assert answer.tokens == ["a "]


def test_other_body_under_same_key_is_refused(tables):
    claims.claim(tables, make_claim(), 0.0)
    answer = claims.claim(tables, make_claim(2, fingerprint="other"), 1.0)
    assert answer.failure.code == "key_conflict"


def test_claim_in_another_slot_epoch_moves(tables):
    answer = claims.claim(tables, make_claim(slot_epoch=4), 0.0)
    assert isinstance(answer, wire.Moved)
    assert not tables.claims.rows


def test_repeated_claim_gets_the_same_grant(tables):
    first = claims.claim(tables, make_claim(), 0.0)
    again = claims.claim(tables, make_claim(2), 1.0)
    assert again.runner_epoch == first.runner_epoch
    assert again.generation == first.generation


@pytest.mark.parametrize("idempotent", [True, False])
def test_grant_waits_for_backup(owner, backup_tables, idempotent):
    decision = claims.claim(owner, make_claim(idempotent=idempotent), 0.0)
    waiting = claims.claim(owner, make_claim(2, "g2", "entry-3"), 0.0)
    assert isinstance(waiting, claims.Wait)
    assert isinstance(confirm(owner, backup_tables, decision), wire.Granted)
    assert backup_tables.claims.rows[KEY].runner == "entry-2"


def test_lost_acknowledgement_grants_nothing(owner, backup_tables):
    decision = claims.claim(owner, make_claim(idempotent=False), 0.0)
    answer = confirm(owner, backup_tables, decision, lost=True)
    assert isinstance(answer, wire.Moved)
    assert not owner.claims.rows


def test_backup_that_took_over_refuses_deposed_owner(owner, backup_tables):
    backup_tables.peers.rows["entry-1"].state = PeerState.DEAD
    taken = slots.take_over(backup_tables, 0.0)
    assert taken == [(0, SlotEntry("entry-2", "", 3, 0, 0))]
    decision = claims.claim(owner, make_claim(idempotent=False), 0.0)
    stored = backup.store(backup_tables, decision.store, 0.0)
    assert not stored.accepted
    slots.apply_peer_entries(owner, [stored.entry], 0.0)
    answer = claims.complete_pending(owner, KEY, decision.store.record.seq, stored)
    assert not isinstance(answer, wire.Granted)
    assert owner.slots.entries[0].owner == "entry-2"


def test_owner_without_backup_grants_only_idempotent_work(owner):
    owner.peers.rows["entry-2"].state = PeerState.DEAD
    answer = claims.claim(owner, make_claim(idempotent=False), 0.0)
    assert isinstance(answer, wire.Moved)
    assert isinstance(claims.claim(owner, make_claim(), 0.0), wire.Granted)


def test_late_store_changes_nothing(owner, backup_tables):
    first = claims.claim(owner, make_claim(), 0.0)
    seq = first.store.record.seq
    assert isinstance(claims.complete_pending(owner, KEY, seq, None), wire.Moved)
    again = claims.claim(owner, make_claim(2, "g2", "entry-3"), 0.0)
    assert isinstance(confirm(owner, backup_tables, again), wire.Granted)
    assert not backup.store(backup_tables, first.store, 1.0).accepted
    assert backup_tables.claims.rows[KEY].runner == "entry-3"


def test_lost_runner_ends_work_that_is_not_idempotent(owner, backup_tables):
    decision = claims.claim(owner, make_claim(idempotent=False), 0.0)
    epoch = confirm(owner, backup_tables, decision).runner_epoch
    msg = make_claim(2, "g2", "entry-3", idempotent=False, lost_epoch=epoch)
    assert isinstance(claims.claim(owner, msg, 1.0), wire.Attached)
    owner.peers.rows["entry-2"].state = PeerState.DEAD
    owner.slots.entries = [SlotEntry("entry-1", "", 4)]
    msg.slot_epoch = 4
    answer = claims.claim(owner, msg, 2.0)
    assert answer.failure.verdict == Verdict.MAY_HAVE_RUN


def test_regrant_takes_journal_from_backup(owner, backup_tables):
    decision = claims.claim(owner, make_claim(runner="entry-1"), 0.0)
    epoch = confirm(owner, backup_tables, decision).runner_epoch
    entry = make_entry(epoch, texts=["a ", "b "])
    assert journal.append(backup_tables, entry, 1.0) is journal.AppendOutcome.ACCEPTED
    msg = make_claim(2, "g2", "entry-3", lost_epoch=epoch)
    answer = confirm(owner, backup_tables, claims.claim(owner, msg, 2.0))
    assert (answer.generation, answer.tokens) == ("g1", ["a ", "b "])
    outcome = journal.append(backup_tables, make_entry(epoch, 2), 3.0)
    assert outcome is journal.AppendOutcome.REPLACED


def test_transfer_of_older_records_keeps_a_journal_without_tokens(owner, backup_tables):
    decision = claims.claim(owner, make_claim(runner="entry-1"), 0.0)
    epoch = confirm(owner, backup_tables, decision).runner_epoch
    transfer = backup.build_transfers(owner, 0, 1.0)[0]
    first = (epoch * 1000 + 1, 0)
    journal.append(backup_tables, make_entry(epoch, texts=[], attempts=[first]), 2.0)
    assert backup.transfer(backup_tables, transfer, 3.0).accepted
    assert [each.attempt for each in backup_tables.claims.rows[KEY].attempts] == [
        first[0]
    ]


def test_append_that_comes_late_keeps_newer_attempts(tables):
    epoch = claims.claim(tables, make_claim(), 0.0).runner_epoch
    older, newer = [(1, 0)], [(1, 0), (2, 1)]
    journal.append(tables, make_entry(epoch, attempts=older), 1.0)
    journal.append(tables, make_entry(epoch, 1, [], attempts=newer), 2.0)
    journal.append(tables, make_entry(epoch, attempts=older), 3.0)
    assert [each.attempt for each in tables.claims.rows[KEY].attempts] == [1, 2]


def test_journal_rejects_appends_while_a_regrant_is_pending(owner, backup_tables):
    decision = claims.claim(owner, make_claim(runner="entry-3"), 0.0)
    epoch = confirm(owner, backup_tables, decision).runner_epoch
    journal.append(owner, make_entry(epoch, attempts=[(1, 0)]), 1.0)
    msg = make_claim(2, "g2", "entry-2", lost_epoch=epoch)
    regrant = claims.claim(owner, msg, 2.0)
    late = make_entry(epoch, 1, ["b "], attempts=[(1, 0), (2, 1)])
    outcome = journal.append(owner, late, 3.0)
    assert outcome is journal.AppendOutcome.UNKNOWN
    answer = confirm(owner, backup_tables, regrant)
    assert answer.tokens == ["a "]
    assert journal.append(owner, late, 4.0) is journal.AppendOutcome.REPLACED


def test_journal_at_a_backup_that_is_lost_starts_another_generation(
    owner, backup_tables
):
    decision = claims.claim(owner, make_claim(runner="entry-1"), 0.0)
    epoch = confirm(owner, backup_tables, decision).runner_epoch
    journal.append(backup_tables, make_entry(epoch), 1.0)
    owner.peers.rows["entry-2"].state = PeerState.DEAD
    msg = make_claim(2, "g2", "entry-3", lost_epoch=epoch)
    answer = claims.claim(owner, msg, 2.0)
    assert (answer.generation, answer.tokens) == ("g2", [])


def test_upload_is_not_mixed_with_an_earlier_runners_tokens(tables):
    epoch = claims.claim(tables, make_claim(), 0.0).runner_epoch
    journal.append(tables, make_entry(epoch, texts=["a ", "b "]), 1.0)
    record = records.to_record(tables.claims.rows[KEY])
    record.runner_epoch, record.tokens = epoch + 1, ["a "]
    assert journal.upload(tables, wire.Upload(2, 2, record), 2.0).accepted
    assert tables.claims.rows[KEY].tokens == ["a "]


def test_lost_journal_starts_another_generation(owner, backup_tables):
    decision = claims.claim(owner, make_claim(runner="entry-3"), 0.0)
    epoch = confirm(owner, backup_tables, decision).runner_epoch
    journal.append(owner, make_entry(epoch), 1.0)
    backup_tables.peers.rows["entry-1"].state = PeerState.DEAD
    slots.take_over(backup_tables, 2.0)
    msg = make_claim(2, "g2", "entry-2", lost_epoch=epoch, slot_epoch=3)
    answer = claims.claim(backup_tables, msg, 3.0)
    assert (answer.generation, answer.tokens) == ("g2", [])
    assert answer.runner_epoch > epoch


def test_sealed_try_cannot_run_but_higher_one_can(owner, backup_tables):
    sealed = confirm(
        owner, backup_tables, claims.seal(owner, make_seal(), OVERLOADED, 0.0)
    )
    assert sealed.failure.verdict == Verdict.NOT_RUN
    late = claims.claim(owner, make_claim(), 1.0)
    assert late.failure == to_wire_failure(OVERLOADED)
    decision = claims.claim(owner, make_claim(2, "g2", try_no=2), 2.0)
    assert isinstance(confirm(owner, backup_tables, decision), wire.Granted)
    late = claims.claim(owner, make_claim(3, "g3", "entry-3"), 3.0)
    assert late.failure == to_wire_failure(OVERLOADED)


def test_seal_of_known_request_attaches(tables):
    claims.claim(tables, make_claim(), 0.0)
    answer = claims.seal(tables, make_seal(), OVERLOADED, 1.0)
    assert isinstance(answer, wire.Attached)


def test_seal_without_backup_may_have_run(owner, backup_tables):
    decision = claims.seal(owner, make_seal(), OVERLOADED, 0.0)
    assert isinstance(confirm(owner, backup_tables, decision, lost=True), wire.Moved)
    owner.peers.rows["entry-2"].state = PeerState.DEAD
    answer = claims.seal(owner, make_seal(), OVERLOADED, 0.0)
    assert answer.failure.verdict == Verdict.MAY_HAVE_RUN


def test_seal_after_takeover_may_have_run_for_idempotent_work(backup_tables):
    backup_tables.peers.rows["entry-1"].state = PeerState.DEAD
    slots.take_over(backup_tables, 0.0)
    slots.apply_entry(backup_tables, 0, SlotEntry("entry-2", "", 4), 1.0)
    msg = make_seal(slot_epoch=4)
    answer = claims.seal(backup_tables, msg, OVERLOADED, 2.0)
    assert answer.failure.verdict == Verdict.MAY_HAVE_RUN
    answer = claims.seal(backup_tables, msg, OVERLOADED, 2.0 + slots.RETENTION_S)
    assert answer.failure.verdict == Verdict.NOT_RUN


def test_owner_of_lost_records_does_not_run_unknown_work():
    tables = make_tables("entry-3", SlotEntry("entry-1", "entry-2", 2))
    entry = SlotEntry("entry-3", "", 4, 4, 4)
    slots.apply_entry(tables, 0, entry, 0.0)
    msg = make_claim(idempotent=False, slot_epoch=4)
    answer = claims.claim(tables, msg, slots.RETENTION_S - 1.0)
    assert (answer.failure.code, answer.failure.verdict) == (
        ErrorCode.RETENTION,
        Verdict.MAY_HAVE_RUN,
    )
    answer = claims.claim(tables, msg, slots.RETENTION_S + 1.0)
    assert isinstance(answer, wire.Granted)


@pytest.mark.parametrize(
    ("idempotent", "window_s"),
    [(True, slots.IDEMPOTENT_RETENTION_S), (False, slots.RETENTION_S)],
)
def test_owner_of_lost_records_waits_for_late_copies(idempotent, window_s):
    tables = make_tables("entry-3", SlotEntry("entry-1", "entry-2", 2))
    slots.apply_entry(tables, 0, SlotEntry("entry-3", "", 4, 4, 4), 0.0)
    msg = make_claim(idempotent=idempotent, slot_epoch=4)
    answer = claims.claim(tables, msg, window_s - 1.0)
    assert answer.failure.code == ErrorCode.RETENTION
    assert answer.failure.retry_after_s == pytest.approx(1.0)
    assert isinstance(claims.claim(tables, msg, window_s + 1.0), wire.Granted)


def make_end(epoch):
    return wire.End(7, "norte", "k", epoch, to_wire_failure(OVERLOADED))


def test_runner_failure_is_not_run_only_from_first_runner(tables):
    first = claims.claim(tables, make_claim(), 0.0).runner_epoch
    msg = make_claim(2, "g2", "entry-3", lost_epoch=first)
    second = claims.claim(tables, msg, 1.0).runner_epoch
    assert claims.end(tables, make_end(first), OVERLOADED, 2.0).failure is None
    ended = claims.end(tables, make_end(second), OVERLOADED, 2.0)
    assert ended.failure.verdict == Verdict.MAY_HAVE_RUN
    again = claims.claim(tables, make_claim(4, "g4"), 3.0)
    assert again.failure.verdict == Verdict.MAY_HAVE_RUN
