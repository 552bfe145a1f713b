"""Operators' declarations: reading, comparison and application."""

from __future__ import annotations

from turmericflow.declare._apply import ApplyResult, Outcome, apply_change
from turmericflow.declare._diff import Change, ChangeKind, FieldChange, compare
from turmericflow.declare._files import (
    ADAPTERS,
    Declaration,
    DeclarationProblem,
    read_declarations,
)

__all__ = (
    # Reading
    "ADAPTERS",
    "Declaration",
    "DeclarationProblem",
    "read_declarations",
    # Comparing
    "Change",
    "ChangeKind",
    "FieldChange",
    "compare",
    # Applying
    "ApplyResult",
    "Outcome",
    "apply_change",
)
