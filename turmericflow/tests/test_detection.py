"""Tests of the failure detector for targets."""

from __future__ import annotations

import pytest

from turmericflow.profile import Urgency
from turmericflow.systems import detection, resume
from turmericflow.tables import RequestId, StreamRow, StreamTable, TargetTable

STEP_S = 0.02


@pytest.fixture
def table():
    return StreamTable()


def open_streams(table, number, urgency=Urgency.URGENT, target="e1", prefill_s=0.0):
    rows = []
    for index in range(number):
        request_id = RequestId("norte", f"{target}-{urgency}-{index}")
        row = StreamRow(request_id, 1, target, urgency, 0.0, prefill_s, 500, 0.0)
        detection.open_stream(table, row)
        rows.append(row)
    return rows


def send_output(table, rows, start, end, step_s=STEP_S):
    """Send output on streams at each step; return the time of the last output."""
    now = start
    while now < end:
        for row in rows:
            detection.on_output(table.targets[row.target], row, 1, now)
        now += step_s
    return now - step_s


def first_suspicion(table, start, until, targets=None):
    """Return the delay of the first suspicion in seconds, and those found then."""
    now = start
    while now < until:
        found = detection.find_silent_streams(
            table, targets or TargetTable(), now, True
        )
        if found:
            return now - start, found
        now += 0.01
    return None, []


def test_live_engine_is_never_suspected(table):
    rows = open_streams(table, 4)
    now = send_output(table, rows, 0.0, 2.0)
    assert first_suspicion(table, now, now + 5 * STEP_S) == (None, [])


@pytest.mark.parametrize(
    ("urgency", "bound_s"), [(Urgency.URGENT, 0.8), (Urgency.THRIFTY, 2.0)]
)
def test_silent_engine_is_suspected_within_the_bound(table, urgency, bound_s):
    rows = open_streams(table, 2, urgency)
    now = send_output(table, rows, 0.0, 2.0)
    delay_s, found = first_suspicion(table, now, now + 10)
    assert delay_s < bound_s
    assert {each.fault for each in found} == {detection.Fault.TARGET}
    assert len(found) == 2


def test_urgent_work_is_resumed_before_thrifty(table):
    urgent = open_streams(table, 1, Urgency.URGENT)
    thrifty = open_streams(table, 1, Urgency.THRIFTY)
    now = send_output(table, urgent + thrifty, 0.0, 2.0)
    _, found = first_suspicion(table, now, now + 10)
    assert [each.stream for each in found] == urgent


def test_more_silent_streams_are_suspected_sooner(table):
    few = open_streams(table, 1, target="e1")
    many = open_streams(table, 16, target="e2")
    now = send_output(table, few + many, 0.0, 2.0)
    _, found = first_suspicion(table, now, now + 10)
    assert {each.stream.target for each in found} == {"e2"}


def test_gaps_learned_under_load_delay_suspicion(table):
    steady = open_streams(table, 2, target="e1")
    loaded = open_streams(table, 2, target="e2")
    now = 0.0
    for number in range(61):
        now = number * 0.1
        send_output(table, steady, now, now + 0.1)
        if number % 3 == 0:
            send_output(table, loaded, now, now + 0.01)
    _, found = first_suspicion(table, now, now + 10)
    assert {each.stream.target for each in found} == {"e1"}


def test_one_silent_stream_among_live_ones_is_a_stream_fault(table):
    rows = open_streams(table, 4)
    send_output(table, rows, 0.0, 2.0)
    now = 2.0
    while True:
        send_output(table, rows[1:], now, now + STEP_S / 2)
        found = detection.find_silent_streams(table, TargetTable(), now, True)
        if found:
            break
        now += STEP_S
        assert now < 10
    assert [(each.stream, each.fault) for each in found] == [
        (rows[0], detection.Fault.STREAM)
    ]


def test_prefill_is_not_silence(table):
    rows = open_streams(table, 1, prefill_s=3.0)
    assert first_suspicion(table, 0.0, 3.0)[0] is None
    assert first_suspicion(table, 3.0, 30.0)[0] is not None
    assert rows[0].suspected


def test_silence_is_reported_once(table):
    rows = open_streams(table, 1)
    now = send_output(table, rows, 0.0, 2.0)
    _, found = first_suspicion(table, now, now + 10)
    assert len(found) == 1
    assert detection.find_silent_streams(table, TargetTable(), now + 20, True) == []


def silence_to_resume_s(prefill_s, urgency):
    """Return the silence in seconds after which one stream is resumed."""
    weight = resume.LATENESS_WEIGHT[urgency]
    silence_s = 0.0
    while not resume.should_resume(
        resume.Silence(silence_s, STEP_S, 0.01, 1), prefill_s, weight
    ):
        silence_s += 0.01
    return silence_s


@pytest.mark.parametrize("urgency", list(Urgency))
def test_longer_prefill_needs_longer_silence(urgency):
    assert silence_to_resume_s(0.02, urgency) < silence_to_resume_s(0.25, urgency)
