"""Encoding and decoding of message streams, with a limit on message size."""

from __future__ import annotations

import msgspec

from turmericflow._framing import MAX_MESSAGE_BYTES, StreamDecoder, WireError
from turmericflow.wire._base import Message
from turmericflow.wire._messages import AnyMessage

__all__ = ("MAX_MESSAGE_BYTES", "Decoder", "WireError", "encode")

_DECODER = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: Message) -> bytes:
    """Return a message as msgpack bytes."""
    return msgspec.msgpack.encode(message)


class Decoder(StreamDecoder[AnyMessage]):
    """Decode a stream of bytes into messages between routers."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__(_DECODER)
