"""Decisions: pure functions over the tables, with time passed in."""

from __future__ import annotations

from turmericflow.systems import (
    _claims as claims,
    _detection as detection,
    _resume as resume,
    _routing as routing,
)
from turmericflow.systems._convert import (
    to_attempts,
    to_failure,
    to_wire_attempts,
    to_wire_failure,
)

__all__ = (
    # Decisions, one module each
    "claims",
    "detection",
    "resume",
    "routing",
    # Conversions
    "to_attempts",
    "to_failure",
    "to_wire_attempts",
    "to_wire_failure",
)
