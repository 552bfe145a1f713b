"""Load tool: declared workloads, and the same arrivals for the same seed."""

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
