"""Tests of the detection of contents that crash their targets."""

from __future__ import annotations

import pytest

from turmericflow.systems import crashers
from turmericflow.tables import CrashSuspectTable, Loss


@pytest.fixture
def table():
    return CrashSuspectTable()


def lose(table, target, at, *contents):
    crashers.record_loss(table, Loss(target, at), list(contents), at)


def test_third_loss_convicts(table):
    for number in range(3):
        assert not crashers.is_convicted(table, "bad", number * 5.0)
        lose(table, f"e{number}", number * 5.0, "bad", f"neighbour-{number}")
    assert crashers.is_convicted(table, "bad", 11.0)
    assert not any(
        crashers.is_convicted(table, f"neighbour-{number}", 11.0) for number in range(3)
    )


def test_reports_of_one_loss_count_once(table):
    lose(table, "e1", 1.0, "a")
    lose(table, "e1", 1.2, "a")
    assert crashers.loss_count(table, "a", 2.0) == 1


def test_answered_content_is_cleared(table):
    lose(table, "e1", 1.0, "a")
    crashers.clear(table, "a", 2.0)
    assert crashers.loss_count(table, "a", 2.0) == 0
    assert crashers.held_until(table, "a", 2.0) == 2.0


def test_losses_far_apart_do_not_convict(table):
    for number in range(6):
        lose(table, f"e{number}", number * crashers.SUSPICION_S, "a")
    assert not crashers.is_convicted(table, "a", 6 * crashers.SUSPICION_S)


def test_conviction_expires(table):
    for number in range(3):
        lose(table, f"e{number}", number * 5.0, "bad")
    later = 11.0 + crashers.CONVICTION_S
    crashers.expire(table, later)
    assert not crashers.is_convicted(table, "bad", later)
    assert table.rows == {}


def test_copies_of_a_suspect_are_held_back(table):
    lose(table, "e1", 1.0, "a")
    assert crashers.held_until(table, "a", 1.5) > 1.5
    assert crashers.held_until(table, "other", 1.5) == 1.5


def test_suspects_are_kept_apart(table):
    lose(table, "e1", 1.0, "a", "b")
    running = {"e2": ["b"], "e3": ["c"]}
    assert crashers.targets_to_avoid(table, running, ["e2", "e3"], "a", 1.5) == {"e2"}
    assert (
        crashers.targets_to_avoid(table, running, ["e2", "e3"], "c", 1.5) == frozenset()
    )
    assert crashers.targets_to_avoid(table, running, ["e2"], "a", 1.5) == frozenset()


def test_twice_lost_suspects_get_a_target_each(table):
    for at, target in ((1.0, "e1"), (5.0, "e2")):
        lose(table, target, at, "a", "b", "c")
    reserved = [
        crashers.reserved_target(table, name, ["e4", "e3"], 6.0)
        for name in ("a", "b", "c")
    ]
    assert reserved == ["e3", "e4", None]


def test_only_the_crashing_content_is_convicted(table):
    """Resume the contents of lost targets by the rules until one is convicted."""
    contents = [f"bystander-{number}" for number in range(20)] + ["bad"]
    targets = [f"e{number}" for number in range(8)]
    running = {"e0": list(contents)}
    now = 0.0
    for loss in range(crashers.LOSSES_TO_CONVICT):
        now += 5.0
        lost = next(name for name, found in running.items() if "bad" in found)
        moved = running.pop(lost)
        targets.remove(lost)
        lose(table, lost, now, *moved)
        for content in moved:
            if crashers.is_convicted(table, content, now):
                continue
            if crashers.loss_count(table, content, now) > 1:
                target = (
                    crashers.reserved_target(table, content, targets, now) or targets[0]
                )
            else:
                avoid = crashers.targets_to_avoid(table, running, targets, content, now)
                target = next(name for name in targets if name not in avoid)
            running.setdefault(target, []).append(content)
    convicted = [each for each in contents if crashers.is_convicted(table, each, now)]
    assert convicted == ["bad"]
