"""Peers: the other entry hosts, and this host's own standing among them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from turmericflow.cfg import Address


class PeerState(enum.StrEnum):
    """What membership holds of a peer."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


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
        Number of its process's life, higher after each restart; a host whose
        incarnation has grown has lost its memory.
    revision
        Number within an incarnation, which only the host itself raises, to
        say that it is ready or leaves, or to refute a suspicion.
    leaving
        Whether it has said that it leaves.
    changed_at
        Time of the last change of state, in seconds of this host's clock.
    last_contact_at
        Time at which it last answered or probed, in seconds of this host's
        clock.
    """

    host: str
    data_centre: str
    entry: Address
    peer: Address
    state: PeerState = PeerState.ALIVE
    incarnation: int = 0
    changed_at: float = 0.0
    revision: int = 0
    leaving: bool = False
    last_contact_at: float = float("-inf")

    @property
    def ready(self) -> bool:
        """Whether it has said since its start that it takes requests."""
        return self.revision > 0


@dataclass(slots=True)
class PeerTable:
    """All other entry hosts that this host knows.

    Attributes
    ----------
    rows
        Peers by host name.
    incarnation, revision
        This host's own numbers.
    ready, leaving
        Whether this host has said that it takes requests, and that it leaves.
    change_count
        Number of changes of membership so far.
    suspects
        Hosts that are suspected now.
    rankings, rankings_at
        Hosts in the order in which a duty falls, and the value of ``change_count``
        for which that was worked out.
    contacts
        Hosts to probe and to send facts to, by `systems.overlay`.
    contacts_at
        Value of ``change_count`` for which ``contacts`` was worked out.
    """

    rows: dict[str, Peer] = field(default_factory=dict)
    incarnation: int = 0
    revision: int = 0
    ready: bool = False
    leaving: bool = False
    change_count: int = 0
    suspects: set[str] = field(default_factory=set)
    rankings: dict[tuple[str, str], list[str]] = field(default_factory=dict)
    rankings_at: int = -1
    contacts: list[str] = field(default_factory=list)
    contacts_at: int = -1
