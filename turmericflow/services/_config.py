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
from turmericflow.tables import SlotEntry, Tables, Target, TargetKind

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
            if not self._tables.slots.entries:
                await self._create_owner_map()

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
        hosts = [*item.value["hosts"], ""]
        self._tables.slots.entries = [
            SlotEntry(hosts[owner], hosts[backup], epoch)
            for owner, backup, epoch in item.value["slots"]
        ]
        self._tables.slots.version = item.version

    async def _create_owner_map(self) -> None:
        peers = self._tables.peers.rows.values()
        centres = {peer.host: peer.data_centre for peer in peers}
        centres[self._tables.host] = self._tables.data_centre
        hosts = sorted(centres)
        slots = []
        for slot in range(self._settings.slots):
            owner = slot % len(hosts)
            backup = _backup(hosts, centres, owner)
            slots.append([owner, backup, 1])
        value = {"hosts": hosts, "slots": slots}
        try:
            await self._platform.put("owners", "map", value, 0)
        except PlatformError:
            self._stats.count("platform.errors")

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


def _backup(hosts: list[str], centres: dict[str, str], owner: int) -> int:
    for step in range(1, len(hosts)):
        other = (owner + step) % len(hosts)
        if centres[hosts[other]] != centres[hosts[owner]]:
            return other
    return (owner + 1) % len(hosts) if len(hosts) > 1 else -1
