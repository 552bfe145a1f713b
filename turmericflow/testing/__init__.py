"""Stand-ins for outside systems, and shared builders for tests."""

from __future__ import annotations

from turmericflow.testing._answers import AnswerCheck, check_answer
from turmericflow.testing._cluster import (
    Cluster,
    ClusterPlan,
    EngineSpec,
    member_states,
)
from turmericflow.testing._deployments import small_plan
from turmericflow.testing._load import load_profile, load_tables, load_work

__all__ = (
    # Processes
    "Cluster",
    "ClusterPlan",
    "EngineSpec",
    "member_states",
    "small_plan",
    # Tables
    "load_profile",
    "load_tables",
    "load_work",
    # Assertions
    "AnswerCheck",
    "check_answer",
)
