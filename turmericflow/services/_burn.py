"""Counts service levels, and saves them on the platform by data centre."""

from __future__ import annotations

import time

import msgspec
from mode import Service
from result import Ok

from turmericflow import wire
from turmericflow.services._context import HostContext
from turmericflow.services._peers import PeerUnreachable, Reply
from turmericflow.services._platform import PlatformError
from turmericflow.systems import burn, requests
from turmericflow.tables import BurnTable

COLLECT_S = 1.0
KIND = "burn"


class BurnRecorder(Service):
    """Gathers one host's counts, and all of its data centre where it is keeper.

    A host sends its counts to the keeper of its data centre, which merges
    them into one object there by conditional writes.  Counts not yet saved
    are lost with their host.
    """

    def __init__(self, ctx: HostContext) -> None:
        super().__init__()
        self._settings = ctx.settings
        self._tables = ctx.tables
        self._peers = ctx.peers
        self._platform = ctx.platform
        self._stats = ctx.stats
        self._fresh = BurnTable()
        self._sending: bytes | None = None
        self._number = 0
        self._taken: dict[str, int] = {}
        self._unsaved = BurnTable()
        self._writing: tuple[str, BurnTable] | None = None
        self._peers.handle(wire.BurnCounts, self._on_counts)

    @Service.task
    async def _collect(self) -> None:
        while not self.should_stop:
            await self.sleep(COLLECT_S)
            self._count()
            requests.drop_expired(self._tables, time.monotonic())

    @Service.task
    async def _save(self) -> None:
        while not self.should_stop:
            await self.sleep(self._settings.burn_save_s)
            await self.save()

    def _count(self) -> None:
        now, wall = time.monotonic(), time.time()
        for row in requests.uncounted(self._tables):
            burn.count(self._fresh, row, wall)
            row.counted_at = now

    async def save(self) -> None:
        """Send what was counted to the keeper, or write it as the keeper."""
        self._count()
        keeper = burn.keeper(self._tables)
        if keeper == self._tables.host:
            self._take_own()
            await self._write()
        else:
            await self._send(keeper)

    def _take_own(self) -> None:
        if self._sending is not None:
            self._unsaved.add(burn.from_value(msgspec.json.decode(self._sending)))
            self._sending = None
        self._unsaved.add(self._fresh)
        self._fresh = BurnTable()

    async def _send(self, keeper: str) -> None:
        if self._sending is None:
            if not self._fresh.cells:
                return
            self._number += 1
            self._sending = msgspec.json.encode(burn.to_value(self._fresh))
            self._fresh = BurnTable()
        host = f"{self._tables.host}/{self._tables.peers.incarnation}"
        rid = self._peers.next_rid()
        msg = wire.BurnCounts(rid, host, self._number, self._sending)
        try:
            await self._peers.call(keeper, msg)
        except PeerUnreachable:
            self._stats.count("burn.keeper_unreachable")
            return
        self._sending = None

    def _on_counts(self, msg: wire.BurnCounts, reply: Reply) -> None:
        if msg.number > self._taken.get(msg.host, 0):
            try:
                self._unsaved.add(burn.from_value(msgspec.json.decode(msg.value)))
            except (ValueError, msgspec.DecodeError):
                self._stats.count("burn.invalid_counts")
            self._taken[msg.host] = msg.number
        reply(wire.BurnAck(msg.rid))

    async def _write(self) -> None:
        name = self._tables.data_centre
        try:
            present = await self._platform.get(KIND, name)
            value = present.value if present is not None else None
            self._settle(value)
            if not self._unsaved.cells:
                return
            await self._write_on(value, present.version if present else 0)
        except PlatformError:
            self._stats.count("burn.platform_errors")

    def _settle(self, value: dict | None) -> None:
        """Find out whether the last write, whose reply was lost, took effect."""
        if self._writing is None:
            return
        batch, counts = self._writing
        self._writing = None
        if value is None or value.get("batch") != batch:
            self._unsaved.add(counts)

    async def _write_on(self, value: dict | None, version: int) -> None:
        merged = BurnTable()
        if value is not None:
            try:
                merged.add(burn.from_value(value))
            except ValueError:
                self._stats.count("burn.invalid_object")
        merged.add(self._unsaved)
        batch = f"{self._tables.host}/{time.time_ns()}"
        written = burn.to_value(burn.compact(merged, time.time()))
        self._writing = (batch, self._unsaved)
        self._unsaved = BurnTable()
        found = await self._platform.put(
            KIND, self._tables.data_centre, {"batch": batch, **written}, version
        )
        if not isinstance(found, Ok):
            self._unsaved.add(self._writing[1])
            self._stats.count("burn.races")
        self._writing = None
