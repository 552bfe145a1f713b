"""Update of first policy iteration with the measured arrivals."""

from __future__ import annotations

from turmericflow.systems import _estimates as estimates
from turmericflow.systems._policies._choose import FirstPolicyIteration, Policy
from turmericflow.systems._policies._queue_values import Station, relative_values
from turmericflow.tables import LoadTable, Pool

MAX_LOAD = 0.95
MIN_RATE_PER_S = 1e-6
WEIGHTS = (1.0, 1.0)


def _mean_tokens(load: LoadTable, number: int) -> float:
    arrived = load.arrivals[number]
    return load.arrived_tokens[number] / arrived if arrived else estimates.SHORT_TOKENS


def with_measured_arrivals(
    policy: Policy, load: LoadTable, pool: Pool, routers: int, elapsed_s: float
) -> Policy:
    """Return the policy updated with the arrivals of the last ``elapsed_s``.

    Only first policy iteration uses the arrivals, to compute the relative values
    of one target's queue when the arrivals are split evenly over all targets.
    """
    if (
        not isinstance(policy, FirstPolicyIteration)
        or not pool.targets
        or not sum(load.arrivals)
    ):
        return policy
    target = pool.targets[0]
    slots = estimates.slots_of(target)
    capacity = slots / estimates.step_s(target, slots)
    means = [_mean_tokens(load, number) for number in range(len(WEIGHTS))]
    split = routers / elapsed_s / len(pool.targets)
    arrivals = [max(MIN_RATE_PER_S, each * split) for each in load.arrivals]
    offered = sum(rate * mean for rate, mean in zip(arrivals, means)) / capacity
    if offered > MAX_LOAD:
        arrivals = [rate * MAX_LOAD / offered for rate in arrivals]
    load.arrivals = [0.0, 0.0]
    load.arrived_tokens = [0.0, 0.0]
    rates = tuple(1.0 / max(1.0, mean) for mean in means)
    return FirstPolicyIteration(
        relative_values(Station(capacity, WEIGHTS, tuple(arrivals), rates))
    )
