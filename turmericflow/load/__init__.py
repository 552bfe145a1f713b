"""Load generator: declared workloads and their reproducible arrivals."""

from __future__ import annotations

from turmericflow.load._workload import (
    Arrival,
    Loss,
    Phase,
    Stream,
    Workload,
    WorkloadError,
    arrivals,
)

__all__ = (
    # Declarations
    "Loss",
    "Phase",
    "Stream",
    "Workload",
    "WorkloadError",
    # Arrivals
    "Arrival",
    "arrivals",
)
