"""Entry point of a host on the platform."""

from __future__ import annotations

import argparse
import asyncio
import logging
import signal
import socket
import sys
import time
from pathlib import Path

import aiohttp
import msgspec
import structlog
from aiohttp import web

from turmericflow.platform import _callers
from turmericflow.platform._settings import read_settings, settings_path
from turmericflow.platform._store import StoreClient
from turmericflow.platform._targets import HttpTargets
from turmericflow.relay import (
    Daemon,
    HostContext,
    HostEntry,
    HostSettings,
    HostState,
    Listener,
    SettingsInvalid,
    Tables,
    addresses,
    set_up_log,
)

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_CRASHED = 3
CRASH_CHECK_S = 0.5
SETTINGS_CHECK_INTERVAL_S = (
    2.0  # a look at the file's time of change costs microseconds
)
ADDRESSES_KEEP_S = 1.0  # some callers keep an answer three times as long
CONNECT_TIMEOUT_S = 0.4  # a target accepts within milliseconds
KEEPALIVE_IDLE_S = 1  # the shortest that the system takes
KEEPALIVE_PROBES = 2  # a lost packet alone ends no connection
UNACKNOWLEDGED_MS = 3000  # as long as idle connections are given
METRICS_PORT = 9108  # as deploy/system.toml names it
NS_PER_MS = 1_000_000

log = structlog.get_logger()


def _socket(info) -> socket.socket:
    """Open a socket whose peer's silence is noticed within seconds."""
    sock = socket.socket(info[0], info[1], info[2])
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return sock


def _open_session(force_close: bool) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0, force_close=force_close, socket_factory=_socket, use_dns_cache=False
    )
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    # The library repeats a GET by itself, outside the budgets; it has no setting.
    session._retry_connection = False
    return session


class _Answers:
    """What the platform and its callers ask beside requests."""

    __slots__ = ("_ctx",)

    def __init__(self, ctx: HostContext) -> None:
        self._ctx = ctx

    async def ready(self, request: web.BaseRequest) -> web.Response:
        """Say whether this host takes requests."""
        ready = self._ctx.tables.hosts.state is HostState.READY
        return web.Response(status=200 if ready else 503)

    async def resolve(self, request: web.BaseRequest) -> web.Response:
        """Name the addresses to use."""
        found = addresses(self._ctx.tables, self._ctx.clock.now())
        if not found:
            return web.Response(status=503)
        keep_s = min(ADDRESSES_KEEP_S, self._ctx.settings.addresses_keep_s)
        body = msgspec.json.encode({"addresses": found, "ttlS": keep_s})
        return web.Response(body=body, content_type="application/json")

    async def metrics(self, request: web.BaseRequest) -> web.Response:
        """Return the metrics as text."""
        return web.Response(body=self._ctx.metrics.text(), content_type="text/plain")


def listeners(
    ctx: HostContext, settings: HostSettings, metrics_port: int = METRICS_PORT
) -> list[Listener]:
    """Return all that is served beside requests, where the settings have an address."""
    answers = _Answers(ctx)
    ip = settings.peers.rpartition(":")[0]
    found = [Listener(f"{ip}:{metrics_port}", answers.metrics)]
    if settings.readiness:
        found.append(Listener(settings.readiness, answers.ready))
    if settings.addresses:
        found.append(Listener(settings.addresses, answers.resolve))
    return found


def open_context(
    settings: HostSettings,
) -> tuple[HostContext, list[aiohttp.ClientSession]]:
    """Return a host's context, and the sessions to close after it."""
    own = HostEntry(
        settings.name,
        time.time_ns() // NS_PER_MS,
        settings.data_centre,
        settings.callers,
        settings.peers,
    )
    tables = Tables(own)
    targets, store = _open_session(True), _open_session(False)
    directory = StoreClient(store, settings.store)
    return HostContext(settings, tables, HttpTargets(targets), directory), [
        targets,
        store,
    ]


async def _serve(settings: HostSettings) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    ctx, sessions = open_context(settings)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, ctx, settings_path())
    daemon = Daemon(ctx, _callers, listeners(ctx, settings))
    await daemon.start()
    watch = asyncio.create_task(watch_settings(ctx, settings_path()))
    log.info("started", entry=ctx.tables.hosts.own)
    await _wait(daemon, stop)
    if daemon.crashed:
        log.error("crashed")
        return EXIT_CRASHED
    watch.cancel()
    await daemon.leave()
    await daemon.close()
    await daemon.stop()
    for session in sessions:
        await session.close()
    log.info("stopped")
    return EXIT_OK


async def _wait(daemon: Daemon, stop: asyncio.Event) -> None:
    while not stop.is_set() and not daemon.crashed:
        try:
            await asyncio.wait_for(stop.wait(), CRASH_CHECK_S)
        except TimeoutError:
            continue


async def watch_settings(ctx: HostContext, path: Path) -> None:
    """Reload the settings whenever their file changes, with or without a signal."""
    seen = _changed_at(path)
    while True:
        await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
        changed_at = _changed_at(path)
        if changed_at != seen:
            seen = changed_at
            reload_settings(ctx, path)


def _changed_at(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError as exc:
        log.warning("settings_not_found", path=str(path), reason=str(exc))
        return 0


def reload_settings(ctx: HostContext, path: Path) -> None:
    """Read the settings again; those in force stay if they cannot be used."""
    try:
        settings = read_settings(path)
    except SettingsInvalid as exc:
        log.warning("settings_kept", reason=str(exc))
        return
    ctx.apply_settings(settings)
    log.info("reloaded", settings=settings)


def main(argv: list[str] | None = None) -> int:
    """Run the host until it is told to stop; return its exit code."""
    parser = argparse.ArgumentParser(prog="turmericflow.platform", description=__doc__)
    parser.parse_args(argv)
    try:
        settings = read_settings(settings_path())
    except SettingsInvalid as exc:
        print(f"turmericflow.platform: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    set_up_log(settings.name, logging.INFO)
    return asyncio.run(_serve(settings))


if __name__ == "__main__":
    sys.exit(main())
