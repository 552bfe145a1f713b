"""Relative values of a queue with discriminatory processor sharing.

With Poisson arrivals and exponential service times, the relative values of the
mean queue length are a quadratic polynomial of the state (Leino, 2007).  The
Howard equations of a few states determine its coefficients exactly.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass

STATES_PER_CLASS = 4


@dataclass(slots=True, frozen=True)
class Station:
    """One server with several classes of jobs.

    Attributes
    ----------
    capacity
        Work that the server completes per second.
    weights
        Weight of each class in processor sharing.
    arrivals
        Arrivals of each class per second.
    rates
        Inverse of the mean work of each class.
    """

    capacity: float
    weights: tuple[float, ...]
    arrivals: tuple[float, ...]
    rates: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class QueueValues:
    """Relative values of one queue: ``x @ square @ x + linear @ x``.

    Attributes
    ----------
    mean_length
        Mean number of jobs in the queue.
    square, linear
        Quadratic and linear coefficients of the polynomial.
    """

    mean_length: float
    square: tuple[tuple[float, ...], ...]
    linear: tuple[float, ...]

    def of(self, state: list[int]) -> float:
        """Return the relative value of a state."""
        total = 0.0
        for i, x in enumerate(state):
            total += self.linear[i] * x
            for j in range(i, len(state)):
                total += self.square[i][j] * x * state[j]
        return total

    def cost(self, state: list[int], job_class: int) -> float:
        """Return how much one more job of a class adds to the relative value."""
        more = list(state)
        more[job_class] += 1
        return self.of(more) - self.of(state)


def _terms(state: list[int]) -> list[int]:
    pairs = itertools.combinations_with_replacement(range(len(state)), 2)
    return [state[i] * state[j] for i, j in pairs] + state


def _change(state: list[int], k: int, step: int) -> list[int]:
    """Return the change of each term if class ``k`` changes by ``step`` jobs."""
    moved = list(state)
    moved[k] += step
    return [new - old for new, old in zip(_terms(moved), _terms(state))]


def _howard(station: Station, state: list[int]) -> list[float]:
    """Return the coefficients of one Howard equation, that of the mean length last."""
    row = [0.0] * len(_terms(state))
    weighted = sum(w * x for w, x in zip(station.weights, state))
    for k, there in enumerate(state):
        flows = [(station.arrivals[k], 1)]
        if there:
            share = station.weights[k] * there / weighted
            flows.append((station.rates[k] * station.capacity * share, -1))
        for rate, step in flows:
            change = _change(state, k, step)
            row = [value + rate * each for value, each in zip(row, change)]
    return [*row, -1.0]


def relative_values(station: Station) -> QueueValues:
    """Return the relative values of a stable queue."""
    # Imported here, so that only routers that need numpy load it into memory.
    import numpy as np

    classes = len(station.weights)
    states = itertools.product(range(STATES_PER_CLASS), repeat=classes)
    states = [list(state) for state in states]
    rows = np.array([_howard(station, state) for state in states])
    right = np.array([-float(sum(state)) for state in states])
    found = [float(each) for each in np.linalg.lstsq(rows, right, rcond=None)[0]]
    square = [[0.0] * classes for _ in range(classes)]
    pairs = itertools.combinations_with_replacement(range(classes), 2)
    count = 0
    for i, j in pairs:
        square[i][j] = found[count]
        count += 1
    linear = tuple(found[count:-1])
    return QueueValues(found[-1], tuple(map(tuple, square)), linear)
