"""Entry addresses that callers are given."""

from __future__ import annotations

from random import Random

from turmericflow.cfg import Address
from turmericflow.systems import _membership as membership
from turmericflow.tables import PeerState, Tables

MAX_NEAR_ADDRESSES = 6
MAX_FAR_ADDRESSES = 6


def order_for_caller(
    tables: Tables, own: Address, data_centre: str, rng: Random
) -> list[Address]:
    """Return entry addresses in the order in which a caller should try them.

    Hosts in the caller's data centre come first; both groups are shuffled to
    spread callers over the hosts.  Hosts that are suspected, leaving or not yet
    ready are left out.  If no host is left, this host is returned.

    Parameters
    ----------
    tables
        The host's tables.
    own
        This host's entry address.
    data_centre
        The caller's data centre, or this host's if that is unknown.
    rng
        Source of randomness.
    """
    near: list[Address] = []
    far: list[Address] = []
    for host in membership.staying_hosts(tables):
        if host == tables.host:
            if not tables.peers.ready:
                continue
            address, centre = own, tables.data_centre
        else:
            row = tables.peers.rows[host]
            if row.state is not PeerState.ALIVE or not row.ready:
                continue
            address, centre = row.entry, row.data_centre
        (near if centre == data_centre else far).append(address)
    near = rng.sample(near, min(MAX_NEAR_ADDRESSES, len(near)))
    far = rng.sample(far, min(MAX_FAR_ADDRESSES, len(far)))
    return [*near, *far] or [own]
