"""Connections on which responses are read, for all clients of targets."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

from aiohttp import ClientPayloadError, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.streams import EMPTY_PAYLOAD

# Head, interim responses, chunk headers and trailers may have this many bytes more
# than the body.
MAX_FRAMING_BYTES = 65_536
MAX_HEADS = 32  # interim responses and the final one
READ_BYTES = 65_536
PARSE_BYTES = 16_384  # bytes parsed before the bound is checked
FINAL_STATUSES = range(200, 600)  # RFC 9110; others end no request
_HEAD_END = b"\r\n\r\n"


class ResponseConnection(ResponseHandler):
    """Reads responses, and fails if one has too many bytes outside its body.

    The head is parsed by itself, so that a complete response counts although bytes
    that belong to no response follow it at once. A body without a length is complete
    only if the peer has ended the connection, and not if it has reset it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._parsed_bytes = 0
        self._heads = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what is read at once, as many targets may answer at the same time."""
        super().connection_made(transport)
        transport.max_size = READ_BYTES

    def set_response_params(self, **params: Any) -> None:
        """Begin to read a response, also on a connection that is used again."""
        self._parsed_bytes = self._heads = 0
        self._payload = None
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; without any, parse those held back by flow control."""
        if self._parser is None or not data:
            super().data_received(data)
            return
        position = 0
        while position < len(data) and self.is_connected():
            end = self._next_end(data, position)
            self._parsed_bytes += end - position
            super().data_received(data[position:end])
            self._check_framing()
            position = end

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the response; only the peer's end completes a body without a length."""
        if exc is not None:
            self._fail_body(exc)
        if self._payload is None:
            self._parser = None  # it would complete a head that is cut
        super().connection_lost(exc)

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException | None = None
    ) -> None:
        """Fail the response, and also its body if that is being read."""
        super().set_exception(exc, exc_cause or exc)
        self._fail_body(exc)

    def _fail_body(self, exc: BaseException) -> None:
        body = self._payload
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(ClientPayloadError(repr(exc)), exc)

    def _next_end(self, data: bytes, position: int) -> int:
        if self._reading_paused:
            return len(data)
        end = min(position + PARSE_BYTES, len(data))
        if self._payload is None or self._payload is EMPTY_PAYLOAD:
            head_end = data.find(_HEAD_END, position, end)
            if head_end >= 0:
                self._heads += 1
                return head_end + len(_HEAD_END)
        return end

    def _check_framing(self) -> None:
        # While reading is paused, the parser holds back bytes of the body.
        if self._reading_paused or not self.is_connected():
            return
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        if self._heads > MAX_HEADS:
            message = f"got over {MAX_HEADS} interim responses"
        elif self._parsed_bytes - 2 * body_bytes > MAX_FRAMING_BYTES:
            message = f"got over {MAX_FRAMING_BYTES} bytes that belong to no body"
        else:
            return
        self.set_exception(ClientPayloadError(message))
        self.transport.abort()


def use_connection(
    connector: TCPConnector, kind: type[ResponseConnection] = ResponseConnection
) -> None:
    """Let a connector, which has no option for it, open connections of a class."""
    connector._factory = partial(kind, asyncio.get_running_loop())
