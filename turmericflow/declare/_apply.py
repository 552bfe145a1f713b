"""Conditional writes of declarations, safe against lost replies."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass

from result import Err, Ok

from turmericflow.declare._diff import Change, ChangeKind, FieldChange, compare
from turmericflow.services._platform import (
    PlatformClient,
    PlatformError,
    PlatformObject,
)

MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.2


class Outcome(enum.StrEnum):
    """Outcome of a change.

    ``UNKNOWN`` means that a write may have taken effect; applying the same
    files again is safe.
    """

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    RACED = "raced"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class ApplyResult:
    """Result of applying one change.

    Attributes
    ----------
    change
        The change that was applied.
    outcome
        Outcome of the change.
    version
        Current version of the object, 0 if unknown.
    differing_fields
        After a race, the fields that differ from the other operator's object.
    message
        Error message, or empty.
    """

    change: Change
    outcome: Outcome
    version: int = 0
    differing_fields: tuple[FieldChange, ...] = ()
    message: str = ""


def _check_effect(change: Change, present: PlatformObject | None) -> ApplyResult | None:
    """Return the result according to the stored object, or None if not written.

    A version older than the one compared is a stale read.
    """
    version = present.version if present is not None else 0
    if version <= change.version:
        return None
    remaining = compare(change.declaration, present)
    if remaining.kind is ChangeKind.NONE:
        return ApplyResult(change, Outcome.APPLIED, version)
    return ApplyResult(change, Outcome.RACED, version, remaining.fields)


async def _write(platform: PlatformClient, change: Change) -> ApplyResult | None:
    declared = change.declaration
    reply = await platform.put(
        declared.kind, declared.name, declared.value, change.version
    )
    match reply:
        case Ok(item):
            return ApplyResult(change, Outcome.APPLIED, item.version)
        case Err(present):
            return _check_effect(change, present)


async def apply_change(platform: PlatformClient, change: Change) -> ApplyResult:
    """Write a change if its object still has the version that was compared.

    After a lost reply the object is read back.  The write is repeated only on
    the same version, so it takes effect at most once.
    """
    if change.kind is ChangeKind.NONE:
        return ApplyResult(change, Outcome.UNCHANGED, change.version)
    declared = change.declaration
    effect_unknown, message = False, "write refused, but no newer version is stored"
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await asyncio.sleep(RETRY_DELAY_S * attempt)
        result = None
        try:
            if effect_unknown:
                present = await platform.get(declared.kind, declared.name)
                result = _check_effect(change, present)
            result = result or await _write(platform, change)
        except PlatformError as exc:
            effect_unknown |= exc.unknown_effect
            message = str(exc)
        if result is not None:
            return result
    outcome = Outcome.UNKNOWN if effect_unknown else Outcome.UNREACHABLE
    return ApplyResult(change, outcome, message=message)
