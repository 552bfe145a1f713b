"""Stand-in for a plain service, which counts the runs of each key."""

from __future__ import annotations

import argparse
import asyncio
from collections import Counter

from aiohttp import web

from turmericflow.testing._serve import serve

ENDLESS = b'"endless"'  # a call with this text is answered without end
PIECE_BYTES = 65_536


class ServiceStandIn:
    """A plain service whose calls take a fixed time."""

    def __init__(self, args: argparse.Namespace) -> None:
        self._work_s = args.work_ms / 1000
        self._workers = asyncio.Semaphore(args.workers)
        self.runs: Counter[str] = Counter()
        self._running = 0

    def app(self) -> web.Application:
        """Return the service's HTTP interface."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/v1/call", self._call)
        app.router.add_get("/v1/load", self._load)
        app.router.add_get("/v1/runs", self._runs)
        return app

    async def _call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        key = request.headers.get("Idempotency-Key", "")
        self._running += 1
        try:
            async with self._workers:
                self.runs[key] += 1
                await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        if ENDLESS in body:
            return await self._send_endlessly(request)
        return web.Response(body=body, headers={"X-Run": str(self.runs[key])})

    @staticmethod
    async def _send_endlessly(request: web.Request) -> web.StreamResponse:
        resp = web.StreamResponse()
        await resp.prepare(request)
        try:
            while True:
                await resp.write(bytes(PIECE_BYTES))
        except ConnectionError:
            return resp

    async def _load(self, request: web.Request) -> web.Response:
        return web.json_response({"running": self._running})

    async def _runs(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.runs))


def main(argv: list[str] | None = None) -> None:
    """Print ``ready PORT``, then run the stand-in until it is killed."""
    parser = argparse.ArgumentParser(prog="python -m turmericflow.testing.service")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--workers", type=int, default=16)
    args = parser.parse_args(argv)
    asyncio.run(serve(ServiceStandIn(args).app(), args.ip, args.port))


if __name__ == "__main__":
    main()
