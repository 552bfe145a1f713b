"""Tests of the hedge delay of calls to plain services."""

from __future__ import annotations

import pytest

from turmericflow.profile import Profile, ProfileKind, Urgency
from turmericflow.systems import calls, detection
from turmericflow.tables import RequestId, StreamRow, StreamTable, TargetTable

PROOF = Profile("proof", "proofs", ProfileKind.CALL, wait_s=4.0)
BOOKING = Profile("booking", "booking-desk", ProfileKind.CALL, wait_s=4.0)


@pytest.fixture
def table():
    return StreamTable()


def open_call(table, profile):
    request_id = RequestId("academy", "call")
    row = StreamRow(request_id, 1, "desk-0", Urgency.NORMAL, 0.0, 0.0, 1, 0.0)
    row.call_hedge_delay_s = calls.hedge_delay_s(table, profile)
    detection.open_stream(table, row)
    return row


def scan(table, now):
    return detection.find_silent_streams(table, TargetTable(), now, True)


def test_first_call_is_hedged_after_half_of_the_wait(table):
    row = open_call(table, BOOKING)
    assert scan(table, 1.9) == []
    found = scan(table, 2.1)
    assert [(each.stream, each.fault) for each in found] == [
        (row, detection.Fault.STREAM)
    ]


def test_answered_call_is_not_hedged(table):
    row = open_call(table, BOOKING)
    detection.on_output(table.targets["desk-0"], row, 1, 1.0)
    assert scan(table, 9.0) == []


def test_hedge_delay_follows_the_profile(table):
    for _ in range(50):
        calls.record_duration(table, BOOKING, 0.02)
        calls.record_duration(table, PROOF, 3.0)
    assert calls.hedge_delay_s(table, BOOKING) < 0.5
    assert 3.0 < calls.hedge_delay_s(table, PROOF) < 3.5


def test_hedge_delay_adapts_to_longer_calls(table):
    for _ in range(50):
        calls.record_duration(table, BOOKING, 0.02)
    calls.record_duration(table, BOOKING, 60.0)
    assert calls.hedge_delay_s(table, BOOKING) < 1.0
    for _ in range(50):
        calls.record_duration(table, BOOKING, 2.0)
    assert calls.hedge_delay_s(table, BOOKING) > 2.0
