"""HTTP server for stand-ins."""

from __future__ import annotations

import asyncio

from aiohttp import web


async def serve(app: web.Application, ip: str, port: int) -> None:
    """Print ``ready PORT``, then serve until the process is killed."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, ip, port)
    await site.start()
    bound_port = runner.addresses[0][1]
    print(f"ready {bound_port}", flush=True)
    await asyncio.Event().wait()
