"""Stand-ins for outside systems, and shared builders for tests."""

from __future__ import annotations

from turmericflow.testing._answers import AnswerCheck, check_answer
from turmericflow.testing._cluster import (
    Cluster,
    ClusterPlan,
    EngineSpec,
    member_states,
)

__all__ = (
    # Processes
    "Cluster",
    "ClusterPlan",
    "EngineSpec",
    "member_states",
    # Assertions
    "AnswerCheck",
    "check_answer",
)
