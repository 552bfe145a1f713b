"""Bodies in blocks of similar size.

A body of a few megabytes in one piece is copied as it grows, and its memory is often
not returned to the system once it is freed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

PIECE_BYTES = 65_536  # read from or written to a connection at once
MIN_BLOCK_BYTES = 32_768  # smaller pieces are joined


class Body:
    """A complete body.

    Attributes
    ----------
    blocks
        The body's bytes in order; none of the blocks is empty.
    """

    __slots__ = ("blocks", "_size")

    def __init__(self, blocks: Iterable[bytes] = ()) -> None:
        self.blocks = tuple(block for block in blocks if block)
        self._size = sum(len(block) for block in self.blocks)

    def __len__(self) -> int:
        return self._size

    def __bytes__(self) -> bytes:
        return b"".join(self.blocks)


class BodyBuilder:
    """Collects a body piece by piece."""

    __slots__ = ("_blocks", "_small", "_size")

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._small = bytearray()  # pieces that are not a block yet
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, piece: bytes) -> None:
        """Add the next piece."""
        self._size += len(piece)
        if not self._small and len(piece) >= MIN_BLOCK_BYTES:
            self._blocks.append(piece)
            return
        self._small += piece
        if len(self._small) >= MIN_BLOCK_BYTES:
            self._end_block()

    def clear(self) -> None:
        """Remove all pieces."""
        self._blocks.clear()
        self._small.clear()
        self._size = 0

    def build(self) -> Body:
        """Return the body."""
        if self._small:
            self._end_block()
        return Body(self._blocks)

    def _end_block(self) -> None:
        self._blocks.append(bytes(self._small))
        self._small = bytearray()


def pieces(data: bytes) -> Iterator[bytes | memoryview]:
    """Yield data in pieces that a connection takes at once."""
    if len(data) <= PIECE_BYTES:
        yield data
        return
    view = memoryview(data)
    for start in range(0, len(data), PIECE_BYTES):
        yield view[start : start + PIECE_BYTES]
