"""Suspects: contents that ran on targets that were lost."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Loss:
    """Loss of a target at a time in seconds of the wall clock, shared by all hosts."""

    target: str
    at: float


@dataclass(slots=True)
class CrashSuspect:
    """Losses of a content, the prompt with its model, that may crash its targets.

    Attributes
    ----------
    losses
        Losses of targets that it was running on.
    cleared_at
        Time of its last complete answer; losses before it no longer count.
    convicted_at
        Time from which it is refused, or None.
    """

    losses: list[Loss] = field(default_factory=list)
    cleared_at: float = float("-inf")
    convicted_at: float | None = None


@dataclass(slots=True)
class CrashSuspectTable:
    """All contents under suspicion, and the lost targets.

    Attributes
    ----------
    rows
        Suspects by fingerprint of the content.
    lost_at
        Time of the last loss of each target, in seconds of the wall clock.
    """

    rows: dict[str, CrashSuspect] = field(default_factory=dict)
    lost_at: dict[str, float] = field(default_factory=dict)
