"""Tests of executions: the attempt under which each token is recorded."""

from __future__ import annotations

import pytest

from turmericflow.profile import Profile, Urgency
from turmericflow.services._answer import event_id
from turmericflow.services._execution import Attempt, Execution
from turmericflow.tables import RequestId, RequestRow, StreamRow, Target, TargetKind

KEY = RequestId("norte", "k")
FIRST, HEDGE = 2001, 2002


def make_attempt(number, next_index):
    name = f"redactor-{number}"
    stream = StreamRow(KEY, number, name, Urgency.URGENT, 0.0, 0.0, 0, 0.0)
    target = Target(name, TargetKind.ENGINE, "redactor", "north", None)
    return Attempt(number, target, next_index, stream)


@pytest.fixture
def execution():
    row = RequestRow(KEY, Profile("p", "redactor"), "g", 2, b"{}", "p", 9, 0.0)
    return Execution(row, "content")


@pytest.fixture
def first(execution):
    attempt = make_attempt(FIRST, 0)
    execution.add(attempt)
    execution.add_tokens(attempt, ["a ", "b "])
    return attempt


@pytest.fixture
def hedge(execution, first):
    attempt = make_attempt(HEDGE, 2)
    execution.add(attempt)
    return attempt


def attempts_of_events(row):
    ids = (event_id(row, index) for index in range(len(row.tokens)))
    return [int(each.split(".")[1]) for each in ids]


def test_first_token_of_a_winning_hedge_is_recorded_under_it(execution, first, hedge):
    superseded = execution.add_tokens(hedge, ["c ", "d "])
    assert superseded == [first]
    assert attempts_of_events(execution.row) == [FIRST, FIRST, HEDGE, HEDGE]
    assert execution.row.target == hedge.target.name


def test_last_live_hedge_becomes_current(execution, first, hedge):
    execution.drop(first)
    assert execution.add_tokens(hedge, ["c "]) == []
    assert attempts_of_events(execution.row) == [FIRST, FIRST, HEDGE]
    assert execution.row.target == hedge.target.name


def test_attempt_with_new_output_supersedes_its_hedge(execution, first, hedge):
    assert execution.add_tokens(first, ["c "]) == [hedge]
    assert attempts_of_events(execution.row) == [FIRST, FIRST, FIRST]
