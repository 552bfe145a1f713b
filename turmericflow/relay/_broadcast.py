"""Broadcasts each host's status to all hosts along two rings, once on each.

A host sends its status to its connected peers and assigns each of them the part of
the ring up to the next peer.  A peer forwards the status within its part in the same
way, so that a status takes few hops and reaches each host once per ring.  The rings
order the hosts differently: a host that fails to forward a status may cut off others
on one ring, but rarely on both.

Two kinds of rings exist.  The rings over all hosts are those of `ring_position`.  The
rings by data centre have the hosts of one data centre each, in the same two orders: the
sender hands its status to one host of each other data centre per ring, which has the
whole ring there, so that a status crosses each boundary once per ring.  A span names
its ring, so each host forwards it in the order that the sender chose.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from functools import lru_cache
from types import MappingProxyType
from typing import Generic, NamedTuple, TypeVar

import msgspec
import xxhash

from turmericflow.relay._host_tables import HostStatus

S = TypeVar("S", bound=HostStatus)

RINGS = 2
MAX_CACHED_POSITIONS = 8192  # of hosts on rings; each status needs several


class Span(msgspec.Struct, array_like=True, frozen=True):
    """A contiguous part of a ring.

    Attributes
    ----------
    ring
        Index of the ring; from `RINGS` on those by data centre.
    until
        Name of the host at which the part ends; exclusive.
    centres
        Other data centres to which the receiver hands the status as well.
    """

    ring: int
    until: str
    centres: tuple[str, ...] = ()


class RoutedStatus(msgspec.Struct, Generic[S], array_like=True):
    """A status, and the parts of rings within which its receiver forwards it."""

    status: S
    spans: list[Span]


class Peer(NamedTuple):
    """What is known of a connected peer.

    Attributes
    ----------
    centre
        Its data centre, or an empty string if it is unknown.
    forwards
        Whether it forwards on the rings by data centre.
    """

    centre: str
    forwards: bool


class Recipient(NamedTuple):
    """A peer to send a status to, and the part of a ring that it forwards to."""

    peer: str
    span: Span


@lru_cache(maxsize=MAX_CACHED_POSITIONS)
def ring_position(ring: int, name: str) -> str:
    """Return the sort key of a host on a ring: its name, or a hash of its name."""
    return name if ring == 0 else xxhash.xxh3_64_hexdigest(name.encode())


def ring_successors(ring: int, names: Iterable[str], own: str) -> list[str]:
    """Return the names in ring order, starting after this host's own name."""
    own_position = ring_position(ring, own)
    keyed = ((ring_position(ring, name), name) for name in names if name != own)
    return [
        name for _, name in sorted(keyed, key=lambda k: (k[0] <= own_position, k[0]))
    ]


def full_spans(own: str) -> list[Span]:
    """Return a span of all other hosts for each ring over all hosts."""
    return [Span(ring, own) for ring in range(RINGS)]


def centre_spans(own: str, centres: Iterable[str]) -> list[Span]:
    """Return a span of all hosts in some data centres for each ring by data centre."""
    centres = tuple(sorted(centres))
    return [Span(RINGS + ring, own, centres) for ring in range(RINGS)]


def _leaf_span(peer: str) -> Span:
    """Return a span in which a peer of any build has no other host.

    No other name sorts between a name and that name with the lowest character added.
    """
    return Span(0, peer + "\0")


class _Ring:
    """Some peers of a host in the order of a ring."""

    __slots__ = ("_order", "_own_position", "names", "_keys")

    def __init__(self, order: int, own: str, names: Iterable[str]) -> None:
        self._order = order
        self._own_position = ring_position(order, own)
        self.names = ring_successors(order, names, own)
        self._keys = [self._key(name) for name in self.names]

    def _key(self, name: str) -> tuple[bool, str]:
        position = ring_position(self._order, name)
        return position <= self._own_position, position

    def before(self, until: str) -> list[str]:
        """Return the peers before a host, or all if it is this host."""
        return self.names[: bisect_left(self._keys, self._key(until))]

    def split(self, span: Span, wraps: bool = True) -> list[Recipient]:
        """Split a part of the ring among the peers in it.

        Each peer gets the part up to the next peer.  For a whole ring, the last
        peer also gets the hosts between this host and the first peer.  Only the sender
        of a status may wrap in this way, as it drops its own status; another host would
        get it again and forward it without end.
        """
        until = span.until
        peers = self.before(until)
        if wraps and peers and ring_position(self._order, until) == self._own_position:
            until = peers[0]
        return [
            Recipient(peer, Span(span.ring, following))
            for peer, following in zip(peers, [*peers[1:], until])
        ]


