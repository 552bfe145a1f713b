"""Contents that ran on targets when these were lost."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Loss:
    """One loss of a target: which, and when, in seconds of a shared clock."""

    target: str
    at: float


@dataclass(slots=True)
class Suspect:
    """A content under suspicion.

    Attributes
    ----------
    losses
        Losses at which it ran on the target.
    cleared_at
        Time up to which its losses no longer count.
    convicted_at
        Time of its conviction, or None.
    """

    losses: list[Loss] = field(default_factory=list)
    cleared_at: float = float("-inf")
    convicted_at: float | None = None


@dataclass(slots=True)
class SuspectTable:
    """All contents under suspicion, and the targets lost.

    Attributes
    ----------
    rows
        Suspects by fingerprint.
    lost_at
        Time of the last loss of each target, in seconds of a shared clock.
    """

    rows: dict[str, Suspect] = field(default_factory=dict)
    lost_at: dict[str, float] = field(default_factory=dict)
