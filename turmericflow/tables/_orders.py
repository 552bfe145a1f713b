"""Orders to targets, and the lease that allows a host to send them."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Lease:
    """This host's view of the lease for its data centre's orders.

    Attributes
    ----------
    holder
        Name of the host that holds the lease, or empty.
    version
        Version of the lease object on the platform.
    seen_at
        Time at which this version was first seen, in seconds of this host's
        clock.
    renewed_at
        Time just before this host sent its last successful renewal.
    taken_at
        Time at which this host acquired the lease.
    fence
        Fencing token: the object's version when this host acquired the lease; 0 if
        it does not hold the lease.
    """

    holder: str = ""
    version: int = 0
    seen_at: float = float("-inf")
    renewed_at: float = float("-inf")
    taken_at: float = float("-inf")
    fence: int = 0


@dataclass(slots=True, frozen=True)
class PendingOrder:
    """Models of the last order to a target, and the time at which it was sent."""

    models: frozenset[str]
    sent_at: float


@dataclass(slots=True)
class OrderTable:
    """State of the placement of models.

    Attributes
    ----------
    lease
        Lease for the orders of this data centre.
    pending
        Orders whose result the targets have not reported yet, by target.
    moved_at
        Time of the last order due to demand alone, by service.
    routed_at
        Time at which this host last routed to each ``model/adapter/version``, by
        service.
    """

    lease: Lease = field(default_factory=Lease)
    pending: dict[str, PendingOrder] = field(default_factory=dict)
    moved_at: dict[str, float] = field(default_factory=dict)
    routed_at: dict[str, dict[str, float]] = field(default_factory=dict)
