"""Maintains the owner map: takeovers, transfers to backups, and map updates."""

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
IDLE_TICK_S = 0.1
FULL_TICK_INTERVAL_S = 5.0
JOURNAL_SWEEP_INTERVAL_S = 1.0
CREATE_DELAY_S = 2.0
RANK_DELAY_S = 0.5
WRITE_RETRY_DELAY_S = 0.3
TRANSFER_TIMEOUT_S = 2.0
MAX_CONCURRENT_TRANSFERS = 16
TAKEOVER_TTL_S = 60.0
HAND_OVER_TIMEOUT_S = 8.0
KIND, NAME = "owners", "map"
TAKEOVER = "takeover"

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class _SlotState:
    map_version: int
    slot_changes: int
    peer_changes: int
    incarnation: int
    synced_count: int
    held_count: int
    stopping: bool


class SlotService(Service):
    """Carry out the decisions of `systems.slots` and `systems.placement`."""

    def __init__(self, ctx: HostContext) -> None:
        super().__init__()
        self._settings = ctx.settings
        self._tables = ctx.tables
        self._peers = ctx.peers
        self._gossip = ctx.gossip
        self._platform = ctx.platform
        self._stats = ctx.stats
        self._started_at = time.monotonic()
        self._orphans_since: float | None = None
        self._seen_change_count = -1
        self._seen_opened_empty = 0
        self._map_listeners: list[Callable[[PlatformObject], None]] = []
        self._listeners: list[Callable[[], None]] = []
        self._transferring: dict[str, asyncio.Task] = {}
        self._writing: asyncio.Task | None = None
        self._write_after = 0.0
        self._idle_state: _SlotState | None = None
        self._next_full_tick_at = 0.0
        self._gossip.subscribe(TAKEOVER, self._on_takeovers)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of a slot's entry."""
        self._listeners.append(listener)

    def on_map(self, listener: Callable[[PlatformObject], None]) -> None:
        """Call ``listener`` with each owner map that this host wrote or read."""
        self._map_listeners.append(listener)

    async def on_stop(self) -> None:
        for task in [*self._transferring.values(), self._writing]:
            if task is not None:
                task.cancel()

    async def hand_over(self) -> bool:
        """Hand over all slots, with their records, to other hosts.

        Call this after `Tables.stopping` is set and announced to the other hosts.

        Returns
        -------
        bool
            False if some slot still names this host after the timeout.
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
    async def _run_ticks(self) -> None:
        while not self.should_stop:
            if self._tables.slots.entries:
                await self._tick()
            else:
                await self._load_or_create_map()
            idle = self._idle_state is not None
            await asyncio.sleep(IDLE_TICK_S if idle else TICK_S)

    @Service.task
    async def _sweep_journal(self) -> None:
        while not self.should_stop:
            await self.sleep(JOURNAL_SWEEP_INTERVAL_S)
            early = journal.sweep(self._tables, time.monotonic())
            if early:
                self._stats.count("journal.dropped_early", early)

    async def _tick(self) -> None:
        now = time.monotonic()
        state = self._current_state()
        if state == self._idle_state and now < self._next_full_tick_at:
            return
        takeovers = slots.take_over(self._tables, now)
        if takeovers:
            await self._announce_takeovers(takeovers)
        self._notify_listeners()
        self._start_transfers()
        writing = self._start_due_write(now)
        idle = not (takeovers or writing or self._transferring)
        self._idle_state = state if idle else None
        self._next_full_tick_at = now + FULL_TICK_INTERVAL_S

    def _current_state(self) -> _SlotState:
        """Return the state that the decisions on slots depend on, besides the time."""
        table, peers = self._tables.slots, self._tables.peers
        return _SlotState(
            table.version,
            table.change_count,
            peers.change_count,
            peers.incarnation,
            len(table.synced_epochs),
            len(table.held_epochs),
            self._tables.stopping,
        )

    def _notify_listeners(self) -> None:
        table = self._tables.slots
        if table.opened_empty != self._seen_opened_empty:
            opened = table.opened_empty - self._seen_opened_empty
            self._seen_opened_empty = table.opened_empty
            self._stats.count("slots.opened_empty", opened)
            log.warning("slots_opened_empty", slots=opened, version=table.version)
        if table.change_count != self._seen_change_count:
            self._seen_change_count = table.change_count
            for listener in self._listeners:
                listener()

    async def _announce_takeovers(self, takeovers: list[placement.Change]) -> None:
        self._stats.count("slots.taken_over", len(takeovers))
        log.info("slots_taken_over", slots=len(takeovers))
        raw = [slots.to_wire_slot(slot, entry) for slot, entry in takeovers]
        value = msgspec.msgpack.encode(raw)
        version = time.time_ns()
        name = self._tables.host
        await self._gossip.publish(TAKEOVER, name, version, value, TAKEOVER_TTL_S)

    def _on_takeovers(self, rumour: wire.Rumour) -> None:
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
        for host, due_slots in due.items():
            if host not in self._transferring:
                task = asyncio.ensure_future(self._transfer_all(host, due_slots))
                self._transferring[host] = task
                task.add_done_callback(lambda _, h=host: self._transferring.pop(h))

    async def _transfer_all(self, host: str, due: list[int]) -> None:
        for start in range(0, len(due), MAX_CONCURRENT_TRANSFERS):
            batch = due[start : start + MAX_CONCURRENT_TRANSFERS]
            await asyncio.gather(*(self._transfer(host, slot) for slot in batch))

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

    def _start_due_write(self, now: float) -> bool:
        """Start a write of the map if it is due; return whether to check again soon."""
        if now < self._write_after:
            return True
        if self._writing is not None and not self._writing.done():
            return True
        if not placement.may_write(self._tables, now):
            return True
        changes = self._due_changes(now)
        if changes:
            self._writing = asyncio.ensure_future(self._write_changes(changes))
        return bool(changes) or self._orphans_since is not None

    def _due_changes(self, now: float) -> list[placement.Change]:
        """Return the changes to write to the owner map now.

        Orphans are slots whose owner is lost without a usable backup.  Hosts wait
        by rank before they reassign orphans, so that normally one host writes.
        """
        changes = placement.own_changes(self._tables)
        if self._tables.stopping:
            return changes + placement.leaving_changes(self._tables)
        orphans = placement.orphan_changes(self._tables)
        if not orphans:
            self._orphans_since = None
            return changes
        if self._orphans_since is None:
            self._orphans_since = now
        delay_s = placement.writer_rank(self._tables) * RANK_DELAY_S
        if now - self._orphans_since >= delay_s:
            changes += orphans
        return changes

    async def _write_changes(self, changes: list[placement.Change]) -> None:
        table = self._tables.slots
        before = table.map_entries
        entries = placement.merge(before, changes)
        host_info = {
            host: (table.incarnations[host], table.data_centres[host])
            for host in table.incarnations
        }
        hosts = placement.named_hosts(self._tables, entries, before, host_info)
        await self._write_map(entries, hosts, table.version)

    async def _write_map(
        self,
        entries: list[SlotEntry],
        hosts: dict[str, tuple[int, str]],
        version: int,
    ) -> None:
        value = owner_map.encode(entries, hosts)
        try:
            outcome = await self._platform.put(KIND, NAME, value, version)
            stored = outcome.ok_value if isinstance(outcome, Ok) else outcome.err_value
        except PlatformError:
            self._stats.count("platform.errors")
            stored = await self._read_map()
        match stored:
            case PlatformObject():
                self._apply_map(stored)
        if isinstance(stored, PlatformObject) and stored.version > version:
            self._stats.count("slots.map_written")
        else:
            self._write_after = time.monotonic() + WRITE_RETRY_DELAY_S

    async def _read_map(self) -> PlatformObject | None:
        try:
            return await self._platform.get(KIND, NAME)
        except PlatformError:
            self._stats.count("platform.errors")
            return None

    def _apply_map(self, stored: PlatformObject) -> None:
        try:
            entries, hosts = owner_map.decode(stored.value)
        except ValueError:
            self._stats.count("slots.invalid")
            return
        now = time.monotonic()
        slots.apply_map(self._tables, stored.version, entries, hosts, now)
        for listener in self._map_listeners:
            listener(stored)

    async def _load_or_create_map(self) -> None:
        try:
            stored = await self._platform.get(KIND, NAME)
        except PlatformError:
            self._stats.count("platform.errors")
            await self.sleep(WRITE_RETRY_DELAY_S)
            return
        if stored is not None:
            self._apply_map(stored)
        elif self._may_create(time.monotonic()):
            count = self._settings.slots
            entries = placement.create(self._tables, count)
            hosts = placement.named_hosts(self._tables, entries, [], {})
            await self._write_map(entries, hosts, 0)

    def _may_create(self, now: float) -> bool:
        """Return whether to create the first owner map.

        The first host in rank does so once it knows all peers; others, and the
        first without them, after a delay by rank.
        """
        rank = placement.writer_rank(self._tables)
        waited = now - self._started_at
        if waited >= CREATE_DELAY_S + rank * RANK_DELAY_S:
            return True
        rows = self._tables.peers.rows.values()
        return rank == 0 and all(row.incarnation > 0 for row in rows)
