"""Tests of the limit on open hedges."""

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


def hedge_all(table, load):
    """Hedge all streams that may be hedged; return them."""
    silent = [row for row in rows(table) if not row.hedged]
    return [
        row for row in silent if hedging.try_acquire(table, load.wasted_hedges, row)
    ]


def test_initial_hedges_are_limited_by_the_budget(table, load):
    assert len(hedge_all(table, load)) == budgets.MAX_WASTED_HEDGE_TOKENS
    assert not hedge_all(table, load)


def test_streams_of_a_lost_target_are_all_resumed_in_a_few_rounds(table, load):
    rounds = 0
    while found := hedge_all(table, load):
        rounds += 1
        for row in found:
            hedging.on_won(table, row)
            detection.close_stream(table, row)
    assert not rows(table)
    assert rounds <= 4


def test_wasted_hedges_stop_hedging_until_the_budget_refills(table, load):
    for row in hedge_all(table, load):
        hedging.on_wasted(table, load.wasted_hedges, row)
    assert not hedge_all(table, load)
    budgets.earn_by_time(load, 1.01 / budgets.WASTED_HEDGES_PER_S)
    assert len(hedge_all(table, load)) == 1


def test_released_hedge_is_freed_once(table, load):
    first = hedge_all(table, load)[0]
    hedging.release(table, first)
    hedging.release(table, first)
    hedging.on_won(table, first)
    assert len(hedge_all(table, load)) == 1


@given(st.lists(st.booleans(), max_size=300))
def test_wasted_hedges_stay_within_the_budget(outcomes):
    """In any order of wins, no more are wasted than the budget and the wins allow."""
    table, load = make_table(), LoadTable()
    budgets.fill(load)
    wasted = won = 0
    for has_won in outcomes:
        row = next(row for row in rows(table) if not row.hedged)
        if not hedging.try_acquire(table, load.wasted_hedges, row):
            break
        if has_won:
            hedging.on_won(table, row)
            won += 1
        else:
            hedging.on_wasted(table, load.wasted_hedges, row)
            wasted += 1
    assert wasted <= budgets.MAX_WASTED_HEDGE_TOKENS + won
