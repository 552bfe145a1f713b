"""Declarations of operators: read from files, compared and put in force."""

from __future__ import annotations

from turmericflow.declare._apply import Applied, Outcome, apply_change
from turmericflow.declare._diff import Change, ChangeKind, FieldChange, compare
from turmericflow.declare._files import (
    ADAPTERS,
    Declaration,
    Fault,
    read_declarations,
)

__all__ = (
    # Reading
    "ADAPTERS",
    "Declaration",
    "Fault",
    "read_declarations",
    # Comparing
    "Change",
    "ChangeKind",
    "FieldChange",
    "compare",
    # Putting in force
    "Applied",
    "Outcome",
    "apply_change",
)
