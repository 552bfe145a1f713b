"""Tests of the table of parts that crash targets, without a network."""

from __future__ import annotations

from random import Random

import pytest

from turmericflow.relay import _crashing_parts as crashing_parts
from turmericflow.relay._crashing_parts import CrashingParts, PartCrash, PartTimes


def crash(number: int, *parts: str, content: str = "", at: float = 1.0) -> PartCrash:
    return PartCrash(f"t{number}", content or f"c{number}", parts, at)


def refused(table: CrashingParts, part: str, now: float = 2.0) -> bool:
    return table.find_refused([part], now) is not None


def gossip(source: CrashingParts, receiver: CrashingParts, now: float) -> None:
    receiver.apply_gossip(*source.news(1.0, now), now)


def known_convictions(table: CrashingParts, now: float) -> PartTimes:
    times = PartTimes()
    table.add_convictions(times, now)
    return times


def test_three_crashes_under_two_contents_convict_a_part():
    table = CrashingParts()
    for number in range(3):
        assert not refused(table, "bad")
        table.record_crash(crash(number, "first", "bad", f"own{number}"), 1.0)
        table.record_crash(crash(number, "first", "bad", f"own{number}"), 1.0)
    assert refused(table, "bad") and not refused(table, "first")
    assert table.take_new_convictions() == ["bad"]
    assert table.take_new_convictions() == []


def test_the_attempts_of_one_request_convict_no_part():
    table = CrashingParts()
    for number in range(5):
        table.record_crash(crash(number, "first", "second", content="c"), 1.0)
    assert not refused(table, "first") and not refused(table, "second")


@pytest.mark.parametrize("position", range(3))
def test_a_part_is_convicted_wherever_it_stands(position: int):
    table = CrashingParts()
    for number in range(3):
        parts = [f"own{number}", f"other{number}"]
        parts.insert(position, "bad")
        table.record_crash(crash(number, *parts), 1.0)
    assert table.take_new_convictions() == ["bad"]


# Guards against a refusal of a part that sound requests share.
def test_a_part_with_output_is_not_convicted_with_one_without():
    table = CrashingParts()
    table.record_output(["first"], 0.5)
    for number in range(20):
        table.record_crash(crash(number, "bad", "first"), 1.0 + number)
        table.record_output(["first"], 1.5 + number)
    assert table.take_new_convictions() == ["bad"]


def test_a_part_that_had_output_is_convicted_by_five_crashes():
    table = CrashingParts()
    table.record_output(["first", "late"], 0.5)
    for number in range(5):
        assert not refused(table, "late")
        table.record_crash(crash(number, "first", "late"), 1.0 + number)
        table.record_output(["first"], 1.5 + number)
    assert table.take_new_convictions() == ["late"]


def test_output_ends_a_conviction_at_all_hosts():
    table, other = CrashingParts(), CrashingParts()
    for number in range(3):
        table.record_own_crash(crash(number, "part"), 1.0)
    gossip(table, other, 1.1)
    assert refused(table, "part") and refused(other, "part")
    assert other.record_output(["part"], 1.5)
    assert not refused(other, "part")
    gossip(other, table, 1.6)
    assert not refused(table, "part")
    gossip(table, other, 1.7)
    assert not refused(other, "part")


# Guards against a host that has just started and remembers no output.
def test_hosts_that_remember_output_tell_one_that_sees_crashes():
    started, other = CrashingParts(), CrashingParts()
    other.record_output(["first"], 0.5)
    for number in range(2):
        started.record_own_crash(crash(number, "bad", "first"), 1.0)
    gossip(started, other, 1.1)
    gossip(other, started, 1.2)
    started.record_own_crash(crash(2, "bad", "first"), 1.3)
    assert started.take_new_convictions() == ["bad"]


