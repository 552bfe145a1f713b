"""Facts that spread to every router, the newest version winning."""

from __future__ import annotations

from collections.abc import Callable

from mode import Service

from turmericflow import wire
from turmericflow.services._peers import Peers, PeerUnreachable, Reply
from turmericflow.services._stats import Stats
from turmericflow.tables import Tables

Subscriber = Callable[[wire.Rumour], None]


class Gossip(Service):
    """Spreads facts and tells subscribers of those that are new."""

    def __init__(self, tables: Tables, peers: Peers, stats: Stats) -> None:
        super().__init__()
        self._tables = tables
        self._peers = peers
        self._stats = stats
        self._known: dict[tuple[str, str], wire.Rumour] = {}
        self._subscribers: dict[str, list[Subscriber]] = {}
        peers.handle(wire.Rumours, self._on_rumours)

    def subscribe(self, kind: str, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each new fact of a kind."""
        self._subscribers.setdefault(kind, []).append(subscriber)

    async def publish(
        self, kind: str, name: str, version: int, value: bytes, ttl_s: float
    ) -> None:
        """Spread a fact from here; subscribers here are told as well."""
        rumour = wire.Rumour(kind, name, version, value, ttl_s)
        if self._learn(rumour):
            await self._spread([rumour])

    def _learn(self, rumour: wire.Rumour) -> bool:
        name = (rumour.kind, rumour.name)
        known = self._known.get(name)
        if known is not None and known.version >= rumour.version:
            return False
        self._known[name] = rumour
        for subscriber in self._subscribers.get(rumour.kind, []):
            subscriber(rumour)
        return True

    async def _spread(self, rumours: list[wire.Rumour]) -> None:
        for host in list(self._tables.peers.rows):
            msg = wire.Rumours(self._peers.next_rid(), rumours)
            try:
                await self._peers.send(host, msg, lambda reply: None)
            except PeerUnreachable:
                self._stats.count("gossip.unreachable")

    async def _on_rumours(self, msg: wire.Rumours, reply: Reply) -> None:
        fresh = [rumour for rumour in msg.rumours if self._learn(rumour)]
        if fresh:
            await self._spread(fresh)
