"""The daemon of a relaying host: builds the services, leaves in order."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web
from mode import Service

from turmericflow.relay import _entry as entry_module
from turmericflow.relay._entry import CallerCodec, Entry
from turmericflow.relay._host_tables import HostState
from turmericflow.relay._links import Links
from turmericflow.relay._parts import Parts
from turmericflow.relay._registration import Registration
from turmericflow.relay._store import Kind
from turmericflow.relay._store_watch import StoreWatch
from turmericflow.relay._watchdog import Watchdog

READY_CHECK_S = 0.02
ACCEPT_SHARE = 3 / 8  # of the time to leave, in which requests are still taken
LEAVE_MARGIN_S = 0.4
FINISH_CHECK_S = 0.05
BACKLOG = 512
HEAD_TIMEOUT_S = 3.0  # where no deployment sets another
LINGER_S = 1.0  # for the rest of a body that was answered early

Options = Callable[[], dict[str, object]]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

log = structlog.get_logger()


class _Connection(web.RequestHandler):
    """A connection whose peer has a bounded time to send a request's head."""

    __slots__ = ("_head_timeout_s", "_head_timer", "_answering")

    def __init__(self, *args: object, head_timeout_s: float, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self._head_timeout_s = head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._answering = False

    def data_received(self, data: bytes) -> None:
        """Take bytes in; the first of a head start its time."""
        if self._head_timer is None and not self._answering:
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(self._head_timeout_s, self._head_late)
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Take in that the connection is gone."""
        self._stop_timer()
        super().connection_lost(exc)

    def head_taken(self) -> None:
        """Note that a request's head is whole, and that it is being answered."""
        self._answering = True
        self._stop_timer()

    def answered(self) -> None:
        """Note that a request has been answered."""
        self._answering = False

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_late(self) -> None:
        self._head_timer = None
        log.info("header_timeout", timeout_s=self._head_timeout_s)
        self.force_close()


class _Server(web.Server):
    """Serves each connection under the options that hold when it is opened."""

    def __init__(self, handler: Handler, options: Options, **kwargs: object) -> None:
        super().__init__(handler, **kwargs)
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        options = {"head_timeout_s": HEAD_TIMEOUT_S} | self._options()
        loop = asyncio.get_running_loop()
        return _Connection(self, loop=loop, access_log=None, **options)


class Listener:
    """An address on which something is served over HTTP."""

    __slots__ = ("address", "handler", "runner")

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self.handler = handler
        self.runner: web.ServerRunner | None = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection: _Connection = request.protocol
        connection.head_taken()
        try:
            return await self.handler(request)
        finally:
            connection.answered()

    async def open(self, options: Options = dict, **kwargs: object) -> None:
        """Begin to listen; `options` are asked for with each connection."""
        server = _Server(self._handle, options, **kwargs)
        self.runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        ip, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, ip, int(port), backlog=BACKLOG).start()

    async def stop_listening(self) -> None:
        """Take no new connections; those that are open are served on."""
        for site in list(self.runner.sites):
            await site.stop()

    async def close(self) -> None:
        """Close all connections."""
        await self.runner.cleanup()


class Daemon(Service):
    """One relaying host."""

    def __init__(
        self, parts: Parts, codec: CallerCodec, listeners: list[Listener]
    ) -> None:
        super().__init__()
        self._parts = parts
        self._listeners = listeners
        self.entry = Entry(parts, codec)
        self._callers = Listener(parts.settings.callers, self.entry.handle)
        self._links = Links(parts)

    async def on_start(self) -> None:
        parts = self._parts
        for listener in self._listeners:
            await listener.open()
        await self._callers.open(
            request_factory=self.entry.request,
            handler_cancellation=True,
            options=self._caller_options,
        )
        for kind in Kind:
            await self.add_runtime_dependency(StoreWatch(parts, kind))
        await self.add_runtime_dependency(Registration(parts))
        await self.add_runtime_dependency(self._links)
        await self.add_runtime_dependency(Watchdog(parts))

    def _caller_options(self) -> dict[str, object]:
        return {
            "head_timeout_s": self.entry.limits.header_timeout_s,
            "keepalive_timeout": self.entry.limits.idle_timeout_s,
            "max_line_size": entry_module.MAX_HEADER_LINE_BYTES,
            "max_field_size": entry_module.MAX_HEADER_LINE_BYTES,
            "lingering_time": LINGER_S,
        }

    @Service.task
    async def _become_ready(self) -> None:
        tables = self._parts.tables
        while not self.should_stop:
            known = tables.deployment.value is not None and tables.targets.revision >= 0
            if known and tables.hosts.state is HostState.STARTING:
                tables.hosts.state = HostState.READY
                self._parts.announce()
                log.info(
                    "ready",
                    deployment=tables.deployment.revision,
                    targets=len(tables.targets.rows),
                    view=tables.targets.revision,
                )
                return
            await self.sleep(READY_CHECK_S)

    async def leave(self) -> None:
        """Finish what was taken, within the time that the platform leaves."""
        settings, clock = self._parts.settings, self._parts.clock
        started_at = clock.now()
        self._parts.tables.hosts.state = HostState.LEAVING
        self._parts.announce()
        log.info("leaving", running=self.entry.running)
        await asyncio.sleep(ACCEPT_SHARE * settings.leave_s)
        await self._callers.stop_listening()
        until = started_at + settings.leave_s - LEAVE_MARGIN_S
        while self.entry.running and clock.now() < until:
            await asyncio.sleep(FINISH_CHECK_S)
        log.info("left", running=self.entry.running)

    async def close(self) -> None:
        """Close all that is served."""
        await self._callers.close()
        for listener in self._listeners:
            await listener.close()
