"""How a status reaches all hosts: along two rings, once on each.

A host sends its status to the hosts that it has a stream to, and gives each of them
the part of the ring up to the next one to pass it on to.  They do the same with their
part, so that a status takes few hops and comes to each host once for each ring.  The
rings order the hosts differently: a host that does not pass on what it gets keeps a
status from others on one ring, rarely on both.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from typing import NamedTuple

import msgspec
import xxhash

from turmericflow.relay._host_tables import HostStatus

RINGS = 2


class Span(msgspec.Struct, array_like=True, frozen=True):
    """A part of a ring.

    Attributes
    ----------
    ring
        Number of the ring.
    until
        The host that ends the part and is not in it.
    """

    ring: int
    until: str


class RoutedStatus(msgspec.Struct, array_like=True):
    """A status, and the parts of rings that its receiver passes it on to."""

    status: HostStatus
    spans: list[Span]


class Recipient(NamedTuple):
    """A host to send a status to, and its part of a ring."""

    peer: str
    span: Span


def ring_position(ring: int, name: str) -> str:
    """Return what orders a host on a ring: its name, or the name's hash."""
    return name if ring == 0 else xxhash.xxh3_64_hexdigest(name.encode())


def ring_successors(ring: int, names: Iterable[str], own: str) -> list[str]:
    """Return the names that follow one's own on a ring, the nearest first."""
    mine = ring_position(ring, own)
    keyed = ((ring_position(ring, name), name) for name in names if name != own)
    return [name for _, name in sorted(keyed, key=lambda k: (k[0] <= mine, k[0]))]


def full_spans(own: str) -> list[Span]:
    """Return the spans of a host's own status: all other hosts, on each ring."""
    return [Span(ring, own) for ring in range(RINGS)]


class Rings:
    """The hosts that a host has streams to, in the order of each ring."""

    __slots__ = ("_own", "_names", "_keys")

    def __init__(self, own: str, names: Iterable[str]) -> None:
        self._own = [ring_position(ring, own) for ring in range(RINGS)]
        names = list(names)
        self._names = [ring_successors(ring, names, own) for ring in range(RINGS)]
        self._keys = [
            [self._key(ring, name) for name in self._names[ring]]
            for ring in range(RINGS)
        ]

    def _key(self, ring: int, name: str) -> tuple[bool, str]:
        place = ring_position(ring, name)
        return place <= self._own[ring], place

    def split(self, span: Span) -> list[Recipient]:
        """Return which hosts get a status for a part of a ring, and their parts.

        For a whole ring the last of them gets the hosts before the first as well,
        which this host has no stream to.
        """
        ring, until = span.ring, span.until
        end = bisect_left(self._keys[ring], self._key(ring, until))
        peers = self._names[ring][:end]
        if peers and ring_position(ring, until) == self._own[ring]:
            until = peers[0]
        return [
            Recipient(peer, Span(ring, following))
            for peer, following in zip(peers, [*peers[1:], until])
        ]


class Outbox:
    """Statuses that wait to be sent to one host, the newest of each origin."""

    __slots__ = ("_told",)

    def __init__(self) -> None:
        self._told: dict[str, RoutedStatus] = {}

    def put(self, status: HostStatus, span: Span) -> None:
        """Add a status for a part of a ring; a newer one takes over older ones'."""
        name = status.entry.name
        told = self._told.get(name)
        if told is None:
            self._told[name] = RoutedStatus(status, [span])
            return
        told.status = status
        told.spans = [each for each in told.spans if each.ring != span.ring]
        told.spans.append(span)

    def drain(self) -> list[RoutedStatus]:
        """Return what waits, and forget it."""
        told, self._told = list(self._told.values()), {}
        return told
