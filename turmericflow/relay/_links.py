"""Streams between hosts: status of all hosts, and views that one of two lacks."""

from __future__ import annotations

import asyncio
from typing import Union

import msgspec
import structlog
from mode import Service

from turmericflow._framing import StreamDecoder, WireError
from turmericflow.relay import (
    _adoption as adoption,
    _discovery as discovery,
    _membership as membership,
    _routing as routing,
)
from turmericflow.relay._model import Deployment, TargetEntry
from turmericflow.relay._parts import Parts
from turmericflow.relay._tables import HostStatus

CONNECT_TIMEOUT_S = 0.5
SILENT_S = 1.5  # six beats without a byte
READ_BYTES = 65_536
MOST_UNSENT_BYTES = 1_000_000  # a peer that does not read is cut off
SEND_WITHIN_S = 0.003  # far less than the time between two streams of the fleet
VIEW_EVERY_S = 0.5  # time between two sendings of the same view to a peer

log = structlog.get_logger()


class Hello(msgspec.Struct, array_like=True, tag="hello"):
    """Who opens or accepts a stream."""

    name: str


class StatusMessage(msgspec.Struct, array_like=True, tag="status"):
    """What some hosts say of themselves."""

    hosts: list[HostStatus]


class DeploymentView(msgspec.Struct, array_like=True, tag="deployment"):
    """The deployment, at a revision of the store."""

    revision: int
    value: Deployment


class TargetsView(msgspec.Struct, array_like=True, tag="targets"):
    """All targets' entries, at a revision of the store."""

    revision: int
    entries: list[TargetEntry]


AnyMessage = Union[Hello, StatusMessage, DeploymentView, TargetsView]
_DECODER = msgspec.msgpack.Decoder(AnyMessage)
_ENCODER = msgspec.msgpack.Encoder()


class Link:
    """One stream to another host.

    Attributes
    ----------
    name
        The other host, once it has said so.
    views_sent
        Times at which views were sent, by the type of the message.
    """

    __slots__ = ("_writer", "name", "heard_at", "views_sent")

    def __init__(self, writer: asyncio.StreamWriter, now: float) -> None:
        self._writer = writer
        self.name = ""
        self.heard_at = now
        self.views_sent: dict[type, float] = {}

    def send(self, msg: AnyMessage) -> None:
        """Send a message; the stream is cut if the other side does not read."""
        transport = self._writer.transport
        if transport.get_write_buffer_size() > MOST_UNSENT_BYTES:
            transport.abort()
        elif not transport.is_closing():
            self._writer.write(_ENCODER.encode(msg))

    def cut(self) -> None:
        """Break the stream off."""
        self._writer.transport.abort()


class Links(Service):
    """Streams to this host's contacts, and from those that have it as theirs."""

    def __init__(self, parts: Parts) -> None:
        super().__init__()
        self._parts = parts
        self._links: set[Link] = set()
        self._dialling: set[str] = set()
        self._fresh: dict[str, HostStatus] = {}
        self._server: asyncio.Server | None = None
        self._sending: asyncio.TimerHandle | None = None
        parts.announce = self.announce

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
        await self._run(reader, writer)

    async def _dial(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, int(port))
        except (OSError, TimeoutError):
            return
        finally:
            self._dialling.discard(address)
        await self._run(reader, writer)

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        clock = self._parts.clock
        link = Link(writer, clock.listening())
        self._links.add(link)
        decoder = StreamDecoder(_DECODER)
        link.send(Hello(self._parts.settings.name))
        try:
            while data := await reader.read(READ_BYTES):
                link.heard_at = clock.listening()
                for msg in decoder.feed(data):
                    self._take(link, msg)
        except WireError as exc:
            log.warning("peer_stream_invalid", peer=link.name, reason=str(exc))
        except OSError as exc:
            log.info("peer_stream_lost", peer=link.name, reason=repr(exc))
        finally:
            self._links.discard(link)
            link.cut()

    def _take(self, link: Link, msg: AnyMessage) -> None:
        tables, now = self._parts.tables, self._parts.clock.now()
        match msg:
            case Hello():
                link.name = msg.name
                link.send(StatusMessage([membership.own_status(tables, now)]))
            case StatusMessage():
                for status in msg.hosts:
                    urgent = membership.is_urgent(tables, status)
                    if membership.learn(tables, status, now):
                        self._fresh[status.entry.name] = status
                        adoption.take_in(tables, status.adopted, now)
                        if urgent:
                            self._send_soon()
                    if status.entry.name == link.name:
                        self._offer_views(link, status)
            case DeploymentView():
                if routing.put_in_force(tables.deployment, msg.value, msg.revision):
                    log.info(
                        "deployment_in_force",
                        version=msg.value.version,
                        revision=msg.revision,
                        source=link.name,
                    )
            case TargetsView():
                if discovery.replace(tables.targets, msg.entries, msg.revision):
                    log.info("targets_learned", revision=msg.revision, source=link.name)

    def _offer_views(self, link: Link, status: HostStatus) -> None:
        """Send a peer the views of which it has an older revision."""
        tables = self._parts.tables
        deployment, targets = tables.deployment, tables.targets
        if status.deployment_revision < deployment.revision:
            self._send_view(link, DeploymentView(deployment.revision, deployment.value))
        if status.targets_revision < targets.revision:
            entries = [row.entry for row in targets.rows.values()]
            self._send_view(link, TargetsView(targets.revision, entries))

    def _send_view(self, link: Link, view: DeploymentView | TargetsView) -> None:
        now = self._parts.clock.now()
        if now - link.views_sent.get(type(view), float("-inf")) >= VIEW_EVERY_S:
            link.views_sent[type(view)] = now
            link.send(view)

    def announce(self) -> None:
        """Announce a change on this host to all others at once."""
        self._parts.tables.hosts.urgent += 1
        self._send_soon()

    def _send_soon(self) -> None:
        if self._sending is None and not self.should_stop:
            loop = asyncio.get_running_loop()
            self._sending = loop.call_later(SEND_WITHIN_S, self._send_now)

    def _send_now(self) -> None:
        """Send this host's status, and others' that are new here, to the peers."""
        if self._sending is not None:
            self._sending.cancel()
            self._sending = None
        own = membership.own_status(self._parts.tables, self._parts.clock.now())
        fresh, self._fresh = self._fresh, {}
        for link in self._links:
            others = [status for name, status in fresh.items() if name != link.name]
            link.send(StatusMessage([own, *others]))

    def _connect(self) -> None:
        known = {link.name for link in self._links}
        now = self._parts.clock.now()
        wanted = membership.contacts(self._parts.tables, now)
        for entry in wanted:
            if entry.name not in known:
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
            for link in list(self._links):
                if now - link.heard_at > SILENT_S:
                    log.info("peer_silent", peer=link.name)
                    link.cut()
            self._connect()
            self._send_now()
            await self.sleep(membership.BEAT_S)
