"""Stops requests without listeners, and removes requests that ended."""

from __future__ import annotations

from collections.abc import Callable

from turmericflow.services._execution import Execution
from turmericflow.services._stats import Stats
from turmericflow.tables import RequestId, Tables
from turmericflow.verdict import ErrorCode

ENDED_TTL_S = 5.0

Stop = Callable[[RequestId, ErrorCode, str], bool]


class Sweeper:
    """Check the requests that run on this host, or ended here recently."""

    __slots__ = ("_executions", "_stats", "_stop", "_tables")

    def __init__(
        self,
        tables: Tables,
        executions: dict[RequestId, Execution],
        stop: Stop,
        stats: Stats,
    ) -> None:
        self._tables = tables
        self._executions = executions
        self._stop = stop
        self._stats = stats

    def sweep(self, now: float) -> None:
        """Stop requests that were replaced or have no listeners; remove ended ones."""
        for execution in list(self._executions.values()):
            if execution.row.ended and not execution.ending:
                execution.task.cancel()
            elif not execution.finished:
                self._check_listeners(execution, now)
        rows = self._tables.requests.rows
        for row in [row for row in rows.values() if row.ended]:
            if row.ended_at is None:
                row.ended_at = now
            if now - row.ended_at > ENDED_TTL_S and not row.listeners:
                del rows[row.request_id]

    def _check_listeners(self, execution: Execution, now: float) -> None:
        """Stop an idempotent request that has been without listeners for ``wait_s``."""
        row = execution.row
        if row.listeners or not row.profile.idempotent:
            execution.no_listener_since = None
        elif execution.no_listener_since is None:
            execution.no_listener_since = now
        elif now - execution.no_listener_since > row.profile.wait_s:
            message = f"no caller listened to the answer for {row.profile.wait_s} s"
            self._stats.count("runner.unheard")
            self._stop(row.request_id, ErrorCode.CANCELLED, message)
