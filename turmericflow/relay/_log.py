"""Structured, rate-limited log lines on standard output; writes never block."""

from __future__ import annotations

import logging
import os
import time
from collections import Counter
from collections.abc import Callable

import msgspec
import structlog

MAX_LINES_PER_S = 40  # per event name; lines over it are counted, and the count logged
STDOUT = 1


class _RateLimit:
    """Drops and counts lines of an event above `MAX_LINES_PER_S`."""

    __slots__ = ("_current_second", "_line_counts", "_clock")

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._current_second = -1
        self._line_counts: Counter[str] = Counter()
        self._clock = clock

    def __call__(self, logger, method: str, event: dict) -> dict:
        second = int(self._clock())
        name = event["event"]
        if second != self._current_second:
            left_out = {
                name: lines - MAX_LINES_PER_S
                for name, lines in self._line_counts.items()
                if lines > MAX_LINES_PER_S
            }
            self._line_counts.clear()
            self._current_second = second
            if left_out:
                event = event | {"lines_left_out": left_out}
        self._line_counts[name] += 1
        if self._line_counts[name] > MAX_LINES_PER_S:
            raise structlog.DropEvent
        return event


class _Output:
    """Writes lines to a non-blocking descriptor; drops and counts failed writes."""

    __slots__ = ("_descriptor", "dropped")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.dropped = 0

    def msg(self, line: bytes) -> None:
        try:
            os.write(self._descriptor, line + b"\n")
        except OSError:
            self.dropped += 1

    debug = info = warning = error = critical = msg


class _LibraryHandler(logging.Handler):
    """Forwards log records of libraries as structured lines."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as a ``library`` event."""
        log = structlog.get_logger()
        exc = record.exc_info[1] if record.exc_info else None
        log.warning(
            "library",
            logger_name=record.name,
            text=record.getMessage(),
            error=repr(exc),
        )


def _to_json(event: dict, **kwargs: object) -> bytes:
    return msgspec.json.encode(event, enc_hook=repr)


def set_up_log(host: str, level: int, descriptor: int = STDOUT) -> None:
    """Configure structlog to write each event as a line of JSON.

    Parameters
    ----------
    host
        Name of this host, added to each line.
    level
        Lowest level that is logged.
    descriptor
        File descriptor to write to; it is made non-blocking.
    """
    os.set_blocking(descriptor, False)
    logging.basicConfig(level=logging.WARNING, handlers=[_LibraryHandler()])
    output = _Output(descriptor)

    def add_host(logger, method: str, event: dict) -> dict:
        event["host"] = host
        if output.dropped:
            event["lines_dropped"], output.dropped = output.dropped, 0
        return event

    structlog.configure(
        processors=[
            _RateLimit(),
            add_host,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_to_json),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=lambda *args: output,
        cache_logger_on_first_use=True,
    )
