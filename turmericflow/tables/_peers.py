"""Peers: the other entry hosts."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from turmericflow.cfg import Address


class PeerState(enum.StrEnum):
    """What membership holds of a peer."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@dataclass(slots=True)
class Peer:
    """One other entry host.

    Attributes
    ----------
    host, data_centre
        Its name and where it is.
    entry, peer
        Addresses for callers and for daemons.
    state
        What membership holds of it.
    incarnation
        Its number, which only the host itself raises.
    changed_at
        Time of the last change of state, in seconds of this host's clock.
    """

    host: str
    data_centre: str
    entry: Address
    peer: Address
    state: PeerState = PeerState.ALIVE
    incarnation: int = 0
    changed_at: float = 0.0


@dataclass(slots=True)
class PeerTable:
    """All other entry hosts that this host knows."""

    rows: dict[str, Peer] = field(default_factory=dict)