# Guards against a sound part that is refused for good at all hosts, since a host that
# had just started saw it and the crashing one crash alike (review/2).
@pytest.mark.parametrize("flags", [True, False])
@pytest.mark.parametrize("told_at", [1.0, 61.5])
def test_a_host_that_remembers_no_output_has_no_sound_part_refused(
    flags: bool, told_at: float
):
    started, other, third = CrashingParts(), CrashingParts(), CrashingParts()
    other.record_output(["shared"], 0.5)
    for number in range(4):
        started.record_own_crash(crash(number, "bad", "shared"), 1.0)
    assert refused(started, "shared", 1.0)
    crashes, times = started.news(100.0, told_at)
    if not flags:  # as hosts of the earlier version send it
        times = PartTimes(times.sound, times.convicted)
    for table in (other, third):
        table.apply_gossip(crashes, times, told_at)
    assert not refused(other, "shared", told_at)
    now = told_at + 0.1
    for table in (started, third):
        gossip(other, table, now)
        assert not refused(table, "shared", now)
    for table in (started, third):
        gossip(table, other, now)
    assert not refused(other, "shared", now)
    if told_at < crashing_parts.CRASH_RETENTION_S:
        for table in (started, other, third):
            assert refused(table, "bad", now)


def test_a_conviction_after_output_is_taken_by_hosts_that_remember_it():
    table, other = CrashingParts(), CrashingParts()
    for each in (table, other):
        each.record_output(["part"], 0.5)
    for number in range(5):
        table.record_crash(crash(number, "part"), 1.0)
    other.apply_gossip([], known_convictions(table, 1.1), 1.1)
    assert refused(other, "part")
    gossip(other, table, 1.2)
    assert refused(table, "part")


def test_a_conviction_is_taken_without_its_crashes_and_prolonged_by_refusals():
    table, started = CrashingParts(), CrashingParts()
    for number in range(3):
        table.record_crash(crash(number, "bad"), 1.0)
    now = 1.0
    for _ in range(5):
        now += 0.9 * crashing_parts.CONVICTION_S
        assert refused(table, "bad", now)
        assert table.expire(now) == []
    started.apply_gossip([], known_convictions(table, now), now)
    assert refused(started, "bad", now)
    assert table.expire(now + crashing_parts.CONVICTION_S) == ["bad"]


# Guards against convictions of parts that many share when racks of engines die.
@pytest.mark.parametrize("seed", range(20))
def test_lost_racks_convict_no_shared_part(seed: int):
    """Load: thirty engines die at once, each with a request about to write."""
    rng, table = Random(seed), CrashingParts()
    now = 0.0
    for wave in range(10):
        for _ in range(40):
            now += 0.05
            table.record_output(["first", f"tenant{rng.randrange(10)}"], now)
        for number in range(30):
            # One of a hundred and fifty moments of a stream is such a one.
            if rng.random() < 0.05:
                parts = "first", f"tenant{rng.randrange(10)}", f"own{wave}-{number}"
                content = f"c{wave}-{number}"
                table.record_crash(
                    PartCrash(f"t{wave}-{number}", content, parts, now), now
                )
        now += 3.0
    assert table.take_new_convictions() == []


def test_memory_and_messages_are_bounded():
    table = CrashingParts()
    for number in range(5000):
        table.record_output([f"p{number}"], 1.0)
        table.record_own_crash(crash(number, f"q{number % 600}", f"r{number}"), 1.0)
    table.apply_gossip([], PartTimes([], [(f"s{n}", 0.1) for n in range(5000)]), 1.0)
    assert len(table._sound_at) <= crashing_parts.MAX_SOUND_PARTS
    assert len(table._crashes) <= crashing_parts.MAX_CRASHES
    assert len(table._convicted_at) <= crashing_parts.MAX_CONVICTIONS
    assert len(table._refused_until) == len(table._convicted_at)
    crashes, times = table.news(1.0, 1.5)
    assert len(crashes) <= crashing_parts.MAX_GOSSIPED_CRASHES
    assert len(times.sound) <= crashing_parts.MAX_GOSSIPED_PARTS
    assert len(times.convicted) <= crashing_parts.MAX_GOSSIPED_PARTS
