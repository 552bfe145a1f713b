"""Callers' requests: in, to a target, and back."""

from __future__ import annotations

import asyncio
from typing import Protocol

import structlog
from aiohttp import web
from aiohttp.http import HttpVersion11
from multidict import CIMultiDict

from turmericflow.relay import _routing as routing
from turmericflow.relay._attempts import Attempts
from turmericflow.relay._call import Call
from turmericflow.relay._context import HostContext
from turmericflow.relay._exchange import Exchange
from turmericflow.relay._host_tables import HostState
from turmericflow.relay._model import Limits, WorkKind
from turmericflow.relay._stream import Stream
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict, not_run

MAX_HEADER_LINE_BYTES = 65_536  # the deployment's own limit is checked on top
HEADERS_TOO_LARGE = 431
CLIENT_GONE = (ConnectionError, asyncio.CancelledError)

log = structlog.get_logger()


class RequestInvalid(Exception):
    """Raised when a caller's request is not of the agreed form."""


class CallerCodec(Protocol):
    """Translates callers' HTTP."""

    def decode_call(self, request: web.BaseRequest) -> Call:
        """Translate the head of a request; raises `RequestInvalid`."""
        ...

    def refusal_headers(self, retry_after_s: float | None) -> dict[str, str]:
        """Return the headers of an answer of this system's own."""
        ...


class HttpOutlet:
    """Sends a stream to a caller as one chunked answer."""

    __slots__ = ("_request", "_leaving", "resp")

    def __init__(self, request: web.BaseRequest, leaving: bool) -> None:
        self._request = request
        self._leaving = leaving
        self.resp: web.StreamResponse | None = None

    async def begin(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the head of the answer."""
        self.resp = web.StreamResponse(status=status, headers=headers)
        if self._leaving or self._request.version < HttpVersion11:
            self.resp.force_close()
        if self._request.version >= HttpVersion11:
            self.resp.enable_chunked_encoding()
        await self.resp.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send some events; waits while the caller does not take them."""
        await self.resp.write(data)

    async def end(self) -> None:
        """End the answer as complete."""
        await self.resp.write_eof()

    def cut(self) -> None:
        """Break the connection off, so that the answer cannot look complete."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()


class CallerHandler:
    """Takes callers' requests.

    Attributes
    ----------
    running
        Requests that were read and have no final answer yet.
    """

    __slots__ = ("_ctx", "_codec", "running")

    def __init__(self, ctx: HostContext, codec: CallerCodec) -> None:
        self._ctx = ctx
        self._codec = codec
        self.running = 0

    @property
    def limits(self) -> Limits:
        """The bounds on what a caller sends that are in force."""
        deployment = self._ctx.tables.deployment.value
        return deployment.limits if deployment is not None else Limits()

    @property
    def _leaving(self) -> bool:
        return self._ctx.tables.hosts.state is HostState.LEAVING

    def request(self, message, payload, protocol, writer, task) -> web.BaseRequest:
        """Build a request whose body is bounded by the deployment's limit."""
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self.limits.body_bytes,
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.running += 1
        try:
            return await self._answer(request)
        finally:
            self.running -= 1

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        ctx = self._ctx
        started_at = ctx.clock.now()
        size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
        if size > self.limits.header_bytes:
            return web.Response(status=HEADERS_TOO_LARGE)
        try:
            call = self._codec.decode_call(request)
            call.body = await request.read()
        except RequestInvalid as exc:
            log.info("request_invalid", reason=str(exc))
            return self._refuse(not_run(ErrorCode.BAD_REQUEST, str(exc)).failure)
        except web.HTTPRequestEntityTooLarge:
            return self._refuse(not_run(ErrorCode.TOO_LARGE, "body too large").failure)
        call.arrived_at = started_at
        try:
            return await self._serve(request, call)
        except RequestFailed as exc:
            return self._failed(call, exc.failure)
        except ConnectionError:
            raise
        except Exception as exc:
            log.exception("request_crashed", request=call.id)
            message = f"internal error: {type(exc).__name__}"
            return self._failed(
                call, Failure(ErrorCode.TARGET_FAILED, Verdict.MAY_HAVE_RUN, message)
            )

    async def _serve(self, request: web.BaseRequest, call: Call) -> web.StreamResponse:
        ctx = self._ctx
        match = routing.match(ctx.tables.deployment, call, ctx.rng)
        ctx.tables.retry_budgets.record_request(match.service, ctx.clock.now())
        attempts = Attempts(ctx, match, call)
        if match.route.kind is WorkKind.STREAM:
            return await self._stream(request, attempts)
        answer = await Exchange(attempts).run()
        resp = web.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )
        if self._leaving:
            resp.force_close()
        seconds = ctx.clock.now() - call.arrived_at
        ctx.metrics.answer_seconds.labels(match.route.kind.value).observe(seconds)
        ctx.metrics.requests.labels("answered").inc()
        return resp

    async def _stream(
        self, request: web.BaseRequest, attempts: Attempts
    ) -> web.StreamResponse:
        outlet = HttpOutlet(request, self._leaving)
        stream = Stream(attempts, outlet)
        try:
            await stream.run()
        except RequestFailed as exc:
            if not stream.begun:
                raise
            outlet.cut()
            self._log_failed(attempts.call, exc.failure, begun=True)
            self._ctx.metrics.requests.labels("cut").inc()
        except CLIENT_GONE:
            self._ctx.metrics.requests.labels("caller_left").inc()
            log.info("caller_left", request=attempts.call.id, begun=stream.begun)
            raise
        else:
            self._ctx.metrics.requests.labels("answered").inc()
        return outlet.resp

    def _failed(self, call: Call, failure: Failure) -> web.Response:
        self._log_failed(call, failure, begun=False)
        outcome = "refused" if failure.verdict is Verdict.NOT_RUN else "failed"
        self._ctx.metrics.requests.labels(outcome).inc()
        return self._refuse(failure)

    def _log_failed(self, call: Call, failure: Failure, begun: bool) -> None:
        tables = self._ctx.tables
        log.info(
            "request_failed",
            request=call.id,
            code=failure.code.value,
            verdict=failure.verdict.value,
            reason=failure.message,
            begun=begun,
            after_s=round(self._ctx.clock.now() - call.arrived_at, 3),
            deployment=tables.deployment.revision,
            view=tables.targets.revision,
        )

    def _refuse(self, failure: Failure) -> web.Response:
        retry_after_s = failure.retry_after_s
        resp = web.Response(
            status=failure.http_status,
            headers=self._codec.refusal_headers(retry_after_s),
            text=failure.message,
        )
        if self._leaving:
            resp.force_close()
        return resp
