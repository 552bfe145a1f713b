"""Connections to targets through another host, which copies the bytes of both sides."""

from __future__ import annotations

import asyncio
import socket
from typing import Union

import msgspec
import structlog
from prometheus_client import Counter

from turmericflow._framing import StreamDecoder, WireError
from turmericflow.relay import _placement as placement
from turmericflow.relay._addresses import parse_address
from turmericflow.relay._connections import RESET_ON_CLOSE
from turmericflow.relay._context import HostContext
from turmericflow.relay._handshake import Hello, TunnelReply, TunnelRequest
from turmericflow.relay._host_tables import HostState
from turmericflow.relay._sent_bytes import tunnel_counters
from turmericflow.relay._tables import Tables
from turmericflow.relay._tunnel_frames import END, encode_frame

READ_BYTES = 65_536
OPEN_TIMEOUT_S = 0.7  # the other host's own attempt, and the ways to and from it
MAX_TUNNELS = 1000  # each takes two descriptors; the machine's limits may allow fewer
_DECODER = msgspec.msgpack.Decoder(Union[Hello, TunnelReply])
_ENCODER = msgspec.msgpack.Encoder()

log = structlog.get_logger()


class TunnelFailed(Exception):
    """Raised when no connection to a target was made through another host.

    Attributes
    ----------
    at_target
        Whether the target is the reason, and not the other host.
    """

    def __init__(self, message: str, at_target: bool = False) -> None:
        super().__init__(message)
        self.at_target = at_target


async def open_tunnel(sock: socket.socket, host: str, address: str) -> bool:
    """Connect a socket to a target through another host.

    Returns
    -------
    bool
        Whether the bytes of the target come in frames. Those through a host of an
        earlier version do not; then the end of the connection may be that of the host.

    Parameters
    ----------
    sock
        Socket that is not connected, and does not block.
    host
        Address of the other host for its peers, as IP:PORT.
    address
        Address of the target, as IP:PORT.

    Raises
    ------
    TunnelFailed
        If the other host or the target cannot be reached; the target has received
        nothing.
    """
    try:
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            reply = await _request(sock, host, address)
    except (OSError, TimeoutError, ValueError, WireError) as exc:
        raise TunnelFailed(f"no connection through {host}: {exc!r}") from exc
    if reply.problem:
        message = f"no connection through {host}: {reply.problem}"
        raise TunnelFailed(message, reply.at_target)
    return reply.framed


async def _request(sock: socket.socket, host: str, address: str) -> TunnelReply:
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, parse_address(host))
    await loop.sock_sendall(sock, _ENCODER.encode(TunnelRequest(address, framed=True)))
    decoder = StreamDecoder(_DECODER)
    while data := await loop.sock_recv(sock, READ_BYTES):
        for msg in decoder.feed(data):
            if isinstance(msg, TunnelReply):
                return msg
    raise ConnectionResetError("the other host closed the connection")


def _find_problem(tables: Tables, address: str) -> str:
    """Return why this host opens no connection to an address, or an empty string."""
    if tables.hosts.state is not HostState.READY:
        return "this host is not ready"
    rows = tables.targets.rows.values()
    if any(row.entry.address == address and placement.usable(row) for row in rows):
        return ""
    return f"no target at {address} accepts new work"


class TunnelServer:
    """Opens connections to targets for other hosts.

    Attributes
    ----------
    running
        Number of connections that are open.
    """

    __slots__ = ("_ctx", "running")

    def __init__(self, ctx: HostContext) -> None:
        self._ctx = ctx
        self.running = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        req: TunnelRequest,
    ) -> None:
        """Connect another host to a target until one of the two closes."""
        problem = _find_problem(self._ctx.tables, req.address)
        if self.running >= min(MAX_TUNNELS, self._ctx.caller_limiter.budget.tunnels):
            problem = f"{self.running} connections are open"
        reply, target = TunnelReply(problem, framed=req.framed), None
        self.running += 1
        try:
            if not problem:
                client = self._ctx.target_client
                try:
                    target = await client.open_connection(req.address)
                except (OSError, TimeoutError, ValueError) as exc:
                    reply = TunnelReply(repr(exc), at_target=True)
            if target is not None:
                _reset_on_close(writer)
                writer.transport.max_size = target[1].transport.max_size = READ_BYTES
            writer.write(_ENCODER.encode(reply))
            await writer.drain()
            if target is not None:
                ip = (writer.get_extra_info("peername") or ("",))[0]
                ctx = self._ctx
                sent = tunnel_counters(ctx.metrics, ctx.tables, req.address, ip)
                await _connect(reader, writer, *target, req.framed, sent)
        except OSError as exc:
            log.info("tunnel_lost", address=req.address, reason=repr(exc))
        finally:
            self.running -= 1
            if target is not None:
                target[1].transport.abort()


async def _copy(
    source: asyncio.StreamReader,
    sink: asyncio.StreamWriter,
    sent: Counter,
    framed: bool = False,
) -> None:
    while data := await source.read(READ_BYTES):
        sent.inc(len(data))
        sink.write(encode_frame(data) if framed else data)
        await sink.drain()
    if framed:
        sink.write(END)


async def _connect(
    host_reader: asyncio.StreamReader,
    host_writer: asyncio.StreamWriter,
    target_reader: asyncio.StreamReader,
    target_writer: asyncio.StreamWriter,
    framed: bool,
    sent: tuple[Counter, Counter],
) -> None:
    """Copy bytes both ways until the host closes, or the target resets."""
    up = asyncio.create_task(_copy(host_reader, target_writer, sent[0]))
    down = asyncio.create_task(_copy(target_reader, host_writer, sent[1], framed))
    try:
        await asyncio.wait({up, down}, return_when=asyncio.FIRST_COMPLETED)
        if up.done():
            return
        if down.exception() is not None:
            host_writer.transport.abort()
            return
        # An answer without a length ends here; the host closes once it has it.
        host_writer.write_eof()
        await asyncio.wait({up})
    finally:
        for task in (up, down):
            task.cancel()
        await asyncio.gather(up, down, return_exceptions=True)


def _reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Let a connection end in a reset unless the target has ended it.

    This holds also if the process is killed. To a host of an earlier version a reset
    is the only sign that what the connection carried is not whole.
    """
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
