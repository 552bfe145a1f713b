"""Policies that choose among the targets that may run some work."""

from __future__ import annotations

from turmericflow.systems._policies._choose import (
    Fpi,
    Lew,
    Mc,
    Ours,
    Policy,
    Random,
    Sq,
    choose,
    policy_of,
)
from turmericflow.systems._policies._relative import (
    QueueValues,
    Station,
    relative_values,
)
from turmericflow.systems._policies._renew import renewed

__all__ = (
    # Policies
    "Fpi",
    "Lew",
    "Mc",
    "Ours",
    "Policy",
    "Random",
    "Sq",
    "choose",
    "policy_of",
    "renewed",
    # Values of a queue
    "QueueValues",
    "Station",
    "relative_values",
)
