"""Decoding of a byte stream into msgpack messages of limited size."""

from __future__ import annotations

from typing import Generic, TypeVar

import msgpack
import msgspec

MAX_MESSAGE_BYTES = 4_000_000

# Messages are arrays of at most 65535 items.  The 32-bit array header is rejected: it
# could make the decoder wait for more bytes than a message may have.
_MESSAGE_STARTS = frozenset([*range(0x90, 0xA0), 0xDC])

M = TypeVar("M")


class WireError(Exception):
    """Raised if bytes from a peer are not a valid message."""


class StreamDecoder(Generic[M]):
    """Decodes a stream of bytes into typed messages.

    One pass finds the end of each message, and a typed decoder decodes it.  This is
    far cheaper than unpacking a message and converting the result to its type.

    Raises
    ------
    WireError
        From `feed`, if the bytes are invalid; the caller must then close the
        connection.
    """

    __slots__ = ("_decoder", "_buffer", "_buffer_offset", "_unpacker")

    def __init__(self, decoder: msgspec.msgpack.Decoder[M]) -> None:
        self._decoder = decoder
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
        self._buffer = b""
        self._buffer_offset = 0

    def feed(self, data: bytes) -> list[M]:
        """Add received bytes and return the messages that are now complete."""
        self._buffer = self._buffer + data if self._buffer else bytes(data)
        try:
            self._unpacker.feed(data)
            return self._decode_complete()
        except (
            msgpack.exceptions.UnpackException,
            msgspec.MsgspecError,
            ValueError,
        ) as exc:
            raise WireError(f"got invalid message bytes: {exc}") from exc

    def _decode_complete(self) -> list[M]:
        view = memoryview(self._buffer)
        messages: list[M] = []
        begin = 0
        while begin < len(view):
            if view[begin] not in _MESSAGE_STARTS:
                raise ValueError(f"first byte {view[begin]:#x}")
            try:
                self._unpacker.skip()
            except msgpack.OutOfData:
                break
            end = self._unpacker.tell() - self._buffer_offset
            messages.append(self._decoder.decode(view[begin:end]))
            begin = end
        self._buffer_offset += begin
        self._buffer = self._buffer[begin:]
        return messages
