"""Structured log lines on standard output: bounded, and never waited for."""

from __future__ import annotations

import logging
import os
import time
from collections import Counter
from collections.abc import Callable

import msgspec
import structlog

LINES_PER_S = 40  # of one event name; more are counted, and the count is logged
STDOUT = 1


class _Budget:
    """Lets a number of lines of each event pass in a second."""

    __slots__ = ("_second", "_passed", "_clock")

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._second = -1
        self._passed: Counter[str] = Counter()
        self._clock = clock

    def __call__(self, logger, method: str, event: dict) -> dict:
        second = int(self._clock())
        name = event["event"]
        if second != self._second:
            left_out = {
                name: number - LINES_PER_S
                for name, number in self._passed.items()
                if number > LINES_PER_S
            }
            self._passed.clear()
            self._second = second
            if left_out:
                event = event | {"lines_left_out": left_out}
        self._passed[name] += 1
        if self._passed[name] > LINES_PER_S:
            raise structlog.DropEvent
        return event


class _Output:
    """Writes lines to a descriptor; drops and counts those that do not fit."""

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


class _Libraries(logging.Handler):
    """Gives libraries' own lines the form of this system's."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as a line."""
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
    """Send log lines to a descriptor as JSON, one for each event."""
    os.set_blocking(descriptor, False)
    logging.basicConfig(level=logging.WARNING, handlers=[_Libraries()])
    output = _Output(descriptor)

    def add_host(logger, method: str, event: dict) -> dict:
        event["host"] = host
        if output.dropped:
            event["lines_dropped"], output.dropped = output.dropped, 0
        return event

    structlog.configure(
        processors=[
            _Budget(),
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
