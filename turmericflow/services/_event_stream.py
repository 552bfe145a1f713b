"""Server-sent events for callers, written without a task for each token."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web

from turmericflow.tables import RequestRow

MAX_UNSENT_BYTES = 65_536
RECONNECT_MS = 200
KEEP_ALIVE_INTERVAL_S = 1.0

_ENCODER = msgspec.json.Encoder()


def event_id(row: RequestRow, index: int) -> str:
    """Return the event id of a token: generation, attempt and index."""
    return f"{row.generation}.{_attempt_of_token(row, index)}.{index}"


def _attempt_of_token(row: RequestRow, index: int) -> int:
    for start in reversed(row.attempts):
        if start.index <= index:
            return start.attempt
    return 0


def token_events(row: RequestRow, start: int, end: int) -> bytes:
    """Return the server-sent events of a row's tokens ``start`` to ``end``."""
    parts = []
    encode = _ENCODER.encode
    for index in range(start, end):
        head = f"id: {event_id(row, index)}\n" f'data: {{"index":{index},"text":'
        parts.append(head.encode() + encode(row.tokens[index]) + b"}\n\n")
    return b"".join(parts)


class EventStream:
    """A listener that writes a row's new tokens to a caller's connection.

    Tokens are written to the transport directly when the row wakes its
    listeners.  For a caller that reads slowly, writing pauses until the
    connection has drained; the tokens stay in the row.
    """

    __slots__ = ("_woken", "_resp", "_row", "_sent", "_transport")

    def __init__(self, request: web.Request, row: RequestRow, sent: int) -> None:
        self._row = row
        self._sent = sent
        self._transport = request.transport
        self._resp = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        self._resp.enable_chunked_encoding()
        self._woken = asyncio.Event()

    def wake(self) -> None:
        """Write the committed tokens that were not sent yet."""
        transport = self._transport
        row = self._row
        if transport is None or transport.is_closing() or row.ended:
            self._woken.set()
            return
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._woken.set()
            return
        if self._sent < row.committed:
            data = token_events(row, self._sent, row.committed)
            self._sent = row.committed
            transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Send events until the row ends or the caller disconnects.

        Raises
        ------
        ConnectionResetError
            If the caller's connection is closed.
        """
        await self._resp.prepare(request)
        await self._resp.write(b"retry: %d\n\n" % RECONNECT_MS)
        self._row.listeners.append(self)
        try:
            self.wake()
            while not self._row.ended:
                sent_before = self._sent
                if await self._wait():
                    await self._drain()
                elif self._sent == sent_before:
                    await self._resp.write(b": still here\n\n")
            await self._drain()
        finally:
            self._row.listeners.remove(self)
        return self._resp

    async def _wait(self) -> bool:
        """Wait until the task is woken; False after `KEEP_ALIVE_INTERVAL_S`."""
        try:
            async with asyncio.timeout(KEEP_ALIVE_INTERVAL_S):
                await self._woken.wait()
        except TimeoutError:
            return False
        self._woken.clear()
        return True

    async def _drain(self) -> None:
        if self._transport is None or self._transport.is_closing():
            raise ConnectionResetError("the caller's connection is closed")
        end = self._row.committed
        data = token_events(self._row, self._sent, end)
        self._sent = end
        await self._resp.write(data)
