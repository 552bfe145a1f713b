"""Decisions: pure functions over the tables, with time passed in."""

from __future__ import annotations

from turmericflow.systems import (
    _addresses as addresses,
    _admission as admission,
    _breakers as breakers,
    _budgets as budgets,
    _claims as claims,
    _estimates as estimates,
    _fairness as fairness,
    _freshness as freshness,
    _limits as limits,
    _membership as membership,
    _overlay as overlay,
    _policies as policies,
    _prefixes as prefixes,
    _routing as routing,
    _scheduling as scheduling,
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
    "admission",
    "breakers",
    "budgets",
    "claims",
    "freshness",
    "membership",
    "overlay",
    "estimates",
    "fairness",
    "limits",
    "policies",
    "prefixes",
    "routing",
    "spread",
    "scheduling",
    # Conversions
    "to_attempts",
    "to_failure",
    "to_wire_attempts",
    "to_wire_failure",
)
