"""HTTP handler for callers' requests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from dataclasses import replace
from typing import Protocol, TypeVar

import structlog
from aiohttp import web
from aiohttp.http import HttpVersion11
from multidict import CIMultiDict

from turmericflow.relay import _leaving as leaving, _routing as routing
from turmericflow.relay._answers import Answer
from turmericflow.relay._attempts import Attempts
from turmericflow.relay._call import Call
from turmericflow.relay._connections import ClosedBy, Connection
from turmericflow.relay._context import HostContext
from turmericflow.relay._exchange import Exchange
from turmericflow.relay._host_tables import HostState
from turmericflow.relay._model import Limits, WorkKind
from turmericflow.relay._stream import Stream
from turmericflow.relay.caller_limits import PIECE_BYTES, Body, BodyBuilder, pieces
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict, not_run

MAX_HEADER_LINE_BYTES = 65_536  # the deployment's limit is checked in addition
# Memory of this host is free again within this time, unless callers hold it on purpose.
REFUSED_RETRY_AFTER_S = 1.0
REFUSED_RETRY_SPREAD_S = 1.0
# What a stream's caller that does not read holds beside the events that are written.
UNREAD_STREAM_BYTES = 262_144
MAX_BODY_TIME_S = 30.0  # if neither the caller nor a route limits the request's time
STATUS_BODY_TOO_SLOW = 408  # says that the request did not run
STATUS_HEADERS_TOO_LARGE = 431

T = TypeVar("T")

log = structlog.get_logger()


class RequestInvalid(Exception):
    """Raised when a caller's request is malformed."""


class RequestRefused(Exception):
    """Raised when there is no memory for a caller's request."""


# The rest of the body of a request that fails with one of the last two is not usable.
INVALID_REQUEST_ERRORS = (
    RequestInvalid,
    RequestRefused,
    web.HTTPRequestEntityTooLarge,
    web.RequestPayloadError,
    TimeoutError,
)


class CallerCodec(Protocol):
    """Translates between the platform's HTTP headers and `Call`."""

    def decode_call(self, request: web.BaseRequest) -> Call:
        """Build a call from a request line and headers; raises `RequestInvalid`."""
        ...

    def refusal_headers(self, retry_after_s: float | None) -> dict[str, str]:
        """Return the headers of an error response that no target produced."""
        ...


def _is_connection_loss(exc: BaseException, conn: Connection) -> bool:
    """Return whether an error is due to the caller's connection being closed.

    A target's connection, or a task that is awaited, may end with the same errors.
    """
    match exc:
        case asyncio.CancelledError():
            return asyncio.current_task().cancelling() > 0
        case ConnectionError():
            return conn.closed
    return False


