"""Serving of a stand-in's HTTP interface."""

from __future__ import annotations

import asyncio

from aiohttp import web


async def serve(app: web.Application, ip: str, port: int) -> None:
    """Serve until the process is ended; print the port taken, first."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, ip, port)
    await site.start()
    taken = runner.addresses[0][1]
    print(f"ready {taken}", flush=True)
    await asyncio.Event().wait()
