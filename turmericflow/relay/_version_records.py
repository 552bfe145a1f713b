"""Keeps in the store which versions began streams, for hosts that start anew.

What hosts tell each other is lost with the last of them. One host writes for all: the
versions that each service has, and, while a service has several, the streams that the
hosts have sent. A host reads them once, when it is asked for a stream that it does
not know.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import structlog
from mode import Service

from turmericflow.relay import _membership as membership
from turmericflow.relay._context import HostContext
from turmericflow.relay._host_tables import HostState
from turmericflow.relay._intervals import RECORD_INTERVAL_S
from turmericflow.relay._model import VersionRecord, WorkKind
from turmericflow.relay._revisions import era_of
from turmericflow.relay._store import Kind, StoreFailed
from turmericflow.relay._stream_versions import GENERATION_S, pack, unpack
from turmericflow.relay._tables import Tables

# The first host to read the store waits, as it may not have heard of others yet.
TAKE_OVER_S = 1.0
SERVICES = "services"  # name of the object with the versions of all services
SEGMENTS = 8
SEGMENT_S = 10.0  # streams of this time share an object, so that each write is small
READ_RETRY_S = 0.5  # between two reads that fail
OBSERVATION_INTERVAL_S = 1.0  # of the other hosts

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
    """Reads the records for requests that need them, in one call for all of these."""

    __slots__ = ("_ctx", "_reading", "_failed_at")

    def __init__(self, ctx: HostContext) -> None:
        self._ctx = ctx
        self._reading: asyncio.Task[None] | None = None
        self._failed_at = float("-inf")

    async def read(self) -> None:
        """Read the records, unless that just failed; a failure is only logged."""
        now = self._ctx.clock.now()
        if self._reading is None:
            if now - self._failed_at < READ_RETRY_S:
                return
            self._reading = asyncio.create_task(self._read())
        # A caller that leaves does not end the call for the others.
        await asyncio.shield(self._reading)

    async def _read(self) -> None:
        try:
            await read_versions(self._ctx)
        except StoreFailed as exc:
            self._failed_at = self._ctx.clock.now()
            log.warning("versions_not_read", reason=str(exc))
        finally:
            self._reading = None


class VersionRecorder(Service):
    """Writes the records while this host is the first of those that read the store."""

    def __init__(self, ctx: HostContext) -> None:
        super().__init__()
        self._ctx = ctx
        self._first_since: float | None = None
        self._forget()

    def _forget(self) -> None:
        """Forget what the store holds, so that it is read before the next write."""
        self._revisions: dict[str, int] | None = None
        self._era = self._ctx.store.era
        self._complete_era: int | None = None
        self._services: dict[str, list[str]] = {}
        self._recorded: dict[bytes, str] = {}
        self._segment = ""
        self._segment_streams: dict[bytes, str] = {}
        self._segment_since = float("-inf")

    @Service.task
    async def _record_periodically(self) -> None:
        while not self.should_stop:
            is_recorder = self._is_recorder()
            is_first = self._first_since is not None
            await self.sleep(RECORD_INTERVAL_S if is_first else OBSERVATION_INTERVAL_S)
            services = observe_versions(self._ctx.tables, self._ctx.clock.now())
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
        ready = tables.hosts.state is HostState.READY
        if not ready or not membership.is_first_reader(tables, now):
            self._first_since = None
            if self._revisions is not None:
                self._forget()
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
        complete_era = self._find_complete_era(services)
        restored = bool(services) and complete_era != self._complete_era
        if restored or services != self._services:
            await self._write(SERVICES, VersionRecord(services, {}, complete_era))
            self._services, self._complete_era = services, complete_era
            log.info("versions_recorded", services=services, era=complete_era)
        if any(len(versions) > 1 for versions in services.values()):
            await self._record_streams()

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
            else:
                self._recorded |= unpack(record.streams)

    async def _record_streams(self) -> None:
        """Write the streams that the store does not hold."""
        known = self._ctx.tables.stream_versions.streams()
        new = dict(known.items() - self._recorded.items())
        if not new:
            return
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

    def _oldest_segment(self) -> str:
        names = [f"streams-{number}" for number in range(SEGMENTS)]
        return min(names, key=lambda name: self._revisions.get(name, -1))

    async def _write(self, name: str, record: VersionRecord) -> None:
        self._ctx.metrics.store_calls.labels("write").inc()
        revision = self._revisions.get(name)
        self._revisions[name] = await self._ctx.store.record_versions(
            name, record, revision
        )
