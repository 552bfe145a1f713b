"""Tests of the load balancing policies, and of the worked example of Leino (2007)."""

from __future__ import annotations

from random import Random

import pytest

from benchmarks import dps
from turmericflow.systems import estimates, policies, prefixes
from turmericflow.testing import make_tables, make_work


def paper_mean_length(capacity, weights, arrivals, rates):
    """Return the paper's closed form of the mean length for two classes."""
    (w1, w2), (l1, l2), (m1, m2) = weights, arrivals, rates
    r1, r2 = l1 / m1, l2 / m2
    below = (capacity - r1 - r2) * (
        w1 / m1 * (capacity - r1) + w2 / m2 * (capacity - r2)
    )
    first = w1 * (capacity * (l1 + r2 * m1) - l1 * r1 + r1 * r2 * (m2 - 2 * m1))
    second = w2 * (capacity * (l2 + r1 * m2) - l2 * r2 + r2 * r1 * (m1 - 2 * m2))
    return first / below / m1 + second / below / m2


@pytest.mark.parametrize("rates", [(1.0, 1.0), (3.0, 3.0)])
def test_equal_weights_and_rates_give_the_known_mean(rates):
    station = policies.Station(2.0, (1.0, 1.0), (0.4, 0.6), rates)
    load = 1.0 / rates[0] / 2.0
    found = policies.relative_values(station).mean_length
    assert found == pytest.approx(load / (1 - load))


def test_relative_values_solve_states_they_were_not_fitted_to():
    station = policies.Station(1.5, (9.0, 1.0), (3.0, 0.5), (10.0, 2.0))
    values = policies.relative_values(station)
    for state in ([7, 2], [0, 9], [11, 13]):
        weighted = sum(w * x for w, x in zip(station.weights, state))
        total = sum(state) - values.mean_length
        for k in range(2):
            total += station.arrivals[k] * values.cost(state, k)
            less = list(state)
            less[k] -= 1
            if state[k]:
                share = station.weights[k] * state[k] / weighted
                rate = station.rates[k] * station.capacity * share
                total -= rate * values.cost(less, k)
        assert total == pytest.approx(0.0, abs=1e-6)


def test_orderings_of_the_papers_example_at_a_middle_load():
    found = dps.lengths(0.5, 3)
    heuristics = [found[name] for name in ("sq", "lew", "mc")]
    assert found["static"] > max(heuristics)
    assert found["sq"] == min(heuristics)
    assert found["fpi"] < found["sq"]


def test_unknown_policy_is_named():
    with pytest.raises(ValueError, match="got 'best', expected one of"):
        policies.policy_of("best")


def choose(tables, work, now=1.0, seed=1):
    targets = list(tables.targets.rows.values())
    rng = Random(seed)
    return policies.choose(
        policies.LeastEstimatedTime(), tables.load, targets, work, now, rng
    )


def test_target_with_cached_prefix_is_chosen_until_it_is_loaded():
    tables = make_tables(2, 16)
    blocks = prefixes.block_names([f"w{number}" for number in range(1600)])
    work = make_work(prompt_tokens=1600, blocks=blocks)
    prefixes.expect_blocks(tables.load, "redactor-0", blocks, 0.5)
    assert choose(tables, work).name == "redactor-0"
    estimates.change_in_flight(tables.targets.rows["redactor-0"], 15, 0.9)
    assert choose(tables, work).name == "redactor-1"


def test_unreported_arrivals_spread_choices_despite_equal_reports():
    tables = make_tables(4, 16)
    for number, row in enumerate(tables.targets.rows.values()):
        estimates.change_in_flight(row, 2 * (number > 0), 0.5)
    picks = {choose(tables, make_work(), seed=seed).name for seed in range(20)}
    assert picks == {"redactor-0"}
    for row in tables.targets.rows.values():
        row.peer_sends_per_s = 50.0
    picks = {choose(tables, make_work(), seed=seed).name for seed in range(20)}
    assert len(picks) == 4
