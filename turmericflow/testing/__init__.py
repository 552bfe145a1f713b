"""Stand-ins for external systems, and builders that tests share."""

from __future__ import annotations

from turmericflow.testing._answers import AnswerCheck, check_answer
from turmericflow.testing._cluster import (
    Cluster,
    ClusterPlan,
    EngineSpec,
    member_states,
)
from turmericflow.testing._deployments import small_plan
from turmericflow.testing._load import make_profile, make_tables, make_work

__all__ = (
    # Processes
    "Cluster",
    "ClusterPlan",
    "EngineSpec",
    "member_states",
    "small_plan",
    # Tables
    "make_profile",
    "make_tables",
    "make_work",
    # Assertions
    "AnswerCheck",
    "check_answer",
)
