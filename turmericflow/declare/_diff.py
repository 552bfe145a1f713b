"""What is to change on the platform."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from turmericflow.declare._files import ADAPTERS, Declaration
from turmericflow.services._platform import PlatformObject


class ChangeKind(enum.StrEnum):
    """What a change does to an object."""

    CREATE = "create"
    UPDATE = "update"
    NONE = "none"


@dataclass(slots=True, frozen=True)
class FieldChange:
    """One field's present and wanted value."""

    field: str
    present: Any
    wanted: Any


@dataclass(slots=True, frozen=True)
class Change:
    """What is to change of one object.

    Attributes
    ----------
    declaration
        The object as wanted.
    kind
        What the change does.
    version
        Version on which the change rests, 0 for none.
    fields
        The fields that change.
    """

    declaration: Declaration
    kind: ChangeKind
    version: int
    fields: tuple[FieldChange, ...] = ()


def normalise(kind: str, value: Any) -> dict[str, Any]:
    """Return a platform value with all fields, or as it is if it is invalid."""
    try:
        adapter = ADAPTERS[kind]
        return adapter.dump_python(adapter.validate_python(value), mode="json")
    except ValidationError:
        return value if isinstance(value, dict) else {}


def compare(declaration: Declaration, present: PlatformObject | None) -> Change:
    """Return what is to change of an object."""
    version = present.version if present is not None else 0
    if present is None or present.value is None:
        return Change(declaration, ChangeKind.CREATE, version)
    now = normalise(declaration.kind, present.value)
    wanted = declaration.value
    fields = tuple(
        FieldChange(name, now.get(name), wanted.get(name))
        for name in sorted(now.keys() | wanted.keys())
        if now.get(name) != wanted.get(name)
    )
    kind = ChangeKind.UPDATE if fields else ChangeKind.NONE
    return Change(declaration, kind, version, fields)