class HttpResponseWriter:
    """Writes a stream to a caller as one chunked response."""

    __slots__ = ("_request", "_leaving", "resp")

    def __init__(self, request: web.BaseRequest, leaving: bool) -> None:
        self._request = request
        self._leaving = leaving
        self.resp: web.StreamResponse | None = None

    async def begin(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the status and headers."""
        self.resp = web.StreamResponse(status=status, headers=headers)
        if self._leaving or self._request.version < HttpVersion11:
            self.resp.force_close()
        if self._request.version >= HttpVersion11:
            self.resp.enable_chunked_encoding()
        await self.resp.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Send body bytes; waits while the caller reads too slowly."""
        conn: Connection = self._request.protocol
        size = len(data) + UNREAD_STREAM_BYTES
        conn.begin_writing()
        conn.hold.charge(size)
        try:
            for piece in pieces(data):
                await self.resp.write(piece)
        finally:
            conn.hold.release(size)
            conn.end_writing()

    async def end(self) -> None:
        """Complete the response."""
        await self.resp.write_eof()

    def abort(self) -> None:
        """Abort the connection, so that the response cannot look complete."""
        conn: Connection = self._request.protocol
        conn.abort(reset=self._request.version < HttpVersion11)


class PiecewiseResponse(web.StreamResponse):
    """A response with a large body, which is written as the caller reads it."""

    def __init__(self, answer: Answer) -> None:
        super().__init__(status=answer.status, headers=answer.headers)
        self.content_length = len(answer.body)
        self._blocks = answer.body.blocks

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body and complete the response."""
        conn: Connection = self._req.protocol
        for block in self._blocks:
            for piece in pieces(block):
                conn.begin_writing()  # each piece that is taken shows that it is read
                await self.write(piece)
        await super().write_eof(data)


class CallerHandler:
    """Answer callers' requests.

    Attributes
    ----------
    running
        Number of requests that have no final response yet.
    """

    __slots__ = ("_ctx", "_codec", "_scopes", "running")

    def __init__(self, ctx: HostContext, codec: CallerCodec) -> None:
        self._ctx = ctx
        self._codec = codec
        self._scopes: set[asyncio.Timeout] = set()
        self.running = 0

    @property
    def limits(self) -> Limits:
        """Size and time limits on callers, from the current deployment."""
        deployment = self._ctx.tables.deployment.value
        return deployment.limits if deployment is not None else Limits()

    @property
    def _leaving(self) -> bool:
        return self._ctx.tables.hosts.state is HostState.LEAVING

    def build_request(
        self, message, payload, protocol, writer, task
    ) -> web.BaseRequest:
        """Build a request whose body size is limited by the deployment."""
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
        """Serve one request and return the response."""
        self.running += 1
        try:
            return await self._answer(request)
        finally:
            self.running -= 1

    def end_running(self) -> None:
        """End all running requests; cut those whose response has begun."""
        now = self._ctx.clock.now()
        for scope in self._scopes:
            scope.reschedule(now)

    async def _run_until_ended(self, attempts: Attempts, work: Awaitable[T]) -> T:
        """Await the work for a request.

        Raises
        ------
        RequestFailed
            If the work fails, or `end_running` ended it.
        """
        try:
            async with asyncio.timeout(None) as scope:
                self._scopes.add(scope)
                return await work
        except TimeoutError:
            if not scope.expired():
                raise
            raise attempts.build_interruption("this host stops") from None
        finally:
            self._scopes.discard(scope)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        ctx = self._ctx
        started_at = ctx.clock.now()
        size = sum(len(name) + len(value) + 4 for name, value in request.raw_headers)
        if size > self.limits.header_bytes:
            return web.Response(status=STATUS_HEADERS_TOO_LARGE)
        call: Call | None = None
        try:
            call = self._codec.decode_call(request)
            call.hold = request.protocol.hold
            call.body = await self._read_body(request, call, started_at)
        except INVALID_REQUEST_ERRORS as exc:
            return self._invalid_response(exc, call)
        call.arrived_at = started_at
        drain = ctx.tables.hosts.drain
        if drain is not None:
            leaving_s = round(started_at - drain.since, 3)
            log.info("request_while_leaving", request=call.id, leaving_s=leaving_s)
        try:
            return await self._serve(request, call)
        except RequestFailed as exc:
            return self._failure_response(call, exc.failure)
        except (Exception, asyncio.CancelledError) as exc:
            if _is_connection_loss(exc, request.protocol):
                self._log_connection_loss(request.protocol, call)
                raise
            log.exception("request_crashed", request=call.id, begun=False)
            message = f"internal error: {type(exc).__name__}"
            return self._failure_response(
                call, Failure(ErrorCode.TARGET_FAILED, Verdict.MAY_HAVE_RUN, message)
            )

    def _invalid_response(self, exc: Exception, call: Call | None) -> web.Response:
        """Return the response to a request that cannot be read whole."""
        id = None if call is None else call.id
        log.info("request_invalid", request=id, reason=str(exc) or repr(exc))
        match exc:
            case RequestRefused():
                resp = self._failure_response(call, self._build_refusal(str(exc)))
                resp.force_close()
            case TimeoutError():
                resp = web.Response(status=STATUS_BODY_TOO_SLOW)
                resp.force_close()
            case web.RequestPayloadError():
                resp = self._bad_request(str(exc))
                resp.force_close()
            case web.HTTPRequestEntityTooLarge():
                failure = not_run(ErrorCode.TOO_LARGE, "body too large").failure
                resp = self._error_response(failure)
            case _:
                resp = self._bad_request(str(exc))
        return resp

    def _bad_request(self, message: str) -> web.Response:
        return self._error_response(not_run(ErrorCode.BAD_REQUEST, message).failure)

    async def _read_body(
        self, request: web.BaseRequest, call: Call, started_at: float
    ) -> Body:
        """Return the body.

        Raises
        ------
        RequestRefused
            If there is no memory for it; nothing has been sent to a target.
        TimeoutError
            If it is not complete within the time that the request has.
        """
        if request.content.is_eof() and not request.content.total_bytes:
            return Body()
        route = routing.find_route(self._ctx.tables.deployment, call)
        timeout_s = route.timeout_s if route is not None else MAX_BODY_TIME_S
        if call.timeout_s is not None:
            timeout_s = min(timeout_s, call.timeout_s)
        conn: Connection = request.protocol
        try:
            async with asyncio.timeout_at(started_at + timeout_s) as scope:
                conn.begin_body(scope)
                body = await self._collect_body(request)
        except TimeoutError:
            if not conn.refused:
                raise
        finally:
            conn.end_body()
        if conn.refused:
            raise RequestRefused("the memory for requests is used up")
        return body

    async def _collect_body(self, request: web.BaseRequest) -> Body:
        limit = self.limits.body_bytes
        if (request.content_length or 0) > limit:
            raise web.HTTPRequestEntityTooLarge(limit, request.content_length)
        body = BodyBuilder()
        while piece := await request.content.readany():
            body.append(piece)
            if len(body) > limit:
                raise web.HTTPRequestEntityTooLarge(limit, len(body))
        return body.build()

    def _build_refusal(self, message: str) -> Failure:
        """Return the failure of a request for which there is no memory."""
        retry_after_s = REFUSED_RETRY_AFTER_S
        retry_after_s += self._ctx.rng.random() * REFUSED_RETRY_SPREAD_S
        failure = not_run(ErrorCode.OVERLOADED, message).failure
        return replace(failure, retry_after_s=retry_after_s)

    async def _serve(self, request: web.BaseRequest, call: Call) -> web.StreamResponse:
        ctx = self._ctx
        now = ctx.clock.now()
        match = routing.match_request(ctx.tables.deployment, call, ctx.rng)
        attempts = Attempts(ctx, match, call)
        leaving.check_accepted(ctx.tables, attempts, now)
        ctx.tables.retry_budgets.record_request(match.service, now)
        if match.route.kind is WorkKind.STREAM:
            return await self._stream(request, attempts)
        answer = await self._run_until_ended(attempts, Exchange(attempts).run())
        if len(answer.body) > PIECE_BYTES:
            resp = PiecewiseResponse(answer)
        else:
            resp = web.Response(
                status=answer.status, headers=answer.headers, body=bytes(answer.body)
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
        writer = HttpResponseWriter(request, self._leaving)
        stream = Stream(attempts, writer)
        try:
            await self._run_until_ended(attempts, stream.run())
        except RequestFailed as exc:
            if not stream.begun:
                raise
            writer.abort()
            self._log_failed(attempts.call, exc.failure, begun=True)
            self._ctx.metrics.requests.labels("cut").inc()
        except (Exception, asyncio.CancelledError) as exc:
            if not stream.begun or _is_connection_loss(exc, request.protocol):
                raise
            writer.abort()
            log.exception("request_crashed", request=attempts.call.id, begun=True)
            self._ctx.metrics.requests.labels("cut").inc()
        else:
            self._ctx.metrics.requests.labels("answered").inc()
        return writer.resp

    def _log_connection_loss(self, conn: Connection, call: Call) -> None:
        """Log a request whose connection closed before its response was complete."""
        ctx = self._ctx
        now = ctx.clock.now()
        # A write may fail before the connection is reported as lost.
        by_caller = conn.closed_by in (None, ClosedBy.CALLER)
        ctx.metrics.requests.labels("caller_left" if by_caller else "cut").inc()
        log.info(
            "caller_left" if by_caller else "request_cut",
            request=call.id,
            closed_by=conn.closed_by,
            after_s=round(now - call.arrived_at, 3),
        )

    def _failure_response(self, call: Call, failure: Failure) -> web.Response:
        self._log_failed(call, failure, begun=False)
        outcome = "refused" if failure.verdict is Verdict.NOT_RUN else "failed"
        self._ctx.metrics.requests.labels(outcome).inc()
        return self._error_response(failure)

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

    def _error_response(self, failure: Failure) -> web.Response:
        retry_after_s = failure.retry_after_s
        resp = web.Response(
            status=failure.http_status,
            headers=self._codec.refusal_headers(retry_after_s),
            text=failure.message,
        )
        if self._leaving:
            resp.force_close()
        return resp
