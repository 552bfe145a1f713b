"""Decisions: pure functions over the tables, with time passed in."""

from __future__ import annotations

from turmericflow.systems import (
    _addresses as addresses,
    _claims as claims,
    _freshness as freshness,
    _membership as membership,
    _overlay as overlay,
    _routing as routing,
    _spread as spread,
)
from turmericflow.systems._convert import (
    to_attempts,
    to_failure,
    to_wire_attempts,
    to_wire_failure,
)

__all__ = (
    # Decisions, one module each
    "addresses",
    "claims",
    "freshness",
    "membership",
    "overlay",
    "routing",
    "spread",
    # Conversions
    "to_attempts",
    "to_failure",
    "to_wire_attempts",
    "to_wire_failure",
)
