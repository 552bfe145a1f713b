"""Gossip overlay: the few hosts that a host probes and sends facts to.

Hosts are placed on several rings by a salted hash, as in consistent hashing; a
host's contacts are its successors on these rings.  Two rings contain all hosts
and two the hosts of one data centre.  Thus a host has at most four contacts in a
fleet of any size, facts reach all hosts in a logarithmic number of hops, and few
of them cross between data centres.
"""

from __future__ import annotations

import xxhash

from turmericflow.systems import _membership as membership
from turmericflow.tables import PeerState, Tables

GLOBAL_RINGS = ("global-1", "global-2")
LOCAL_RINGS = ("local-1", "local-2")
FULL_MESH_HOSTS = 5
WATCHERS = 2  # in each data centre


def _ring_position(salt: str, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{salt}\0{host}".encode())


def _successor(salt: str, host: str, others: list[str]) -> str:
    own = _ring_position(salt, host)
    return min(
        others, key=lambda other: (_ring_position(salt, other) - own) % (1 << 64)
    )


def successors(hosts: list[str], host: str, limit: int) -> list[str]:
    """Return up to ``limit`` hosts that follow a host on the first ring."""
    own = _ring_position(GLOBAL_RINGS[0], host)

    def distance(other: str) -> int:
        return (_ring_position(GLOBAL_RINGS[0], other) - own) % (1 << 64)

    return sorted(hosts, key=distance)[:limit]


def contacts(tables: Tables) -> list[str]:
    """Return the hosts that this host probes and sends facts to."""
    peers = tables.peers
    if peers.contacts_at == peers.change_count:
        return peers.contacts
    rows = [row for row in peers.rows.values() if row.state is not PeerState.DEAD]
    found = [row.host for row in rows]
    if len(found) > FULL_MESH_HOSTS:
        local = [row.host for row in rows if row.data_centre == tables.data_centre]
        chosen = [_successor(salt, tables.host, found) for salt in GLOBAL_RINGS]
        for salt in LOCAL_RINGS if local else ():
            chosen.append(_successor(salt, tables.host, local))
        found = list(dict.fromkeys(chosen))
    peers.contacts, peers.contacts_at = found, peers.change_count
    return found


def rank_hosts(tables: Tables, role: str, data_centre: str) -> list[str]:
    """Return a data centre's staying hosts in their order for a role.

    The first hosts of the list have the role.
    """
    peers = tables.peers
    if peers.rankings_at != peers.change_count:
        peers.rankings.clear()
        peers.rankings_at = peers.change_count
    found = peers.rankings.get((role, data_centre))
    if found is None:
        hosts = [
            host
            for host in membership.staying_hosts(tables)
            if membership.data_centre_of(tables, host) == data_centre
        ]
        found = sorted(hosts, key=lambda host: _ring_position(role, host))
        peers.rankings[role, data_centre] = found
    return found


def is_watcher(tables: Tables) -> bool:
    """Return whether this host watches the platform for its data centre."""
    ranking = rank_hosts(tables, "watcher", tables.data_centre)
    return tables.host in ranking[:WATCHERS]
