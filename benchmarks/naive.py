"""Naive router that restarts a generation after it loses the engine."""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import itertools
import json

import aiohttp
from aiohttp import web

from turmericflow.testing._serve import serve

HOST_LIST_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.05


class NaiveRouter:
    """Forwards requests to engines round robin, and restarts after a loss.

    A caller gets each token index once: the indexes already sent are left out
    of the second run.  The answer is then put together from two sampling runs,
    a fault that the comparison is meant to show.
    """

    def __init__(self, platform: str, model: str) -> None:
        self._platform = platform
        self._model = dict(zip(("model", "adapter", "version"), model.split("/")))
        self._engines: list[str] = []
        self._round_robin = itertools.count()
        self._session: aiohttp.ClientSession | None = None
        self._poll_task: asyncio.Task | None = None

    def app(self) -> web.Application:
        """Return the router's HTTP interface."""
        app = web.Application(client_max_size=16_000_000)
        app.router.add_post("/v1/generate", self._generate)
        app.on_startup.append(self._start)
        return app

    async def _start(self, app: web.Application) -> None:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=1, sock_read=SILENCE_TIMEOUT_S
        )
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        self._poll_task = asyncio.ensure_future(self._poll_host_list())

    async def _poll_host_list(self) -> None:
        while True:
            async with self._session.get(f"http://{self._platform}/v1/hosts") as resp:
                rows = await resp.json()
            self._engines = [
                f"{row['ip']}:{row['port']}" for row in rows if row["role"] == "engine"
            ]
            await asyncio.sleep(HOST_LIST_INTERVAL_S)

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        sent: list[str] = []
        for attempt in itertools.count(1):
            try:
                if await self._attempt(body, attempt, response, sent):
                    break
            except (aiohttp.ClientError, OSError, TimeoutError):
                await asyncio.sleep(RETRY_DELAY_S)
        digest = hashlib.sha256("".join(sent).encode()).hexdigest()
        end = json.dumps({"count": len(sent), "digest": digest})
        await response.write(f"event: end\ndata: {end}\n\n".encode())
        return response

    async def _attempt(
        self, body: dict, attempt: int, response: web.StreamResponse, sent: list[str]
    ) -> bool:
        engine = self._engines[next(self._round_robin) % len(self._engines)]
        engine_request = {
            "generation": f"{id(sent)}-{attempt}",
            "attempt": attempt,
            "prompt": body["prompt"],
            "prefix": [],
            "max_tokens": body["max_tokens"],
            "priority": 1,
            **self._model,
        }
        url = f"http://{engine}/v1/generate"
        async with self._session.post(url, json=engine_request) as resp:
            async for raw in resp.content:
                line = json.loads(raw)
                if "done" in line:
                    return True
                if line.get("i") == len(sent):
                    await self._send_token(response, sent, line["t"])
        return False

    async def _send_token(
        self, response: web.StreamResponse, sent: list[str], text: str
    ) -> None:
        index = len(sent)
        sent.append(text)
        data = json.dumps({"index": index, "text": text})
        await response.write(f"id: naive.1.{index}\ndata: {data}\n\n".encode())


def main() -> None:
    """Print ``ready PORT``, then run the router until it is killed."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.naive")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--platform", required=True)
    parser.add_argument("--model", required=True)
    args = parser.parse_args()
    app = NaiveRouter(args.platform, args.model).app()
    asyncio.run(serve(app, args.ip, args.port))


if __name__ == "__main__":
    main()
