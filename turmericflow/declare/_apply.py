"""Conditional writes of declarations, with lost replies settled."""

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

TRIES = 5
RETRY_S = 0.2


class Outcome(enum.StrEnum):
    """How a change ended.

    ``UNKNOWN`` says that a write may have taken effect; to apply the same
    files again is then safe.
    """

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    RACED = "raced"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class Applied:
    """The end of a change.

    Attributes
    ----------
    change
        The change.
    outcome
        How it ended.
    version
        Version of the object now, 0 if that is not known.
    differs
        After a race, what the other operator's object differs in.
    message
        What went wrong, or empty.
    """

    change: Change
    outcome: Outcome
    version: int = 0
    differs: tuple[FieldChange, ...] = ()
    message: str = ""


def _settle(change: Change, present: PlatformObject | None) -> Applied | None:
    """Judge what stands on the platform; None if the write has no effect yet.

    An older version than the change rests on is a stale read.
    """
    version = present.version if present is not None else 0
    if version <= change.version:
        return None
    left = compare(change.declaration, present)
    if left.kind is ChangeKind.NONE:
        return Applied(change, Outcome.APPLIED, version)
    return Applied(change, Outcome.RACED, version, left.fields)


async def _write(platform: PlatformClient, change: Change) -> Applied | None:
    wanted = change.declaration
    found = await platform.put(wanted.kind, wanted.name, wanted.value, change.version)
    match found:
        case Ok(item):
            return Applied(change, Outcome.APPLIED, item.version)
        case Err(present):
            return _settle(change, present)


async def apply_change(platform: PlatformClient, change: Change) -> Applied:
    """Put a change in force if its object still has the change's version.

    A write whose reply is lost is settled by reading the object back.  It is
    sent again only on the same version, so it takes effect once at most.
    """
    if change.kind is ChangeKind.NONE:
        return Applied(change, Outcome.UNCHANGED, change.version)
    wanted = change.declaration
    unsettled, message = False, "the platform holds no version that it accepts"
    for number in range(TRIES):
        if number:
            await asyncio.sleep(RETRY_S * number)
        settled = None
        try:
            if unsettled:
                present = await platform.get(wanted.kind, wanted.name)
                settled = _settle(change, present)
            settled = settled or await _write(platform, change)
        except PlatformError as exc:
            unsettled |= exc.unknown_effect
            message = str(exc)
        if settled is not None:
            return settled
    outcome = Outcome.UNKNOWN if unsettled else Outcome.UNREACHABLE
    return Applied(change, outcome, message=message)
