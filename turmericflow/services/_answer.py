"""Responses to callers: event streams, complete answers and errors."""

from __future__ import annotations

import asyncio
import hashlib

import msgspec
from aiohttp import web

from turmericflow.services._event_stream import EventStream, event_id
from turmericflow.tables import RequestRow
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict


class _RowWaiter:
    """A listener with which an HTTP handler waits for a row to change."""

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def wake(self) -> None:
        self._event.set()

    async def wait(self) -> None:
        await self._event.wait()
        self._event.clear()


def start_after(last_id: str | None, row: RequestRow) -> int:
    """Return the index of the first token after a caller's last event.

    Parameters
    ----------
    last_id
        Well-formed id of the last event that the caller received, or None.
    row
        The request.

    Raises
    ------
    RequestFailed
        If the id is not that of a committed token of the row.
    """
    if last_id is None:
        return 0
    generation, _, index = last_id.split(".")
    matches = int(index) < row.committed and event_id(row, int(index)) == last_id
    if generation != row.generation or not matches:
        message = (
            f"Last-Event-ID: got {last_id!r}, expected the id of one of the "
            f"{row.committed} tokens of generation {row.generation!r}"
        )
        raise RequestFailed(
            Failure(ErrorCode.GENERATION_MISMATCH, Verdict.RAN, message)
        )
    return int(index) + 1


def _error_body(failure: Failure) -> dict:
    return {
        "error": {
            "code": failure.code,
            "verdict": failure.verdict,
            "message": failure.message,
            "retry_after_s": failure.retry_after_s,
        }
    }


def error_response(failure: Failure) -> web.Response:
    """Return the HTTP response of a failure."""
    headers = {}
    if failure.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(failure.retry_after_s)))
    return web.json_response(
        _error_body(failure), status=failure.http_status, headers=headers
    )


def _digest(row: RequestRow) -> str:
    return hashlib.sha256("".join(row.tokens).encode()).hexdigest()


def _last_event(row: RequestRow) -> bytes:
    if row.failure is not None:
        data = msgspec.json.encode(_error_body(row.failure))
        return b"event: error\ndata: " + data + b"\n\n"
    data = msgspec.json.encode({"count": len(row.tokens), "digest": _digest(row)})
    return b"event: end\ndata: " + data + b"\n\n"


async def stream_answer(
    request: web.Request, row: RequestRow, sent: int
) -> web.StreamResponse:
    """Send a row's tokens as server-sent events, from index ``sent`` on."""
    resp = await EventStream(request, row, sent).run(request)
    await resp.write(_last_event(row))
    return resp


async def whole_answer(row: RequestRow) -> web.Response:
    """Return the response with a row's complete answer once the row has ended."""
    waiter = _RowWaiter()
    row.listeners.append(waiter)
    try:
        while not row.ended:
            await waiter.wait()
    finally:
        row.listeners.remove(waiter)
    if row.failure is not None:
        return error_response(row.failure)
    return web.json_response(
        {
            "generation": row.generation,
            "text": "".join(row.tokens),
            "count": len(row.tokens),
            "digest": _digest(row),
        }
    )
