"""Applies configuration and the owner map, from the platform and from peers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec
import structlog
from mode import Service
from pydantic import ValidationError

from turmericflow import wire
from turmericflow.profile import CUSTOMER_ADAPTER, MARK_ADAPTER, PROFILE_ADAPTER
from turmericflow.services._context import HostContext
from turmericflow.services._platform import (
    PlatformError,
    PlatformObject,
)
from turmericflow.systems import freshness, orders, overlay, owner_map, polling, slots

OBJECT = "object"
GOSSIPED_KINDS = frozenset({"customer", "mark", "owners", "profile"})
WATCH_RETRY_S = 0.5
WATCH_WAIT_S = 2.0
WATCHER_CHECK_S = 0.5
PENDING_PROFILES_CHECK_S = 0.2
STALE_S = 10.0
BOOTSTRAP_STEP_TIMEOUT_S = 2.0
OBJECTS_PER_YIELD = 500

log = structlog.get_logger()


class Config(Service):
    """Keep this host's configuration up to date.

    The watchers of a data centre watch the platform and gossip changed objects.
    All other hosts learn from peers, and poll the platform in turn once neither
    they nor their peers have had contact with the platform for ``STALE_S``.
    """

    def __init__(self, ctx: HostContext) -> None:
        super().__init__()
        self._tables = ctx.tables
        self._tables.config.bootstrapped = False
        self._platform = ctx.platform
        self._gossip = ctx.gossip
        self._stats = ctx.stats
        self._rng = ctx.rng
        self._pending_profiles: set[str] = set()
        # Objects received before the bootstrap has ended; None afterwards.
        self._deferred: list[wire.Rumour] | None = []
        self._listeners: list[Callable[[str, str], None]] = []
        self._gossip.subscribe(OBJECT, self._on_fact)

    def on_change(self, listener: Callable[[str, str], None]) -> None:
        """Call ``listener`` with the kind and name of each applied object."""
        self._listeners.append(listener)

    def publish(self, item: PlatformObject) -> None:
        """Gossip an object of the platform, and apply it here, if it is new."""
        if item.kind not in GOSSIPED_KINDS:
            return
        value = msgspec.json.encode(item.value)
        path = f"{item.kind}/{item.name}"
        self._gossip.spread(wire.Rumour(OBJECT, path, item.version, value, 0.0))

    @Service.task
    async def _run(self) -> None:
        await self._bootstrap()
        while not self.should_stop:
            if not overlay.is_watcher(self._tables):
                await self.sleep(WATCHER_CHECK_S)
            elif not await self._query_platform(WATCH_WAIT_S):
                await self.sleep(WATCH_RETRY_S)

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            await self.sleep(polling.poll_wait_s(self._tables, self._rng))
            if self._deferred is None and self._is_stale():
                await self._query_platform(0.0)

    def _is_stale(self) -> bool:
        """Return whether this host and its peers had no recent platform contact."""
        age_s = freshness.config_age_s(self._tables, time.monotonic())
        return age_s > STALE_S and not overlay.is_watcher(self._tables)

    async def _bootstrap(self) -> None:
        """Get objects from peers and the platform before any of them is applied."""
        contacts = list(overlay.contacts(self._tables))
        syncs = [asyncio.ensure_future(self._gossip.sync(host)) for host in contacts]
        if syncs:
            await asyncio.wait(syncs, timeout=BOOTSTRAP_STEP_TIMEOUT_S)
        query = asyncio.ensure_future(self._query_platform(0.0))
        await asyncio.wait([query], timeout=BOOTSTRAP_STEP_TIMEOUT_S)
        deferred, self._deferred = self._deferred, None
        for number, rumour in enumerate(deferred):
            self._on_fact(rumour)
            if number % OBJECTS_PER_YIELD == 0:
                await asyncio.sleep(0)
        self._tables.config.bootstrapped = True
        log.info("joined", objects=len(self._tables.config.versions))

    async def _query_platform(self, wait_s: float) -> bool:
        sent_at = time.monotonic()
        try:
            seen = self._tables.config.seen_version
            answer = await self._platform.watch(seen, wait_s, GOSSIPED_KINDS)
        except PlatformError:
            self._stats.count("platform.errors")
            return False
        for item in answer.items:
            self.publish(item)
        confirmed_at = time.monotonic() if wait_s else sent_at
        if not polling.confirm_version(self._tables, answer.version, confirmed_at):
            self._stats.count("platform.old_answers")
            return False
        return True

    def _on_fact(self, rumour: wire.Rumour) -> None:
        if self._deferred is not None:
            self._deferred.append(rumour)
            return
        if not polling.is_newer(self._tables, rumour.name, rumour.version):
            return
        kind, _, name = rumour.name.partition("/")
        try:
            value = msgspec.json.decode(rumour.value)
            self._apply_object(kind, name, value, rumour.version)
        except (ValidationError, KeyError, TypeError, ValueError, IndexError) as exc:
            log.warning("object_invalid", path=rumour.name, error=str(exc))
            self._stats.count("config.invalid")
            return
        self._tables.config.versions[rumour.name] = rumour.version
        log.info("object_in_force", path=rumour.name, version=rumour.version)
        for listener in self._listeners:
            listener(kind, name)

    def _apply_object(self, kind: str, name: str, value: object, version: int) -> None:
        table = self._tables.config
        match kind:
            case "profile":
                _set_or_delete(table.declared, name, value, PROFILE_ADAPTER)
                self._route_profile(name)
            case "customer":
                _set_or_delete(table.customers, name, value, CUSTOMER_ADAPTER)
            case "mark":
                _set_or_delete(table.marks, name, value, MARK_ADAPTER)
            case "owners" if value is not None:
                self._apply_owner_map(value, version)

    def _route_profile(self, name: str) -> None:
        """Set the profile that requests use, which may lag behind the declared one.

        A changed model is used once enough engines report it.
        """
        table = self._tables.config
        declared = table.declared.get(name)
        if declared is None:
            table.profiles.pop(name, None)
            return
        current = table.profiles.get(name)
        effective = orders.effective_profile(declared, current, self._tables)
        table.profiles[name] = effective
        if effective is declared:
            self._pending_profiles.discard(name)
        else:
            self._pending_profiles.add(name)

    @Service.task
    async def _route_pending_profiles(self) -> None:
        while not self.should_stop:
            for name in list(self._pending_profiles):
                self._route_profile(name)
            await asyncio.sleep(PENDING_PROFILES_CHECK_S)

    def _apply_owner_map(self, value: dict, version: int) -> None:
        entries, hosts = owner_map.decode(value)
        slots.apply_map(self._tables, version, entries, hosts, time.monotonic())


def _set_or_delete(table: dict, name: str, value: object, adapter) -> None:
    if value is None:
        table.pop(name, None)
    else:
        table[name] = adapter.validate_python(value)
