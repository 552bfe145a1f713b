"""Gossip of versioned facts between all routers; the newest version wins."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Iterator

from mode import Service

from turmericflow import wire
from turmericflow.services._peers import Peers, PeerUnreachable, Reply
from turmericflow.services._stats import Stats
from turmericflow.systems import overlay
from turmericflow.tables import FactTable, Tables

FLUSH_DELAY_S = 0.01
EXPIRY_INTERVAL_S = 1.0
SYNC_TIMEOUT_S = 5.0
MAX_BATCH_BYTES = 256_000
MAX_FETCH_NAMES = 1_000

Subscriber = Callable[[wire.Rumour], None]


def _batches(rumours: Iterable[wire.Rumour]) -> Iterator[list[wire.Rumour]]:
    batch: list[wire.Rumour] = []
    size = 0
    for rumour in rumours:
        if batch and size + len(rumour.value) > MAX_BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(rumour)
        size += len(rumour.value) + len(rumour.name)
    if batch:
        yield batch


class Gossip(Service):
    """Spread facts over the overlay and pass new facts to subscribers.

    A `wire.Rumour` is the message form of a fact.

    A fact without a time to live lasts as long as any host runs.  Hosts compare
    digests of such facts with their contacts (anti-entropy), so that a host that
    missed some facts receives them later.
    """

    def __init__(self, tables: Tables, peers: Peers, stats: Stats) -> None:
        super().__init__()
        self._tables = tables
        self._peers = peers
        self._stats = stats
        self.facts = FactTable()
        self._subscribers: dict[str, list[Subscriber]] = {}
        self._pending: dict[tuple[str, str], tuple[wire.Rumour, str]] = {}
        self._wake = asyncio.Event()
        self._syncing: set[str] = set()
        peers.handle(wire.Rumours, self._on_rumours)
        peers.handle(wire.Compare, self._on_compare)
        peers.handle(wire.Fetch, self._on_fetch)

    def subscribe(self, kind: str, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each new fact of a kind."""
        self._subscribers.setdefault(kind, []).append(subscriber)

    async def publish(
        self, kind: str, name: str, version: int, value: bytes, ttl_s: float = 0.0
    ) -> None:
        """Spread a fact to all hosts, and to the subscribers on this host.

        Parameters
        ----------
        kind, name
            Key of the fact.
        version
            Version of the fact; a fact that is not newer than the known one is dropped.
        value
            Encoded value.
        ttl_s
            Time after which each host drops the fact, in seconds; 0 for never.
        """
        self.spread(wire.Rumour(kind, name, version, value, ttl_s))

    def spread(self, rumour: wire.Rumour) -> bool:
        """Spread a fact to all hosts; return whether it was new on this host."""
        return self._learn(rumour, "")

    def _learn(self, rumour: wire.Rumour, sender: str) -> bool:
        if not self.facts.learn(rumour, time.monotonic()):
            return False
        self._pending[rumour.kind, rumour.name] = (rumour, sender)
        self._wake.set()
        for subscriber in self._subscribers.get(rumour.kind, []):
            subscriber(rumour)
        return True

    @Service.task
    async def _flush(self) -> None:
        while not self.should_stop:
            await self._wake.wait()
            await asyncio.sleep(FLUSH_DELAY_S)
            self._wake.clear()
            pending = list(self._pending.values())
            self._pending.clear()
            for host in list(overlay.contacts(self._tables)):
                await self._send(host, [r for r, sender in pending if sender != host])

    @Service.task
    async def _drop_expired(self) -> None:
        while not self.should_stop:
            self.facts.drop_expired(time.monotonic())
            await self.sleep(EXPIRY_INTERVAL_S)

    async def _send(self, host: str, rumours: list[wire.Rumour]) -> None:
        for batch in _batches(rumours):
            msg = wire.Rumours(self._peers.next_rid(), batch, self._tables.host)
            try:
                await self._peers.post(host, msg)
            except PeerUnreachable:
                self._stats.count("gossip.unreachable")
                return

    def _on_rumours(self, msg: wire.Rumours, reply: Reply) -> None:
        for rumour in msg.rumours:
            self._learn(rumour, msg.sender)

    def _on_compare(self, msg: wire.Compare, reply: Reply) -> None:
        buckets = self.facts.differing_buckets(msg.buckets)
        versions = self.facts.versions(buckets)
        reply(wire.Differences(msg.rid, buckets, versions))

    def _on_fetch(self, msg: wire.Fetch, reply: Reply) -> None:
        facts = [self.facts.get(each.kind, each.name) for each in msg.names]
        batch = next(_batches(rumour for rumour in facts if rumour is not None), [])
        reply(wire.Rumours(msg.rid, batch, self._tables.host))

    async def sync(self, host: str) -> bool:
        """Exchange missing and outdated facts with another host.

        Returns
        -------
        bool
            False if the other host did not answer, or if a sync with it is running.
        """
        if host in self._syncing:
            return False
        self._syncing.add(host)
        try:
            await self._sync(host)
        except PeerUnreachable:
            return False
        finally:
            self._syncing.discard(host)
        return True

    async def _sync(self, host: str) -> None:
        self._stats.count("gossip.syncs")
        msg = wire.Compare(self._peers.next_rid(), list(self.facts.buckets))
        differences = await self._peers.call(host, msg, SYNC_TIMEOUT_S)
        wanted, offered = self.facts.compare(differences.buckets, differences.versions)
        while wanted:
            names = wanted[:MAX_FETCH_NAMES]
            msg = wire.Fetch(self._peers.next_rid(), names)
            reply = await self._peers.call(host, msg, SYNC_TIMEOUT_S)
            for rumour in reply.rumours:
                self._learn(rumour, host)
            received = {(rumour.kind, rumour.name) for rumour in reply.rumours}
            remaining = [
                each for each in names if (each.kind, each.name) not in received
            ]
            # A reply is limited in size; names that it leaves out are fetched again.
            # An empty reply means that the host has none of them any more.
            wanted = (remaining if received else []) + wanted[MAX_FETCH_NAMES:]
        await self._send(host, offered)
