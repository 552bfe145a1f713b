"""Puts configuration and the owner map in force, from the platform and peers."""

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
RETRY_S = 0.5
WATCH_WAIT_S = 2.0
DUTY_CHECK_S = 0.5
HELD_BACK_S = 0.2
STALE_S = 10.0
JOIN_S = 2.0
YIELD_OBJECTS = 500

log = structlog.get_logger()


class Config(Service):
    """Keeps the configuration in force as new as the fleet's.

    A data centre's watchers wait on the platform's watch and pass on what is
    new; all other hosts learn from peers, and poll in turn when they have heard
    nothing of the platform for some time.
    """

    def __init__(self, ctx: HostContext) -> None:
        super().__init__()
        self._tables = ctx.tables
        self._tables.config.bootstrapped = False
        self._platform = ctx.platform
        self._gossip = ctx.gossip
        self._stats = ctx.stats
        self._rng = ctx.rng
        self._held_back: set[str] = set()
        self._held: list[wire.Rumour] | None = []
        self._listeners: list[Callable[[str, str], None]] = []
        self._gossip.subscribe(OBJECT, self._on_fact)

    def on_change(self, listener: Callable[[str, str], None]) -> None:
        """Call ``listener`` with kind and name of each object put in force."""
        self._listeners.append(listener)

    def publish(self, item: PlatformObject) -> None:
        """Take in an object of the platform's, and spread it if it is new."""
        if item.kind not in GOSSIPED_KINDS:
            return
        value = msgspec.json.encode(item.value)
        path = f"{item.kind}/{item.name}"
        self._gossip.spread(wire.Rumour(OBJECT, path, item.version, value, 0.0))

    @Service.task
    async def _run(self) -> None:
        await self._join()
        while not self.should_stop:
            if not overlay.is_watcher(self._tables):
                await self.sleep(DUTY_CHECK_S)
            elif not await self._ask_platform(WATCH_WAIT_S):
                await self.sleep(RETRY_S)

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            await self.sleep(polling.poll_wait_s(self._tables, self._rng))
            if self._held is None and self._is_stale():
                await self._ask_platform(0.0)

    def _is_stale(self) -> bool:
        """Whether neither this host nor its peers have heard from the platform."""
        age_s = freshness.config_age_s(self._tables, time.monotonic())
        return age_s > STALE_S and not overlay.is_watcher(self._tables)

    async def _join(self) -> None:
        """Learn from peers and the platform before anything is put in force."""
        contacts = list(overlay.contacts(self._tables))
        syncs = [asyncio.ensure_future(self._gossip.sync(host)) for host in contacts]
        if syncs:
            await asyncio.wait(syncs, timeout=JOIN_S)
        asking = asyncio.ensure_future(self._ask_platform(0.0))
        await asyncio.wait([asking], timeout=JOIN_S)
        held, self._held = self._held, None
        for number, rumour in enumerate(held):
            self._on_fact(rumour)
            if number % YIELD_OBJECTS == 0:
                await asyncio.sleep(0)
        self._tables.config.bootstrapped = True
        log.info("joined", objects=len(self._tables.config.versions))

    async def _ask_platform(self, wait_s: float) -> bool:
        asked_at = time.monotonic()
        try:
            seen = self._tables.config.seen_version
            found = await self._platform.watch(seen, wait_s, GOSSIPED_KINDS)
        except PlatformError:
            self._stats.count("platform.errors")
            return False
        for item in found.items:
            self.publish(item)
        confirmed_at = time.monotonic() if wait_s else asked_at
        if not polling.confirm_version(self._tables, found.version, confirmed_at):
            self._stats.count("platform.old_answers")
            return False
        return True

    def _on_fact(self, rumour: wire.Rumour) -> None:
        if self._held is not None:
            self._held.append(rumour)
            return
        if not polling.is_newer(self._tables, rumour.name, rumour.version):
            return
        kind, _, name = rumour.name.partition("/")
        try:
            value = msgspec.json.decode(rumour.value)
            self._put_in_force(kind, name, value, rumour.version)
        except (ValidationError, KeyError, TypeError, ValueError, IndexError) as exc:
            log.warning("object_invalid", path=rumour.name, error=str(exc))
            self._stats.count("config.invalid")
            return
        self._tables.config.versions[rumour.name] = rumour.version
        log.info("object_in_force", path=rumour.name, version=rumour.version)
        for listener in self._listeners:
            listener(kind, name)

    def _put_in_force(self, kind: str, name: str, value: object, version: int) -> None:
        table = self._tables.config
        match kind:
            case "profile":
                _put(table.declared, name, value, PROFILE_ADAPTER)
                self._route_profile(name)
            case "customer":
                _put(table.customers, name, value, CUSTOMER_ADAPTER)
            case "mark":
                _put(table.marks, name, value, MARK_ADAPTER)
            case "owners" if value is not None:
                self._put_owner_map(value, version)

    def _route_profile(self, name: str) -> None:
        table = self._tables.config
        declared = table.declared.get(name)
        if declared is None:
            table.profiles.pop(name, None)
            return
        current = table.profiles.get(name)
        found = orders.effective_profile(declared, current, self._tables)
        table.profiles[name] = found
        if found is declared:
            self._held_back.discard(name)
        else:
            self._held_back.add(name)

    @Service.task
    async def _route_held_back(self) -> None:
        while not self.should_stop:
            for name in list(self._held_back):
                self._route_profile(name)
            await asyncio.sleep(HELD_BACK_S)

    def _put_owner_map(self, value: dict, version: int) -> None:
        entries, hosts = owner_map.decode(value)
        slots.apply_map(self._tables, version, entries, hosts, time.monotonic())


def _put(table: dict, name: str, value: object, adapter) -> None:
    if value is None:
        table.pop(name, None)
    else:
        table[name] = adapter.validate_python(value)
