"""Encoding of messages on a stream, with a limit on their size."""

from __future__ import annotations

import msgpack
import msgspec

from turmericflow.wire._messages import AnyMessage, Message

MAX_MESSAGE_BYTES = 4_000_000


class WireError(Exception):
    """Raised when bytes from a peer are not a valid message."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Return a message as a frame: a msgpack binary that holds msgpack."""
    return msgpack.packb(_ENCODER.encode(message))


def _decode(frame: object) -> AnyMessage:
    if not isinstance(frame, bytes):
        raise ValueError(f"expected a binary frame, got {type(frame).__name__}")
    return _DECODER.decode(frame)


class Decoder:
    """Turns a stream of bytes into messages.

    Raises
    ------
    WireError
        From `feed`, when the bytes are not valid; the connection is then to
        be closed.
    """

    __slots__ = ("_unpacker",)

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

    def feed(self, data: bytes) -> list[AnyMessage]:
        """Take bytes in and return the messages that are now whole."""
        try:
            self._unpacker.feed(data)
            return [_decode(frame) for frame in self._unpacker]
        except (msgpack.exceptions.UnpackException, ValueError) as exc:
            raise WireError(f"got invalid message bytes: {exc}") from exc
