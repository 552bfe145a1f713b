"""Tests of the owner's decisions."""

from __future__ import annotations

import pytest

from turmericflow import wire
from turmericflow.systems import claims
from turmericflow.tables import SlotEntry, Tables


@pytest.fixture
def tables():
    tables = Tables("entry-1", "north")
    tables.slots.entries = [SlotEntry("entry-1", "entry-2", 1)]
    return tables


def make_claim(rid=1, generation="g1", runner="entry-2", fingerprint="f", lost=-1):
    return wire.Claim(
        rid,
        "norte",
        "k",
        1,
        fingerprint,
        generation,
        "quotation",
        True,
        runner,
        1,
        lost,
        b"{}",
    )


def make_entry(epoch=1, start=0, texts=("a ",), complete=False):
    return wire.AppendEntry("norte", "k", epoch, start, list(texts), [], complete)


def test_second_claim_attaches_to_runner(tables):
    claims.claim(tables, make_claim(), 0.0)
    answer = claims.claim(tables, make_claim(2, "g2", "entry-3"), 1.0)
    assert answer == wire.Attached(2, "g1", "entry-2", 1)


def test_replaced_runner_cannot_append(tables):
    claims.claim(tables, make_claim(), 0.0)
    granted = claims.claim(tables, make_claim(2, "g2", "entry-3", lost=1), 1.0)
    assert granted.runner_epoch == 2
    assert not claims.append(tables, make_entry(epoch=1), 2.0)
    assert claims.append(tables, make_entry(epoch=2), 2.0)


def test_finished_request_is_recorded(tables):
    claims.claim(tables, make_claim(), 0.0)
    claims.append(tables, make_entry(complete=True), 1.0)
    answer = claims.claim(tables, make_claim(3, "g3", "entry-3"), 2.0)
    assert isinstance(answer, wire.Recorded)
    assert answer.tokens == ["a "]


def test_other_body_under_same_key_is_refused(tables):
    claims.claim(tables, make_claim(), 0.0)
    answer = claims.claim(tables, make_claim(2, fingerprint="other"), 1.0)
    assert answer.failure.code == "key_conflict"


def test_claim_in_another_slot_epoch_is_refused(tables):
    tables.slots.entries = [SlotEntry("entry-1", "entry-2", 2)]
    answer = claims.claim(tables, make_claim(), 0.0)
    assert answer.failure.code == "no_owner"
