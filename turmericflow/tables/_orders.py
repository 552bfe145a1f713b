"""Orders to targets, and the lease under which they are given."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Lease:
    """The lease of this data centre's orders, as this host knows it.

    Attributes
    ----------
    holder
        Host that holds it, or empty.
    version
        Version of the platform's object.
    seen_at
        Time at which this version was first seen, in seconds of this host's
        clock.
    renewed_at
        Time just before this host sent its last successful renewal.
    taken_at
        Time at which this host took it.
    fence
        Fencing number of this host's tenure: the version with which it began.
    """

    holder: str = ""
    version: int = 0
    seen_at: float = float("-inf")
    renewed_at: float = float("-inf")
    taken_at: float = float("-inf")
    fence: int = 0


@dataclass(slots=True, frozen=True)
class PendingOrder:
    """What a target was last told to have loaded, and when."""

    models: frozenset[str]
    sent_at: float


@dataclass(slots=True)
class OrderTable:
    """State of the placement of models.

    Attributes
    ----------
    lease
        The lease.
    pending
        Orders that the targets' reports do not show yet, by target.
    moved_at
        Time of the last move that only demand asked for, by service.
    routed_at
        Time at which each ``model/adapter/version`` was last routed to by this
        host, by service.
    """

    lease: Lease = field(default_factory=Lease)
    pending: dict[str, PendingOrder] = field(default_factory=dict)
    moved_at: dict[str, float] = field(default_factory=dict)
    routed_at: dict[str, dict[str, float]] = field(default_factory=dict)
