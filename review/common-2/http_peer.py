"""A caller's channel, and an engine that reads bodies itself, on plain sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from turmericflow.tests.platform_stand_ins import KEY, free_port

LOOPBACK = "127.0.0.1"


class Channel:
    """A caller's kept channel, whose socket may be set up by the caller."""

    def __init__(
        self,
        address: tuple[str, int],
        set_up: Callable[[socket.socket], None] = lambda sock: None,
        read_bytes: int = 65_536,
        pause_s: float = 0.0,
    ) -> None:
        self._address = address
        self._read_bytes = read_bytes
        self._pause_s = pause_s
        self.unread = b""
        self.sock = socket.socket()
        set_up(self.sock)
        self.sock.setblocking(False)

    async def open(self) -> None:
        """Connect."""
        await asyncio.get_running_loop().sock_connect(self.sock, self._address)

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    def close(self) -> None:
        """Close the channel."""
        self.sock.close()

    async def _read(self) -> bytes:
        if self._pause_s:
            await asyncio.sleep(self._pause_s)
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(self.sock, self._read_bytes)
        if not data:
            raise ConnectionResetError("the channel ended")
        return data

    async def line(self) -> bytes:
        """Return the next line without its end."""
        while b"\r\n" not in self.unread:
            self.unread += await self._read()
        line, _, self.unread = self.unread.partition(b"\r\n")
        return line

    async def exactly(self, size: int) -> bytes:
        """Return the next bytes."""
        while len(self.unread) < size:
            self.unread += await self._read()
        data, self.unread = self.unread[:size], self.unread[size:]
        return data

    async def head(self) -> tuple[bytes, dict[str, str]]:
        """Return the status line and headers of the next answer."""
        status, headers = await self.line(), {}
        if not status.startswith(b"HTTP/1.1 "):
            raise ValueError(f"got {status!r}, expected a status line")
        while line := await self.line():
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        return status, headers

    async def chunk(self) -> bytes:
        """Return the next chunk of a body, empty at its end."""
        size = int(await self.line(), 16)
        data = await self.exactly(size)
        await self.exactly(2)
        return data

    async def answer(self) -> tuple[bytes, dict[str, str], bytes]:
        """Return the status line, headers and body of the next answer."""
        status, headers = await self.head()
        if headers.get("transfer-encoding") != "chunked":
            size = int(headers.get("content-length", "0"))
            return status, headers, await self.exactly(size)
        body = b""
        while data := await self.chunk():
            body += data
        return status, headers, body


def request(
    method: str, path: str, id: str, timeout_ms: int, body: bytes = b"", more: str = ""
) -> bytes:
    """Return the bytes of a request; `more` has further header lines."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: site.example\r\n"
        f"X-Turmericflow-Attempt-Id: {id}\r\nX-Turmericflow-Key: {KEY}\r\n"
        f"X-Turmericflow-Token-Usage: 800,780\r\nX-Turmericflow-Model: m\r\n"
        f"X-Turmericflow-Prefix-Hash: 5c1e07a2:200,{id.encode().hex()[-8:]}:600\r\n"
        f"X-Turmericflow-Deadline-Ms: {timeout_ms}\r\n{length}{more}\r\n"
    ).encode() + body


class PlainSocketEngine:
    """An engine that decides itself when it reads the body of a request.

    Attributes
    ----------
    early
        Whether it answers before it has read the body, and reads on once the stream
        has ended.
    runs
        What it ran: the request's id and the id of the event after which it went on.
    """

    service = "model"
    receive_bytes = 16_384

    def __init__(
        self, name: str, zone: str, events: int, gap_s: float, early: bool
    ) -> None:
        self.name = name
        self.port = free_port()
        self.address = f"{LOOPBACK}:{self.port}"
        self.early = early
        self.runs: list[tuple[str, str | None]] = []
        self.broken_off: list[tuple[str, int, str]] = []
        self._zone = zone
        self._events = events
        self._gap_s = gap_s
        self._sock: socket.socket | None = None
        self._tasks: set[asyncio.Task] = set()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the object that the engine writes into the store."""
        return {
            "backend": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 64,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
        }

    async def start(self) -> None:
        """Listen."""
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes)
        self._sock.bind((LOOPBACK, self.port))
        self._sock.listen(64)
        self._sock.setblocking(False)
        self._start(self._accept())

    async def stop(self) -> None:
        """Close all channels."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._sock.close()

    def _start(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self._sock)
            sock.setblocking(False)
            self._start(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        loop, unread = asyncio.get_running_loop(), b""
        try:
            while True:
                while b"\r\n\r\n" not in unread:
                    if not (data := await loop.sock_recv(sock, 2048)):
                        return
                    unread += data
                head, _, unread = unread.partition(b"\r\n\r\n")
                line, *lines = head.decode().split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (each.partition(":") for each in lines)
                }
                length = int(headers.get("content-length", "0"))

                async def read_body() -> None:
                    nonlocal unread
                    while len(unread) < length:
                        if not (data := await loop.sock_recv(sock, 65_536)):
                            raise ConnectionResetError("the body ended early")
                        unread += data
                    unread = unread[length:]

                if not self.early:
                    await read_body()
                await self._answer(sock, line, headers)
                if self.early:
                    await read_body()
        except (OSError, ValueError):
            return
        finally:
            sock.close()

    async def _answer(self, sock: socket.socket, line: str, headers: dict) -> None:
        loop, path = asyncio.get_running_loop(), line.split(" ")[1]

        async def send(status: str, more: str, body: bytes) -> None:
            head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{more}\r\n"
            await loop.sock_sendall(sock, head.encode() + body)

        if path == "/healthz":
            await send("200 OK", f"X-Turmericflow-Instance-Id: {self.name}\r\n", b"")
        elif path == "/v1/report":
            await send("200 OK", "", b'{"models":[{"name":"m"}],"kvTotal":88000}')
        elif path.startswith("/v1/"):
            await send("503 Unavailable", "", b"")
        elif headers.get("x-turmericflow-expect-instance") != self.name:
            await send("421 Misdirected", "", b"")
        elif "kv-from" in headers:  # it keeps no copies
            await send("503 Unavailable", "X-Turmericflow-Not-Executed: 1\r\n", b"")
        else:
            await self._stream(sock, headers)

    async def _stream(self, sock: socket.socket, headers: dict) -> None:
        loop, id = asyncio.get_running_loop(), headers["x-turmericflow-attempt-id"]
        last = headers.get("last-event-id")
        self.runs.append((id, last))
        await loop.sock_sendall(
            sock,
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"X-Turmericflow-Attempt-Id: {id}\r\n"
                f"X-Turmericflow-Upstream-Signature: receipt-{self.name}\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode(),
        )
        number = int(last or 0)
        try:
            while number < self._events:
                number += 1
                await asyncio.sleep(self._gap_s)
                event = f"id: {number}\ndata: {id} {number}\n\n".encode()
                await loop.sock_sendall(sock, b"%x\r\n%b\r\n" % (len(event), event))
            await loop.sock_sendall(sock, b"0\r\n\r\n")
        except OSError as exc:
            self.broken_off.append((id, number, repr(exc)))
            raise
