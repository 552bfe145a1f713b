"""Follows the store's objects, one kind each."""

from __future__ import annotations

import asyncio

import structlog
from mode import Service

from turmericflow.relay import (
    _adoption as adoption,
    _discovery as discovery,
    _membership as membership,
    _pace as pace,
    _routing as routing,
)
from turmericflow.relay._model import TargetEntry
from turmericflow.relay._parts import Parts
from turmericflow.relay._store import (
    Change,
    Changes,
    HistoryGone,
    Kind,
    Listing,
    Row,
    StoreFailed,
)
from turmericflow.relay._target_tables import TargetsChange

WAIT_S = 15.0  # a waiting watch costs one call whatever it waits
REGAIN_WAIT_S = 0.1  # after a failed call, to learn soon that the store answers
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0  # within a second of the store's return it is asked again
READ_EVERY_S = 1.0  # half of the time in which a new deployment is to be in force
OUTAGE_S = 0.5  # a store that was away for less has let no entry lapse

log = structlog.get_logger()


class StoreWatch(Service):
    """Keeps one kind's table as the store has it."""

    abstract = False

    def __init__(self, parts: Parts, kind: Kind) -> None:
        super().__init__()
        self._parts = parts
        self._kind = kind
        self._lost_at: float | None = None
        self._read_by_none = False

    @Service.task
    async def _follow(self) -> None:
        revision: int | None = None
        pause_s = FIRST_PAUSE_S
        while not self.should_stop:
            try:
                if revision is not None and not self._is_watched_here():
                    await self.sleep(pace.beat_s(self._parts.tables))
                    continue
                revision = await self._step(revision)
                pause_s = FIRST_PAUSE_S
                await self.sleep(pace.gather_s(self._parts.tables, self._kind))
            except HistoryGone as exc:
                log.info("store_history_gone", kind=self._kind, reason=str(exc))
                revision = None
            except StoreFailed as exc:
                self._note_lost(exc)
                await asyncio.sleep(pause_s * (0.5 + self._parts.rng.random()))
                pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)

    def _is_watched_here(self) -> bool:
        """Return whether this host follows the kind itself, not through peers."""
        if self._kind is Kind.DEPLOYMENT:
            return True
        return membership.is_watcher(self._parts.tables, self._parts.clock.now())

    @Service.task
    async def _read_again(self) -> None:
        if self._kind is Kind.HOSTS:
            return
        while not self.should_stop:
            await self.sleep(READ_EVERY_S)
            if membership.is_reader(self._parts.tables, self._parts.clock.now()):
                await self._read_once()

    async def _read_once(self) -> None:
        self._parts.metrics.store_calls.labels("read").inc()
        try:
            listing = await self._parts.directory.read(self._kind)
        except StoreFailed as exc:
            self._note_lost(exc)
            return
        self._note_regained()
        self._replace(listing)

    async def _step(self, revision: int | None) -> int:
        calls = self._parts.metrics.store_calls
        if revision is None:
            calls.labels("read").inc()
            listing = await self._parts.directory.read(self._kind)
            self._note_regained()
            self._replace(listing)
            return listing.revision
        if self._kind is Kind.TARGETS:
            revision = max(revision, self._parts.tables.targets.revision)
        calls.labels("watch").inc()
        wait_s = WAIT_S if self._lost_at is None else REGAIN_WAIT_S
        changes = await self._parts.directory.changes(self._kind, revision, wait_s)
        self._note_regained()
        self._apply(changes, revision)
        return changes.revision

    def _note_lost(self, exc: StoreFailed) -> None:
        tables, now = self._parts.tables, self._parts.clock.now()
        tables.hosts.unanswered_kinds.add(self._kind)
        if self._lost_at is None:
            self._lost_at, self._read_by_none = now, True
            log.warning("store_lost", kind=self._kind, reason=str(exc))
        if membership.peer_reads_store(tables, now):
            self._read_by_none = False

    def _note_regained(self) -> None:
        self._parts.tables.hosts.unanswered_kinds.discard(self._kind)
        if self._lost_at is None:
            return
        now = self._parts.clock.now()
        away_s = now - self._lost_at
        self._lost_at = None
        if away_s >= OUTAGE_S and self._read_by_none:
            self._parts.tables.targets.lenient_until = now + discovery.LAPSED_GRACE_S
        if self._kind is Kind.TARGETS:
            adoption.start_expiry(self._parts.tables, now + discovery.LAPSED_GRACE_S)
        log.info("store_regained", kind=self._kind, away_s=round(away_s, 3))

    def _readable(self, row: Row) -> bool:
        if row.value is None:
            log.info(
                "object_unreadable", kind=self._kind, name=row.name, reason=row.problem
            )
        return row.value is not None

    def _replace(self, listing: Listing) -> None:
        targets = self._parts.tables.targets
        rows = [row for row in listing.rows if self._readable(row)]
        match self._kind:
            case Kind.DEPLOYMENT:
                if any([self._put_in_force(row) for row in rows]):
                    self._parts.announce()
            case Kind.TARGETS:
                unreadable = [row.name for row in listing.rows if row.value is None]
                entries = [row.value for row in rows]
                self._take(
                    discovery.difference(targets, entries, unreadable, listing.revision)
                )
            case Kind.HOSTS:
                for row in rows:
                    self._note_host(row)

    def _apply(self, changes: Changes, since: int) -> None:
        match self._kind:
            case Kind.TARGETS:
                self._apply_to_targets(changes, since)
            case Kind.DEPLOYMENT:
                for change in changes.changes:
                    if not change.removed and self._readable(change.row):
                        self._put_in_force(change.row)
            case Kind.HOSTS:
                for change in changes.changes:
                    self._apply_to_hosts(change)

    def _apply_to_targets(self, changes: Changes, since: int) -> None:
        targets = self._parts.tables.targets
        latest: dict[str, Change] = {}
        for change in changes.changes:
            if change.row.revision > targets.revision:
                latest[change.row.name] = change
        written: list[TargetEntry] = []
        removed: list[str] = []
        unreadable: list[str] = []
        for change in latest.values():
            row = change.row
            if change.removed:
                removed.append(row.name)
            elif self._readable(row):
                written.append(row.value)
            else:
                unreadable.append(row.name)
            log.info(
                "target_changed",
                target=row.name,
                removed=change.removed,
                entry=row.value,
                revision=row.revision,
            )
        since, revision = max(since, targets.revision), changes.revision
        self._take(TargetsChange(since, revision, True, written, removed, unreadable))

    def _take(self, change: TargetsChange) -> None:
        """Take in what changed, and tell the other hosts if this one is to."""
        tables, now = self._parts.tables, self._parts.clock.now()
        if not discovery.apply(tables.targets, change, now):
            return
        empty = not (change.written or change.removed or change.unreadable)
        if empty or change.since < 0 or not membership.is_reader(tables, now):
            return
        tables.targets.news.append((now, change))
        self._parts.announce()

    def _apply_to_hosts(self, change: Change) -> None:
        if change.removed:
            known = self._parts.tables.hosts.rows.get(change.row.name)
            if known is not None:
                known.revision = None
        elif self._readable(change.row):
            self._note_host(change.row)

    def _put_in_force(self, row: Row) -> bool:
        table = self._parts.tables.deployment
        newer = routing.put_in_force(table, row.value, row.revision)
        if newer:
            log.info(
                "deployment_in_force",
                version=row.value.version,
                revision=row.revision,
                source="store",
            )
        return newer

    def _note_host(self, row: Row) -> None:
        hosts, now = self._parts.tables.hosts, self._parts.clock.now()
        known = membership.upsert_entry(hosts, row.value, now)
        if known is not None:
            known.revision = row.revision
