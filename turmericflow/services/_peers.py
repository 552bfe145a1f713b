"""Message streams between this router and the others."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

import structlog
from mode import Service

from turmericflow import wire
from turmericflow._certificates import TlsContexts
from turmericflow.cfg import Settings
from turmericflow.services._stats import Stats
from turmericflow.tables import Tables

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 1.0
RECONNECT_WAIT_S = 0.2

Reply = Callable[[wire.Message], None]
Handler = Callable[[wire.AnyMessage, Reply], Awaitable[None] | None]

log = structlog.get_logger()


class PeerUnreachable(Exception):
    """Raised without a connection or an answer; the call may have taken effect."""


class _Stream(asyncio.Protocol):
    """Decode the messages of one connection and pass them to a callback."""

    def __init__(self, on_message: Callable, on_lost: Callable, stats: Stats) -> None:
        self._on_message = on_message
        self._on_lost = on_lost
        self._stats = stats
        self._decoder = wire.Decoder()
        self._frames: list[bytes] = []
        self.transport: asyncio.Transport | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._stats.count("peer.bytes_in", len(data))
        try:
            messages = self._decoder.feed(data)
        except wire.WireError:
            self._stats.count("peer.invalid_message")
            self.transport.abort()
            return
        for msg in messages:
            self._on_message(self, msg)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self._on_lost(self)

    def send(self, msg: wire.Message) -> None:
        """Send a message, in one write with all others of this event loop iteration."""
        if not self._frames:
            asyncio.get_running_loop().call_soon(self._flush)
        self._frames.append(wire.encode(msg))

    def close(self) -> None:
        """Send the pending messages, then close the connection."""
        self._flush()
        self.transport.close()

    def _flush(self) -> None:
        data = b"".join(self._frames)
        self._frames.clear()
        self._stats.count("peer.bytes_out", len(data))
        if not self.transport.is_closing():
            self.transport.write(data)


class Peers(Service):
    """Exchange messages with the other routers.

    A message to this host itself is handled in place, without a connection.
    """

    def __init__(
        self,
        settings: Settings,
        tables: Tables,
        stats: Stats,
        tls: TlsContexts | None = None,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._tls = tls
        self._tables = tables
        self._stats = stats
        self._handlers: dict[type, Handler] = {}
        self._rids = itertools.count(1)
        self._callbacks: dict[int, Callable[[wire.AnyMessage | None], None]] = {}
        self._pending_rids: dict[str, set[int]] = {}
        self._streams: dict[str, _Stream] = {}
        self._connecting: dict[str, asyncio.Task] = {}
        self._accepted: set[_Stream] = set()
        self._tasks: set[asyncio.Task] = set()
        self._stopping = False
        self._lost_listeners: list[Callable[[str], None]] = []
        self._server: asyncio.Server | None = None

    def handle(self, kind: type, handler: Handler) -> None:
        """Call ``handler`` with each message of a type and a function to reply with."""
        self._handlers[kind] = handler

    def on_connection_lost(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with the name of each host whose connection is lost."""
        self._lost_listeners.append(listener)

    def next_rid(self) -> int:
        """Return a new request id, unique in this process."""
        return next(self._rids)

    async def on_start(self) -> None:
        address = self._settings.peer
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            address.ip,
            address.port,
            reuse_address=True,
            ssl=self._tls and self._tls.peer_server,
        )

    async def on_stop(self) -> None:
        self._stopping = True
        self._server.close()
        for stream in [*self._accepted, *self._streams.values()]:
            stream.close()
        for task in [*self._connecting.values(), *self._tasks]:
            task.cancel()

    async def call(
        self, host: str, msg: wire.Message, timeout_s: float = CALL_TIMEOUT_S
    ) -> wire.AnyMessage:
        """Send a message and return its reply.

        Raises
        ------
        PeerUnreachable
            If no reply came in time, or the connection failed; the message may
            have taken effect.
        """
        loop = asyncio.get_running_loop()
        fut = loop.create_future()

        def resolve(reply: wire.AnyMessage | None) -> None:
            if not fut.done():
                fut.set_result(reply)

        await self.send(host, msg, resolve)
        timer = loop.call_later(timeout_s, resolve, None)
        try:
            reply = await fut
        finally:
            timer.cancel()
            self.ignore_replies(host, msg.rid)
        if reply is None:
            raise PeerUnreachable(f"{host}: no reply to {type(msg).__name__}")
        return reply

    def call_nowait(
        self,
        host: str,
        msg: wire.Message,
        on_reply: Callable[[wire.AnyMessage | None], None],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """Send a message without a task; call ``on_reply`` once, with the reply.

        ``on_reply`` gets None if no reply came in time or the peer cannot be
        reached; the message may still have taken effect.
        """
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_s, self._time_out, msg.rid)

        def resolve(reply: wire.AnyMessage | None) -> None:
            timer.cancel()
            self.ignore_replies(host, msg.rid)
            on_reply(reply)

        self._callbacks[msg.rid] = resolve
        stream = self._streams.get(host)
        if host == self._tables.host:
            loop.call_soon(self._handle, msg, self._resolve)
        elif stream is not None:
            self._pending_rids.setdefault(host, set()).add(msg.rid)
            stream.send(msg)
        else:
            self._spawn(self._connect_and_send(host, msg))

    async def _connect_and_send(self, host: str, msg: wire.Message) -> None:
        """Connect to a host, then send it a message that is still pending."""
        try:
            stream = await self._connect(host)
        except PeerUnreachable:
            self._time_out(msg.rid)
            return
        if msg.rid in self._callbacks:
            self._pending_rids.setdefault(host, set()).add(msg.rid)
            stream.send(msg)

    def _time_out(self, rid: int) -> None:
        resolve = self._callbacks.get(rid)
        if resolve is not None:
            resolve(None)

    async def send(
        self,
        host: str,
        msg: wire.Message,
        on_reply: Callable[[wire.AnyMessage | None], None],
    ) -> None:
        """Send a message; pass replies to ``on_reply``, and None on connection loss.

        Raises
        ------
        PeerUnreachable
            If there is no connection and none can be opened.
        """
        if host == self._tables.host:
            self._callbacks[msg.rid] = on_reply
            self._handle(msg, self._resolve)
            return
        stream = self._streams.get(host) or await self._connect(host)
        self._callbacks[msg.rid] = on_reply
        self._pending_rids.setdefault(host, set()).add(msg.rid)
        stream.send(msg)

    async def post(self, host: str, msg: wire.Message) -> None:
        """Send a message that has no reply to another host.

        Raises
        ------
        PeerUnreachable
            If there is no connection and none can be opened.
        """
        stream = self._streams.get(host) or await self._connect(host)
        stream.send(msg)

    def ignore_replies(self, host: str, rid: int) -> None:
        """Drop all further replies to a message."""
        self._callbacks.pop(rid, None)
        self._pending_rids.get(host, set()).discard(rid)

    async def _connect(self, host: str) -> _Stream:
        task = self._connecting.get(host)
        if task is None:
            task = asyncio.ensure_future(self._open_stream(host))
            self._connecting[host] = task
            task.add_done_callback(lambda _: self._connecting.pop(host, None))
        try:
            return await asyncio.shield(task)
        except (OSError, TimeoutError) as exc:
            raise PeerUnreachable(f"{host}: {exc!r}") from exc

    async def _open_stream(self, host: str) -> _Stream:
        peer = self._tables.peers.rows.get(host)
        if peer is None:
            raise OSError(f"host: got {host!r}, expected a known peer")
        loop = asyncio.get_running_loop()

        def on_message(stream: _Stream, msg: wire.AnyMessage) -> None:
            self._resolve(msg)

        def on_lost(stream: _Stream) -> None:
            if self._streams.get(host) is stream:
                self._on_stream_lost(host)

        def create_stream() -> _Stream:
            return _Stream(on_message, on_lost, self._stats)

        connecting = loop.create_connection(
            create_stream,
            peer.peer.ip,
            peer.peer.port,
            ssl=self._tls and self._tls.peer_client,
            local_addr=(self._settings.peer.ip, 0),
        )
        _, stream = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        if stream.lost:
            raise OSError(f"{host} closed the connection immediately")
        stream.send(
            wire.Hello(
                self._tables.host,
                self._tables.data_centre,
                self._tables.peers.incarnation,
            )
        )
        self._streams[host] = stream
        return stream

    def _on_stream_lost(self, host: str) -> None:
        self._streams.pop(host, None)
        for rid in self._pending_rids.pop(host, set()):
            resolve = self._callbacks.pop(rid, None)
            if resolve is not None:
                resolve(None)
        if self._stopping:
            return
        for listener in self._lost_listeners:
            listener(host)

    def _resolve(self, msg: wire.AnyMessage) -> None:
        resolve = self._callbacks.get(msg.rid)
        if resolve is not None:
            resolve(msg)

    def _accept(self) -> _Stream:
        def on_message(stream: _Stream, msg: wire.AnyMessage) -> None:
            self._handle(msg, stream.send)

        stream = _Stream(on_message, self._accepted.discard, self._stats)
        self._accepted.add(stream)
        return stream

    def _handle(self, msg: wire.AnyMessage, reply: Reply) -> None:
        handler = self._handlers.get(type(msg))
        if handler is None:
            return
        awaitable = handler(msg, reply)
        if awaitable is not None:
            self._spawn(awaitable)

    def _spawn(self, awaitable: Awaitable[None]) -> None:
        task = asyncio.ensure_future(awaitable)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
