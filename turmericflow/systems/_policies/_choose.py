"""The policies, and one choice by any of them."""

from __future__ import annotations

import random
from dataclasses import dataclass

from turmericflow.systems import _estimates as estimates
from turmericflow.systems._policies._estimated_time import choose_by_estimated_time
from turmericflow.systems._policies._queue_values import QueueValues
from turmericflow.tables import LoadTable, Target, Work

TIE_SHARE = 0.02


@dataclass(slots=True, frozen=True)
class Random:
    """Any target, with equal chances."""


@dataclass(slots=True, frozen=True)
class ShortestQueue:
    """The target with the fewest requests (shortest queue)."""


@dataclass(slots=True, frozen=True)
class LeastExpectedWork:
    """The target with the least expected work for its speed."""


@dataclass(slots=True, frozen=True)
class LargestCapacityShare:
    """The target that gives this request the largest share now."""


@dataclass(slots=True, frozen=True)
class FirstPolicyIteration:
    """First policy iteration from a static split.

    Attributes
    ----------
    values
        Relative values of one target's queue under the static split, or
        None before arrivals were measured.
    """

    values: QueueValues | None = None


@dataclass(slots=True, frozen=True)
class LeastEstimatedTime:
    """The least time for this request and others, with the unseen filled in."""


Policy = (
    Random
    | ShortestQueue
    | LeastExpectedWork
    | LargestCapacityShare
    | FirstPolicyIteration
    | LeastEstimatedTime
)

_BY_NAME = {
    "random": Random,
    "sq": ShortestQueue,
    "lew": LeastExpectedWork,
    "mc": LargestCapacityShare,
    "fpi": FirstPolicyIteration,
    "ours": LeastEstimatedTime,
}


def policy_of(name: str) -> Policy:
    """Return the policy of a name.

    Raises
    ------
    ValueError
        If no policy has that name.
    """
    if name not in _BY_NAME:
        raise ValueError(f"policy: got {name!r}, expected one of {sorted(_BY_NAME)}")
    return _BY_NAME[name]()


def _tokens_per_s(target: Target, streams: int) -> float:
    batch = min(max(1, streams), estimates.slots_of(target))
    return batch / estimates.step_s(target, batch)


def _lew(target: Target, now: float) -> float:
    there = estimates.occupied(target, now)
    mean = target.work_tokens / target.in_flight if target.in_flight else 1.0
    return there * mean / _tokens_per_s(target, estimates.slots_of(target))


def _mc(target: Target, now: float) -> float:
    streams = estimates.occupied(target, now) + 1
    return -_tokens_per_s(target, streams) / streams


def _fpi(values: QueueValues | None, target: Target, work: Work, now: float) -> float:
    there = estimates.occupied(target, now)
    if values is None:
        return float(there)
    own = max(1, sum(target.in_flight_by_class))
    state = [there * number / own for number in target.in_flight_by_class]
    return values.cost(state, estimates.length_class(work.expected_tokens))


def choose(
    policy: Policy,
    load: LoadTable,
    targets: list[Target],
    work: Work,
    now: float,
    rng: random.Random,
) -> Target:
    """Choose one of the targets that may run some work.

    Targets that come out about equal are chosen among by chance, so that many
    routers with the same late reports do not all choose the same one.
    """
    match policy:
        case Random():
            return rng.choice(targets)
        case ShortestQueue():
            costs = [float(estimates.occupied(each, now)) for each in targets]
        case LeastExpectedWork():
            costs = [_lew(each, now) for each in targets]
        case LargestCapacityShare():
            costs = [_mc(each, now) for each in targets]
        case FirstPolicyIteration(values=values):
            costs = [_fpi(values, each, work, now) for each in targets]
        case LeastEstimatedTime():
            return choose_by_estimated_time(load, targets, work, now, rng)
    least = min(costs)
    limit = least + abs(least) * TIE_SHARE
    near = [each for each, cost in zip(targets, costs) if cost <= limit]
    return rng.choice(near)
