"""Watches objects of the store and applies their changes to this host's tables."""

from __future__ import annotations

import asyncio

import structlog
from mode import Service

from turmericflow.relay import (
    _adoption as adoption,
    _discovery as discovery,
    _intervals as intervals,
    _membership as membership,
    _routing as routing,
)
from turmericflow.relay._context import HostContext
from turmericflow.relay._model import TargetEntry
from turmericflow.relay._revisions import era_of
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
from turmericflow.relay._tasks import contain, record_failure

WATCH_TIMEOUT_S = 15.0  # a watch costs one call, however long it waits
RECOVERY_WATCH_TIMEOUT_S = 0.1  # short, to notice soon that the store answers again
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0  # the store is called within about a second of its return
VERIFY_CHECK_INTERVAL_S = 0.1
MIN_OUTAGE_S = 0.5  # no entry lapses in a shorter outage
MAX_UNREADABLE = 10_000  # objects that are remembered, so that each is logged once
MAX_LOGGED_NAME = 200  # characters

log = structlog.get_logger()


class StoreWatch(Service):
    """Keeps the table of one kind of object in sync with the store."""

    abstract = False

    def __init__(self, ctx: HostContext, kind: Kind) -> None:
        super().__init__()
        self._ctx = ctx
        self._kind = kind
        self._unreachable_since: float | None = None
        self._unreachable_for_all = False
        self._era: int | None = None
        # Revision up to which changes are read in place of a costly list, or None.
        self._resynced: int | None = None
        self._unreadable: dict[str, int] = {}  # revisions of objects, by name

    @Service.task
    async def _watch(self) -> None:
        revision: int | None = None
        backoff_s = MIN_BACKOFF_S
        while not self.should_stop:
            try:
                if revision is not None and not self._is_watched_here():
                    await self.sleep(intervals.heartbeat_interval_s(self._ctx.tables))
                    continue
                revision = await self._read_or_watch(revision)
                backoff_s = MIN_BACKOFF_S
                await self.sleep(intervals.watch_batch_s(self._ctx.tables, self._kind))
            except HistoryGone as exc:
                log.info("store_history_gone", kind=self._kind, reason=str(exc))
                revision = None
            except StoreFailed as exc:
                self._mark_unreachable(exc)
                await self._back_off(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            except Exception:
                record_failure(self._ctx, "watch")
                revision = None
                await self._back_off(MAX_BACKOFF_S)

    async def _back_off(self, seconds: float) -> None:
        await asyncio.sleep(seconds * (0.5 + self._ctx.rng.random()))

    def _is_watched_here(self) -> bool:
        """Return whether this host watches the kind itself, not through peers."""
        if self._kind is Kind.DEPLOYMENT:
            return True
        return membership.is_watcher(self._ctx.tables, self._ctx.clock.now())

    @Service.task
    async def _resync_periodically(self) -> None:
        if self._kind is Kind.HOSTS:
            return
        failed = False
        while not self.should_stop:
            await self.sleep(intervals.RESYNC_INTERVAL_S)
            # Not left to the watch, which may hang or wait long for a change.
            retry = failed and self._unreachable_since is not None
            retry |= self._is_era_announced()
            if retry or membership.is_resyncer(self._ctx.tables, self._ctx.clock.now()):
                failed = not await contain(self._ctx, "resync", self._resync())

    @Service.task
    async def _verify_targets(self) -> None:
        """Read the targets whenever no other host has confirmed them for too long."""
        if self._kind is not Kind.TARGETS:
            return
        while not self.should_stop:
            await self.sleep(VERIFY_CHECK_INTERVAL_S)
            tables = self._ctx.tables
            age_s = self._ctx.clock.now() - tables.targets.verified_at
            known = tables.targets.revision >= 0 and self._unreachable_since is None
            if known and age_s > intervals.max_unverified_s(tables):
                await contain(self._ctx, "verify", self._resync())
                await self.sleep(intervals.RESYNC_INTERVAL_S)

    async def _resync(self) -> bool:
        """Read and apply all objects; return whether the store answered.

        After a costly list only the changes since then are read.
        """
        try:
            if not await self._resync_changes():
                await self._read()
        except StoreFailed as exc:
            self._mark_unreachable(exc)
            return False
        return True

    async def _resync_changes(self) -> bool:
        """Read the changes since a costly list; return False if it must be read."""
        since = self._resynced
        if since is None:
            return False
        self._ctx.metrics.store_calls.labels("watch").inc()
        try:
            changes = await self._ctx.store.changes(self._kind, since, 0.0)
        except HistoryGone as exc:
            log.info("store_history_gone", kind=self._kind, reason=str(exc))
            self._resynced = None
            return False
        self._mark_reachable()
        self._apply_changes(changes, since)
        self._resynced = changes.revision
        return True

    async def _read(self) -> int:
        """Read and apply all objects; return the revision of the store."""
        self._ctx.metrics.store_calls.labels("read").inc()
        listing = await self._ctx.store.read(self._kind)
        self._mark_reachable()
        self._apply_listing(listing)
        self._resynced = listing.revision if listing.costly else None
        return listing.revision

    async def _read_or_watch(self, revision: int | None) -> int:
        if revision is None:
            return await self._read()
        if self._kind is Kind.TARGETS:
            revision = max(revision, self._ctx.tables.targets.revision)
        self._ctx.metrics.store_calls.labels("watch").inc()
        timeout_s = (
            WATCH_TIMEOUT_S
            if self._unreachable_since is None
            else RECOVERY_WATCH_TIMEOUT_S
        )
        changes = await self._ctx.store.changes(self._kind, revision, timeout_s)
        self._mark_reachable()
        self._apply_changes(changes, revision)
        return changes.revision

    def _mark_unreachable(self, exc: StoreFailed) -> None:
        tables, now = self._ctx.tables, self._ctx.clock.now()
        tables.hosts.unanswered_kinds.add(self._kind)
        if self._unreachable_since is None:
            self._unreachable_since, self._unreachable_for_all = now, True
            log.warning("store_lost", kind=self._kind, reason=str(exc))
        if membership.peer_reads_store(tables, now):
            self._unreachable_for_all = False

    def _mark_reachable(self) -> None:
        self._ctx.tables.hosts.unanswered_kinds.discard(self._kind)
        self._note_era()
        if self._unreachable_since is None:
            return
        now = self._ctx.clock.now()
        outage_s = now - self._unreachable_since
        self._unreachable_since = None
        if outage_s >= MIN_OUTAGE_S and self._unreachable_for_all:
            self._ctx.tables.targets.outage_grace_until = now + discovery.LAPSED_GRACE_S
        if self._kind is Kind.TARGETS:
            adoption.start_expiry(self._ctx.tables, now + discovery.LAPSED_GRACE_S)
        log.info("store_regained", kind=self._kind, away_s=round(outage_s, 3))

    def _is_era_announced(self) -> bool:
        """Return whether a peer has read the store in a later era than this host."""
        tables, now = self._ctx.tables, self._ctx.clock.now()
        revisions = [
            row.status.targets_revision for row in membership.live_peers(tables, now)
        ]
        return era_of(max(revisions, default=-1)) > self._ctx.store.era

    def _note_era(self) -> None:
        """Log and export that the store came back from an older copy."""
        era, earlier = self._ctx.store.era, self._era
        if era == earlier:
            return
        self._era = era
        self._ctx.metrics.store_era.set(era)
        if earlier is not None:
            log.warning("store_restored", kind=self._kind, era=era, earlier=earlier)

    def _readable(self, row: Row) -> bool:
        if row.value is not None:
            self._unreadable.pop(row.name, None)
            return True
        if self._unreadable.get(row.name) != row.revision:
            if len(self._unreadable) >= MAX_UNREADABLE:
                self._unreadable.clear()
            self._unreadable[row.name] = row.revision
            name = row.name[:MAX_LOGGED_NAME]
            log.info(
                "object_unreadable", kind=self._kind, name=name, reason=row.problem
            )
        return False

    def _apply_listing(self, listing: Listing) -> None:
        targets = self._ctx.tables.targets
        rows = [row for row in listing.rows if self._readable(row)]
        match self._kind:
            case Kind.DEPLOYMENT:
                # A list, since each row must be applied.
                if any([self._apply_deployment(row) for row in rows]):
                    self._ctx.announce()
            case Kind.TARGETS:
                unreadable = [row.name for row in listing.rows if row.value is None]
                now = self._ctx.clock.now()
                restored = discovery.begin_era(targets, listing.revision, now)
                entries = [row.value for row in rows]
                self._apply_and_announce(
                    discovery.difference(
                        targets, entries, unreadable, listing.revision
                    ),
                    restored,
                )
                discovery.confirm(targets, listing.revision, listing.revision, now)
            case Kind.HOSTS:
                for row in rows:
                    self._upsert_host(row)

    def _apply_changes(self, changes: Changes, since: int) -> None:
        match self._kind:
            case Kind.TARGETS:
                self._apply_target_changes(changes, since)
            case Kind.DEPLOYMENT:
                for change in changes.changes:
                    if not change.removed and self._readable(change.row):
                        self._apply_deployment(change.row)
            case Kind.HOSTS:
                for change in changes.changes:
                    self._apply_host_change(change)

    def _apply_target_changes(self, changes: Changes, since: int) -> None:
        targets = self._ctx.tables.targets
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
        if latest:
            known = targets.changed_revision if since <= targets.revision else since
            revision = max(change.row.revision for change in latest.values())
            self._apply_and_announce(
                TargetsChange(known, revision, True, written, removed, unreadable)
            )
        discovery.confirm(targets, since, changes.revision, self._ctx.clock.now())

    def _apply_and_announce(
        self, change: TargetsChange, restored: bool = False
    ) -> None:
        """Apply a change to the targets; announce it if this host resyncs for others.

        Empty changes and the first listing are not announced, except for an empty one
        after the store was restored from an older copy.
        """
        tables, now = self._ctx.tables, self._ctx.clock.now()
        if not discovery.apply(tables.targets, change, now):
            return
        if change.since < 0 or not membership.is_resyncer(tables, now):
            return
        if change.empty and not restored:
            return
        tables.targets.recent_changes.append((now, change))
        self._ctx.announce()

    def _apply_host_change(self, change: Change) -> None:
        if change.removed:
            host = self._ctx.tables.hosts.rows.get(change.row.name)
            if host is not None:
                host.revision = None
        elif self._readable(change.row):
            self._upsert_host(change.row)

    def _apply_deployment(self, row: Row) -> bool:
        table = self._ctx.tables.deployment
        newer = routing.apply_deployment(table, row.value, row.revision)
        if newer:
            log.info(
                "deployment_in_force",
                version=row.value.version,
                revision=row.revision,
                source="store",
            )
        return newer

    def _upsert_host(self, row: Row) -> None:
        hosts, now = self._ctx.tables.hosts, self._ctx.clock.now()
        host = membership.upsert_entry(hosts, row.value, now)
        if host is not None:
            host.revision = row.revision
