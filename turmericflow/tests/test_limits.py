"""Tests of the rate limits that routers share."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import isclose
from random import Random

import pytest

from turmericflow.profile import Customer
from turmericflow.systems import limits
from turmericflow.tables import LoadTable

NORTE = Customer("norte", 1.0, 100.0, 10.0)
STEP_S = 0.01


@dataclass(slots=True)
class Fleet:
    """Load tables of routers, and the sides of a network partition."""

    sides: list[list[str]]
    loads: dict[str, LoadTable] = field(default_factory=dict)
    known: int = 6
    rng: Random = field(default_factory=lambda: Random(5))
    min_allotment_per_s: float = NORTE.rate_per_s

    def load(self, host):
        return self.loads.setdefault(host, LoadTable())

    def exchange_demand(self, now):
        for side in self.sides:
            keeper = limits.keeper_of("norte", side)
            for host in side:
                rate = limits.demands(self.load(host), limits.DEMAND_INTERVAL_S).get(
                    "norte"
                )
                if rate is not None:
                    allotment = limits.allot(
                        self.load(keeper), NORTE, host, rate, set(side), self.known, now
                    )
                    self.min_allotment_per_s = min(self.min_allotment_per_s, allotment)
                    bucket = self.load(host).buckets["norte"]
                    limits.apply_allotment(bucket, allotment, now)

    def run(self, start, seconds, hosts, offered_per_s):
        """Offer requests to some hosts; return how many passed the limit."""
        passed = 0
        for step in range(int(seconds / STEP_S)):
            now = start + step * STEP_S
            if step % int(limits.DEMAND_INTERVAL_S / STEP_S) == 0:
                self.exchange_demand(now)
            for host in hosts:
                if self.rng.random() < offered_per_s * STEP_S / len(hosts):
                    passed += not limits.take_token(
                        self.load(host), NORTE, self.known, now
                    )
        return passed


HOSTS = [f"entry-{number}" for number in range(6)]


def bound(seconds, changes=0):
    """Return the maximum: the limit, one burst and an allotment lifetime per change."""
    lifetime_s = limits.ALLOTMENT_S + limits.DEMAND_INTERVAL_S
    return (
        NORTE.rate_per_s * (seconds + lifetime_s * changes) + NORTE.burst + len(HOSTS)
    )


def test_limit_holds_and_is_fully_used_with_demand_at_all_routers():
    fleet = Fleet([HOSTS])
    fleet.run(0.0, 5.0, HOSTS, 300.0)
    passed = fleet.run(5.0, 10.0, HOSTS, 300.0)
    assert 0.9 * NORTE.rate_per_s * 10 <= passed <= bound(10.0)


def test_demand_at_one_router_gets_most_of_the_limit():
    fleet = Fleet([HOSTS])
    fleet.run(0.0, 5.0, HOSTS[:1], 300.0)
    assert fleet.run(5.0, 10.0, HOSTS[:1], 300.0) >= 0.8 * NORTE.rate_per_s * 10


@pytest.mark.parametrize("cut", [1, 3])
def test_sides_of_a_partition_keep_to_the_limit_together(cut):
    fleet = Fleet([HOSTS])
    fleet.run(0.0, 5.0, HOSTS, 300.0)
    fleet.sides = [HOSTS[:cut], HOSTS[cut:]]
    assert fleet.run(5.0, 20.0, HOSTS, 600.0) <= bound(20.0, 1)
    fleet.sides = [HOSTS]
    assert fleet.run(25.0, 10.0, HOSTS, 600.0) <= bound(10.0, 1)


def test_loss_and_return_of_a_keeper_cost_one_allotment_lifetime_each():
    fleet = Fleet([HOSTS])
    fleet.run(0.0, 5.0, HOSTS, 600.0)
    keeper = limits.keeper_of("norte", HOSTS)
    rest = [host for host in HOSTS if host != keeper]
    fleet.sides = [rest]
    assert fleet.run(5.0, 10.0, rest, 600.0) <= bound(10.0, 1)
    fleet.sides, fleet.loads[keeper] = [HOSTS], LoadTable()
    assert fleet.run(15.0, 10.0, HOSTS, 600.0) <= bound(10.0, 1)


@pytest.mark.parametrize("away_s", [0.5, 1.0, 3.0])
def test_rolling_restart_leaves_no_router_without_an_allotment(away_s):
    fleet = Fleet([HOSTS])
    fleet.run(0.0, 5.0, HOSTS, 60.0)
    now = 5.0
    for host in HOSTS:
        rest = [other for other in HOSTS if other != host]
        fleet.sides = [rest]
        passed = fleet.run(now, away_s, rest, 600.0)
        fleet.sides, fleet.loads[host] = [HOSTS], LoadTable()
        passed += fleet.run(now + away_s, 3.0, HOSTS, 600.0)
        now += away_s + 3.0
        assert passed <= bound(away_s + 3.0, 2)
    equal = NORTE.rate_per_s / len(HOSTS)
    least = limits.MIN_ALLOTMENT_SHARE * equal
    assert fleet.min_allotment_per_s >= least or isclose(
        fleet.min_allotment_per_s, least
    )


def test_router_without_its_keeper_uses_an_equal_part():
    load = LoadTable()
    steps = range(2000)
    passed = sum(not limits.take_token(load, NORTE, 5, step * STEP_S) for step in steps)
    equal = NORTE.rate_per_s / 5 * 20
    assert 0.95 * equal <= passed <= equal + NORTE.burst


def test_refusal_gives_the_time_until_the_next_allowed_request():
    load = LoadTable()
    while not (wait := limits.take_token(load, NORTE, 1, 0.0)):
        pass
    assert limits.take_token(load, NORTE, 1, wait + 1e-6) == 0.0
