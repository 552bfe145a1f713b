"""Streams between hosts: status of all hosts, and views that one of two lacks."""

from __future__ import annotations

import asyncio
from typing import Union, get_args

import msgspec
import structlog
from mode import Service
from prometheus_client import Counter

from turmericflow._framing import StreamDecoder, WireError
from turmericflow.relay import (
    _adoption as adoption,
    _broadcast as broadcast,
    _discovery as discovery,
    _membership as membership,
    _pace as pace,
    _routing as routing,
)
from turmericflow.relay._broadcast import Outbox, Rings, RoutedStatus
from turmericflow.relay._host_tables import HostStatus
from turmericflow.relay._model import Deployment, TargetEntry
from turmericflow.relay._parts import Parts
from turmericflow.relay._store import Kind

CONNECT_TIMEOUT_S = 0.5
READ_BYTES = 65_536
MOST_UNSENT_BYTES = 1_000_000  # a peer that does not read is cut off
SEND_WITHIN_S = 0.003  # far less than the time between two streams of the fleet
PASS_ON_WITHIN_S = 0.05  # a fifth of the shortest beat
VIEW_EVERY_S = 0.5  # time between two questions for the same view
VIEW_LAG_S = 0.3  # a host that reads the store itself has its changes by then

log = structlog.get_logger()


class Hello(msgspec.Struct, array_like=True, tag="hello"):
    """Who opens or accepts a stream."""

    name: str


class StatusMessage(msgspec.Struct, array_like=True, tag="status"):
    """What some hosts say of themselves, to be passed on."""

    told: list[RoutedStatus]


class SnapshotRequest(msgspec.Struct, array_like=True, tag="wanted"):
    """Asks a peer for what it has newer than these revisions."""

    deployment_revision: int
    targets_revision: int


class DeploymentSnapshot(msgspec.Struct, array_like=True, tag="deployment"):
    """The deployment, at a revision of the store."""

    revision: int
    value: Deployment


class TargetsSnapshot(msgspec.Struct, array_like=True, tag="targets"):
    """All targets' entries, at a revision of the store."""

    revision: int
    entries: list[TargetEntry]


AnyMessage = Union[
    Hello, StatusMessage, SnapshotRequest, DeploymentSnapshot, TargetsSnapshot
]
_DECODER = msgspec.msgpack.Decoder(AnyMessage)
_ENCODER = msgspec.msgpack.Encoder()


class Link:
    """One stream to another host.

    Attributes
    ----------
    name
        The other host, once it has said so.
    dialled
        Whether this host opened the stream.
    outbox
        Statuses to be sent.
    """

    __slots__ = (
        "_writer",
        "_sent",
        "name",
        "dialled",
        "last_received_at",
        "outbox",
    )

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        sent: dict[type, Counter],
        now: float,
        dialled: bool,
    ) -> None:
        self._writer = writer
        self._sent = sent
        self.name = ""
        self.dialled = dialled
        self.last_received_at = now
        self.outbox = Outbox()

    def send(self, msg: AnyMessage) -> None:
        """Send a message; the stream is cut if the other side does not read."""
        transport = self._writer.transport
        if transport.get_write_buffer_size() > MOST_UNSENT_BYTES:
            transport.abort()
        elif not transport.is_closing():
            data = _ENCODER.encode(msg)
            self._sent[type(msg)].inc(len(data))
            self._writer.write(data)

    def cut(self) -> None:
        """Break the stream off."""
        self._writer.transport.abort()


