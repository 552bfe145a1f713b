"""HTTP listeners."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from aiohttp import web

from turmericflow.relay._connections import Connection, Timeouts
from turmericflow.relay.caller_limits import CallerLimiter, ConnectionLimit

LISTEN_BACKLOG = 512
ACCEPT_BATCH = 32  # connections accepted before those that are too many are closed
# What the system holds for a connection that is not read; it doubles the value.
RECEIVE_BUFFER_BYTES = 131_072

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class _Server(web.Server):
    """Creates the protocol handlers of connections."""

    def __init__(
        self,
        handler: Handler,
        timeouts: Callable[[], Timeouts],
        options: dict[str, object],
        **kwargs: object,
    ) -> None:
        super().__init__(handler, **kwargs)
        self._timeouts = timeouts
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """Return the protocol handler of a new connection."""
        loop = asyncio.get_running_loop()
        return Connection(
            self, loop=loop, access_log=None, timeouts=self._timeouts, **self._options
        )


def _create_socket(address: str) -> socket.socket:
    """Return a socket that is bound to IP:PORT."""
    ip, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((ip, int(port)))
    except OSError:
        sock.close()
        raise
    return sock


class Listener:
    """An HTTP server on one address."""

    __slots__ = ("address", "handler", "runner")

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self.handler = handler
        self.runner: web.ServerRunner | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self.runner.server.connections)

    async def open(
        self,
        timeouts: Callable[[], Timeouts] = Timeouts,
        options: dict[str, object] | None = None,
        limit: ConnectionLimit | None = None,
        limiter: CallerLimiter | None = None,
        **kwargs: object,
    ) -> None:
        """Start to listen.

        Parameters
        ----------
        timeouts
            Returns the current time limits of connections; changes apply to open
            connections too.
        options
            Options of the protocol handlers of connections.
        limit
            Bound on the number of connections.
        limiter
            Bound on the memory that connections hold.
        **kwargs
            Options of the server.
        """
        options = (options or {}) | {"limit": limit, "limiter": limiter}
        server = _Server(self.handler, timeouts, options, **kwargs)
        self.runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        sock = _create_socket(self.address)
        await web.SockSite(self.runner, sock, backlog=ACCEPT_BATCH).start()
        sock.listen(LISTEN_BACKLOG)  # the batch is that of the event loop

    async def stop_listening(self) -> None:
        """Accept no new connections; open connections are still served."""
        for site in list(self.runner.sites):
            await site.stop()

    def close_idle_connections(self) -> None:
        """Close the connections that hold no bytes that await a response.

        What has arrived by now is read before that.
        """
        for conn in self.runner.server.connections:
            conn.call_after_read(conn.close_if_idle)

    async def close(self) -> None:
        """Close all connections."""
        await self.runner.cleanup()
