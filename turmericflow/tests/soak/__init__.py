"""Fault soak: hosts as real processes under seeded, overlapping faults."""

from turmericflow.tests.soak._run import Soak, SoakConfig, run_soak
from turmericflow.tests.soak._schedule import SIZES, Fault, FaultKind, Size

__all__ = ["SIZES", "Fault", "FaultKind", "Size", "Soak", "SoakConfig", "run_soak"]
