"""Error handling and body parsing for the HTTP interface for callers."""

from __future__ import annotations

import asyncio
import logging

import msgspec
import structlog
from aiohttp import web

from turmericflow.services._answer import error_response
from turmericflow.services._stats import Stats
from turmericflow.verdict import (
    ErrorCode,
    Failure,
    RequestFailed,
    Verdict,
    not_run,
)

BODY_TIMEOUT_S = 30.0
CLIENT_CLOSED_REQUEST_STATUS = 499

log = structlog.get_logger()

_HTTP_ERRORS = {
    404: (ErrorCode.NOT_FOUND, "got path {path!r}, expected a path of this interface"),
    405: (ErrorCode.METHOD_NOT_ALLOWED, "got method {method}, expected {allowed}"),
    413: (ErrorCode.TOO_LARGE, "body: got more bytes than the limit of {limit}"),
}


class _CountingHandler(logging.Handler):
    """Count the HTTP library's log records instead of writing them."""

    def __init__(self, stats: Stats) -> None:
        super().__init__()
        self._stats = stats

    def emit(self, record: logging.LogRecord) -> None:
        self._stats.count("entry.malformed_http")


def http_logger(stats: Stats) -> logging.Logger:
    """Return a logger for the HTTP library that counts malformed requests."""
    logger = logging.Logger("turmericflow.http", logging.ERROR)
    logger.propagate = False
    logger.addHandler(_CountingHandler(stats))
    return logger


def _to_failure(request: web.Request, exc: web.HTTPException) -> Failure:
    code, template = _HTTP_ERRORS.get(exc.status, (ErrorCode.BAD_REQUEST, exc.reason))
    message = template.format(
        path=request.path[:200],
        method=request.method,
        allowed=exc.headers.get("Allow", ""),
        limit=request.client_max_size,
    )
    return Failure(code, Verdict.NOT_RUN, message)


def error_middleware(stats: Stats):
    """Return a middleware that turns exceptions into typed error responses."""

    @web.middleware
    async def handle_errors(request: web.Request, handler) -> web.StreamResponse:
        structlog.contextvars.clear_contextvars()
        try:
            return await handler(request)
        except RequestFailed as exc:
            failure = exc.failure
        except web.HTTPException as exc:
            failure = _to_failure(request, exc)
        except ConnectionError:
            stats.count("entry.caller_lost")
            return web.Response(status=CLIENT_CLOSED_REQUEST_STATUS)
        except Exception as exc:
            stats.count("entry.internal_errors")
            log.error("internal_error", path=request.path, error=repr(exc))
            failure = Failure(
                ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, "internal error"
            )
        stats.count(f"entry.refused.{failure.code}")
        return error_response(failure)

    return handle_errors


async def read_body(
    request: web.Request, body_type: type
) -> tuple[bytes, msgspec.Struct]:
    """Read a JSON body and decode it as ``body_type``.

    Returns
    -------
    tuple
        The body's bytes and the decoded value.

    Raises
    ------
    RequestFailed
        If the body is not complete in time, or does not decode as ``body_type``.
    """
    try:
        raw = await asyncio.wait_for(request.read(), BODY_TIMEOUT_S)
    except TimeoutError as exc:
        message = f"body: got an incomplete body within {BODY_TIMEOUT_S:g} s"
        raise not_run(ErrorCode.BAD_REQUEST, message) from exc
    try:
        return raw, msgspec.json.decode(raw, type=body_type)
    except msgspec.ValidationError as exc:
        raise not_run(ErrorCode.BAD_REQUEST, f"body: {exc}") from exc
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        message = f"body: got invalid JSON, expected an object: {exc}"
        raise not_run(ErrorCode.BAD_REQUEST, message) from exc
