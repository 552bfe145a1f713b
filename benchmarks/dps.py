"""Checks the paper's policies against its own worked example.

Two servers with discriminatory processor sharing, two classes, Poisson arrivals
and exponential work (Leino, 2007, section 5).  The mean number of customers is
solved from the Howard equations of the truncated chain, with the values outside
extrapolated by a quadratic.
"""

from __future__ import annotations

import argparse
import functools
import itertools
import json
import sys
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from turmericflow.systems import policies

CAPACITIES = (3 / 2, 2 / 3)
WEIGHTS = ((9.0, 1.0), (1.0, 9.0))
RATES = (10.0, 2.0)
RATIO = 5.0
CLASSES = (0, 1)
SERVERS = (0, 1)
TRUNCATION = 6
LOADS = (0.1, 0.3, 0.5, 0.7, 0.9)
GRID = 9
REFINEMENTS = 6

State = tuple[int, int, int, int]
Route = Callable[[State, int], int]


@dataclass(slots=True, frozen=True)
class Example:
    """The example at one load."""

    load: float

    @property
    def arrivals(self) -> tuple[float, float]:
        """Arrivals of each class."""
        second = self.load * sum(CAPACITIES) / (RATIO / RATES[0] + 1 / RATES[1])
        return RATIO * second, second

    def station(self, server: int, shares: tuple[float, float]) -> policies.Station:
        """Return a server that gets a share of each class."""
        arrivals = tuple(a * s for a, s in zip(self.arrivals, shares))
        return policies.Station(CAPACITIES[server], WEIGHTS[server], arrivals, RATES)


def _at(state: State, server: int) -> list[int]:
    return list(state[2 * server : 2 * server + 2])


def _moved(state: State, server: int, number: int, change: int) -> State:
    moved = list(state)
    moved[2 * server + number] += change
    return tuple(moved)


def _best(costs: list[float]) -> int:
    """Return the server of least cost, of equals the one of larger capacity."""
    return min(SERVERS, key=lambda s: (round(costs[s], 9), -CAPACITIES[s]))


def shortest_queue(state: State, number: int) -> int:
    """Route to the server with the fewest customers."""
    return _best([float(sum(_at(state, server))) for server in SERVERS])


def least_work(state: State, number: int) -> int:
    """Route to the server with the least expected work for its capacity."""
    costs = []
    for server in SERVERS:
        work = sum(x / rate for x, rate in zip(_at(state, server), RATES))
        costs.append(work / CAPACITIES[server])
    return _best(costs)


def largest_share(state: State, number: int) -> int:
    """Route to the server that gives the customer the most capacity now."""
    costs = []
    for server in SERVERS:
        there = _at(_moved(state, server, number, 1), server)
        weighted = sum(w * x for w, x in zip(WEIGHTS[server], there))
        costs.append(-WEIGHTS[server][number] / weighted * CAPACITIES[server])
    return _best(costs)


def _static_length(example: Example, shares: tuple[float, float]) -> float:
    total = 0.0
    for server in SERVERS:
        part = shares if server == 0 else tuple(1 - share for share in shares)
        station = example.station(server, part)
        work = sum(a / r for a, r in zip(station.arrivals, RATES))
        if work >= station.capacity:
            return float("inf")
        if work:
            total += policies.relative_values(station).mean_length
    return total


@functools.cache
def best_static(example: Example) -> tuple[tuple[float, float], float]:
    """Return the best static split and its mean number of customers."""
    low, high = np.zeros(2), np.ones(2)
    best, length = (0.5, 0.5), float("inf")
    for _ in range(REFINEMENTS):
        axes = [np.linspace(a, b, GRID) for a, b in zip(low, high)]
        for shares in itertools.product(*axes):
            found = _static_length(example, shares)
            if found < length:
                best, length = shares, found
        width = (high - low) / (GRID - 1)
        low = np.maximum(0, np.array(best) - width)
        high = np.minimum(1, np.array(best) + width)
    return (float(best[0]), float(best[1])), length


def first_iteration(example: Example) -> Route:
    """Return the policy one iteration after the best static split."""
    shares, _ = best_static(example)
    parts = [shares, tuple(1 - share for share in shares)]
    values = [policies.relative_values(example.station(s, parts[s])) for s in SERVERS]

    def route(state: State, number: int) -> int:
        costs = [values[s].cost(_at(state, s), number) for s in SERVERS]
        return _best(costs)

    return route


def _terms(state: State, number: int, most: int) -> list[tuple[State, float]]:
    """Return states whose values make up that of one more customer."""
    if state[number] < most:
        return [(state[:number] + (state[number] + 1,) + state[number + 1 :], 1.0)]
    return [
        (state[:number] + (most - back,) + state[number + 1 :], factor)
        for back, factor in ((0, 3.0), (1, -3.0), (2, 1.0))
    ]


def mean_length(example: Example, route: Route, most: int = TRUNCATION) -> float:
    """Return the mean number of customers under a policy."""
    states = list(itertools.product(range(most + 1), repeat=4))
    number_of = {state: number for number, state in enumerate(states)}
    rows = np.zeros((len(states), len(states)))
    right = np.zeros(len(states))
    for state, row in zip(states, rows):
        here = number_of[state]
        right[here] = -sum(state)
        for number in CLASSES:
            rate = example.arrivals[number]
            server = route(state, number)
            for other, factor in _terms(state, 2 * server + number, most):
                row[number_of[other]] += rate * factor
            row[here] -= rate
        for server, number in itertools.product(SERVERS, CLASSES):
            there = _at(state, server)
            if not there[number]:
                continue
            weighted = sum(w * x for w, x in zip(WEIGHTS[server], there))
            share = WEIGHTS[server][number] * there[number] / weighted
            rate = RATES[number] * CAPACITIES[server] * share
            row[number_of[_moved(state, server, number, -1)]] += rate
            row[here] -= rate
    rows[:, 0] = -1.0
    return float(np.linalg.solve(rows, right)[0])


def lengths(load: float, most: int = TRUNCATION) -> dict[str, float]:
    """Return the mean number of customers under each policy."""
    example = Example(load)
    routes = {
        "sq": shortest_queue,
        "lew": least_work,
        "mc": largest_share,
        "fpi": first_iteration(example),
    }
    found = {name: mean_length(example, route, most) for name, route in routes.items()}
    return {"static": best_static(example)[1], **found}


def main(argv: list[str] | None = None) -> int:
    """Print the figures; return 1 if an ordering of the paper does not hold."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.dps")
    parser.add_argument("--truncation", type=int, default=TRUNCATION)
    args = parser.parse_args(argv)
    found = {str(load): lengths(load, args.truncation) for load in LOADS}
    holds = {}
    for load, row in found.items():
        heuristics = [row[name] for name in ("sq", "lew", "mc")]
        holds[load] = {
            "static_worst": row["static"] >= max(heuristics),
            "sq_best_heuristic": row["sq"] <= min(heuristics),
            "fpi_ahead_of_sq": row["fpi"] < row["sq"],
        }
    print(json.dumps({"mean_customers": found, "holds": holds}, indent=1))
    middle = holds["0.5"]
    return 0 if all(middle.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
