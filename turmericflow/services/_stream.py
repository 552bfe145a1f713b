"""Responses that come in pieces, handed on in the turn in which they come.

A general HTTP client keeps each piece until a task or a tick asks for it.  With
a piece for each token that is most of what a token costs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from turmericflow.cfg import Address

CONNECT_TIMEOUT_S = 1.0
MAX_HEAD_BYTES = 65_536
MAX_CHUNK_BYTES = 4_000_000
MAX_ERROR_BYTES = 1_000
STATUS_OK = 200
FIRST_FINAL_STATUS = 200

OnData = Callable[[bytes], bool]


class ConnectFailed(Exception):
    """Raised when no connection was made, so that no byte has left."""


class StreamCut(Exception):
    """Raised when a connection failed, or its bytes are not HTTP."""


@dataclass(slots=True, frozen=True)
class Request:
    """A request; its body, if there is one, is JSON."""

    method: str
    path: str
    body: bytes | None = None

    def encode(self, address: Address) -> bytes:
        """Return its bytes; its connection is used once."""
        head = f"{self.method} {self.path} HTTP/1.1\r\nHost: {address}\r\n"
        head += "Accept: */*\r\nConnection: close\r\n"
        if self.body is None:
            return f"{head}\r\n".encode()
        head += "Content-Type: application/json\r\n"
        head += f"Content-Length: {len(self.body)}\r\n\r\n"
        return head.encode() + self.body


@dataclass(slots=True, frozen=True)
class Response:
    """How a request was answered, and the start of an error's text."""

    status: int
    text: str


class _Chunks:
    """Takes the framing off a chunked body."""

    __slots__ = ("_rest", "ended")

    def __init__(self) -> None:
        self._rest = b""
        self.ended = False

    def feed(self, data: bytes) -> bytes:
        """Take bytes in and return what whole chunks hold."""
        if self._rest:
            data = self._rest + data
        parts = []
        at = 0
        while not self.ended:
            line = data.find(b"\r\n", at)
            if line < 0:
                break
            start = line + 2
            end = start + _chunk_size(data[at:line])
            if end == start:
                self.ended = True
            elif len(data) < end + 2:
                break
            elif not data.startswith(b"\r\n", end):
                raise StreamCut("got a chunk of another size than it says")
            else:
                parts.append(data[start:end])
                at = end + 2
        self._rest = data[at:]
        return parts[0] if len(parts) == 1 else b"".join(parts)


def _chunk_size(line: bytes) -> int:
    digits = line.partition(b";")[0].strip()
    if not digits.isalnum():
        raise StreamCut(f"got chunk size {line[:20]!r}")
    size = int(digits, 16)
    if size > MAX_CHUNK_BYTES:
        raise StreamCut(f"got a chunk of {size} bytes")
    return size


class _Counted:
    """Counts the bytes of a body of known length."""

    __slots__ = ("_left", "ended")

    def __init__(self, length: int) -> None:
        self._left = length
        self.ended = length == 0

    def feed(self, data: bytes) -> bytes:
        data = data[: self._left]
        self._left -= len(data)
        self.ended = self._left == 0
        return data


class _UntilClose:
    """Passes on a body that ends with its connection."""

    __slots__ = ("ended",)

    def __init__(self) -> None:
        self.ended = False

    def feed(self, data: bytes) -> bytes:
        return data


_Framing = _Chunks | _Counted | _UntilClose


def _framing(headers: dict[bytes, bytes]) -> _Framing:
    if headers.get(b"transfer-encoding", b"").lower() == b"chunked":
        return _Chunks()
    if b"content-length" in headers:
        length = headers[b"content-length"]
        if not length.isdigit():
            raise StreamCut(f"got Content-Length {length[:20]!r}")
        return _Counted(int(length))
    return _UntilClose()


def _parse_headers(lines: list[bytes]) -> dict[bytes, bytes]:
    pairs = (line.partition(b":") for line in lines)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def _parse_status(line: bytes) -> int:
    version, _, rest = line.partition(b" ")
    if not version.startswith(b"HTTP/1."):
        raise StreamCut(f"got {line[:40]!r}, expected an HTTP status")
    return int(rest[:3])


class _Exchange(asyncio.Protocol):
    """One request on a connection of its own."""

    __slots__ = ("_body", "_head", "_on_data", "_status", "_text", "fut")

    def __init__(self, on_data: OnData, fut: asyncio.Future) -> None:
        self._on_data = on_data
        self._head = b""
        self._body: _Framing | None = None
        self._status = 0
        self._text = b""
        self.fut = fut

    def data_received(self, data: bytes) -> None:
        if self.fut.done():
            return
        try:
            if self._body is None:
                data = self._take_head(data)
            if self._body is not None:
                self._take_body(data)
        except ValueError as exc:
            self._fail(StreamCut(f"got an invalid answer: {exc}"))
        except Exception as exc:
            self._fail(exc)

    def _take_head(self, data: bytes) -> bytes:
        """Take the head in; return what has come of the body."""
        data = self._head + data
        while self._body is None:
            head, found, rest = data.partition(b"\r\n\r\n")
            if not found:
                if len(data) > MAX_HEAD_BYTES:
                    raise StreamCut("got no end of the headers")
                self._head = data
                return b""
            lines = head.split(b"\r\n")
            self._status = _parse_status(lines[0])
            if self._status >= FIRST_FINAL_STATUS:
                self._body = _framing(_parse_headers(lines[1:]))
            data = rest
        return data

    def _take_body(self, data: bytes) -> None:
        data = self._body.feed(data)
        if self._status != STATUS_OK:
            self._text = (self._text + data)[:MAX_ERROR_BYTES]
        elif data and self._on_data(data):
            self._finish()
        if self._body.ended:
            self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.fut.done():
            return
        if exc is None and isinstance(self._body, _UntilClose):
            self._finish()
        else:
            self._fail(StreamCut(f"connection lost: {exc!r}"))

    def _finish(self) -> None:
        if not self.fut.done():
            text = self._text.decode(errors="replace")
            self.fut.set_result(Response(self._status, text))

    def _fail(self, exc: Exception) -> None:
        if not self.fut.done():
            self.fut.set_exception(exc)


async def read_stream(address: Address, request: Request, on_data: OnData) -> Response:
    """Send a request and give its answer's bytes to ``on_data`` as they come.

    Parameters
    ----------
    address
        Where the server listens.
    request
        What is asked for.
    on_data
        Called with the body of an answer with status 200; returns True when it
        needs no more.

    Raises
    ------
    ConnectFailed
        If no connection was made.
    StreamCut
        If it failed afterwards.
    Exception
        What ``on_data`` raised.
    """
    loop = asyncio.get_running_loop()
    fut = loop.create_future()
    connecting = loop.create_connection(
        lambda: _Exchange(on_data, fut), address.ip, address.port
    )
    try:
        transport, _ = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError) as exc:
        raise ConnectFailed(f"{address}: {exc!r}") from exc
    try:
        transport.write(request.encode(address))
        return await fut
    finally:
        transport.abort()
