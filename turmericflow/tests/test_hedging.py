"""Tests of how many second attempts may be in doubt at once."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies as st

from turmericflow.profile import Urgency
from turmericflow.systems import budgets, detection, hedging
from turmericflow.tables import LoadTable, RequestId, StreamRow, StreamTable

STREAMS = 200


@pytest.fixture
def load():
    table = LoadTable()
    budgets.fill(table)
    return table


@pytest.fixture
def table():
    return make_table()


def make_table():
    table = StreamTable()
    for number in range(STREAMS):
        request_id = RequestId("norte", str(number))
        row = StreamRow(request_id, 1, "redactor-1", Urgency.URGENT, 0.0, 0.0, 1, 0.0)
        detection.open_stream(table, row)
    return table


def rows(table):
    return list(table.targets["redactor-1"].rows.values())


def allow_all(table, load):
    """Return the streams whose second attempts are allowed now."""
    silent = [row for row in rows(table) if not row.hedged]
    return [row for row in silent if hedging.try_acquire(table, load.needless, row)]


def test_first_second_attempts_are_as_many_as_may_be_needless(table, load):
    assert len(allow_all(table, load)) == budgets.MAX_WASTED_HEDGE_TOKENS
    assert not allow_all(table, load)


def test_streams_of_a_lost_target_are_all_resumed_in_a_few_rounds(table, load):
    rounds = 0
    while found := allow_all(table, load):
        rounds += 1
        for row in found:
            hedging.on_won(table, row)
            detection.close_stream(table, row)
    assert not rows(table)
    assert rounds <= 4


def test_false_alarms_end_second_attempts_until_some_are_earned(table, load):
    for row in allow_all(table, load):
        hedging.on_wasted(table, load.needless, row)
    assert not allow_all(table, load)
    budgets.earn_by_time(load, 1.01 / budgets.WASTED_HEDGES_PER_S)
    assert len(allow_all(table, load)) == 1


def test_settled_stream_frees_its_place_once(table, load):
    first = allow_all(table, load)[0]
    hedging.release(table, first)
    hedging.release(table, first)
    hedging.on_won(table, first)
    assert len(allow_all(table, load)) == 1


@given(st.lists(st.booleans(), max_size=300))
def test_needless_attempts_keep_to_their_budget(answers):
    """Whatever the order, no more are needless than the budget and its growth."""
    table, load = make_table(), LoadTable()
    budgets.fill(load)
    needless = needed = 0
    for was_needed in answers:
        row = next(row for row in rows(table) if not row.hedged)
        if not hedging.try_acquire(table, load.needless, row):
            break
        if was_needed:
            hedging.on_won(table, row)
            needed += 1
        else:
            hedging.on_wasted(table, load.needless, row)
            needless += 1
    assert needless <= budgets.MAX_WASTED_HEDGE_TOKENS + needed
