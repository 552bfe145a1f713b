"""Decisions: pure functions over the tables, with time passed in."""

from __future__ import annotations

from turmericflow.systems import (
    _addresses as addresses,
    _admission as admission,
    _backup as backup,
    _breakers as breakers,
    _budgets as budgets,
    _claims as claims,
    _estimates as estimates,
    _fairness as fairness,
    _freshness as freshness,
    _journal as journal,
    _limits as limits,
    _membership as membership,
    _overlay as overlay,
    _owner_map as owner_map,
    _placement as placement,
    _policies as policies,
    _prefixes as prefixes,
    _records as records,
    _routing as routing,
    _scheduling as scheduling,
    _sharing as sharing,
    _slots as slots,
    _spread as spread,
    _status as status,
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
    "backup",
    "breakers",
    "budgets",
    "claims",
    "estimates",
    "fairness",
    "freshness",
    "journal",
    "limits",
    "membership",
    "overlay",
    "owner_map",
    "placement",
    "policies",
    "prefixes",
    "records",
    "routing",
    "scheduling",
    "sharing",
    "slots",
    "spread",
    "status",
    # Conversions
    "to_attempts",
    "to_failure",
    "to_wire_attempts",
    "to_wire_failure",
)
