"""Clients on raw sockets that know what they sent and what they got."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import time
from dataclasses import dataclass, field

CONNECT_TIMEOUT_S = 1.0
RESOLVE_TRIES = 3
GIVE_UP_AFTER_S = 1.0  # beyond the time budget
SMALL_RECEIVE_BUFFER = 16_384
READ_BYTES = 16_384
CALLERS_PORT, READINESS_PORT, ADDRESSES_PORT = 8740, 8749, 8746
CLOSED = (ConnectionError, asyncio.IncompleteReadError, OSError)


@dataclass(slots=True)
class Attempt:
    """One request of a client, and what the client saw of its response.

    Attributes
    ----------
    pieces
        Parts of the request as sent, each after a pause in seconds.
    kept
        Whether the channel had served a request before.
    sent_at
        When the last byte was sent, or None if the request was not sent whole.
    ending
        How it ended: "complete", "closed" or "gave_up".
    """

    id: str
    route: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    budget_s: float
    pauses_s: tuple[float, ...] = ()
    read_pause_s: float = 0.0
    host: int = -1
    kept: bool = False
    began_at: float = 0.0
    sent_at: float | None = None
    ended_at: float = 0.0
    ending: str = ""
    reason: str = ""
    status: int = 0
    answer_headers: dict[str, str] = field(default_factory=dict)
    answer: bytearray = field(default_factory=bytearray)
    received_bytes: int = 0

    def pieces(self) -> list[tuple[float, bytes]]:
        """Return the request in parts, each with the pause before it."""
        headers = self.headers | {"Content-Length": str(len(self.body))}
        lines = [f"{self.method} {self.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body
        size = len(data) // (len(self.pauses_s) + 1) + 1
        parts = [data[n : n + size] for n in range(0, len(data), size)]
        return list(zip((0.0, *self.pauses_s), parts, strict=True))


class Channel:
    """One connection to a host."""

    __slots__ = ("host", "_reader", "_writer", "uses", "closing")

    def __init__(self, host: int, reader, writer) -> None:
        self.host = host
        self._reader: asyncio.StreamReader = reader
        self._writer: asyncio.StreamWriter = writer
        self.uses = 0
        self.closing = False  # the host said that it closes the channel

    @classmethod
    async def open(cls, host: int, ip: str, small_buffer: bool = False) -> Channel:
        """Connect to a host; raises `OSError` or `TimeoutError`."""
        sock = socket.socket()
        if small_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, (ip, CALLERS_PORT))
                return cls(host, *await asyncio.open_connection(sock=sock))
        except BaseException:
            sock.close()
            raise

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        return not (
            self.closing
            or self._writer.is_closing()
            or self._reader.at_eof()
            or self._reader.exception()
        )

    async def idle(self, seconds: float) -> bytes:
        """Stay idle; return bytes that came although no request was waiting."""
        try:
            async with asyncio.timeout(seconds):
                return await self._reader.read(1)
        except (TimeoutError, OSError):
            return b""

    async def exchange(self, attempt: Attempt) -> Attempt:
        """Send a request and read its response."""
        attempt.host, attempt.kept = self.host, self.uses > 0
        attempt.began_at = time.time()
        self.uses += 1
        try:
            async with asyncio.timeout(attempt.budget_s + GIVE_UP_AFTER_S):
                await self._send(attempt)
                await self._read_answer(attempt)
            attempt.ending = "complete"
        except TimeoutError:
            attempt.ending = "gave_up"
        except (KeyError, ValueError, IndexError) as exc:
            attempt.ending, attempt.reason = "malformed", repr(exc)
        except CLOSED as exc:
            attempt.ending, attempt.reason = "closed", repr(exc)
        attempt.ended_at = time.time()
        if (
            attempt.ending != "complete"
            or attempt.answer_headers.get("connection") == "close"
        ):
            self.close()
        return attempt

    async def _send(self, attempt: Attempt) -> None:
        for pause_s, data in attempt.pieces():
            if pause_s:
                await asyncio.sleep(pause_s)
            if not self.usable:
                raise ConnectionResetError("closed before the request was sent")
            self._writer.write(data)
            await self._writer.drain()
        attempt.sent_at = time.time()

    async def _read_answer(self, attempt: Attempt) -> None:
        head = await self._reader.readuntil(b"\r\n\r\n")
        attempt.received_bytes += len(head)
        line, *lines = head.decode("latin-1").split("\r\n")
        attempt.status = int(line.split()[1])
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            attempt.answer_headers[name.lower()] = value.strip()
        if attempt.answer_headers.get("transfer-encoding") == "chunked":
            while size := int((await self._reader.readuntil(b"\r\n")), 16):
                await self._read_body(attempt, size)
                await self._reader.readexactly(2)
            await self._reader.readuntil(b"\r\n")
        else:
            await self._read_body(
                attempt, int(attempt.answer_headers["content-length"])
            )

    async def _read_body(self, attempt: Attempt, size: int) -> None:
        while size:
            data = await self._reader.read(min(size, READ_BYTES))
            if not data:
                raise asyncio.IncompleteReadError(b"", size)
            attempt.answer += data
            attempt.received_bytes += len(data)
            size -= len(data)
            if attempt.read_pause_s:
                await asyncio.sleep(attempt.read_pause_s)

    def close(self) -> None:
        """Close the channel."""
        self.closing = True
        self._writer.close()


class Directory:
    """Addresses of hosts, as callers look them up and cache them."""

    __slots__ = ("_ips", "_rng", "_factor", "_found", "_until")

    def __init__(self, ips: list[str], rng: random.Random) -> None:
        self._ips = ips
        self._rng = rng
        self._factor = rng.choice((1, 1, 3))  # some clients cache for longer
        self._found: list[int] = []
        self._until = 0.0

    async def choose(self) -> int:
        """Return the number of a host to connect to."""
        if time.time() >= self._until:
            for ip in self._rng.sample(self._ips, min(RESOLVE_TRIES, len(self._ips))):
                if await self._resolve(ip):
                    break
        return self._rng.choice(self._found or range(len(self._ips)))

    async def _resolve(self, ip: str) -> bool:
        request = (
            "GET /v1/resolve?name=site.example&region=r&zone=dc-0 HTTP/1.1\r\n"
            f"Host: {ip}\r\nConnection: close\r\n\r\n"
        )
        writer = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, ADDRESSES_PORT)
                writer.write(request.encode())
                head, _, body = (await reader.read()).partition(b"\r\n\r\n")
            if b" 200 " not in head[:20]:
                return False
            answer = json.loads(body)
        except (OSError, ValueError):
            return False
        finally:
            if writer is not None:
                writer.close()
        ips = [address.partition(":")[0] for address in answer["addresses"]]
        self._found = [self._ips.index(found) for found in ips]
        self._until = time.time() + answer["ttlS"] * self._factor
        return True
