"""Naive router that copies each line from the engine to the caller."""

from __future__ import annotations

import argparse
import asyncio

import aiohttp
from aiohttp import web

from turmericflow.testing._serve import serve


class NaiveRouter:
    """Forwards each request to one engine, without recovery from failures."""

    def __init__(self, engine: str) -> None:
        self._url = f"http://{engine}/v1/generate"
        self._session: aiohttp.ClientSession | None = None

    def app(self) -> web.Application:
        """Return the router's HTTP interface."""
        app = web.Application()
        app.router.add_post("/v1/generate", self._generate)
        app.on_startup.append(self._start)
        return app

    async def _start(self, app: web.Application) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        async with self._session.post(self._url, data=body) as resp:
            await response.prepare(request)
            async for line in resp.content:
                await response.write(b"data: " + line + b"\n")
        return response


def main() -> None:
    """Print ``ready PORT``, then run the router until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--engine", required=True)
    args = parser.parse_args()
    asyncio.run(serve(NaiveRouter(args.engine).app(), args.ip, args.port))


if __name__ == "__main__":
    main()
