"""Connections to targets whose responses may be malformed."""

from __future__ import annotations

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler


class TargetConnection(ResponseHandler):
    """Reads one response, and fails its body too if it cannot be parsed."""

    def set_exception(
        self, exc: BaseException, exc_cause: BaseException | None = None
    ) -> None:
        """Fail the response, and also its body if that is being read."""
        super().set_exception(exc, exc_cause or exc)
        body = self._payload
        if body is not None and not body.is_eof() and body.exception() is None:
            body.set_exception(ClientPayloadError(repr(exc)), exc)
