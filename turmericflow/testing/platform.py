"""Stand-in for the platform: object API, host list and weight store."""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections import Counter

from aiohttp import web

from turmericflow.testing._serve import serve

MAX_VALUE_BYTES = 1_000_000
MAX_SNAPSHOTS = 100


class PlatformStandIn:
    """An object API with versions, conditional updates and watches.

    Attributes
    ----------
    fault
        ``""`` for none, ``outage`` (reply 503), ``hang`` (never reply),
        ``lose_reply`` (apply a write, then close its connection) or ``old``
        (answer reads and watches as of a version, by default the one at which
        the fault began).
    delay_s
        Delay of each reply, in seconds.
    """

    def __init__(self, args: argparse.Namespace) -> None:
        self._max_writes_per_s = args.writes_s
        self._max_reads_per_s = args.reads_s
        self._host_list_lag_s = args.host_list_lag_s
        self._max_weight_loads_per_s = args.weights_s
        self.version = 0
        self.objects: dict[str, dict] = {}
        self.calls: Counter[str] = Counter()
        self._calls_in_second: Counter[tuple[str, int]] = Counter()
        self.fault = ""
        self.delay_s = 0.0
        self._stale_snapshot: tuple[int, dict[str, dict]] = (0, {})
        self._snapshots: list[tuple[int, dict[str, dict]]] = [(0, {})]
        self._host_lists: list[tuple[float, list]] = [(0.0, [])]
        self._changed = asyncio.Condition()

    def app(self) -> web.Application:
        """Return the platform's HTTP interface."""
        app = web.Application(
            client_max_size=MAX_VALUE_BYTES, middlewares=[self._inject_fault]
        )
        app.router.add_get("/v1/objects", self._list)
        app.router.add_get("/v1/objects/{kind}/{name}", self._get)
        app.router.add_put("/v1/objects/{kind}/{name}", self._put)
        app.router.add_delete("/v1/objects/{kind}/{name}", self._delete)
        app.router.add_get("/v1/watch", self._watch)
        app.router.add_get("/v1/hosts", self._get_hosts)
        app.router.add_get("/v1/weights/{name}", self._weights)
        app.router.add_put("/admin/hosts", self._set_hosts)
        app.router.add_put("/admin/fault", self._set_fault)
        app.router.add_get("/admin/calls", self._get_calls)
        return app

    @web.middleware
    async def _inject_fault(self, request: web.Request, handler) -> web.StreamResponse:
        if request.path.startswith("/admin/"):
            return await handler(request)
        kind = "write" if request.method in ("PUT", "DELETE") else "read"
        self.calls[kind] += 1
        self.calls[f"{request.method} {request.path.split('/')[2]}"] += 1
        if self._exceeds_rate(kind):
            return web.Response(status=429, headers={"Retry-After": "1"})
        await asyncio.sleep(self.delay_s)
        match self.fault:
            case "outage":
                return web.Response(status=503)
            case "hang":
                await asyncio.sleep(3600)
        answer = await handler(request)
        if self.fault == "lose_reply" and kind == "write":
            request.transport.abort()
        return answer

    def _exceeds_rate(self, kind: str) -> bool:
        second = int(time.monotonic())
        self._calls_in_second[kind, second] += 1
        limit = self._max_writes_per_s if kind == "write" else self._max_reads_per_s
        return self._calls_in_second[kind, second] > limit

    def _snapshot(self) -> tuple[int, dict[str, dict]]:
        if self.fault == "old":
            return self._stale_snapshot
        return self.version, self.objects

    async def _list(self, request: web.Request) -> web.Response:
        version, objects = self._snapshot()
        return web.json_response({"version": version, "items": list(objects.values())})

    async def _get(self, request: web.Request) -> web.Response:
        _, objects = self._snapshot()
        stored = objects.get(_path(request))
        if stored is None:
            return web.json_response(None, status=404)
        return web.json_response(stored)

    async def _put(self, request: web.Request) -> web.Response:
        value = json.loads(await request.read())
        return await self._write(request, value)

    async def _delete(self, request: web.Request) -> web.Response:
        return await self._write(request, None)

    async def _write(self, request: web.Request, value: object) -> web.Response:
        path = _path(request)
        current = self.objects.get(path)
        version = current["version"] if current else 0
        if request.headers.get("If-Match") != str(version):
            return web.json_response(current, status=409)
        self.version += 1
        written = {
            "kind": request.match_info["kind"],
            "name": request.match_info["name"],
            "version": self.version,
            "value": value,
        }
        self.objects = {**self.objects, path: written}
        self._snapshots.append((self.version, self.objects))
        del self._snapshots[:-MAX_SNAPSHOTS]
        async with self._changed:
            self._changed.notify_all()
        return web.json_response(written)

    async def _watch(self, request: web.Request) -> web.Response:
        since = int(request.query.get("since", "0"))
        kinds = set(filter(None, request.query.get("kinds", "").split(",")))
        deadline = time.monotonic() + float(request.query.get("wait", "20"))
        while True:
            version, objects = self._snapshot()
            changed = [each for each in objects.values() if each["version"] > since]
            items = [each for each in changed if not kinds or each["kind"] in kinds]
            remaining_s = deadline - time.monotonic()
            if items or remaining_s <= 0:
                return web.json_response({"version": version, "items": items})
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), remaining_s)
                except TimeoutError:
                    continue

    async def _get_hosts(self, request: web.Request) -> web.Response:
        visible_until = time.monotonic() - self._host_list_lag_s
        rows = [rows for since, rows in self._host_lists if since <= visible_until]
        return web.json_response(rows[-1] if rows else [])

    async def _weights(self, request: web.Request) -> web.Response:
        second = int(time.monotonic())
        self._calls_in_second["weights", second] += 1
        if self._calls_in_second["weights", second] > self._max_weight_loads_per_s:
            return web.Response(status=429, headers={"Retry-After": "1"})
        return web.json_response({"name": request.match_info["name"]})

    async def _set_hosts(self, request: web.Request) -> web.Response:
        self._host_lists.append((time.monotonic(), await request.json()))
        return web.Response()

    async def _set_fault(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.fault = body.get("fault", "")
        self.delay_s = body.get("delay_s", 0.0)
        max_version = body.get("version", self.version)
        self._stale_snapshot = [
            each for each in self._snapshots if each[0] <= max_version
        ][-1]
        return web.Response()

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))


def _path(request: web.Request) -> str:
    return f"{request.match_info['kind']}/{request.match_info['name']}"


def main(argv: list[str] | None = None) -> None:
    """Print ``ready PORT``, then run the stand-in until it is killed."""
    parser = argparse.ArgumentParser(prog="python -m turmericflow.testing.platform")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--writes-s", type=int, default=400)
    parser.add_argument("--reads-s", type=int, default=2000)
    parser.add_argument("--weights-s", type=int, default=4)
    parser.add_argument("--host-list-lag-s", type=float, default=0.5)
    args = parser.parse_args(argv)
    asyncio.run(serve(PlatformStandIn(args).app(), args.ip, args.port))


if __name__ == "__main__":
    main()
