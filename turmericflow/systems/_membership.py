"""Membership: SWIM-style failure detection by probes, suspicion and refutation.

A host's state is packed into one number, its member version.  Versions are
ordered by the host's incarnation, then by the revision that only the host itself
raises, then by the state: within one revision, "suspect" overrides "alive" and
"dead" overrides both.
"""

from __future__ import annotations

from dataclasses import dataclass

from turmericflow.cfg import Address
from turmericflow.tables import Peer, PeerState, Tables

SUSPICION_TIMEOUT_S = 1.0
START_GRACE_S = 5.0
FORGET_DEAD_S = 600.0

_RANKS = (PeerState.ALIVE, PeerState.LEAVING, PeerState.SUSPECT, PeerState.DEAD)
_STATE_BITS = 2
_REVISION_BITS = 18
_MAX_REVISION = (1 << _REVISION_BITS) - 1


@dataclass(slots=True, frozen=True)
class MemberInfo:
    """Data centre and addresses of a member."""

    data_centre: str
    entry: Address
    peer: Address


def pack_version(incarnation: int, revision: int, state: PeerState) -> int:
    """Return the member version for an incarnation, revision and state."""
    number = incarnation << _REVISION_BITS | min(revision, _MAX_REVISION)
    return number << _STATE_BITS | _RANKS.index(state)


def unpack_version(version: int) -> tuple[int, int, PeerState]:
    """Return incarnation, revision and state of a member version."""
    number, rank = version >> _STATE_BITS, version & (1 << _STATE_BITS) - 1
    return number >> _REVISION_BITS, number & _MAX_REVISION, _RANKS[rank]


def version_of(peer: Peer) -> int:
    """Return the member version that this host has of a peer."""
    return pack_version(peer.incarnation, peer.revision, peer.state)


def own_version(tables: Tables) -> int:
    """Return this host's own member version."""
    state = PeerState.LEAVING if tables.peers.leaving else PeerState.ALIVE
    return pack_version(tables.peers.incarnation, tables.peers.revision, state)


def learn(
    tables: Tables, host: str, version: int, info: MemberInfo, now: float
) -> bool:
    """Apply a member version of another host if it is newer.

    Returns
    -------
    bool
        Whether it was newer.
    """
    row = tables.peers.rows.get(host)
    if row is None:
        row = Peer(host, info.data_centre, info.entry, info.peer, incarnation=-1)
        tables.peers.rows[host] = row
    elif version <= version_of(row):
        return False
    incarnation, revision, state = unpack_version(version)
    row.leaving = state is PeerState.LEAVING or (
        row.leaving and incarnation == row.incarnation and state is not PeerState.ALIVE
    )
    row.data_centre, row.entry, row.peer = info.data_centre, info.entry, info.peer
    row.incarnation, row.revision, row.state = incarnation, revision, state
    row.changed_at = now
    if state is PeerState.SUSPECT:
        tables.peers.suspects.add(host)
    else:
        tables.peers.suspects.discard(host)
    tables.peers.change_count += 1
    return True


def refute(tables: Tables, claimed_version: int) -> bool:
    """Raise this host's version above one that another host claims for it.

    Returns
    -------
    bool
        Whether this host's version was raised and must be gossiped.
    """
    if claimed_version <= own_version(tables):
        return False
    incarnation, revision, _ = unpack_version(claimed_version)
    peers = tables.peers
    if incarnation > peers.incarnation:
        # A revision above 0 means that the host has announced that it is ready.
        peers.incarnation, peers.revision = incarnation + 1, int(peers.ready)
    else:
        peers.revision = revision + 1
    return True


def set_ready(tables: Tables) -> None:
    """Mark this host as ready to accept requests."""
    tables.peers.ready = True
    tables.peers.revision += 1
    tables.peers.change_count += 1


def set_leaving(tables: Tables, leaving: bool) -> bool:
    """Mark this host as leaving, or as staying again.

    Returns
    -------
    bool
        Whether that changed and must be gossiped.
    """
    if tables.peers.leaving is leaving:
        return False
    tables.peers.leaving = leaving
    tables.peers.revision += 1
    tables.peers.change_count += 1
    return True


def suspect(tables: Tables, host: str, now: float, started_at: float) -> int | None:
    """Return the member version that suspects a host that answered no probe.

    Returns
    -------
    int or None
        The version to gossip; None if the host is already suspected or dead,
        or if it was never in contact and this host has only just started.
    """
    row = tables.peers.rows[host]
    if row.state in (PeerState.SUSPECT, PeerState.DEAD):
        return None
    never_contacted = row.last_contact_at == float("-inf")
    if never_contacted and now - started_at < START_GRACE_S:
        return None
    return pack_version(row.incarnation, row.revision, PeerState.SUSPECT)


def expired_suspects(tables: Tables, now: float) -> list[tuple[str, int]]:
    """Return the suspects that did not refute in time, with their versions as dead.

    Each version declares its host dead once it is gossiped.
    """
    rows = (tables.peers.rows[host] for host in sorted(tables.peers.suspects))
    return [
        (row.host, pack_version(row.incarnation, row.revision, PeerState.DEAD))
        for row in rows
        if now - row.changed_at >= SUSPICION_TIMEOUT_S
    ]


def live_hosts(tables: Tables) -> list[str]:
    """Return this host and all others not considered dead, sorted.

    Leaving hosts are included: they run until their work is done.
    """
    rows = tables.peers.rows.values()
    found = [row.host for row in rows if row.state is not PeerState.DEAD]
    return sorted([*found, tables.host])


def staying_hosts(tables: Tables) -> list[str]:
    """Return the live hosts that are not leaving, sorted.

    Only these are given long-lived roles.
    """
    found = [] if tables.peers.leaving else [tables.host]
    for row in tables.peers.rows.values():
        if row.state is not PeerState.DEAD and not row.leaving:
            found.append(row.host)
    return sorted(found)


def data_centre_of(tables: Tables, host: str) -> str:
    """Return the data centre of this host or a peer."""
    if host == tables.host:
        return tables.data_centre
    return tables.peers.rows[host].data_centre


def in_majority(tables: Tables, now: float) -> bool:
    """Return whether this host and its live peers outnumber the dead peers.

    Dead peers that had announced leaving, or died long ago, are not counted.
    """
    alive, dead = 1, 0
    for row in tables.peers.rows.values():
        if row.state is not PeerState.DEAD:
            alive += 1
        elif not row.leaving and now - row.changed_at < FORGET_DEAD_S:
            dead += 1
    return alive > dead
