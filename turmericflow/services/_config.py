"""Learns configuration, the owner map and targets from the platform."""

from __future__ import annotations

import time

import structlog
from mode import Service
from pydantic import ValidationError

from turmericflow.cfg import Address, Settings
from turmericflow.profile import CUSTOMER_ADAPTER, MARK_ADAPTER, PROFILE_ADAPTER
from turmericflow.services._platform import (
    HostEntry,
    PlatformClient,
    PlatformError,
    PlatformObject,
)
from turmericflow.services._stats import Stats
from turmericflow.systems import owner_map, slots
from turmericflow.tables import Tables, Target, TargetKind

RETRY_S = 0.5
HOSTS_S = 1.0

log = structlog.get_logger()


class Config(Service):
    """Keeps the configuration in force as new as the platform's."""

    def __init__(
        self, settings: Settings, tables: Tables, platform: PlatformClient, stats: Stats
    ) -> None:
        super().__init__()
        self._settings = settings
        self._tables = tables
        self._platform = platform
        self._stats = stats

    @Service.task
    async def _watch(self) -> None:
        since = 0
        while not self.should_stop:
            try:
                found = await self._platform.watch(since)
            except PlatformError:
                self._stats.count("platform.errors")
                await self.sleep(RETRY_S)
                continue
            for item in found.items:
                self._put_in_force(item)
            since = max(since, found.version)
            self._tables.config.confirmed_at = time.monotonic()

    @Service.task
    async def _hosts(self) -> None:
        while not self.should_stop:
            try:
                for entry in await self._platform.hosts():
                    self._learn_host(entry)
            except PlatformError:
                self._stats.count("platform.errors")
            await self.sleep(HOSTS_S)

    def _put_in_force(self, item: PlatformObject) -> None:
        table = self._tables.config
        path = f"{item.kind}/{item.name}"
        if item.version <= table.versions.get(path, 0):
            return
        try:
            match item.kind:
                case "profile":
                    profile = PROFILE_ADAPTER.validate_python(item.value)
                    table.profiles[item.name] = profile
                case "customer":
                    customer = CUSTOMER_ADAPTER.validate_python(item.value)
                    table.customers[item.name] = customer
                case "mark":
                    table.marks[item.name] = MARK_ADAPTER.validate_python(item.value)
                case "owners":
                    self._put_owner_map(item)
        except (ValidationError, KeyError, TypeError, ValueError) as exc:
            log.warning("object_invalid", path=path, error=str(exc))
            return
        table.versions[path] = item.version
        log.info("object_in_force", path=path, version=item.version)

    def _put_owner_map(self, item: PlatformObject) -> None:
        entries, hosts = owner_map.decode(item.value)
        now = time.monotonic()
        slots.put_map(self._tables, item.version, entries, hosts, now)

    def _learn_host(self, entry: HostEntry) -> None:
        if entry.role not in ("engine", "service"):
            return
        rows = self._tables.targets.rows
        row = rows.get(entry.name)
        if row is None:
            row = rows[entry.name] = Target(
                entry.name,
                TargetKind(entry.role),
                entry.service,
                entry.data_centre,
                Address(entry.ip, entry.port),
            )
        row.address = Address(entry.ip, entry.port)
        row.leaving = entry.state != "live"
