"""Setup of structured logging."""

from __future__ import annotations

import logging
import sys

import structlog

from turmericflow.cfg import LogSettings


def _shared_processors() -> list:
    return [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]


def _library_handler(renderer) -> logging.Handler:
    """Return a handler that formats the log lines of libraries like the daemon's."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                renderer,
            ],
            foreign_pre_chain=[
                structlog.stdlib.add_logger_name,
                *_shared_processors(),
            ],
        )
    )
    return handler


def set_up_log(settings: LogSettings) -> None:
    """Configure logging to standard error, as JSON or as text for a console."""
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    renderer = (
        structlog.processors.JSONRenderer()
        if settings.json
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    logging.basicConfig(
        level=max(level, logging.WARNING), handlers=[_library_handler(renderer)]
    )
    structlog.configure(
        processors=[*_shared_processors(), renderer],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
