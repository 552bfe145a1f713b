"""Entry point of ``turmericflowd``."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from pathlib import Path

import structlog

from turmericflow.cfg import Settings, SettingsError
from turmericflow.services._daemon import Daemon
from turmericflow.services._log import set_up_log

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
EXIT_CRASHED = 3
CRASH_CHECK_S = 0.5

log = structlog.get_logger()


async def _wait_for_stop(daemon: Daemon, stop: asyncio.Event) -> None:
    while not stop.is_set() and not daemon.crashed:
        try:
            await asyncio.wait_for(stop.wait(), CRASH_CHECK_S)
        except TimeoutError:
            continue


async def _serve(settings: Settings) -> int:
    daemon = Daemon.from_settings(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    try:
        await daemon.start()
    except OSError as exc:
        await daemon.stop()
        print(f"turmericflowd: {exc.strerror or exc}", file=sys.stderr)
        return EXIT_FAILED
    log.info("started", host=settings.host, entry=str(settings.entry))
    await _wait_for_stop(daemon, stop)
    if daemon.crashed:
        log.error("crashed", host=settings.host)
        return EXIT_CRASHED
    await daemon.drain()
    await daemon.stop()
    log.info("stopped", host=settings.host)
    return EXIT_OK


def main(argv: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="turmericflowd", description="The daemon of one entry host."
    )
    parser.add_argument("--config", required=True, type=Path, help="YAML settings")
    args = parser.parse_args(argv)
    try:
        settings = Settings.from_file(args.config)
    except SettingsError as exc:
        print(f"turmericflowd: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    set_up_log(settings.log)
    return asyncio.run(_serve(settings))


if __name__ == "__main__":
    sys.exit(main())