class Links(Service):
    """Streams to this host's contacts, and from those that have it as theirs."""

    def __init__(self, parts: Parts) -> None:
        super().__init__()
        self._parts = parts
        self._links: set[Link] = set()
        self._by_name: dict[str, Link] = {}
        self._rings = Rings(parts.settings.name, [])
        self._sent = {
            kind: parts.metrics.peer_bytes.labels(kind.__struct_config__.tag)
            for kind in get_args(AnyMessage)
        }
        self._dialling: set[str] = set()
        self._server: asyncio.Server | None = None
        self._sending: asyncio.TimerHandle | None = None
        self._own_at = float("inf")
        self._told_at = float("-inf")
        self._wanted: SnapshotRequest | None = None
        self._behind_since = float("-inf")
        self._asked_at = float("-inf")
        parts.announce = self.announce
        parts.announce_load = self.announce_load

    async def on_start(self) -> None:
        ip, _, port = self._parts.settings.peers.rpartition(":")
        self._server = await asyncio.start_server(self._accepted, ip, int(port))

    async def on_stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.cut()

    async def _accepted(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._run(reader, writer, dialled=False)

    async def _dial(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, int(port))
        except (OSError, TimeoutError):
            return
        finally:
            self._dialling.discard(address)
        await self._run(reader, writer, dialled=True)

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, dialled: bool
    ) -> None:
        clock = self._parts.clock
        link = Link(writer, self._sent, clock.listening(), dialled)
        self._links.add(link)
        decoder = StreamDecoder(_DECODER)
        link.send(Hello(self._parts.settings.name))
        try:
            while data := await reader.read(READ_BYTES):
                link.last_received_at = clock.listening()
                for msg in decoder.feed(data):
                    self._take(link, msg)
        except WireError as exc:
            log.warning("peer_stream_invalid", peer=link.name, reason=str(exc))
        except OSError as exc:
            log.info("peer_stream_lost", peer=link.name, reason=repr(exc))
        finally:
            self._links.discard(link)
            link.cut()
            if self._by_name.get(link.name) is link:
                del self._by_name[link.name]
                self._renew_rings()

    def _renew_rings(self) -> None:
        self._rings = Rings(self._parts.settings.name, self._by_name)

    def _take(self, link: Link, msg: AnyMessage) -> None:
        match msg:
            case Hello():
                self._take_hello(link, msg.name)
            case StatusMessage():
                for told in msg.told:
                    self._take_status(link, told)
            case DeploymentSnapshot():
                self._take_deployment(link, msg)
            case TargetsSnapshot():
                tables = self._parts.tables
                if discovery.replace(tables.targets, msg.entries, msg.revision):
                    log.info("targets_learned", revision=msg.revision, source=link.name)
            case SnapshotRequest():
                self._send_views(link, msg)

    def _take_hello(self, link: Link, name: str) -> None:
        """Keep one stream to each host: of two, the one that the first name opened."""
        link.name = name
        own = self._parts.settings.name
        known = self._by_name.get(name)
        if known is not None:
            crossed = known.dialled is not link.dialled
            kept = known if crossed and known.dialled is (own < name) else link
            (link if kept is known else known).cut()
            link = kept
        self._by_name[name] = link
        self._renew_rings()
        now = self._parts.clock.now()
        status = membership.own_status(self._parts.tables, now)
        for span in broadcast.full_spans(own):
            link.outbox.put(status, span)
        self._send_within(SEND_WITHIN_S)

    def _take_status(self, link: Link, told: RoutedStatus) -> None:
        tables, now = self._parts.tables, self._parts.clock.now()
        status = told.status
        name = status.entry.name
        if name == tables.hosts.own.name or membership.is_outdated(tables, status):
            return
        urgent = membership.is_urgent(tables, status)
        known = tables.targets.revision
        if membership.apply_status(tables, status, now):
            adoption.adopt_from_peer(tables, status.adopted, now)
        if tables.targets.revision > known:
            log.info("targets_learned", revision=tables.targets.revision, source=name)
        self._tell(status, told.spans)
        self._send_within(SEND_WITHIN_S if urgent else PASS_ON_WITHIN_S)
        if membership.is_ahead(tables, status):
            self._ask_for_views()

    def _take_deployment(self, link: Link, msg: DeploymentSnapshot) -> None:
        table = self._parts.tables.deployment
        if routing.put_in_force(table, msg.value, msg.revision):
            log.info(
                "deployment_in_force",
                version=msg.value.version,
                revision=msg.revision,
                source=link.name,
            )

    def _send_views(self, link: Link, wanted: SnapshotRequest) -> None:
        """Send a peer the views of which it has an older revision."""
        tables = self._parts.tables
        deployment, targets = tables.deployment, tables.targets
        if wanted.deployment_revision < deployment.revision:
            link.send(DeploymentSnapshot(deployment.revision, deployment.value))
        if wanted.targets_revision < targets.revision:
            entries = [row.entry for row in targets.rows.values()]
            link.send(TargetsSnapshot(targets.revision, entries))

    def _ask_for_views(self) -> None:
        """Ask a peer for views that are newer than this host's.

        A host that the store answers waits first for the news that comes by itself.
        """
        tables, now = self._parts.tables, self._parts.clock.now()
        rows = (tables.hosts.rows.get(name) for name in self._by_name)
        newer = [
            row.entry.name
            for row in rows
            if row is not None and membership.is_ahead(tables, row.status)
        ]
        wanted = SnapshotRequest(tables.deployment.revision, tables.targets.revision)
        if not newer or wanted != self._wanted:
            self._wanted, self._behind_since = wanted, now
        if not newer:
            return
        lag_s = 0.0
        if not tables.hosts.unanswered_kinds:
            lag_s = VIEW_LAG_S + pace.gather_s(tables, Kind.TARGETS)
        lagging = now - self._behind_since >= lag_s
        if not lagging or now - self._asked_at < VIEW_EVERY_S:
            return
        self._asked_at = now
        self._by_name[self._parts.rng.choice(newer)].send(wanted)

    def announce(self) -> None:
        """Announce a change on this host to all others at once."""
        self._parts.tables.hosts.urgent_changes += 1
        self._tell_own_within(SEND_WITHIN_S)

    def announce_load(self) -> None:
        """Announce new work at a target, the more hosts there are the less often."""
        tables = self._parts.tables
        tables.hosts.urgent_changes += 1
        elapsed_s = self._parts.clock.now() - self._told_at
        gap_s = pace.load_gap_s(tables) - elapsed_s
        self._tell_own_within(max(SEND_WITHIN_S, gap_s))

    def _tell(self, status: HostStatus, spans: list[broadcast.Span]) -> None:
        for span in spans:
            for peer, part in self._rings.split(span):
                self._by_name[peer].outbox.put(status, part)

    def _tell_own_within(self, seconds: float) -> None:
        self._own_at = min(self._own_at, asyncio.get_running_loop().time() + seconds)
        self._send_within(seconds)

    def _send_within(self, seconds: float) -> None:
        if self.should_stop:
            return
        loop = asyncio.get_running_loop()
        at = loop.time() + seconds
        if self._sending is not None:
            if self._sending.when() <= at:
                return
            self._sending.cancel()
        self._sending = loop.call_at(at, self._send)

    def _send(self) -> None:
        """Send what waits to each peer."""
        self._sending = None
        wait_s = self._own_at - asyncio.get_running_loop().time()
        if wait_s <= 0:
            self._put_own()
        elif wait_s < float("inf"):
            self._send_within(wait_s)
        for link in self._by_name.values():
            told = link.outbox.drain()
            if told:
                link.send(StatusMessage(told))

    def _put_own(self) -> None:
        self._own_at = float("inf")
        tables, now = self._parts.tables, self._parts.clock.now()
        self._told_at = now
        self._tell(
            membership.own_status(tables, now),
            broadcast.full_spans(tables.hosts.own.name),
        )

    def _connect(self) -> None:
        now = self._parts.clock.now()
        wanted = membership.neighbours(self._parts.tables, now)
        for entry in wanted:
            if entry.name not in self._by_name:
                self._start_dial(entry.peers)
        if not self._links:
            for seed in self._parts.settings.seeds:
                if seed != self._parts.settings.peers:
                    self._start_dial(seed)

    def _start_dial(self, address: str) -> None:
        if address not in self._dialling:
            self._dialling.add(address)
            self.add_future(self._dial(address))

    @Service.task
    async def _beat(self) -> None:
        while not self.should_stop:
            now = self._parts.clock.listening()
            silent_s = pace.alive_s(self._parts.tables)
            for link in list(self._links):
                if now - link.last_received_at > silent_s:
                    log.info("peer_silent", peer=link.name)
                    link.cut()
            self._connect()
            self._ask_for_views()
            self._own_at = now
            self._send()
            await self.sleep(pace.beat_s(self._parts.tables))
