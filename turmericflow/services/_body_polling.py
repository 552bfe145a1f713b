"""Reading of many response bodies in one tick, without a task for each chunk."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import StreamReader

TICK_S = 0.001


class _PolledBody:
    __slots__ = ("content", "fut", "on_data", "seen")

    def __init__(
        self,
        content: StreamReader,
        on_data: Callable[[bytes], bool],
        fut: asyncio.Future,
    ) -> None:
        self.content = content
        self.on_data = on_data
        self.fut = fut
        self.seen = -1

    def poll(self) -> None:
        """Hand on what has come; end the wait at the end or on an error."""
        content = self.content
        if content.total_bytes != self.seen:
            self.seen = content.total_bytes
            self._take(content)
        elif content.exception() is not None:
            self._end(content.exception())
        elif content.is_eof():
            self._end(None)

    def _take(self, content: StreamReader) -> None:
        try:
            data = content.read_nowait()
            if data and self.on_data(data):
                self._end(None)
        except Exception as exc:
            self._end(exc)

    def _end(self, exc: BaseException | None) -> None:
        if self.fut.done():
            return
        if exc is None:
            self.fut.set_result(None)
        else:
            self.fut.set_exception(exc)


class BodyPoller:
    """Polls all open bodies each tick while there are any.

    A task that waits for its next chunk costs more than looking at every
    body, since many bodies have a chunk in each tick.
    """

    __slots__ = ("_bodies", "_ticking")

    def __init__(self) -> None:
        self._bodies: set[_PolledBody] = set()
        self._ticking = False

    async def read(
        self, content: StreamReader, on_data: Callable[[bytes], bool]
    ) -> None:
        """Give a body's bytes to ``on_data`` until it returns True.

        Parameters
        ----------
        content
            The body.
        on_data
            Called with bytes as they come; returns True when it needs no more.

        Raises
        ------
        Exception
            The body's own error, or what ``on_data`` raised.
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
            loop.call_later(TICK_S, self._tick, loop)
