"""Decisions: pure functions over the tables, with time passed in."""

from __future__ import annotations

from turmericflow.systems import (
    _backup as backup,
    _claims as claims,
    _freshness as freshness,
    _journal as journal,
    _membership as membership,
    _overlay as overlay,
    _owner_map as owner_map,
    _placement as placement,
    _records as records,
    _routing as routing,
    _slots as slots,
)
from turmericflow.systems._convert import (
    to_attempts,
    to_failure,
    to_wire_attempts,
    to_wire_failure,
)

__all__ = (
    # Decisions, one module each
    "backup",
    "claims",
    "journal",
    "owner_map",
    "placement",
    "records",
    "freshness",
    "membership",
    "overlay",
    "routing",
    "slots",
    # Conversions
    "to_attempts",
    "to_failure",
    "to_wire_attempts",
    "to_wire_failure",
)
