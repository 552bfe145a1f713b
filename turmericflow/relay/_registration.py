"""Registers this host in the store."""

from __future__ import annotations

import asyncio

import structlog
from mode import Service

from turmericflow.relay._context import HostContext
from turmericflow.relay._revisions import era_of
from turmericflow.relay._store import Conflict, Kind, StoreFailed

RETRY_PAUSE_S = 0.5
ERA_CHECK_INTERVAL_S = 0.25
# Of all hosts together, as they all write when the store was restored.
MAX_WRITES_PER_S = 100.0

log = structlog.get_logger()


class Registration(Service):
    """Publishes this host's addresses, at its start and in each era of the store."""

    def __init__(self, ctx: HostContext) -> None:
        super().__init__()
        self._ctx = ctx

    @Service.task
    async def _publish(self) -> None:
        while not self.should_stop:
            try:
                revision = await self._publish_once()
            except StoreFailed as exc:
                log.info("entry_not_published", reason=str(exc))
                await asyncio.sleep(RETRY_PAUSE_S * (0.5 + self._ctx.rng.random()))
                continue
            log.info("entry_published", revision=revision)
            await self._wait_for_era(era_of(revision))

    async def _wait_for_era(self, published_in: int) -> None:
        """Wait until the store may have lost the entry that was published in an era."""
        while self._ctx.store.era == published_in and not self.should_stop:
            await self.sleep(ERA_CHECK_INTERVAL_S)
        hosts = 1 + len(self._ctx.tables.hosts.rows)
        await self.sleep(self._ctx.rng.random() * hosts / MAX_WRITES_PER_S)

    async def _publish_once(self) -> int:
        own = self._ctx.tables.hosts.own
        store = self._ctx.store
        try:
            return await store.publish(own, None)
        except Conflict:
            listing = await store.read(Kind.HOSTS)
        for row in listing.rows:
            if row.name == own.name:
                return await store.publish(own, row.revision)
        raise StoreFailed(
            "got a conflict with this host's entry, but the store lists no such entry"
        )
