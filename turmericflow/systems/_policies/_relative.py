"""Relative values of a queue with discriminatory processor sharing.

Under Poisson arrivals and exponential service the relative values of the mean
queue length are a quadratic polynomial of the state (Leino, 2007).  Its
coefficients solve the Howard equations of a few states exactly.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass

import numpy as np

STATES_PER_CLASS = 4


@dataclass(slots=True, frozen=True)
class Station:
    """One server of several classes.

    Attributes
    ----------
    capacity
        Work that it does in a second.
    weights
        Weight of each class in the sharing.
    arrivals
        Arrivals of each class in a second.
    rates
        Inverse of each class's mean work.
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
        Mean number of customers.
    square, linear
        Coefficients.
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

    def cost(self, state: list[int], number: int) -> float:
        """Return what one more customer of a class adds to the value."""
        more = list(state)
        more[number] += 1
        return self.of(more) - self.of(state)


def _terms(state: np.ndarray) -> np.ndarray:
    pairs = itertools.combinations_with_replacement(range(len(state)), 2)
    return np.array([state[i] * state[j] for i, j in pairs] + list(state))


def _howard(station: Station, state: np.ndarray) -> tuple[np.ndarray, float]:
    here = _terms(state)
    row = np.zeros_like(here, dtype=float)
    weighted = float(np.dot(station.weights, state))
    for k in range(len(state)):
        unit = np.eye(len(state))[k]
        row += station.arrivals[k] * (_terms(state + unit) - here)
        if state[k]:
            share = station.weights[k] * state[k] / weighted
            speed = station.rates[k] * station.capacity * share
            row += speed * (_terms(state - unit) - here)
    return np.append(row, -1.0), -float(state.sum())


def relative_values(station: Station) -> QueueValues:
    """Return the relative values of a stable queue."""
    classes = len(station.weights)
    states = itertools.product(range(STATES_PER_CLASS), repeat=classes)
    equations = [_howard(station, np.array(state, dtype=float)) for state in states]
    rows = np.array([row for row, _ in equations])
    right = np.array([value for _, value in equations])
    found = np.linalg.lstsq(rows, right, rcond=None)[0]
    square = np.zeros((classes, classes))
    pairs = itertools.combinations_with_replacement(range(classes), 2)
    count = 0
    for i, j in pairs:
        square[i][j] = found[count]
        count += 1
    return QueueValues(
        float(found[-1]),
        tuple(tuple(float(value) for value in row) for row in square),
        tuple(float(value) for value in found[count:-1]),
    )
