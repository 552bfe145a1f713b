"""Tests of the limits of targets without I/O: notices, shares, ranks and gossip."""

from __future__ import annotations

import pytest

from benchmarks import target_limits
from turmericflow.relay import (
    LimitAbsent,
    LimitInvalid,
    LimitNamed,
    _discovery as discovery,
    _limited_targets as limited_targets,
    _membership as membership,
    _placement as placement,
)
from turmericflow.relay._rate_limits import (
    MAX_RETRY_AFTER_S,
    LimitedDemand,
    RateLimits,
    share_per_s,
)
from turmericflow.relay._tables import Tables
from turmericflow.tests.test_relay_systems import demand, engine, known_hosts

KEY = "e0@0"
HOSTS = [f"h{number}" for number in range(8)]


@pytest.fixture
def limits() -> RateLimits:
    found = RateLimits("own")
    found.record(KEY, LimitNamed(4.0), 1.0, 1.1)
    return found


@pytest.fixture
def fleet() -> dict[str, Tables]:
    """Return the tables of hosts that know each other and three engines."""
    found = known_hosts(HOSTS)
    for tables in found.values():
        entries = [engine(f"e{n}", f"dc-{n}") for n in range(3)]
        discovery.replace(tables.targets, entries, 1, now=0.0)
    gossip(found, 0.0)
    return found


def gossip(fleet: dict[str, Tables], now: float) -> None:
    """Tell each host the statuses of all others."""
    statuses = [membership.own_status(tables, now) for tables in fleet.values()]
    for tables in fleet.values():
        for status in statuses:
            membership.apply_status(tables, status, now)


# Guards against hosts that together exceed a limit in a partition, or after a change.
@pytest.mark.parametrize("event", ["partition", "loss", "start"])
@pytest.mark.parametrize("limit", [0.5, 2.3, 40.0])
@pytest.mark.parametrize("hosts", [7, 76, 300])
def test_hosts_with_late_views_keep_a_limit(hosts: int, limit: float, event: str):
    per_s = max(5 * limit, float(hosts))
    (outcome,) = target_limits.simulate(hosts, limit, event, per_s, [hosts])
    assert outcome.worst <= target_limits.allowed(limit)


@pytest.mark.parametrize("hosts", [7, 76])
def test_most_of_a_limit_is_used_when_demand_is_far_over_it(hosts: int):
    (outcome,) = target_limits.simulate(hosts, 2.3, "none", 4.0 * hosts, [1])
    assert outcome.used > 0.7


@pytest.mark.parametrize("rate", [0.0, 0.5, 2.3, 40.0])
def test_shares_add_up_to_at_most_the_limit(rate: float):
    def total(live: list[str], known: int) -> float:
        return sum(share_per_s(KEY, rate, name, live, known) for name in live)

    assert total(HOSTS, 8) == pytest.approx(max(rate, 0.05))
    sides = total(HOSTS[:3], 8) + total(HOSTS[3:], 8)
    assert sides == pytest.approx(max(rate, 0.05))


def test_a_lower_limit_holds_at_once(limits: RateLimits):
    assert limits.record(KEY, LimitNamed(2.0), 0.5, 1.2)
    assert limits.find(KEY).rate == 2.0


@pytest.mark.parametrize("notice", [LimitNamed(9.0), LimitAbsent()])
def test_an_answer_that_was_overtaken_neither_raises_nor_ends_a_limit(
    limits: RateLimits, notice
):
    assert not limits.record(KEY, notice, 1.0, 1.2)
    assert limits.find(KEY).rate == 4.0
    assert limits.record(KEY, notice, 1.15, 1.3)
    found = limits.find(KEY)
    assert (found and found.rate) == getattr(notice, "rate", None)


def test_an_invalid_limit_changes_nothing(limits: RateLimits):
    assert not limits.record(KEY, LimitInvalid("x"), 2.0, 2.1)
    assert limits.find(KEY).rate == 4.0


def test_a_restarted_target_has_named_no_limit(limits: RateLimits):
    assert limits.find("e0@1") is None


def test_other_hosts_learn_of_a_limit_and_of_its_end(fleet: dict[str, Tables]):
    first, second = fleet["h0"].rate_limits, fleet["h1"].rate_limits
    first.record(KEY, LimitNamed(2.0), 1.0, 1.1)
    gossip(fleet, 1.2)
    assert all(t.rate_limits.find(KEY).rate == 2.0 for t in fleet.values())
    second.record(KEY, LimitAbsent(), 1.3, 1.4)
    gossip(fleet, 1.45)
    assert all(t.rate_limits.find(KEY) is None for t in fleet.values())
    gossip(fleet, 1.5)
    assert all(t.rate_limits.find(KEY) is None for t in fleet.values())


def test_a_target_whose_limit_is_used_up_is_no_candidate(fleet: dict[str, Tables]):
    tables = fleet["h0"]
    tables.rate_limits.record(KEY, LimitNamed(4.0), 1.0, 1.1)
    target = tables.targets.rows[KEY]
    for _ in range(2):
        limited_targets.take_token(tables, target, 1.2)
    found = limited_targets.constrain(tables, demand(), 1.2)
    assert KEY in found.excluded_targets
    assert target.failures == 0 and target.backoff_until == 0.0
    assert not limited_targets.only_limited_left(tables, demand())


def test_other_targets_are_used_first_while_they_are_idle(fleet: dict[str, Tables]):
    tables = fleet["h0"]
    marked = demand(limited_targets=frozenset([KEY]))
    target, other = tables.targets.rows[KEY], tables.targets.rows["e1@0"]
    plain = placement.cost(target, demand(), 1.0)
    assert placement.cost(target, marked, 1.0) > plain
    assert placement.cost(other, marked, 1.0) == placement.cost(other, demand(), 1.0)


def test_requests_of_low_rank_get_what_higher_ranks_leave():
    found = LimitedDemand()
    for number in range(8):
        assert found.admits(0, 2.0, number * 0.1)
        found.record_sent(0, number * 0.1)
    assert not found.admits(5, 2.0, 1.0)
    assert found.admits(5, 2.0, 6.0)


def test_the_wait_of_refused_requests_grows_with_their_number():
    found = LimitedDemand()
    waits = [found.refuse(0, 2.0, 1.0) for _ in range(40)]
    assert waits[0] < 1.0 < waits[9] < waits[-1] == MAX_RETRY_AFTER_S
    assert found.refuse(0, 2.0, 20.0) < 1.0


def test_limits_of_vanished_targets_are_forgotten(limits: RateLimits):
    limits.expire([], 20.0)
    assert limits.find(KEY) is not None
    limits.expire([KEY], 40.0)
    assert limits.find(KEY) is not None
    limits.expire([], 40.0)
    assert limits.find(KEY) is None
