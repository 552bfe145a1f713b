"""Process of a host on the platform."""

from __future__ import annotations

import argparse
import asyncio
import logging
import signal
import sys
import time
from pathlib import Path

import aiohttp
import msgspec
import structlog
from aiohttp import web

from turmericflow._responses import ResponseConnection, use_connection
from turmericflow.platform import _callers
from turmericflow.platform._settings import read_settings, settings_path
from turmericflow.platform._store import StoreClient
from turmericflow.platform._targets import HttpTargets, TargetConnector, create_socket
from turmericflow.relay import (
    Daemon,
    HostContext,
    HostEntry,
    HostSettings,
    HostState,
    Listener,
    SettingsInvalid,
    Tables,
    TargetConnection,
    addresses,
    set_up_log,
)

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_CRASHED = 3
CRASH_CHECK_INTERVAL_S = 0.5
SETTINGS_CHECK_INTERVAL_S = 2.0  # reading the modification time takes microseconds
ADDRESSES_TTL_S = 1.0  # some callers cache for three times the TTL
CONNECT_TIMEOUT_S = 0.3  # a running target accepts within milliseconds
METRICS_PORT = 9108  # deploy/system.toml names the same port
NS_PER_MS = 1_000_000

log = structlog.get_logger()


def _open_session(
    force_close: bool,
    connector_class: type[aiohttp.TCPConnector],
    connection_class: type[ResponseConnection],
) -> aiohttp.ClientSession:
    connector = connector_class(
        limit=0,
        force_close=force_close,
        socket_factory=create_socket,
        use_dns_cache=False,
    )
    use_connection(connector, connection_class)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    # aiohttp retries a GET itself, which no retry budget counts; no option disables it.
    session._retry_connection = False
    return session


class _HttpHandlers:
    """Handlers of readiness checks, address lookups and metrics."""

    __slots__ = ("_ctx",)

    def __init__(self, ctx: HostContext) -> None:
        self._ctx = ctx

    async def ready(self, request: web.BaseRequest) -> web.Response:
        """Return status 200 if this host accepts requests, else 503."""
        ready = self._ctx.tables.hosts.state is HostState.READY
        return web.Response(status=200 if ready else 503)

    async def resolve(self, request: web.BaseRequest) -> web.Response:
        """Return the hosts' addresses and for how long to cache them, or status 503."""
        found = addresses(self._ctx.tables, self._ctx.clock.now())
        if not found:
            return web.Response(status=503)
        ttl_s = min(ADDRESSES_TTL_S, self._ctx.settings.addresses_keep_s)
        body = msgspec.json.encode({"addresses": found, "ttlS": ttl_s})
        return web.Response(body=body, content_type="application/json")

    async def metrics(self, request: web.BaseRequest) -> web.Response:
        """Return the metrics in text form."""
        return web.Response(body=self._ctx.metrics.text(), content_type="text/plain")


def listeners(
    ctx: HostContext, settings: HostSettings, metrics_port: int = METRICS_PORT
) -> list[Listener]:
    """Return the listeners for metrics and, if configured, readiness and addresses."""
    handlers = _HttpHandlers(ctx)
    ip = settings.peers.rpartition(":")[0]
    result = [Listener(f"{ip}:{metrics_port}", handlers.metrics)]
    if settings.readiness:
        result.append(Listener(settings.readiness, handlers.ready))
    if settings.addresses:
        result.append(Listener(settings.addresses, handlers.resolve))
    return result


def open_context(
    settings: HostSettings,
) -> tuple[HostContext, list[aiohttp.ClientSession]]:
    """Return the context of a host, and the sessions to close after the host stops."""
    own = HostEntry(
        settings.name,
        time.time_ns() // NS_PER_MS,
        settings.data_centre,
        settings.callers,
        settings.peers,
    )
    tables = Tables(own)
    target_session = _open_session(True, TargetConnector, TargetConnection)
    store_session = _open_session(False, aiohttp.TCPConnector, ResponseConnection)
    client = StoreClient(store_session, settings.store)
    return HostContext(settings, tables, HttpTargets(target_session), client), [
        target_session,
        store_session,
    ]


async def _serve(settings: HostSettings, loaded_at: int) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    ctx, sessions = open_context(settings)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, ctx, settings_path())
    daemon = Daemon(ctx, _callers, listeners(ctx, settings))
    await daemon.start()
    watch = asyncio.create_task(watch_settings(ctx, settings_path(), loaded_at))
    log.info("started", entry=ctx.tables.hosts.own)
    await _wait_until_stopped(daemon, stop)
    crashed = daemon.crashed
    if crashed:
        log.error("crashed")
    watch.cancel()
    await daemon.leave(accepts=not crashed)
    await daemon.close()
    await daemon.stop()
    for session in sessions:
        await session.close()
    log.info("stopped")
    return EXIT_CRASHED if crashed else EXIT_OK


async def _wait_until_stopped(daemon: Daemon, stop: asyncio.Event) -> None:
    while not stop.is_set() and not daemon.crashed:
        try:
            await asyncio.wait_for(stop.wait(), CRASH_CHECK_INTERVAL_S)
        except TimeoutError:
            continue


async def watch_settings(ctx: HostContext, path: Path, loaded_at: int) -> None:
    """Reload the settings whenever their file changes, even without a signal.

    Parameters
    ----------
    ctx
        The host's context.
    path
        The settings file.
    loaded_at
        Modification time of the file before the settings in force were read, in
        nanoseconds.
    """
    while True:
        await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
        modified_at = modification_time(path)
        if modified_at != loaded_at:
            loaded_at = modified_at
            reload_settings(ctx, path)


def modification_time(path: Path) -> int:
    """Return when a file was last modified, in nanoseconds; 0 if there is none."""
    try:
        return path.stat().st_mtime_ns
    except OSError as exc:
        log.warning("settings_not_found", path=str(path), reason=str(exc))
        return 0


def reload_settings(ctx: HostContext, path: Path) -> None:
    """Apply the settings file; if it is invalid, keep the current settings."""
    try:
        settings = read_settings(path)
    except SettingsInvalid as exc:
        log.warning("settings_kept", reason=str(exc))
        return
    ctx.apply_settings(settings)
    log.info("reloaded", settings=settings)


def main(argv: list[str] | None = None) -> int:
    """Run the host until SIGTERM or SIGINT; return the exit code."""
    parser = argparse.ArgumentParser(prog="turmericflow.platform", description=__doc__)
    parser.parse_args(argv)
    path = settings_path()
    loaded_at = modification_time(path)
    try:
        settings = read_settings(path)
    except SettingsInvalid as exc:
        print(f"turmericflow.platform: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    set_up_log(settings.name, logging.INFO)
    return asyncio.run(_serve(settings, loaded_at))
