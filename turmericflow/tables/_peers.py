"""Peers: membership state of the other routers and of this host."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from turmericflow.cfg import Address


class PeerState(enum.StrEnum):
    """State of a peer by the failure detector."""

    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(slots=True)
class Peer:
    """Another router.

    Attributes
    ----------
    host, data_centre
        Its name and its data centre.
    entry, peer
        Its addresses for callers and for other routers.
    state
        Its membership state.
    incarnation
        Number of the host's process, higher after each restart; a host with a higher
        incarnation than before has lost its records.
    revision
        Number within an incarnation, which only the host itself raises to
        announce that it is ready or leaving, or to refute a suspicion.
    leaving
        Whether it has announced that it is leaving.
    changed_at
        Time of the last change of state, in seconds of this host's clock.
    last_contact_at
        Time of its last probe or probe reply, in seconds of this host's clock.
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
        """Whether it has announced since its start that it accepts requests."""
        return self.revision > 0


@dataclass(slots=True)
class PeerTable:
    """All other routers that this host knows, and its own state.

    Attributes
    ----------
    rows
        Peers by host name.
    incarnation, revision
        This host's own incarnation and revision.
    ready, leaving
        Whether this host has announced that it accepts requests, and that it is
        leaving.
    change_count
        Number of changes of membership so far.
    suspects
        Hosts that are currently suspected.
    rankings, rankings_at
        Cache of hosts in their order for each role and data centre, and the
        value of ``change_count`` for which it is valid.
    contacts
        Cache of the hosts to probe and to gossip with, by `systems.overlay`.
    contacts_at
        Value of ``change_count`` for which ``contacts`` is valid.
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
