"""Stand-in for a model engine, over HTTP on loopback."""

from __future__ import annotations

import argparse
import asyncio
import os
import time
from random import Random

import msgspec
from aiohttp import web

from turmericflow.services._engine import EngineRequest
from turmericflow.testing._batch import Batch, EngineSpeed, Stream
from turmericflow.testing._serve import serve

MAX_CACHE_EVENTS = 10_000
FAULT_DELAY_S = 0.005
CRASH_EXIT_CODE = 139


class Order(msgspec.Struct):
    """Order that sets an engine's loaded models and role."""

    fence: int
    models: list[str]
    role: str = "any"


class _Sender:
    """Writes a stream's tokens to one reader, in the step that made them.

    Attributes
    ----------
    direct
        Whether new tokens are written straight to the transport; the handler's
        task sends the first tokens, the end and errors.
    """

    __slots__ = ("_stream", "_transport", "direct", "event", "sent")

    def __init__(
        self, transport: asyncio.Transport, stream: Stream, start: int
    ) -> None:
        self._transport = transport
        self._stream = stream
        self.sent = start
        self.event = asyncio.Event()
        self.direct = False

    def on_stream_changed(self) -> None:
        """Write new tokens, or wake the handler's task at the end or a fault."""
        stream = self._stream
        if not self.direct or stream.done or stream.cancelled or self.is_fault_due():
            self.event.set()
            return
        lines = self.drain_lines()
        if lines and not self._transport.is_closing():
            self._transport.write(b"%x\r\n%b\r\n" % (len(lines), lines))

    def is_fault_due(self) -> bool:
        """Return whether the stream has reached its planned fault."""
        fault = self._stream.planned_fault
        return fault is not None and len(self._stream.tokens) >= fault[1]

    def drain_lines(self) -> bytes:
        """Return the lines of all unsent tokens, and mark them as sent."""
        stream = self._stream
        lines = [
            b'{"i":%d,"t":"%b"}\n' % (index, stream.tokens[index].encode())
            for index in range(self.sent, len(stream.tokens))
        ]
        self.sent = len(stream.tokens)
        if stream.done:
            lines.append(b'{"done":%d}\n' % self.sent)
        return b"".join(lines)


