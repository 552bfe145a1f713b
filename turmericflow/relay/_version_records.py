"""Keeps in the store which versions began streams, for hosts that start anew.

What hosts tell each other is lost with the last of them. One host writes for all: the
versions that each service has, those among which ids choose, and, while a service has
several, the streams that the hosts have sent. A host reads them whenever it is asked
for a stream that it does not know.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import structlog
from mode import Service

from turmericflow.relay import _membership as membership
from turmericflow.relay._context import HostContext
from turmericflow.relay._host_tables import PROTOCOL, HostState
from turmericflow.relay._intervals import RECORD_INTERVAL_S
from turmericflow.relay._model import VersionRecord, WorkKind
from turmericflow.relay._revisions import era_of
from turmericflow.relay._store import Kind, StoreFailed
from turmericflow.relay._stream_versions import (
    GENERATION_S,
    VersionSets,
    pack,
    unpack,
    version_of,
)
from turmericflow.relay._tables import Tables
from turmericflow.relay.version_binding import Sets, next_sets

# The first host to read the store waits, as it may not have heard of others yet.
TAKE_OVER_S = 1.0
SERVICES = "services"  # name of the object with the versions of all services
SEGMENTS = 8
SEGMENT_S = 10.0  # streams of this time share an object, so that each write is small
READ_RETRY_S = 0.5  # between two reads that fail
READ_INTERVAL_S = 0.2  # between two reads for requests
OBSERVATION_INTERVAL_S = 1.0  # of the other hosts
SETTLED_S = 2.0  # all hosts have been told of the versions in force

assert (SEGMENTS - 1) * SEGMENT_S >= GENERATION_S

log = structlog.get_logger()


def stream_services(tables: Tables) -> set[str]:
    """Return the services that serve streams."""
    deployment = tables.deployment.value
    if deployment is None:
        return set()
    return {
        share.service
        for route in deployment.routes
        if route.kind is WorkKind.STREAM
        for share in route.shares
    }


def observe_versions(tables: Tables, now: float) -> dict[str, list[str]]:
    """Notice the versions of all services of streams, and return them."""
    found = {}
    for service in sorted(stream_services(tables)):
        entries = [row.entry for row in tables.targets.by_service.get(service, ())]
        if versions := tables.stream_versions.see(service, entries, now):
            found[service] = sorted(versions)
    return found


def open_versions(tables: Tables, service: str) -> set[str]:
    """Return the versions of a service's targets that take new streams."""
    rows = tables.targets.by_service.get(service, ())
    return {version_of(row.entry) for row in rows if not row.leaving}


def all_hold_back(tables: Tables, now: float) -> bool:
    """Return whether all hosts show only events whose version outlasts all hosts.

    Those of an earlier version show them after a fixed time.
    """
    peers = membership.live_peers(tables, now)
    return all(row.status.protocol >= PROTOCOL for row in peers)


async def read_versions(ctx: HostContext) -> dict[str, tuple[int, VersionRecord]]:
    """Read and apply all records; return each with its revision, by name.

    Raises
    ------
    StoreFailed
        If they cannot be read.
    """
    ctx.metrics.store_calls.labels("read").inc()
    listing = await ctx.store.read(Kind.VERSIONS)
    found, complete = {}, True
    # Of two records of a stream the later one holds.
    for row in sorted(listing.rows, key=lambda row: row.revision):
        if row.value is None:
            log.warning("record_unreadable", name=row.name, reason=row.problem)
            complete = False
        elif row.name == SERVICES:
            complete &= row.value.era in (None, era_of(row.revision))
        found[row.name] = (row.revision, row.value or VersionRecord())
    records = [record for _, record in found.values()]
    ctx.tables.stream_versions.apply_records(records, complete, ctx.clock.now())
    log.info("versions_read", records=len(records), complete=complete)
    return found


