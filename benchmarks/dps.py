"""Check of the routing policies against a paper's worked example.

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
    """The paper's example at one load."""

    load: float

    @property
    def arrivals(self) -> tuple[float, float]:
        """Arrival rate of each class."""
        second = self.load * sum(CAPACITIES) / (RATIO / RATES[0] + 1 / RATES[1])
        return RATIO * second, second

    def station(self, server: int, shares: tuple[float, float]) -> policies.Station:
        """Return a server that receives a share of each class's arrivals."""
        arrivals = tuple(a * s for a, s in zip(self.arrivals, shares))
        return policies.Station(CAPACITIES[server], WEIGHTS[server], arrivals, RATES)


def _customers_at(state: State, server: int) -> list[int]:
    return list(state[2 * server : 2 * server + 2])


def _with_change(state: State, server: int, class_no: int, change: int) -> State:
    moved = list(state)
    moved[2 * server + class_no] += change
    return tuple(moved)


def _cheapest_server(costs: list[float]) -> int:
    """Return the server of least cost; the larger capacity breaks ties."""
    return min(SERVERS, key=lambda s: (round(costs[s], 9), -CAPACITIES[s]))


def shortest_queue(state: State, class_no: int) -> int:
    """Route to the server with the fewest customers."""
    return _cheapest_server(
        [float(sum(_customers_at(state, server))) for server in SERVERS]
    )


def least_work(state: State, class_no: int) -> int:
    """Route to the server with the least expected work for its capacity."""
    costs = []
    for server in SERVERS:
        work = sum(x / rate for x, rate in zip(_customers_at(state, server), RATES))
        costs.append(work / CAPACITIES[server])
    return _cheapest_server(costs)


def largest_share(state: State, class_no: int) -> int:
    """Route to the server that gives the customer the most capacity now."""
    costs = []
    for server in SERVERS:
        customers = _customers_at(_with_change(state, server, class_no, 1), server)
        weighted = sum(w * x for w, x in zip(WEIGHTS[server], customers))
        costs.append(-WEIGHTS[server][class_no] / weighted * CAPACITIES[server])
    return _cheapest_server(costs)


def _static_mean_customers(example: Example, shares: tuple[float, float]) -> float:
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
            candidate = _static_mean_customers(example, shares)
            if candidate < length:
                best, length = shares, candidate
        width = (high - low) / (GRID - 1)
        low = np.maximum(0, np.array(best) - width)
        high = np.minimum(1, np.array(best) + width)
    return (float(best[0]), float(best[1])), length


def first_iteration(example: Example) -> Route:
    """Return the policy one iteration after the best static split."""
    shares, _ = best_static(example)
    parts = [shares, tuple(1 - share for share in shares)]
    values = [policies.relative_values(example.station(s, parts[s])) for s in SERVERS]

    def route(state: State, class_no: int) -> int:
        costs = [values[s].cost(_customers_at(state, s), class_no) for s in SERVERS]
        return _cheapest_server(costs)

    return route


def _terms(state: State, component: int, truncation: int) -> list[tuple[State, float]]:
    """Return the states and factors whose sum is the value of one more customer.

    Beyond the truncation the value is extrapolated by a quadratic.
    """
    if state[component] < truncation:
        return [
            (state[:component] + (state[component] + 1,) + state[component + 1 :], 1.0)
        ]
    return [
        (state[:component] + (truncation - offset,) + state[component + 1 :], factor)
        for offset, factor in ((0, 3.0), (1, -3.0), (2, 1.0))
    ]


def mean_length(example: Example, route: Route, truncation: int = TRUNCATION) -> float:
    """Return the mean number of customers under a policy."""
    states = list(itertools.product(range(truncation + 1), repeat=4))
    index_of = {state: index for index, state in enumerate(states)}
    rows = np.zeros((len(states), len(states)))
    right_side = np.zeros(len(states))
    for state, row in zip(states, rows):
        index = index_of[state]
        right_side[index] = -sum(state)
        for class_no in CLASSES:
            rate = example.arrivals[class_no]
            server = route(state, class_no)
            for other, factor in _terms(state, 2 * server + class_no, truncation):
                row[index_of[other]] += rate * factor
            row[index] -= rate
        for server, class_no in itertools.product(SERVERS, CLASSES):
            customers = _customers_at(state, server)
            if not customers[class_no]:
                continue
            weighted = sum(w * x for w, x in zip(WEIGHTS[server], customers))
            share = WEIGHTS[server][class_no] * customers[class_no] / weighted
            rate = RATES[class_no] * CAPACITIES[server] * share
            row[index_of[_with_change(state, server, class_no, -1)]] += rate
            row[index] -= rate
    rows[:, 0] = -1.0
    return float(np.linalg.solve(rows, right_side)[0])


def lengths(load: float, truncation: int = TRUNCATION) -> dict[str, float]:
    """Return the mean number of customers under each policy."""
    example = Example(load)
    routes = {
        "sq": shortest_queue,
        "lew": least_work,
        "mc": largest_share,
        "fpi": first_iteration(example),
    }
    means = {
        name: mean_length(example, route, truncation) for name, route in routes.items()
    }
    return {"static": best_static(example)[1], **means}


def main(argv: list[str] | None = None) -> int:
    """Print the figures; return 1 if the paper's order of policies does not hold."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.dps")
    parser.add_argument("--truncation", type=int, default=TRUNCATION)
    args = parser.parse_args(argv)
    results = {str(load): lengths(load, args.truncation) for load in LOADS}
    holds = {}
    for load, row in results.items():
        heuristics = [row[name] for name in ("sq", "lew", "mc")]
        holds[load] = {
            "static_worst": row["static"] >= max(heuristics),
            "sq_best_heuristic": row["sq"] <= min(heuristics),
            "fpi_ahead_of_sq": row["fpi"] < row["sq"],
        }
    print(json.dumps({"mean_customers": results, "holds": holds}, indent=1))
    middle = holds["0.5"]
    return 0 if all(middle.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
