"""HTTP listeners and their connections."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web

LISTEN_BACKLOG = 512
DEFAULT_HEAD_TIMEOUT_S = 3.0  # unless the deployment sets another

Options = Callable[[], dict[str, object]]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

log = structlog.get_logger()


class ClosedBy(enum.StrEnum):
    """What closed a connection."""

    CALLER = "caller"
    HEAD_TIMEOUT = "head_timeout"
    LEAVING = "leaving"
    SERVER = "server"  # the idle timeout, a malformed request, or a failed response


class Connection(web.RequestHandler):
    """A connection that is closed if a request's head takes too long to arrive.

    Attributes
    ----------
    closed_by
        What closed the connection, or None while it is open.
    """

    __slots__ = (
        "_head_timeout_s",
        "_head_timer",
        "_answering",
        "_received_at",
        "closed_by",
    )

    def __init__(self, *args: object, head_timeout_s: float, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self._head_timeout_s = head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._answering = False
        self._received_at = self._loop.time()
        self.closed_by: ClosedBy | None = None

    def data_received(self, data: bytes) -> None:
        """Receive bytes; the first bytes of a head start its timer."""
        self._received_at = self._loop.time()
        if self._head_timer is None and not self._answering:
            self._head_timer = self._loop.call_later(
                self._head_timeout_s, self._on_head_timeout
            )
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer of a lost connection; log what remains unanswered."""
        if self.closed_by is None:
            self.closed_by = ClosedBy.CALLER
        self._log_unanswered(exc)
        self._stop_timer()
        super().connection_lost(exc)

    def abort(self) -> None:
        """Close the connection at once, so that its response cannot look complete."""
        if self.transport is not None:
            self.closed_by = ClosedBy.SERVER
            self.transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless it holds bytes that await a response."""
        waiting = self._waiter is not None and not self._waiter.done()
        if waiting and self._head_timer is None:
            self.closed_by = ClosedBy.LEAVING
            self.force_close()

    def force_close(self) -> None:
        """Close the connection; a response that is being written is cut off."""
        if self.closed_by is None:
            self.closed_by = ClosedBy.SERVER
        super().force_close()

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Close the connection as the listener is closed."""
        if self.closed_by is None:
            self.closed_by = ClosedBy.LEAVING
        await super().shutdown(timeout)

    def _log_unanswered(self, exc: BaseException | None) -> None:
        if self._answering:
            unanswered = "request"
        elif self._messages:
            unanswered = "whole_head"
        elif self._head_timer is not None:
            unanswered = "head"
        else:
            return
        log.info(
            "connection_lost",
            unanswered=unanswered,
            closed_by=self.closed_by,
            received_s=round(self._loop.time() - self._received_at, 3),
            head_timeout_s=self._head_timeout_s,
            idle_timeout_s=self.keepalive_timeout,
            reason=repr(exc),
        )

    def request_started(self) -> None:
        """Stop the timer, as a request's head is complete and is being answered."""
        self._answering = True
        self._stop_timer()

    def request_finished(self) -> None:
        """Let the next bytes start the timer of another head."""
        self._answering = False

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        self.closed_by = ClosedBy.HEAD_TIMEOUT
        log.info("header_timeout", timeout_s=self._head_timeout_s)
        self.force_close()


class _Server(web.Server):
    """Applies the options that are current when a connection is opened."""

    def __init__(self, handler: Handler, options: Options, **kwargs: object) -> None:
        super().__init__(handler, **kwargs)
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """Return the protocol handler of a new connection."""
        options = {"head_timeout_s": DEFAULT_HEAD_TIMEOUT_S} | self._options()
        loop = asyncio.get_running_loop()
        return Connection(self, loop=loop, access_log=None, **options)


class Listener:
    """An HTTP server on one address."""

    __slots__ = ("address", "handler", "runner")

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self.handler = handler
        self.runner: web.ServerRunner | None = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        conn: Connection = request.protocol
        conn.request_started()
        try:
            return await self.handler(request)
        finally:
            conn.request_finished()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self.runner.server.connections)

    async def open(self, options: Options = dict, **kwargs: object) -> None:
        """Start to listen.

        Parameters
        ----------
        options
            Returns the handler options; called for each new connection.
        **kwargs
            Options of the server.
        """
        server = _Server(self._handle, options, **kwargs)
        self.runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        ip, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, ip, int(port), backlog=LISTEN_BACKLOG).start()

    async def stop_listening(self) -> None:
        """Accept no new connections; open connections are still served."""
        for site in list(self.runner.sites):
            await site.stop()

    def close_idle_connections(self) -> None:
        """Close the connections that hold no bytes that await a response."""
        for conn in self.runner.server.connections:
            conn.close_if_idle()

    async def close(self) -> None:
        """Close all connections."""
        await self.runner.cleanup()
