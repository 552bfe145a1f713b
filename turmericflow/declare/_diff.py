"""Differences between declarations and the platform's objects."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from turmericflow.declare._files import ADAPTERS, Declaration
from turmericflow.services._platform import PlatformObject


class ChangeKind(enum.StrEnum):
    """Kind of a change to an object."""

    CREATE = "create"
    UPDATE = "update"
    NONE = "none"


@dataclass(slots=True, frozen=True)
class FieldChange:
    """Stored and declared value of one field."""

    field: str
    present: Any
    wanted: Any


@dataclass(slots=True, frozen=True)
class Change:
    """Difference between a declaration and the stored object.

    Attributes
    ----------
    declaration
        The object as declared.
    kind
        What the change does to the object.
    version
        Stored version that was compared, 0 if there is no object.
    fields
        The fields that differ.
    """

    declaration: Declaration
    kind: ChangeKind
    version: int
    fields: tuple[FieldChange, ...] = ()


def normalise(kind: str, value: Any) -> dict[str, Any]:
    """Return a stored value with defaults filled in.

    An invalid mapping is returned unchanged, any other invalid value as ``{}``.
    """
    try:
        adapter = ADAPTERS[kind]
        return adapter.dump_python(adapter.validate_python(value), mode="json")
    except ValidationError:
        return value if isinstance(value, dict) else {}


def compare(declaration: Declaration, present: PlatformObject | None) -> Change:
    """Return the change that makes an object match its declaration."""
    version = present.version if present is not None else 0
    if present is None or present.value is None:
        return Change(declaration, ChangeKind.CREATE, version)
    present_fields = normalise(declaration.kind, present.value)
    declared = declaration.value
    fields = tuple(
        FieldChange(name, present_fields.get(name), declared.get(name))
        for name in sorted(present_fields.keys() | declared.keys())
        if present_fields.get(name) != declared.get(name)
    )
    kind = ChangeKind.UPDATE if fields else ChangeKind.NONE
    return Change(declaration, kind, version, fields)
