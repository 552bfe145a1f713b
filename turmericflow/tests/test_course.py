"""Tests of a request's attempts: whose tokens are recorded as whose."""

from __future__ import annotations

import pytest

from turmericflow.profile import Profile, Urgency
from turmericflow.services._answer import event_id
from turmericflow.services._course import Attempt, Course
from turmericflow.tables import RequestId, RequestRow, StreamRow, Target, TargetKind

KEY = RequestId("norte", "k")
FIRST, HEDGE = 2001, 2002


def make_attempt(number, next_index):
    name = f"redactor-{number}"
    stream = StreamRow(KEY, number, name, Urgency.URGENT, 0.0, 0.0, 0, 0.0)
    target = Target(name, TargetKind.ENGINE, "redactor", "north", None)
    return Attempt(number, target, next_index, stream)


@pytest.fixture
def course():
    row = RequestRow(KEY, Profile("p", "redactor"), "g", 2, b"{}", "p", 9, 0.0)
    return Course(row, "content")


@pytest.fixture
def first(course):
    attempt = make_attempt(FIRST, 0)
    course.add(attempt)
    course.take(attempt, ["a ", "b "])
    return attempt


@pytest.fixture
def hedge(course, first):
    attempt = make_attempt(HEDGE, 2)
    course.add(attempt)
    return attempt


def attempts_of_events(row):
    ids = (event_id(row, index) for index in range(len(row.tokens)))
    return [int(each.split(".")[1]) for each in ids]


def test_first_token_of_a_hedge_that_wins_is_its_own(course, first, hedge):
    beaten = course.take(hedge, ["c ", "d "])
    assert beaten == [first]
    assert attempts_of_events(course.row) == [FIRST, FIRST, HEDGE, HEDGE]
    assert course.row.target == hedge.target.name


def test_hedge_that_is_left_alone_is_put_in_force(course, first, hedge):
    course.drop(first)
    assert course.take(hedge, ["c "]) == []
    assert attempts_of_events(course.row) == [FIRST, FIRST, HEDGE]
    assert course.row.target == hedge.target.name


def test_attempt_that_speaks_again_beats_its_hedge(course, first, hedge):
    assert course.take(first, ["c "]) == [hedge]
    assert attempts_of_events(course.row) == [FIRST, FIRST, FIRST]
