"""Daemon of an entry host: starts its services and drains it before the stop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web
from mode import Service

from turmericflow.relay import _caller_handler as caller_handler
from turmericflow.relay._caller_handler import CallerCodec, CallerHandler
from turmericflow.relay._context import HostContext
from turmericflow.relay._host_tables import HostState
from turmericflow.relay._links import Links
from turmericflow.relay._registration import Registration
from turmericflow.relay._store import Kind
from turmericflow.relay._store_watch import StoreWatch
from turmericflow.relay._watchdog import Watchdog

READY_POLL_S = 0.02
DRAIN_ACCEPT_SHARE = 3 / 8  # of the drain time, in which requests are still accepted
DRAIN_MARGIN_S = 0.4
DRAIN_POLL_S = 0.05
LISTEN_BACKLOG = 512
DEFAULT_HEAD_TIMEOUT_S = 3.0  # unless the deployment sets another
LINGER_S = 1.0  # to read the rest of a body after an early answer

Options = Callable[[], dict[str, object]]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

log = structlog.get_logger()


class _Connection(web.RequestHandler):
    """A connection that is closed if a request's head takes too long to arrive."""

    __slots__ = ("_head_timeout_s", "_head_timer", "_answering")

    def __init__(self, *args: object, head_timeout_s: float, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self._head_timeout_s = head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._answering = False

    def data_received(self, data: bytes) -> None:
        """Receive bytes; the first bytes of a head start its timer."""
        if self._head_timer is None and not self._answering:
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(
                self._head_timeout_s, self._on_head_timeout
            )
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer of a lost connection."""
        self._stop_timer()
        super().connection_lost(exc)

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
        return _Connection(self, loop=loop, access_log=None, **options)


class Listener:
    """An HTTP server on one address."""

    __slots__ = ("address", "handler", "runner")

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self.handler = handler
        self.runner: web.ServerRunner | None = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        conn: _Connection = request.protocol
        conn.request_started()
        try:
            return await self.handler(request)
        finally:
            conn.request_finished()

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

    async def close(self) -> None:
        """Close all connections."""
        await self.runner.cleanup()


class Daemon(Service):
    """All services of an entry host."""

    def __init__(
        self, ctx: HostContext, codec: CallerCodec, listeners: list[Listener]
    ) -> None:
        super().__init__()
        self._ctx = ctx
        self._listeners = listeners
        self.caller_handler = CallerHandler(ctx, codec)
        self._callers = Listener(ctx.settings.callers, self.caller_handler.handle)
        self._links = Links(ctx)

    async def on_start(self) -> None:
        ctx = self._ctx
        for listener in self._listeners:
            await listener.open()
        await self._callers.open(
            request_factory=self.caller_handler.build_request,
            handler_cancellation=True,
            options=self._caller_options,
        )
        for kind in Kind:
            await self.add_runtime_dependency(StoreWatch(ctx, kind))
        await self.add_runtime_dependency(Registration(ctx))
        await self.add_runtime_dependency(self._links)
        await self.add_runtime_dependency(Watchdog(ctx))

    def _caller_options(self) -> dict[str, object]:
        return {
            "head_timeout_s": self.caller_handler.limits.header_timeout_s,
            "keepalive_timeout": self.caller_handler.limits.idle_timeout_s,
            "max_line_size": caller_handler.MAX_HEADER_LINE_BYTES,
            "max_field_size": caller_handler.MAX_HEADER_LINE_BYTES,
            "lingering_time": LINGER_S,
        }

    @Service.task
    async def _become_ready(self) -> None:
        tables = self._ctx.tables
        while not self.should_stop:
            synced = (
                tables.deployment.value is not None and tables.targets.revision >= 0
            )
            if synced and tables.hosts.state is HostState.STARTING:
                tables.hosts.state = HostState.READY
                self._ctx.announce()
                log.info(
                    "ready",
                    deployment=tables.deployment.revision,
                    targets=len(tables.targets.rows),
                    view=tables.targets.revision,
                )
                return
            await self.sleep(READY_POLL_S)

    async def leave(self) -> None:
        """Drain this host within the setting ``leave_s``.

        Requests are accepted for a part of that time, so that callers and other
        hosts learn that this host is leaving; running requests may then finish.
        """
        settings, clock = self._ctx.settings, self._ctx.clock
        started_at = clock.now()
        self._ctx.tables.hosts.state = HostState.LEAVING
        self._ctx.announce()
        log.info("leaving", running=self.caller_handler.running)
        await asyncio.sleep(DRAIN_ACCEPT_SHARE * settings.leave_s)
        await self._callers.stop_listening()
        deadline = started_at + settings.leave_s - DRAIN_MARGIN_S
        while self.caller_handler.running and clock.now() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        log.info("left", running=self.caller_handler.running)

    async def close(self) -> None:
        """Close all listeners and their connections."""
        await self._callers.close()
        for listener in self._listeners:
            await listener.close()