class Rings:
    """The peers of a host in the order of each ring.

    Parameters
    ----------
    own
        Name of the host.
    names
        Names of its connected peers.
    centre
        Data centre of the host.
    peers
        What is known of peers; the rings by data centre have only these.
    """

    __slots__ = ("_own", "_centre", "_rings", "_centre_rings", "_leaves", "_gateways")

    def __init__(
        self,
        own: str,
        names: Iterable[str],
        centre: str = "",
        peers: Mapping[str, Peer] = MappingProxyType({}),
    ) -> None:
        names = list(names)
        self._own = own
        self._centre = centre
        self._rings = [_Ring(order, own, names) for order in range(RINGS)]
        known = [(name, peers[name]) for name in names if name in peers]
        near = [name for name, peer in known if peer == (centre, True)]
        earlier = [name for name, peer in known if peer == (centre, False)]
        self._centre_rings = [_Ring(order, own, near) for order in range(RINGS)]
        self._leaves = [_Ring(order, own, earlier) for order in range(RINGS)]
        self._gateways: dict[str, list[str]] = {}
        # In an order by hash that starts at this host, so that hosts differ.
        for name in ring_successors(1, (name for name, _ in known), own):
            if peers[name].forwards:
                self._gateways.setdefault(peers[name].centre, []).append(name)

    def split(self, span: Span, origin: str = "", number: int = 0) -> list[Recipient]:
        """Return the peers in a part of a ring, and the part that each forwards to.

        Parameters
        ----------
        span
            The part; none of the peers is in one of a ring that is unknown here.
        origin, number
            The sender and sequence number of the status.
        """
        if 0 <= span.ring < RINGS:
            return self._rings[span.ring].split(span)
        order = span.ring - RINGS
        if not 0 <= order < RINGS:
            return []
        near = self._centre_rings[order].split(span, wraps=origin == self._own)
        far, unlinked = self._hand_over(span, origin, number)
        if unlinked:
            # Each ring tries another way: through a data centre, and through this one.
            ways = (far, near) if order == 0 else (near, far)
            found = next((way for way in ways if way), None)
            if found is not None:
                peer, part = found[-1]
                centres = part.centres + tuple(unlinked)
                found[-1] = Recipient(peer, Span(part.ring, part.until, centres))
        leaves = self._leaves[order].before(span.until)
        return near + far + [Recipient(peer, _leaf_span(peer)) for peer in leaves]

    def _hand_over(
        self, span: Span, origin: str, number: int
    ) -> tuple[list[Recipient], list[str]]:
        """Return a host of each other data centre, and those without a stream to any.

        The hosts differ between the two rings and from one status to the next: what a
        silent host does not forward arrives by the other ring or with the next status.
        """
        far: list[Recipient] = []
        unlinked = []
        for centre in span.centres:
            if centre == self._centre and self._centre_rings[0].names:
                continue
            gateways = self._gateways.get(centre, [])
            peer = gateways[(number + span.ring) % len(gateways)] if gateways else ""
            if peer == origin:
                peer = (
                    gateways[(number + span.ring + 1) % len(gateways)] if peer else ""
                )
            if peer and peer != origin and centre != self._centre:
                far.append(Recipient(peer, Span(span.ring, peer)))
            else:
                unlinked.append(centre)
        return far, unlinked


class Outbox:
    """Queue of statuses for one peer, with only the newest status of each host."""

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue: dict[str, RoutedStatus] = {}

    def put(self, status: HostStatus, span: Span) -> None:
        """Queue a status for a part of a ring.

        It replaces an older queued status of the same host and inherits the parts of
        the other rings.
        """
        name = status.entry.name
        queued = self._queue.get(name)
        if queued is None:
            self._queue[name] = RoutedStatus(status, [span])
            return
        queued.status = status
        queued.spans = [other for other in queued.spans if other.ring != span.ring]
        queued.spans.append(span)

    def drain(self) -> list[RoutedStatus]:
        """Remove and return all queued statuses."""
        queued, self._queue = list(self._queue.values()), {}
        return queued
