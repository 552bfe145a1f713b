"""Keeps the owner map: take-over, transfers to backups, and map updates."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog
from mode import Service
from result import Ok

from turmericflow import wire
from turmericflow.services._context import HostContext
from turmericflow.services._peers import PeerUnreachable
from turmericflow.services._platform import (
    PlatformError,
    PlatformObject,
)
from turmericflow.systems import backup, journal, owner_map, placement, slots
from turmericflow.tables import SlotEntry

TICK_S = 0.05
QUIET_TICK_S = 0.1
CHECK_S = 5.0
SWEEP_S = 1.0
CREATE_WAIT_S = 2.0
RANK_WAIT_S = 0.5
WRITE_RETRY_S = 0.3
TRANSFER_TIMEOUT_S = 2.0
TRANSFERS_AT_ONCE = 16
TAKE_OVER_TTL_S = 60.0
HAND_OVER_TIMEOUT_S = 8.0
KIND, NAME = "owners", "map"
TAKE_OVER = "takeover"

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class _View:
    map_version: int
    slot_changes: int
    peer_changes: int
    incarnation: int
    synced: int
    held: int
    stopping: bool


class SlotService(Service):
    """Carries out what `systems.slots` and `systems.placement` decide."""

    def __init__(self, ctx: HostContext) -> None:
        super().__init__()
        self._settings = ctx.settings
        self._tables = ctx.tables
        self._peers = ctx.peers
        self._gossip = ctx.gossip
        self._platform = ctx.platform
        self._stats = ctx.stats
        self._started_at = time.monotonic()
        self._doubt_since: float | None = None
        self._seen_changes = -1
        self._seen_empty = 0
        self._map_listeners: list[Callable[[PlatformObject], None]] = []
        self._listeners: list[Callable[[], None]] = []
        self._transferring: dict[str, asyncio.Task] = {}
        self._writing: asyncio.Task | None = None
        self._write_after = 0.0
        self._quiet_view: _View | None = None
        self._check_at = 0.0
        self._gossip.subscribe(TAKE_OVER, self._on_take_over)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of an entry."""
        self._listeners.append(listener)

    def on_map(self, listener: Callable[[PlatformObject], None]) -> None:
        """Call ``listener`` with each map that this host wrote or was shown."""
        self._map_listeners.append(listener)

    async def on_stop(self) -> None:
        for task in [*self._transferring.values(), self._writing]:
            if task is not None:
                task.cancel()

    async def hand_over(self) -> bool:
        """Give all slots, with their records, to other hosts.

        To be called once `Tables.stopping` is set and told to the others.

        Returns
        -------
        bool
            Whether no slot names this host any more.
        """
        until = time.monotonic() + HAND_OVER_TIMEOUT_S
        while time.monotonic() < until:
            entries = self._tables.slots.map_entries
            host = self._tables.host
            if not any(host in (entry.owner, entry.backup) for entry in entries):
                return True
            await asyncio.sleep(TICK_S)
        self._stats.count("slots.hand_over_timeout")
        return False

    @Service.task
    async def _ticks(self) -> None:
        while not self.should_stop:
            if self._tables.slots.entries:
                await self._tick()
            else:
                await self._learn_or_create()
            quiet = self._quiet_view is not None
            await asyncio.sleep(QUIET_TICK_S if quiet else TICK_S)

    @Service.task
    async def _sweeps(self) -> None:
        while not self.should_stop:
            await self.sleep(SWEEP_S)
            early = journal.sweep(self._tables, time.monotonic())
            if early:
                self._stats.count("journal.dropped_early", early)

    async def _tick(self) -> None:
        now = time.monotonic()
        view = self._view()
        if view == self._quiet_view and now < self._check_at:
            return
        taken = slots.take_over(self._tables, now)
        if taken:
            await self._tell(taken)
        self._tell_listeners()
        self._start_transfers()
        writing = self._start_write(now)
        quiet = not (taken or writing or self._transferring)
        self._quiet_view = view if quiet else None
        self._check_at = now + CHECK_S

    def _view(self) -> _View:
        """Return what the decisions on slots depend on, but for time."""
        table, peers = self._tables.slots, self._tables.peers
        return _View(
            table.version,
            table.change_count,
            peers.change_count,
            peers.incarnation,
            len(table.synced_epochs),
            len(table.held_epochs),
            self._tables.stopping,
        )

    def _tell_listeners(self) -> None:
        table = self._tables.slots
        if table.opened_empty != self._seen_empty:
            opened = table.opened_empty - self._seen_empty
            self._seen_empty = table.opened_empty
            self._stats.count("slots.opened_empty", opened)
            log.warning("slots_opened_empty", slots=opened, version=table.version)
        if table.change_count != self._seen_changes:
            self._seen_changes = table.change_count
            for listener in self._listeners:
                listener()

    async def _tell(self, taken: list[placement.Change]) -> None:
        self._stats.count("slots.taken_over", len(taken))
        log.info("slots_taken_over", slots=len(taken))
        raw = [slots.to_wire_slot(slot, entry) for slot, entry in taken]
        value = msgspec.msgpack.encode(raw)
        version = time.time_ns()
        name = self._tables.host
        await self._gossip.publish(TAKE_OVER, name, version, value, TAKE_OVER_TTL_S)

    def _on_take_over(self, rumour: wire.Rumour) -> None:
        try:
            raw = msgspec.msgpack.decode(rumour.value, type=list[wire.WireSlot])
        except msgspec.MsgspecError:
            self._stats.count("slots.invalid")
            return
        slots.apply_peer_entries(self._tables, raw, time.monotonic())

    def _start_transfers(self) -> None:
        due: dict[str, list[int]] = {}
        table = self._tables.slots
        for slot, entry in enumerate(table.entries):
            if entry.owner != self._tables.host or not entry.backup:
                continue
            if table.synced_epochs.get(slot) == entry.epoch:
                continue
            if slots.serves(self._tables, slot) and slots.alive(
                self._tables, entry.backup
            ):
                due.setdefault(entry.backup, []).append(slot)
        for host, found in due.items():
            if host not in self._transferring:
                task = asyncio.ensure_future(self._transfer_all(host, found))
                self._transferring[host] = task
                task.add_done_callback(lambda _, h=host: self._transferring.pop(h))

    async def _transfer_all(self, host: str, found: list[int]) -> None:
        for start in range(0, len(found), TRANSFERS_AT_ONCE):
            some = found[start : start + TRANSFERS_AT_ONCE]
            await asyncio.gather(*(self._transfer(host, slot) for slot in some))

    async def _transfer(self, host: str, slot: int) -> None:
        table = self._tables.slots
        epoch = table.entries[slot].epoch
        now = time.monotonic()
        for msg in backup.build_transfers(self._tables, slot, now):
            msg.rid = self._peers.next_rid()
            try:
                answer = await self._peers.call(host, msg, TRANSFER_TIMEOUT_S)
            except PeerUnreachable:
                self._stats.count("slots.transfer_unreachable")
                return
            if answer.entry is not None:
                slots.apply_peer_entries(self._tables, [answer.entry], time.monotonic())
            if not answer.accepted:
                self._stats.count("slots.transfer_refused")
                return
        if table.entries[slot].epoch == epoch:
            table.synced_epochs[slot] = epoch
            self._stats.count("slots.transferred")

    def _start_write(self, now: float) -> bool:
        """Start to write the map if it is due; return whether any is to come."""
        if now < self._write_after:
            return True
        if self._writing is not None and not self._writing.done():
            return True
        if not placement.may_write(self._tables, now):
            return True
        changes = self._changes(now)
        if changes:
            self._writing = asyncio.ensure_future(self._write(changes))
        return bool(changes) or self._doubt_since is not None

    def _changes(self, now: float) -> list[placement.Change]:
        changes = placement.own_changes(self._tables)
        if self._tables.stopping:
            return changes + placement.leaving_changes(self._tables)
        orphans = placement.orphan_changes(self._tables)
        if not orphans:
            self._doubt_since = None
            return changes
        if self._doubt_since is None:
            self._doubt_since = now
        turn = placement.writer_rank(self._tables) * RANK_WAIT_S
        if now - self._doubt_since >= turn:
            changes += orphans
        return changes

    async def _write(self, changes: list[placement.Change]) -> None:
        table = self._tables.slots
        before = table.map_entries
        entries = placement.merge(before, changes)
        known = {
            host: (table.incarnations[host], table.data_centres[host])
            for host in table.incarnations
        }
        hosts = placement.named_hosts(self._tables, entries, before, known)
        await self._put(entries, hosts, table.version)

    async def _put(
        self,
        entries: list[SlotEntry],
        hosts: dict[str, tuple[int, str]],
        version: int,
    ) -> None:
        value = owner_map.encode(entries, hosts)
        try:
            outcome = await self._platform.put(KIND, NAME, value, version)
            found = outcome.ok_value if isinstance(outcome, Ok) else outcome.err_value
        except PlatformError:
            self._stats.count("platform.errors")
            found = await self._read()
        match found:
            case PlatformObject():
                self._learn(found)
        if isinstance(found, PlatformObject) and found.version > version:
            self._stats.count("slots.map_written")
        else:
            self._write_after = time.monotonic() + WRITE_RETRY_S

    async def _read(self) -> PlatformObject | None:
        try:
            return await self._platform.get(KIND, NAME)
        except PlatformError:
            self._stats.count("platform.errors")
            return None

    def _learn(self, found: PlatformObject) -> None:
        try:
            entries, hosts = owner_map.decode(found.value)
        except ValueError:
            self._stats.count("slots.invalid")
            return
        now = time.monotonic()
        slots.apply_map(self._tables, found.version, entries, hosts, now)
        for listener in self._map_listeners:
            listener(found)

    async def _learn_or_create(self) -> None:
        try:
            found = await self._platform.get(KIND, NAME)
        except PlatformError:
            self._stats.count("platform.errors")
            await self.sleep(WRITE_RETRY_S)
            return
        if found is not None:
            self._learn(found)
        elif self._may_create(time.monotonic()):
            count = self._settings.slots
            entries = placement.create(self._tables, count)
            hosts = placement.named_hosts(self._tables, entries, [], {})
            await self._put(entries, hosts, 0)

    def _may_create(self, now: float) -> bool:
        rank = placement.writer_rank(self._tables)
        waited = now - self._started_at
        if waited >= CREATE_WAIT_S + rank * RANK_WAIT_S:
            return True
        rows = self._tables.peers.rows.values()
        return rank == 0 and all(row.incarnation > 0 for row in rows)
