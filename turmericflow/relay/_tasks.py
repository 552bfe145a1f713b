"""Tasks whose failure must not end the process.

A service of a host ends the process if one of its tasks fails. What a target, the
store or a peer sent is checked where it is read; this holds for what was not thought
of there.
"""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

import structlog

from turmericflow.relay._context import HostContext

T = TypeVar("T")

log = structlog.get_logger()


def record_failure(ctx: HostContext, task: str) -> None:
    """Log the error that is being handled, and count it by task."""
    log.exception("task_failed", task=task)
    ctx.metrics.failed_tasks.labels(task).inc()


async def contain(ctx: HostContext, task: str, work: Awaitable[T]) -> T | None:
    """Return the result of work on what came from outside, None if it fails."""
    try:
        return await work
    except Exception:
        record_failure(ctx, task)
        return None
