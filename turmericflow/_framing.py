"""Messages on a byte stream, each a msgpack array, with a limit on their size."""

from __future__ import annotations

from typing import Generic, TypeVar

import msgpack
import msgspec

MAX_MESSAGE_BYTES = 4_000_000

# A message is a short array; the longest form of array would only make the
# stream wait for more than a message may hold.
_MESSAGE_STARTS = frozenset([*range(0x90, 0xA0), 0xDC])

M = TypeVar("M")


class WireError(Exception):
    """Raised when bytes from a peer are not a valid message."""


class StreamDecoder(Generic[M]):
    """Turns a stream of bytes into messages.

    One pass finds where each message ends, and a typed decoder reads it: this is
    far cheaper than to unpack a message and convert it to its type.

    Raises
    ------
    WireError
        From `feed`, when the bytes are not valid; the connection is then to
        be closed.
    """

    __slots__ = ("_decoder", "_rest", "_start", "_unpacker")

    def __init__(self, decoder: msgspec.msgpack.Decoder[M]) -> None:
        self._decoder = decoder
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
        self._rest = b""
        self._start = 0

    def feed(self, data: bytes) -> list[M]:
        """Take bytes in and return the messages that are now whole."""
        self._rest = self._rest + data if self._rest else bytes(data)
        try:
            self._unpacker.feed(data)
            return self._take_whole()
        except (
            msgpack.exceptions.UnpackException,
            msgspec.MsgspecError,
            ValueError,
        ) as exc:
            raise WireError(f"got invalid message bytes: {exc}") from exc

    def _take_whole(self) -> list[M]:
        view = memoryview(self._rest)
        found: list[M] = []
        begin = 0
        while begin < len(view):
            if view[begin] not in _MESSAGE_STARTS:
                raise ValueError(f"first byte {view[begin]:#x}")
            try:
                self._unpacker.skip()
            except msgpack.OutOfData:
                break
            end = self._unpacker.tell() - self._start
            found.append(self._decoder.decode(view[begin:end]))
            begin = end
        self._start += begin
        self._rest = self._rest[begin:]
        return found
