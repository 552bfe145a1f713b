"""Roll-outs of a software version: evidence, verdicts, steps and shares of traffic."""

from __future__ import annotations

from turmericflow.relay.rollouts._service import RolloutService
from turmericflow.relay.rollouts._table import RolloutTable

__all__ = ("RolloutService", "RolloutTable")
