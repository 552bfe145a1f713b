"""Load balancing policies and the choice of a target by a policy."""

from __future__ import annotations

import random
from dataclasses import dataclass

from turmericflow.systems import _estimates as estimates
from turmericflow.systems._policies._estimated_time import choose_by_estimated_time
from turmericflow.systems._policies._queue_values import QueueValues
from turmericflow.tables import LoadTable, Target, Work

TIE_TOLERANCE = 0.02


@dataclass(slots=True, frozen=True)
class Random:
    """Choose a target at random, with equal probabilities."""


@dataclass(slots=True, frozen=True)
class ShortestQueue:
    """Choose the target with the fewest requests."""


@dataclass(slots=True, frozen=True)
class LeastExpectedWork:
    """Choose the target with the least expected work relative to its speed."""


@dataclass(slots=True, frozen=True)
class LargestCapacityShare:
    """Choose the target that gives the request the largest share of its capacity."""


@dataclass(slots=True, frozen=True)
class FirstPolicyIteration:
    """Choose by first policy iteration from a static split of the arrivals.

    Attributes
    ----------
    values
        Relative values of one target's queue under the static split; None
        before the arrivals are measured.
    """

    values: QueueValues | None = None


@dataclass(slots=True, frozen=True)
class LeastEstimatedTime:
    """Choose the least estimated time, with the unreported requests simulated."""


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
    """Return the policy with a given name.

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


def _expected_work_s(target: Target, now: float) -> float:
    requests = estimates.estimated_in_flight(target, now)
    mean = target.work_tokens / target.in_flight if target.in_flight else 1.0
    return requests * mean / _tokens_per_s(target, estimates.slots_of(target))


def _negative_capacity_share(target: Target, now: float) -> float:
    streams = estimates.estimated_in_flight(target, now) + 1
    return -_tokens_per_s(target, streams) / streams


def _added_value(
    values: QueueValues | None, target: Target, work: Work, now: float
) -> float:
    requests = estimates.estimated_in_flight(target, now)
    if values is None:
        return float(requests)
    own = max(1, sum(target.in_flight_by_class))
    state = [requests * number / own for number in target.in_flight_by_class]
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

    Targets with about the same cost are chosen at random, so that routers with
    the same outdated reports do not all choose the same target.
    """
    match policy:
        case Random():
            return rng.choice(targets)
        case ShortestQueue():
            costs = [
                float(estimates.estimated_in_flight(each, now)) for each in targets
            ]
        case LeastExpectedWork():
            costs = [_expected_work_s(each, now) for each in targets]
        case LargestCapacityShare():
            costs = [_negative_capacity_share(each, now) for each in targets]
        case FirstPolicyIteration(values=values):
            costs = [_added_value(values, each, work, now) for each in targets]
        case LeastEstimatedTime():
            return choose_by_estimated_time(load, targets, work, now, rng)
    least = min(costs)
    limit = least + abs(least) * TIE_TOLERANCE
    near = [each for each, cost in zip(targets, costs) if cost <= limit]
    return rng.choice(near)
