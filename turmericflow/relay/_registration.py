"""Registers this host in the store."""

from __future__ import annotations

import asyncio

import structlog
from mode import Service

from turmericflow.relay._context import HostContext
from turmericflow.relay._store import Conflict, Kind, StoreFailed

RETRY_PAUSE_S = 0.5

log = structlog.get_logger()


class Registration(Service):
    """Publishes this host's addresses, once for each start of its process."""

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
            return

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
