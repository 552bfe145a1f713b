"""Frames of a target's bytes on a connection through another host.

A frame is its length, as four bytes, and that many bytes. A frame without bytes says
that the target has ended the connection. A connection that ends without it was ended
by something in between, and what it carried may not be whole.
"""

from __future__ import annotations

import struct

_LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 1_000_000
END = _LENGTH.pack(0)


class FrameError(Exception):
    """Raised if received bytes are no frames."""


def encode_frame(data: bytes) -> bytes:
    """Return a frame with bytes of the target; `data` must not be empty."""
    return _LENGTH.pack(len(data)) + data


class FrameDecoder:
    """Extracts the target's bytes from frames, before a frame is complete.

    Attributes
    ----------
    ended
        Whether the target has ended the connection.
    """

    __slots__ = ("_header", "_missing", "ended")

    def __init__(self) -> None:
        self._header = b""
        self._missing = 0  # bytes of the frame that have not been received
        self.ended = False

    def feed(self, data: bytes) -> list[bytes]:
        """Return the target's bytes in received bytes; raises `FrameError`."""
        pieces, position = [], 0
        while position < len(data):
            if self.ended:
                raise FrameError("got bytes after the end of a connection")
            if self._missing:
                piece = data[position : position + self._missing]
                self._missing -= len(piece)
                position += len(piece)
                pieces.append(piece)
                continue
            needed = _LENGTH.size - len(self._header)
            self._header += data[position : position + needed]
            position += needed
            if len(self._header) == _LENGTH.size:
                self._begin_frame()
        return pieces

    def _begin_frame(self) -> None:
        (self._missing,) = _LENGTH.unpack(self._header)
        self._header = b""
        if self._missing > MAX_FRAME_BYTES:
            raise FrameError(f"got a frame of {self._missing} bytes")
        self.ended = not self._missing
