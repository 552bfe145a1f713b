"""Counts of service levels, saved on the platform by data centre."""

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

COLLECT_INTERVAL_S = 1.0
KIND = "burn"


class BurnRecorder(Service):
    """Count this host's service levels; as keeper, save those of its data centre.

    A host sends its counts to the keeper of its data centre.  The keeper merges
    them into one object on the platform by conditional writes.  Counts that are
    not saved yet are lost if their host crashes.
    """

    def __init__(self, ctx: HostContext) -> None:
        super().__init__()
        self._settings = ctx.settings
        self._tables = ctx.tables
        self._peers = ctx.peers
        self._platform = ctx.platform
        self._stats = ctx.stats
        self._unsent = BurnTable()
        self._unacknowledged: bytes | None = None
        self._batch_number = 0
        self._last_batch_numbers: dict[str, int] = {}
        self._unsaved = BurnTable()
        self._pending_write: tuple[str, BurnTable] | None = None
        self._peers.handle(wire.BurnCounts, self._on_counts)

    @Service.task
    async def _collect(self) -> None:
        while not self.should_stop:
            await self.sleep(COLLECT_INTERVAL_S)
            self._count_requests()
            requests.drop_expired(self._tables, time.monotonic())

    @Service.task
    async def _save(self) -> None:
        while not self.should_stop:
            await self.sleep(self._settings.burn_save_s)
            await self.save()

    def _count_requests(self) -> None:
        now, wall_time = time.monotonic(), time.time()
        for row in requests.uncounted(self._tables):
            burn.count(self._unsent, row, wall_time)
            row.counted_at = now

    async def save(self) -> None:
        """Send this host's counts to the keeper; the keeper writes unsaved counts."""
        self._count_requests()
        keeper = burn.keeper(self._tables)
        if keeper == self._tables.host:
            self._merge_own_counts()
            await self._write()
        else:
            await self._send(keeper)

    def _merge_own_counts(self) -> None:
        if self._unacknowledged is not None:
            self._unsaved.add(
                burn.from_value(msgspec.json.decode(self._unacknowledged))
            )
            self._unacknowledged = None
        self._unsaved.add(self._unsent)
        self._unsent = BurnTable()

    async def _send(self, keeper: str) -> None:
        if self._unacknowledged is None:
            if not self._unsent.cells:
                return
            self._batch_number += 1
            self._unacknowledged = msgspec.json.encode(burn.to_value(self._unsent))
            self._unsent = BurnTable()
        # Batch numbers start again with each incarnation.
        sender = f"{self._tables.host}/{self._tables.peers.incarnation}"
        rid = self._peers.next_rid()
        msg = wire.BurnCounts(rid, sender, self._batch_number, self._unacknowledged)
        try:
            await self._peers.call(keeper, msg)
        except PeerUnreachable:
            self._stats.count("burn.keeper_unreachable")
            return
        self._unacknowledged = None

    def _on_counts(self, msg: wire.BurnCounts, reply: Reply) -> None:
        if msg.number > self._last_batch_numbers.get(msg.host, 0):
            try:
                self._unsaved.add(burn.from_value(msgspec.json.decode(msg.value)))
            except (ValueError, msgspec.DecodeError):
                self._stats.count("burn.invalid_counts")
            self._last_batch_numbers[msg.host] = msg.number
        reply(wire.BurnAck(msg.rid))

    async def _write(self) -> None:
        name = self._tables.data_centre
        try:
            stored = await self._platform.get(KIND, name)
            value = stored.value if stored is not None else None
            self._resolve_pending_write(value)
            if not self._unsaved.cells:
                return
            await self._write_merged(value, stored.version if stored else 0)
        except PlatformError:
            self._stats.count("burn.platform_errors")

    def _resolve_pending_write(self, value: dict | None) -> None:
        """Restore the counts of a write whose reply was lost if it took no effect."""
        if self._pending_write is None:
            return
        batch, counts = self._pending_write
        self._pending_write = None
        if value is None or value.get("batch") != batch:
            self._unsaved.add(counts)

    async def _write_merged(self, value: dict | None, version: int) -> None:
        merged = BurnTable()
        if value is not None:
            try:
                merged.add(burn.from_value(value))
            except ValueError:
                self._stats.count("burn.invalid_object")
        merged.add(self._unsaved)
        batch = f"{self._tables.host}/{time.time_ns()}"
        written = burn.to_value(burn.compact(merged, time.time()))
        self._pending_write = (batch, self._unsaved)
        self._unsaved = BurnTable()
        result = await self._platform.put(
            KIND, self._tables.data_centre, {"batch": batch, **written}, version
        )
        if not isinstance(result, Ok):
            self._unsaved.add(self._pending_write[1])
            self._stats.count("burn.races")
        self._pending_write = None