class EngineStandIn:
    """A model engine with continuous batching, a prefix cache and orders."""

    def __init__(self, args: argparse.Namespace) -> None:
        speed = EngineSpeed(
            args.step_ms,
            args.slow_down,
            args.slots,
            args.prefill_tokens_s,
            args.cache_blocks,
        )
        self.batch = Batch(speed, args.seed, args.stamp)
        self.models = set(args.model)
        self.role = "any"
        self.fence = 0
        self.checks_fencing = args.checks_fencing
        self._report_lag_s = args.report_lag_s
        self._load_time_s = args.load_s
        self._cache_gap_share = args.cache_gap_share
        self._rng = Random(args.seed + 1)
        self._reports: list[tuple[float, dict]] = []
        self._wake = asyncio.Event()
        self._step_task: asyncio.Task | None = None
        self._order_tasks: set[asyncio.Task] = set()
        self.silent = False
        self.last_start = 0.0
        self.stale_orders = 0

    def app(self) -> web.Application:
        """Return the engine's HTTP interface."""
        app = web.Application(client_max_size=16_000_000)
        app.router.add_post("/v1/generate", self._generate)
        app.router.add_get("/v1/streams/{generation}", self._attach)
        app.router.add_delete("/v1/streams/{generation}", self._cancel)
        app.router.add_get("/v1/load", self._load)
        app.router.add_get("/v1/cache", self._cache)
        app.router.add_post("/v1/orders", self._order)
        app.router.add_get("/v1/totals", self._totals)
        app.router.add_post("/admin/silent", self._set_silent)
        app.router.add_post("/admin/lose", self._lose_engine)
        app.on_startup.append(self._start)
        return app

    async def _start(self, app: web.Application) -> None:
        self._step_task = asyncio.ensure_future(self._run_steps())

    async def _run_steps(self) -> None:
        next_step_at = time.monotonic()
        while True:
            if not self.batch.running and not self.batch.queue:
                self._record_report()
                self._wake.clear()
                await self._wake.wait()
                next_step_at = time.monotonic()
            next_step_at = max(next_step_at + self.batch.step_s(), time.monotonic())
            await asyncio.sleep(next_step_at - time.monotonic())
            if not self.silent:
                self.batch.step()
                self._record_report()

    def _record_report(self) -> None:
        report = {
            "running": len(self.batch.running),
            "queued": len(self.batch.queue),
            "slots": self.batch.speed.slots,
            "step_ms": self.batch.step_s() * 1000,
            "prefill_tokens_s": self.batch.speed.prefill_tokens_s,
            "models": sorted(self.models),
            "role": self.role,
            "fence": self.fence,
        }
        now = time.monotonic()
        self._reports.append((now, report))
        while (
            len(self._reports) > 1 and self._reports[1][0] <= now - self._report_lag_s
        ):
            self._reports.pop(0)

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=EngineRequest)
        model = f"{body.model}/{body.adapter}/{body.version}"
        if self.models and model not in self.models:
            return web.Response(status=409, text=f"{model} is not loaded")
        if "crash=1" in body.prompt.split():
            os._exit(CRASH_EXIT_CODE)
        stream = self.batch.add(
            body.generation,
            body.attempt,
            body.prompt,
            body.prefix,
            body.max_tokens,
            body.priority,
        )
        self.last_start = time.time()
        self._wake.set()
        return await self._stream_tokens(request, stream, len(body.prefix))

    async def _attach(self, request: web.Request) -> web.StreamResponse:
        stream = self.batch.streams.get(request.match_info["generation"])
        start = int(request.query.get("from", "0"))
        if stream is None or stream.cancelled or start > len(stream.tokens):
            return web.Response(status=404, text="no such stream")
        return await self._stream_tokens(request, stream, start)

    async def _stream_tokens(
        self, request: web.Request, stream: Stream, start: int
    ) -> web.StreamResponse:
        resp = web.StreamResponse(headers={"X-Attempt": str(stream.attempt)})
        sender = _Sender(request.transport, stream, start)
        stream.listeners.append(sender.on_stream_changed)
        try:
            await resp.prepare(request)
            while not stream.cancelled:
                if sender.is_fault_due():
                    await self._fail(resp, stream, sender.sent)
                lines = sender.drain_lines()
                if lines:
                    await resp.write(lines)
                    sender.direct = True
                if stream.done:
                    return resp
                await sender.event.wait()
                sender.event.clear()
            await resp.write(b'{"error":"cancelled"}\n')
            return resp
        except ConnectionError:
            return resp
        finally:
            stream.listeners.remove(sender.on_stream_changed)

    async def _fail(self, resp: web.StreamResponse, stream: Stream, sent: int) -> None:
        """Send the tokens before the planned fault, then exit or fall silent."""
        for index in range(sent, stream.planned_fault[1]):
            text = stream.tokens[index].encode()
            await resp.write(b'{"i":%d,"t":"%b"}\n' % (index, text))
        await asyncio.sleep(FAULT_DELAY_S)
        if stream.planned_fault[0] == "die":
            os._exit(CRASH_EXIT_CODE)
        self.silent = True
        await asyncio.Event().wait()

    async def _cancel(self, request: web.Request) -> web.Response:
        stream = self.batch.streams.get(request.match_info["generation"])
        attempt = int(request.query.get("attempt", "0"))
        if stream is not None and attempt in (0, stream.attempt):
            self.batch.cancel(stream)
        return web.Response()

    async def _load(self, request: web.Request) -> web.Response:
        if not self.batch.running and not self.batch.queue:
            self._record_report()
        return web.json_response(self._reports[0][1])

    async def _cache(self, request: web.Request) -> web.Response:
        since = int(request.query.get("since", "0"))
        events = self.batch.cache.events
        first = max(since, len(events) - MAX_CACHE_EVENTS)
        sent = [
            {"seq": first + offset + 1, "op": op, "block": block}
            for offset, (op, block) in enumerate(events[first:])
            if self._rng.random() >= self._cache_gap_share
        ]
        return web.json_response({"seq": len(events), "events": sent})

    async def _order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=Order)
        if self.checks_fencing and order.fence < self.fence:
            return web.json_response({"fence": self.fence}, status=409)
        self.stale_orders += order.fence < self.fence
        self.fence = max(self.fence, order.fence)
        task = asyncio.ensure_future(self._apply_order(order))
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)
        return web.json_response({"fence": self.fence})

    async def _apply_order(self, order: Order) -> None:
        if set(order.models) - self.models:
            await asyncio.sleep(self._load_time_s)
        self.models = set(order.models)
        self.role = order.role

    async def _totals(self, request: web.Request) -> web.Response:
        return web.json_response(self._collect_totals())

    def _collect_totals(self) -> dict:
        return {
            "prefilled": self.batch.prefilled,
            "generated": self.batch.generated,
            "fresh": self.batch.fresh_starts,
            "last_start": self.last_start,
            "stale_orders": self.stale_orders,
        }

    async def _lose_engine(self, request: web.Request) -> web.Response:
        """Fall silent or exit; reply with the running streams and the totals."""
        self.silent = True
        running = {stream.label: len(stream.tokens) for stream in self.batch.running}
        if (await request.json())["how"] == "die":
            loop = asyncio.get_running_loop()
            loop.call_later(FAULT_DELAY_S, os._exit, CRASH_EXIT_CODE)
        return web.json_response({"running": running, **self._collect_totals()})

    async def _set_silent(self, request: web.Request) -> web.Response:
        self.silent = (await request.json())["silent"]
        return web.Response()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m turmericflow.testing.engine")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--model", action="append", default=[])
    parser.add_argument("--step-ms", type=float, default=20.0)
    parser.add_argument("--slow-down", type=float, default=0.01)
    parser.add_argument("--slots", type=int, default=32)
    parser.add_argument("--prefill-tokens-s", type=float, default=20_000.0)
    parser.add_argument("--cache-blocks", type=int, default=4096)
    parser.add_argument("--cache-gap-share", type=float, default=0.0)
    parser.add_argument("--report-lag-s", type=float, default=0.2)
    parser.add_argument("--load-s", type=float, default=0.5)
    parser.add_argument("--stamp", action="store_true")
    parser.add_argument("--checks-fencing", action="store_true")
    return parser


def main(argv: list[str] | None = None) -> None:
    """Print ``ready PORT``, then run the stand-in until it is killed."""
    args = _parser().parse_args(argv)
    asyncio.run(serve(EngineStandIn(args).app(), args.ip, args.port))


if __name__ == "__main__":
    main()
