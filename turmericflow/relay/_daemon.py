"""Daemon of an entry host: starts its services and drains it before the stop."""

from __future__ import annotations

import asyncio

import structlog
from mode import Service

from turmericflow.relay import _caller_handler as caller_handler
from turmericflow.relay._caller_handler import CallerCodec, CallerHandler
from turmericflow.relay._connections import Timeouts
from turmericflow.relay._context import HostContext
from turmericflow.relay._host_tables import Drain, HostState
from turmericflow.relay._links import Links
from turmericflow.relay._listeners import Listener
from turmericflow.relay._registration import Registration
from turmericflow.relay._store import Kind
from turmericflow.relay._store_watch import StoreWatch
from turmericflow.relay._version_records import VersionReader, VersionRecorder
from turmericflow.relay._watchdog import Watchdog
from turmericflow.relay.caller_limits import ConnectionLimit

READY_POLL_S = 0.02
DRAIN_POLL_S = 0.05
CALLER_OPTIONS = {
    "max_line_size": caller_handler.MAX_HEADER_LINE_BYTES,
    "max_field_size": caller_handler.MAX_HEADER_LINE_BYTES,
    "lingering_time": 1.0,  # to read the rest of a body after an early answer
    "auto_decompress": False,  # targets get bodies as they were sent
}

log = structlog.get_logger()


def _build_rollouts(ctx: HostContext) -> Service | None:
    """Return the service that follows orders to roll out versions, if it is enabled."""
    if not ctx.settings.canary_share:
        return None
    # A deployment without it does not load the package.
    from turmericflow.relay.rollouts import RolloutService, RolloutTable

    ctx.tables.rollouts = RolloutTable.from_settings(
        ctx.settings, ctx.tables, ctx.metrics
    )
    return RolloutService(ctx, ctx.tables.rollouts)


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
        self._rollouts = _build_rollouts(ctx)
        self._links = Links(ctx)
        ctx.read_versions = VersionReader(ctx).read

    async def on_start(self) -> None:
        ctx = self._ctx
        limiter = ctx.caller_limiter
        for listener in self._listeners:
            await listener.open(limit=ConnectionLimit(limiter.budget.lookups))
        await self._callers.open(
            limit=ConnectionLimit(limiter.budget.callers, ctx.metrics),
            limiter=limiter,
            request_factory=self.caller_handler.build_request,
            handler_cancellation=True,
            timeouts=self._caller_timeouts,
            options=CALLER_OPTIONS,
        )
        for kind in (Kind.DEPLOYMENT, Kind.TARGETS, Kind.HOSTS):
            await self.add_runtime_dependency(StoreWatch(ctx, kind))
        await self.add_runtime_dependency(Registration(ctx))
        await self.add_runtime_dependency(self._links)
        await self.add_runtime_dependency(VersionRecorder(ctx))
        if self._rollouts is not None:
            await self.add_runtime_dependency(self._rollouts)
        await self.add_runtime_dependency(Watchdog(ctx))

    def _caller_timeouts(self) -> Timeouts:
        limits = self.caller_handler.limits
        return Timeouts(limits.header_timeout_s, limits.idle_timeout_s)

    @Service.task
    async def _become_ready(self) -> None:
        tables = self._ctx.tables
        while not self.should_stop:
            synced = (
                tables.deployment.value is not None and tables.targets.revision >= 0
            )
            if tables.rollouts is not None:
                synced = synced and tables.rollouts.is_synced(self._ctx.clock.now())
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

    async def leave(self, accepts: bool = True) -> None:
        """Drain this host within the setting ``leave_s``.

        Connections are accepted for a part of that time, so that callers and other
        hosts learn that this host is leaving. Then each connection is closed once it
        holds no bytes that await a response. Connections to targets that are carried
        for other hosts stay open.

        Parameters
        ----------
        accepts
            Whether connections are accepted at first; False for a host whose tables
            no longer follow changes.
        """
        clock, hosts = self._ctx.clock, self._ctx.tables.hosts
        leave_s = self._ctx.settings.leave_s
        drain = Drain(clock.earliest_arrival(), leave_s, accepts)
        hosts.state, hosts.drain = HostState.LEAVING, drain
        self._ctx.announce()
        log.info(
            "leaving",
            late_s=round(clock.now() - drain.since, 3),
            running=self.caller_handler.running,
            connections=self._callers.connections,
        )
        await asyncio.sleep(drain.accept_until - clock.now())
        # A process that was stopped runs its timers before it accepts connections.
        await asyncio.sleep(DRAIN_POLL_S)
        await self._callers.stop_listening()
        # The first wait lets connections that were just accepted be counted.
        await asyncio.sleep(DRAIN_POLL_S)
        while self._is_serving() and clock.now() < drain.serve_until:
            self._callers.close_idle_connections()
            await asyncio.sleep(DRAIN_POLL_S)
        self.caller_handler.end_running()
        await asyncio.sleep(DRAIN_POLL_S)
        log.info(
            "left",
            running=self.caller_handler.running,
            connections=self._callers.connections,
            tunnels=self._links.tunnels,
        )

    def _is_serving(self) -> bool:
        return self._callers.connections > 0 or self._links.tunnels > 0

    async def close(self) -> None:
        """Close all listeners and their connections."""
        await self._callers.close()
        for listener in self._listeners:
            await listener.close()
