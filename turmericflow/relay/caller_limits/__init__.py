"""Bounds on what callers make a host hold: memory, connections and descriptors."""

from __future__ import annotations

from turmericflow.relay.caller_limits._bodies import (
    PIECE_BYTES,
    Body,
    BodyBuilder,
    pieces,
)
from turmericflow.relay.caller_limits._budget import Budget
from turmericflow.relay.caller_limits._limiter import (
    CallerLimiter,
    ConnectionLimit,
    Hold,
    Limited,
)
from turmericflow.relay.caller_limits._victims import Holding, Phase

__all__ = (
    "PIECE_BYTES",
    "Body",
    "BodyBuilder",
    "Budget",
    "CallerLimiter",
    "ConnectionLimit",
    "Hold",
    "Holding",
    "Limited",
    "Phase",
    "pieces",
)
