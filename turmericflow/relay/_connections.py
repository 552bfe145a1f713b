"""Connections of HTTP listeners."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import structlog
from aiohttp import web
from aiohttp.streams import EMPTY_PAYLOAD

from turmericflow.relay.caller_limits import (
    PIECE_BYTES,
    CallerLimiter,
    ConnectionLimit,
    Hold,
    Holding,
    Limited,
    Phase,
)

WRITE_BUFFER_BYTES = 32_768  # of a caller that reads slowly
MAX_AHEAD_BYTES = 65_536  # of requests behind one that is not answered yet
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of the option SO_LINGER
IDLE_CHECK_S = 0.1  # the current idle timeout is first applied after this time

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class Timeouts:
    """Time limits of a connection, in seconds.

    Attributes
    ----------
    head_s
        Time from the first byte of a request's head to its last.
    idle_s
        Time without a request or a part of one.
    """

    head_s: float = 3.0
    idle_s: float = 3600.0


class ClosedBy(enum.StrEnum):
    """What closed a connection."""

    CALLER = "caller"
    HEAD_TIMEOUT = "head_timeout"
    LEAVING = "leaving"
    LIMIT = "limit"  # memory or connections were used up
    SERVER = "server"  # the idle timeout, a malformed request, or a failed response


class Unanswered(enum.StrEnum):
    """What a connection received of a request that has no complete response."""

    HEAD = "head"  # a part of it
    WHOLE_HEAD = "whole_head"
    REQUEST = "request"  # it is being served


class Connection(web.RequestHandler):
    """A connection that is closed if a request's head takes too long to arrive.

    Attributes
    ----------
    closed_by
        What closed the connection, or None while it is open.
    hold
        Bytes that the connection holds.
    refused
        Whether the request that is read is refused for lack of memory.
    """

    __slots__ = (
        "_limit",
        "_limiter",
        "_address",
        "_received_bytes",
        "_starts",
        "_unparsed_from",
        "_parser_behind",
        "_ahead_paused",
        "_memory_paused",
        "_discarding",
        "_body_scope",
        "_writing_since",
        "hold",
        "refused",
        "_current_timeouts",
        "_timeouts",
        "_head_timer",
        "_last_payload",
        "_answered",
        "_received_at",
        "closed_by",
    )

    def __init__(
        self,
        *args: object,
        timeouts: Callable[[], Timeouts],
        limit: ConnectionLimit | None = None,
        limiter: CallerLimiter | None = None,
        **kwargs: object,
    ) -> None:
        super().__init__(*args, keepalive_timeout=IDLE_CHECK_S, **kwargs)
        self._current_timeouts = timeouts
        self._timeouts = timeouts()  # those at the start of the last request
        self._head_timer: asyncio.TimerHandle | None = None
        self._last_payload = EMPTY_PAYLOAD  # of the last head that was read whole
        self._answered = 0
        self._received_at = self._loop.time()
        self.closed_by: ClosedBy | None = None
        self._limit = limit
        self._limiter = limiter
        self._address = ""  # of the caller
        self._received_bytes = 0  # without what was dropped
        self._starts: deque[int] = (
            deque()
        )  # of unanswered requests in what was received
        self._unparsed_from = 0  # where what the parser may not have taken starts
        self._parser_behind = False  # it keeps bytes until the queue is shorter
        self._ahead_paused = False
        self._memory_paused = False
        self._discarding = False  # the rest of a body whose request is answered
        self._body_scope: asyncio.Timeout | None = None  # of the body that is read
        self._writing_since: float | None = None
        self.hold = Hold(limiter, self)
        self.refused = False

    @property
    def unanswered(self) -> Unanswered | None:
        """What was received of requests whose responses are not complete."""
        if self._request_in_progress:
            return Unanswered.REQUEST
        if self._request_count > self._answered:
            return Unanswered.WHOLE_HEAD
        return Unanswered.HEAD if self._head_timer is not None else None

    @property
    def closed(self) -> bool:
        """Whether the connection was lost or is being closed."""
        return self.transport is None or self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the connection's buffers, and the number of connections."""
        super().connection_made(transport)
        self._address = (transport.get_extra_info("peername") or ("",))[0]
        transport.max_size = PIECE_BYTES  # read at once
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if self._limit is not None:
            self._limit.add(self)

    def data_received(self, data: bytes) -> None:
        """Receive bytes; the timer runs while a part of a head was received."""
        self._received_at = self._loop.time()
        if not self._parser_behind and self._head_timer is None:
            self._unparsed_from = self._received_bytes
        if data and not self._discarding:
            self._received_bytes += len(data)
            self.hold.charge(len(data))
        payload = self._last_payload
        in_body = not payload.is_eof()
        heads = self._request_count
        super().data_received(data)
        self._starts.extend([self._unparsed_from] * (self._request_count - heads))
        self._parser_behind = self._reading_paused or self._buffer_paused
        if self._request_count > heads:
            self._last_payload = self._messages[-1][1]
            self._discarding = False
            self._stop_timer()
            if not payload.is_eof():  # the parser found an error in it
                payload.set_exception(web.RequestPayloadError("malformed body"))
                payload.feed_eof()
        elif self._head_timer is None and not in_body and data.strip(b"\r\n"):
            self._start_timer(self._received_at)
        self._check_ahead()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer of a lost connection; log what remains unanswered."""
        if self.closed_by is None:
            self.closed_by = ClosedBy.CALLER
        self._log_unanswered(exc)
        self._stop_timer()
        self.hold.release()
        if self._limiter is not None:
            self._limiter.forget(self)
        if self._limit is not None:
            self._limit.discard(self)
        super().connection_lost(exc)

    def abort(self, reset: bool = False) -> None:
        """Close the connection at once, so that its response cannot look complete.

        Parameters
        ----------
        reset
            Whether to reset the connection, which may lose what was sent. Without
            chunks an ordinary end would complete the response.
        """
        if self.transport is not None:
            if self.closed_by is None:
                self.closed_by = ClosedBy.SERVER
            if reset:
                sock = self.transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.transport.abort()

    def holding(self) -> Holding:
        """Return what the connection holds and what it is doing."""
        since = self.hold.since
        if self._writing_since is not None:
            phase, since = Phase.WRITING, self._writing_since
        elif self._body_scope is not None:
            phase = Phase.READING
        elif self._request_count > self._answered:
            phase = Phase.RUNNING
        else:
            since = self._received_at
            if self._head_timer is not None:
                phase = Phase.HEAD
            else:
                phase = Phase.IDLE if self._answered else Phase.SILENT
        return Holding(self, phase, self.hold.size, since, self._address)

    def pause(self) -> None:
        """Stop reading while memory is scarce."""
        self._memory_paused = True
        self._apply_pause()

    def resume(self) -> None:
        """Go on reading after `pause`."""
        self._memory_paused = False
        self._apply_pause()

    def give_way(self) -> Limited:
        """Refuse the request that is read, or close the connection.

        A refused request has not been sent to a target. An answer that is cut off
        ends in a reset, so that it cannot look complete.
        """
        self._memory_paused = False
        if self._body_scope is not None:
            self.refused = self._discarding = True
            if not self._body_scope.expired():  # else it ends already
                self._body_scope.reschedule(self._loop.time())
            self._apply_pause()
            return Limited.REFUSED
        self.closed_by = ClosedBy.LIMIT
        self.abort(reset=self._writing_since is not None)
        return Limited.CLOSED

    def begin_body(self, scope: asyncio.Timeout) -> None:
        """Record that a body is read, until the end of the scope or of the time."""
        self._body_scope = scope

    def end_body(self) -> None:
        """Record that no body is read any more; only a body is made to wait."""
        self._body_scope = None
        if self._memory_paused:
            self._limiter.forget(self)
            self.resume()

    def begin_writing(self) -> None:
        """Record that a part of an answer is written."""
        self._writing_since = self._loop.time()

    def end_writing(self) -> None:
        """Record that the caller has taken what was written."""
        self._writing_since = None

    async def finish_response(self, *args: object) -> tuple[web.StreamResponse, bool]:
        """Write the rest of a response."""
        self.begin_writing()
        try:
            return await super().finish_response(*args)
        finally:
            self.end_writing()

    def resume_reading(self, *args: object, **kwargs: object) -> None:
        """Go on reading after flow control has paused it, unless memory is scarce."""
        super().resume_reading(*args, **kwargs)
        if self._ahead_paused or self._memory_paused:
            self._apply_pause()

    def _resume_reading_for_buffer(self) -> None:
        """Go on reading as the queue of requests is shorter, unless paused here."""
        super()._resume_reading_for_buffer()
        if self._ahead_paused or self._memory_paused:
            self._apply_pause()

    def _apply_pause(self) -> None:
        if self.closed:
            return
        if self._ahead_paused or self._memory_paused:
            self.transport.pause_reading()
        elif not (self._reading_paused or self._buffer_paused):
            self.transport.resume_reading()

    @property
    def _pending_bytes(self) -> int:
        """Bytes received of requests that are not answered.

        Up to what is read at once is counted too much, as the starts of requests
        within one read are not known.
        """
        if self._starts:
            return self._received_bytes - self._starts[0]
        if self._head_timer is not None:
            return self._received_bytes - self._unparsed_from
        return 0

    def _is_far_ahead(self) -> bool:
        """Return whether requests are sent too far ahead of the answers."""
        if not self._starts or self._body_scope is not None:
            return False
        if len(self._starts) == 1 and not self._last_payload.is_eof():
            return False  # the handler waits for the rest of its body
        request = self._current_request
        body_bytes = 0 if request is None else request.content.total_bytes
        return self._pending_bytes - body_bytes > MAX_AHEAD_BYTES

    def _check_ahead(self) -> None:
        """Stop reading requests that are sent too far ahead, or go on."""
        if self._ahead_paused != (ahead := self._is_far_ahead()):
            self._ahead_paused = ahead
            self._apply_pause()

    def _release_answered(self, request: web.BaseRequest) -> None:
        """Count the bytes of a request and its answer as free."""
        if self._starts:
            self._starts.popleft()
        self.hold.release(max(0, self.hold.size - self._pending_bytes))
        self._discarding = not request.content.is_eof()
        self._check_ahead()

    def close_if_idle(self) -> None:
        """Close the connection unless it holds bytes that await a response."""
        waiting = self._waiter is not None and not self._waiter.done()
        if waiting and self._head_timer is None:
            self.closed_by = ClosedBy.LEAVING
            self.force_close()

    def force_close(self) -> None:
        """Close the connection; a response that is being written is cut off."""
        if self.closed_by is None:
            self.closed_by = ClosedBy.SERVER
        super().force_close()

    async def shutdown(self, timeout: float | None = 15.0) -> None:
        """Close the connection as the listener is closed."""
        if self.closed_by is None:
            self.closed_by = ClosedBy.LEAVING
        await super().shutdown(timeout)

    def _log_unanswered(self, exc: BaseException | None) -> None:
        if self.unanswered is None:
            return
        log.info(
            "connection_lost",
            unanswered=self.unanswered,
            closed_by=self.closed_by,
            received_s=round(self._loop.time() - self._received_at, 3),
            head_timeout_s=self._longest().head_s,
            idle_timeout_s=self._longest().idle_s,
            reason=repr(exc),
        )

    async def _handle_request(
        self, request: web.BaseRequest, *args: object
    ) -> tuple[web.StreamResponse, bool]:
        self._timeouts = self._current_timeouts()
        try:
            return await super()._handle_request(request, *args)
        finally:
            self._answered += 1
            self._release_answered(request)

    def _longest(self) -> Timeouts:
        """Return the longer of the current time limits and of those before.

        A caller may not know yet that a limit is shorter now.
        """
        old, new = self._timeouts, self._current_timeouts()
        return Timeouts(max(old.head_s, new.head_s), max(old.idle_s, new.idle_s))

    def call_after_read(
        self, callback: Callable[..., None], *args: object
    ) -> asyncio.TimerHandle:
        """Call a function once the bytes that have arrived by now were read.

        When a stopped process goes on, the timers that are due run before that.
        """
        return self._loop.call_later(0, callback, *args)

    def _process_keepalive(self) -> None:
        self._keepalive_handle = None
        if self.unanswered is not None:
            return  # the next response starts it again
        idle_since = self._next_keepalive_close_time - IDLE_CHECK_S
        close_at = idle_since + self._longest().idle_s
        if self._loop.time() < close_at:
            self._keepalive_handle = self._loop.call_at(
                close_at, self._process_keepalive
            )
        else:
            self._keepalive_handle = self.call_after_read(self._close_idle)

    def _close_idle(self) -> None:
        self._keepalive_handle = None
        if self.unanswered is None:
            super()._process_keepalive()

    def _start_timer(self, started_at: float) -> None:
        self._head_timer = self._loop.call_at(
            started_at + self._longest().head_s, self._on_head_timeout, started_at
        )

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self, started_at: float) -> None:
        now, timeout_s = self._loop.time(), self._longest().head_s
        if self._request_count > self._answered:
            self._start_timer(now)  # closing would cut off the response before it
        elif now < started_at + timeout_s:
            self._start_timer(started_at)
        else:
            self._head_timer = self.call_after_read(self._close_late, timeout_s)

    def _close_late(self, timeout_s: float) -> None:
        self.closed_by = ClosedBy.HEAD_TIMEOUT
        log.info("header_timeout", timeout_s=timeout_s)
        self.force_close()
