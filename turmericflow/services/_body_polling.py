"""Reads many response bodies by polling, without a task wake-up for each chunk."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import StreamReader

POLL_INTERVAL_S = 0.001


class _PolledBody:
    __slots__ = ("content", "fut", "on_data", "seen_bytes")

    def __init__(
        self,
        content: StreamReader,
        on_data: Callable[[bytes], bool],
        fut: asyncio.Future,
    ) -> None:
        self.content = content
        self.on_data = on_data
        self.fut = fut
        self.seen_bytes = -1

    def poll(self) -> None:
        """Pass new bytes to ``on_data``; finish at the body's end or on an error."""
        content = self.content
        if content.total_bytes != self.seen_bytes:
            self.seen_bytes = content.total_bytes
            self._read(content)
        elif content.exception() is not None:
            self._finish(content.exception())
        elif content.is_eof():
            self._finish(None)

    def _read(self, content: StreamReader) -> None:
        try:
            data = content.read_nowait()
            if data and self.on_data(data):
                self._finish(None)
        except Exception as exc:
            self._finish(exc)

    def _finish(self, exc: BaseException | None) -> None:
        if self.fut.done():
            return
        if exc is None:
            self.fut.set_result(None)
        else:
            self.fut.set_exception(exc)


class BodyPoller:
    """Poll all open response bodies at a fixed interval.

    Many bodies receive a chunk in each interval, so that polling all of them
    costs less than a task that waits for each chunk.
    """

    __slots__ = ("_bodies", "_ticking")

    def __init__(self) -> None:
        self._bodies: set[_PolledBody] = set()
        self._ticking = False

    async def read(
        self, content: StreamReader, on_data: Callable[[bytes], bool]
    ) -> None:
        """Pass a body's bytes to ``on_data`` until it returns True or the body ends.

        Parameters
        ----------
        content
            The body.
        on_data
            Called with bytes as they arrive; returns True when it needs no more.

        Raises
        ------
        Exception
            The error of the body, or an exception raised by ``on_data``.
        """
        loop = asyncio.get_running_loop()
        body = _PolledBody(content, on_data, loop.create_future())
        self._bodies.add(body)
        if not self._ticking:
            self._ticking = True
            loop.call_soon(self._tick, loop)
        try:
            await body.fut
        finally:
            self._bodies.discard(body)

    def _tick(self, loop: asyncio.AbstractEventLoop) -> None:
        for body in list(self._bodies):
            if not body.fut.done():
                body.poll()
        self._ticking = bool(self._bodies)
        if self._ticking:
            loop.call_later(POLL_INTERVAL_S, self._tick, loop)
