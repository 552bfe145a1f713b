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
KEPT_VERSIONS = 100


class PlatformStandIn:
    """An object API with versions, conditional updates and watches.

    Attributes
    ----------
    fault
        ``""``, ``outage`` (503), ``hang`` (no answer), ``lose_reply`` (a write
        takes effect and its connection is closed) or ``old`` (reads and
        watches answer as of a version, by default the one at which the fault
        began).
    delay_s
        Time added to each answer, in seconds.
    """

    def __init__(self, args: argparse.Namespace) -> None:
        self._writes_s = args.writes_s
        self._reads_s = args.reads_s
        self._lag_s = args.host_list_lag_s
        self._weights_s = args.weights_s
        self.version = 0
        self.objects: dict[str, dict] = {}
        self.calls: Counter[str] = Counter()
        self._recent: Counter[tuple[str, int]] = Counter()
        self.fault = ""
        self.delay_s = 0.0
        self._old: tuple[int, dict[str, dict]] = (0, {})
        self._history: list[tuple[int, dict[str, dict]]] = [(0, {})]
        self._hosts: list[tuple[float, list]] = [(0.0, [])]
        self._changed = asyncio.Condition()

    def app(self) -> web.Application:
        """Return the platform's HTTP interface."""
        app = web.Application(
            client_max_size=MAX_VALUE_BYTES, middlewares=[self._faults]
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
    async def _faults(self, request: web.Request, handler) -> web.StreamResponse:
        if request.path.startswith("/admin/"):
            return await handler(request)
        kind = "write" if request.method in ("PUT", "DELETE") else "read"
        self.calls[kind] += 1
        self.calls[f"{request.method} {request.path.split('/')[2]}"] += 1
        if self._over_rate(kind):
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

    def _over_rate(self, kind: str) -> bool:
        second = int(time.monotonic())
        self._recent[kind, second] += 1
        limit = self._writes_s if kind == "write" else self._reads_s
        return self._recent[kind, second] > limit

    def _view(self) -> tuple[int, dict[str, dict]]:
        if self.fault == "old":
            return self._old
        return self.version, self.objects

    async def _list(self, request: web.Request) -> web.Response:
        version, objects = self._view()
        return web.json_response({"version": version, "items": list(objects.values())})

    async def _get(self, request: web.Request) -> web.Response:
        _, objects = self._view()
        found = objects.get(_path(request))
        if found is None:
            return web.json_response(None, status=404)
        return web.json_response(found)

    async def _put(self, request: web.Request) -> web.Response:
        value = json.loads(await request.read())
        return await self._write(request, value)

    async def _delete(self, request: web.Request) -> web.Response:
        return await self._write(request, None)

    async def _write(self, request: web.Request, value: object) -> web.Response:
        path = _path(request)
        present = self.objects.get(path)
        version = present["version"] if present else 0
        if request.headers.get("If-Match") != str(version):
            return web.json_response(present, status=409)
        self.version += 1
        written = {
            "kind": request.match_info["kind"],
            "name": request.match_info["name"],
            "version": self.version,
            "value": value,
        }
        self.objects = {**self.objects, path: written}
        self._history.append((self.version, self.objects))
        del self._history[:-KEPT_VERSIONS]
        async with self._changed:
            self._changed.notify_all()
        return web.json_response(written)

    async def _watch(self, request: web.Request) -> web.Response:
        since = int(request.query.get("since", "0"))
        kinds = set(filter(None, request.query.get("kinds", "").split(",")))
        until = time.monotonic() + float(request.query.get("wait", "20"))
        while True:
            version, objects = self._view()
            newer = [each for each in objects.values() if each["version"] > since]
            items = [each for each in newer if not kinds or each["kind"] in kinds]
            left = until - time.monotonic()
            if items or left <= 0:
                return web.json_response({"version": version, "items": items})
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except TimeoutError:
                    continue

    async def _get_hosts(self, request: web.Request) -> web.Response:
        shown = time.monotonic() - self._lag_s
        rows = [rows for since, rows in self._hosts if since <= shown]
        return web.json_response(rows[-1] if rows else [])

    async def _weights(self, request: web.Request) -> web.Response:
        second = int(time.monotonic())
        self._recent["weights", second] += 1
        if self._recent["weights", second] > self._weights_s:
            return web.Response(status=429, headers={"Retry-After": "1"})
        return web.json_response({"name": request.match_info["name"]})

    async def _set_hosts(self, request: web.Request) -> web.Response:
        self._hosts.append((time.monotonic(), await request.json()))
        return web.Response()

    async def _set_fault(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.fault = body.get("fault", "")
        self.delay_s = body.get("delay_s", 0.0)
        upto = body.get("version", self.version)
        self._old = [each for each in self._history if each[0] <= upto][-1]
        return web.Response()

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))


def _path(request: web.Request) -> str:
    return f"{request.match_info['kind']}/{request.match_info['name']}"


def main(argv: list[str] | None = None) -> None:
    """Run the stand-in until it is ended; print its port first."""
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
