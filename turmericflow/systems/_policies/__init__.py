"""Load balancing policies: the choice among the targets that may run some work."""

from __future__ import annotations

from turmericflow.systems._policies._arrivals import with_measured_arrivals
from turmericflow.systems._policies._choose import (
    FirstPolicyIteration,
    LargestCapacityShare,
    LeastEstimatedTime,
    LeastExpectedWork,
    Policy,
    Random,
    ShortestQueue,
    choose,
    policy_of,
)
from turmericflow.systems._policies._queue_values import (
    QueueValues,
    Station,
    relative_values,
)

__all__ = (
    # Policies
    "FirstPolicyIteration",
    "LeastExpectedWork",
    "LargestCapacityShare",
    "LeastEstimatedTime",
    "Policy",
    "Random",
    "ShortestQueue",
    "choose",
    "policy_of",
    "with_measured_arrivals",
    # Values of a queue
    "QueueValues",
    "Station",
    "relative_values",
)
