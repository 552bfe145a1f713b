"""Bounds on what is held of responses that are not complete."""

from __future__ import annotations

from collections.abc import AsyncIterator

MAX_ANSWER_BYTES = 16_000_000
MAX_HELD_BYTES = 64_000_000  # of all incomplete answers


class BodyTooLong(ValueError):
    """Raised when a body is longer than allowed."""


class BodyMemory:
    """Bounds each body that is being read, and all of them together.

    While all together are above their bound, each may have its share of it.

    Parameters
    ----------
    max_bytes, max_held_bytes
        Maximum size of a body, and of all that are read at once, in bytes.
    """

    __slots__ = ("_max_bytes", "_max_held_bytes", "_held_bytes", "_bodies")

    def __init__(
        self, max_bytes: int = MAX_ANSWER_BYTES, max_held_bytes: int = MAX_HELD_BYTES
    ) -> None:
        self._max_bytes = max_bytes
        self._max_held_bytes = max_held_bytes
        self._held_bytes = 0
        self._bodies = 0

    def open(self) -> OpenBody:
        """Begin to count a body; use the result as a context manager."""
        return OpenBody(self)

    def _limit_bytes(self) -> int:
        if self._held_bytes <= self._max_held_bytes:
            return self._max_bytes
        return min(self._max_bytes, self._max_held_bytes // self._bodies)


class OpenBody:
    """One body that is being read."""

    __slots__ = ("_memory", "size")

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self.size = 0

    def __enter__(self) -> OpenBody:
        self._memory._bodies += 1
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._memory._bodies -= 1
        self._memory._held_bytes -= self.size

    def add(self, size: int) -> None:
        """Count bytes that were read."""
        self.size += size
        self._memory._held_bytes += size

    def check(self) -> None:
        """Raise `BodyTooLong` if the body is over its bound."""
        limit = self._memory._limit_bytes()
        if self.size > limit:
            message = f"got {self.size} bytes of an answer, expected at most {limit}"
            raise BodyTooLong(message)


async def read_bounded(chunks: AsyncIterator[bytes], memory: BodyMemory) -> bytes:
    """Return a whole body; raises `BodyTooLong` if it is over its bound.

    Parameters
    ----------
    chunks
        The body's bytes as they arrive.
    memory
        Where they are counted until the body is complete.
    """
    data = bytearray()
    try:
        with memory.open() as body:
            async for chunk in chunks:
                data += chunk
                body.add(len(chunk))
                body.check()
        return bytes(data)
    finally:
        data.clear()  # an error's traceback keeps this frame
