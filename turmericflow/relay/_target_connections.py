"""Connections to targets, also through another host."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from aiohttp import ClientPayloadError

from turmericflow._responses import ResponseConnection
from turmericflow.relay._tunnel_frames import FrameDecoder, FrameError


@dataclass(slots=True, frozen=True)
class Direct:
    """A connection of this host's own."""


@dataclass(slots=True, frozen=True)
class Framed:
    """A connection through a host that says when the target ends it."""

    decoder: FrameDecoder


@dataclass(slots=True, frozen=True)
class Unframed:
    """A connection through a host that does not say who ends it."""


Path = Direct | Framed | Unframed


class TargetConnection(ResponseConnection):
    """Reads one response of a target.

    Attributes
    ----------
    path
        How the connection reaches the target.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.path: Path = Direct()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, after their frames are removed."""
        if not data or not isinstance(self.path, Framed):
            super().data_received(data)
            return
        try:
            pieces = self.path.decoder.feed(data)
        except FrameError as exc:
            self.set_exception(ClientPayloadError(str(exc)))
            self.transport.abort()
            return
        for piece in pieces:
            super().data_received(piece)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the response; only the target ends a body without a length."""
        if exc is None and not self._ended_by_target():
            exc = ConnectionResetError("the connection through another host was lost")
        super().connection_lost(exc)

    def _ended_by_target(self) -> bool:
        match self.path:
            case Direct():
                return True
            case Framed(decoder):
                return decoder.ended
            case Unframed():
                return False