class VersionReader:
    """Reads the records for requests that need them, in one call for many of these."""

    __slots__ = ("_ctx", "_next", "_began_at", "_failed_at")

    def __init__(self, ctx: HostContext) -> None:
        self._ctx = ctx
        self._next: asyncio.Task[bool] | None = None  # a read that has not begun
        self._began_at = self._failed_at = float("-inf")

    async def read(self) -> bool:
        """Read the records, unless that just failed; a failure is only logged.

        Returns
        -------
        bool
            Whether they were read, in a call that began after this one.
        """
        if self._ctx.clock.now() - self._failed_at < READ_RETRY_S:
            return False
        if self._next is None:
            self._next = asyncio.create_task(self._read())
        # A caller that leaves does not end the call for the others.
        return await asyncio.shield(self._next)

    async def _read(self) -> bool:
        clock = self._ctx.clock
        await asyncio.sleep(self._began_at + READ_INTERVAL_S - clock.now())
        self._next, self._began_at = None, clock.now()
        try:
            await read_versions(self._ctx)
        except StoreFailed as exc:
            self._failed_at = clock.now()
            log.warning("versions_not_read", reason=str(exc))
            return False
        return True


class VersionRecorder(Service):
    """Writes the records while this host is the first of those that read the store."""

    def __init__(self, ctx: HostContext) -> None:
        super().__init__()
        self._ctx = ctx
        self._first_since: float | None = None
        self._has_read = False
        self._forget()

    def _forget(self) -> None:
        """Forget what the store holds, so that it is read before the next write."""
        self._revisions: dict[str, int] | None = None
        self._era = self._ctx.store.era
        self._complete_era: int | None = None
        self._services: dict[str, list[str]] = {}
        self._in_force: VersionSets = {}  # as the store holds them
        self._told: VersionSets = {}  # as this host tells the others
        self._told_since = self._in_force_since = float("-inf")
        self._recorded: dict[bytes, str] = {}
        self._segment = ""
        self._segment_streams: dict[bytes, str] = {}
        self._segment_since = float("-inf")

    @Service.task
    async def _record_periodically(self) -> None:
        while not self.should_stop:
            is_recorder = self._is_recorder()
            # A host that starts may be the one that writes the first record.
            starting = self._ctx.tables.hosts.state is HostState.STARTING
            soon = starting or self._first_since is not None
            await self.sleep(RECORD_INTERVAL_S if soon else OBSERVATION_INTERVAL_S)
            tables, now = self._ctx.tables, self._ctx.clock.now()
            services = observe_versions(tables, now)
            if not all_hold_back(tables, now):
                tables.stream_versions.in_force = {}
            if not is_recorder:
                continue
            try:
                await self._record(services)
            except StoreFailed as exc:
                log.info("versions_not_recorded", reason=str(exc))
                self._forget()  # a write whose reply was lost may have been made
                await self.sleep(READ_RETRY_S)

    def _is_recorder(self) -> bool:
        tables, now = self._ctx.tables, self._ctx.clock.now()
        # A host that leaves stays the first reader until it is gone.
        started = tables.hosts.state is not HostState.STARTING
        if not started or not membership.is_first_reader(tables, now):
            self._first_since = None
            if self._revisions is not None:
                self._forget()
                self._ctx.tables.stream_versions.stop_recording()
            return False
        if self._first_since is None:
            self._first_since = now
        return now - self._first_since >= TAKE_OVER_S

    async def _record(self, services: dict[str, list[str]]) -> None:
        if self._era != self._ctx.store.era:
            self._forget()  # the store may have lost what was written
        if self._revisions is None:
            await self._read()
            services = observe_versions(self._ctx.tables, self._ctx.clock.now())
        now, versions = self._ctx.clock.now(), self._ctx.tables.stream_versions
        sets = self._choose_sets(services, now)
        told = {service: each.told for service, each in sets.items()}
        if told != self._told:
            self._told, self._told_since = told, now
        new = {}
        if any(len(names) > 1 for names in services.values()):
            new = await self._record_streams()
        in_force = self._settle(sets, now)
        complete_era = self._find_complete_era(services)
        restored = bool(services) and complete_era != self._complete_era
        if restored or services != self._services or in_force != self._in_force:
            record = VersionRecord(services, {}, complete_era, in_force, bool(in_force))
            await self._write(SERVICES, record)
            self._services, self._complete_era = services, complete_era
            self._in_force, self._in_force_since = in_force, now
            log.info(
                "versions_recorded",
                services=services,
                era=complete_era,
                in_force=in_force,
            )
        # A set that has left the store is told no more.
        self._told = {service: each.stored for service, each in sets.items()}
        not_chosen = versions.not_chosen(new)
        versions.record_written(not_chosen, self._told, in_force, now)
        if new:
            self._ctx.announce()

    def _choose_sets(
        self, services: dict[str, list[str]], now: float
    ) -> dict[str, Sets]:
        """Return the versions among which the ids of streams are to choose.

        Those before stay listed until all hosts know the new ones, and as long as
        streams may be taken up that only hosts that have died knew.
        """
        tables = self._ctx.tables
        if not all_hold_back(tables, now):
            return {}
        settled = now - self._in_force_since >= SETTLED_S
        found = {}
        for service, names in services.items():
            noticed_s = tables.stream_versions.seen_for_s(service, now)
            tables.stream_versions.knows_all |= noticed_s > GENERATION_S
            knows_all = tables.stream_versions.knows_all
            stored = self._in_force.get(service, [])
            if not stored and not knows_all:
                continue
            if tables.rollouts is not None:
                names = tables.rollouts.open_versions(service, names, now)
            if knows_all:
                # All streams of a version that has left are known and recorded.
                present = open_versions(tables, service)
                names = [name for name in names if name in present] or names
            found[service] = next_sets(names, stored, settled and knows_all)
        return found

    def _settle(self, sets: dict[str, Sets], now: float) -> VersionSets:
        """Return the sets for the store, in which new ones wait for all hosts.

        By then all hosts follow what they were told, and earlier streams are written.
        """
        settled = now - self._told_since >= SETTLED_S
        found = {}
        for service, each in sets.items():
            stored = self._in_force.get(service, [])
            if settled or each.stored == stored[: len(each.stored)]:
                found[service] = each.stored
            elif stored:
                found[service] = stored
        return found

    def _find_complete_era(self, services: Iterable[str]) -> int | None:
        """Return the last era of the store in which the records are complete."""
        versions, now = self._ctx.tables.stream_versions, self._ctx.clock.now()
        if all(versions.is_complete(service, now) for service in services):
            return self._era
        return self._complete_era

    async def _read(self) -> None:
        found = await read_versions(self._ctx)
        self._era = self._ctx.store.era
        self._revisions = {name: revision for name, (revision, _) in found.items()}
        for name, (_, record) in found.items():
            if name == SERVICES:
                self._services = record.services
                self._complete_era = record.era
                self._in_force = self._told = record.in_force
                self._in_force_since = self._ctx.clock.now()
            else:
                self._recorded |= unpack(record.streams)
        if not self._has_read:
            # Without any record no host has served streams before this one.
            self._ctx.tables.stream_versions.knows_all |= not found
            self._has_read = True

    async def _record_streams(self) -> dict[bytes, str]:
        """Write the streams that the store does not hold, and return them."""
        known = self._ctx.tables.stream_versions.streams()
        new = dict(known.items() - self._recorded.items())
        if not new:
            return new
        now = self._ctx.clock.now()
        if now - self._segment_since >= SEGMENT_S:
            self._segment = self._oldest_segment()
            self._segment_streams, self._segment_since = {}, now
            self._recorded = {
                digest: version
                for digest, version in self._recorded.items()
                if digest in known
            }
        streams = self._segment_streams | new
        await self._write(self._segment, VersionRecord({}, pack(streams)))
        self._segment_streams = streams
        self._recorded |= new
        return new

    def _oldest_segment(self) -> str:
        names = [f"streams-{number}" for number in range(SEGMENTS)]
        return min(names, key=lambda name: self._revisions.get(name, -1))

    async def _write(self, name: str, record: VersionRecord) -> None:
        self._ctx.metrics.store_calls.labels("write").inc()
        revision = self._revisions.get(name)
        self._revisions[name] = await self._ctx.store.record_versions(
            name, record, revision
        )
