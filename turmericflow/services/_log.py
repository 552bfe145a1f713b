"""Set-up of the structured log."""

from __future__ import annotations

import logging
import sys

import structlog

from turmericflow.cfg import LogSettings


def set_up_log(settings: LogSettings) -> None:
    """Send log lines to standard error, as JSON or for a console."""
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    logging.basicConfig(level=max(level, logging.WARNING))
    renderer = (
        structlog.processors.JSONRenderer()
        if settings.json
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
