"""Placement of requests whose content may crash targets."""

from __future__ import annotations

import asyncio
import time

from turmericflow.profile import ProfileKind
from turmericflow.services._claimant import NewRequest
from turmericflow.services._dispatch import Dispatch
from turmericflow.services._execution import Execution
from turmericflow.systems import crashers, failure_domains, routing
from turmericflow.tables import RequestId, RequestRow, Tables, Target
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict

HOLD_POLL_S = 0.05
SUSPECT_RETRY_S = 0.1
RESERVED_TARGET_WAIT_S = 1.0


class Quarantine:
    """Place crash suspects on separate targets; delay requests with their content."""

    __slots__ = ("_executions", "_dispatch", "_tables")

    def __init__(
        self, tables: Tables, dispatch: Dispatch, executions: dict[RequestId, Execution]
    ) -> None:
        self._tables = tables
        self._dispatch = dispatch
        self._executions = executions

    async def wait_while_held(self, new: NewRequest, content: str) -> Failure | None:
        """Wait while a content is held back; return the reason to refuse, or None."""
        table = self._tables.suspects
        expires_at = time.time() + new.profile.wait_s
        while new.request_id not in self._executions:
            now = time.time()
            if crashers.is_convicted(table, content, now):
                message = (
                    "content that ran on several targets when they were lost is refused"
                )
                return Failure(ErrorCode.SUSPECT_CONTENT, Verdict.NOT_RUN, message)
            held_until = crashers.held_until(table, content, now)
            if held_until <= now:
                return None
            if now >= expires_at:
                message = "content that ran on a target when it was lost is held back"
                wait_s = held_until - now
                return Failure(
                    ErrorCode.SUSPECT_CONTENT, Verdict.NOT_RUN, message, wait_s
                )
            await asyncio.sleep(HOLD_POLL_S)
        return None

    async def place(self, execution: Execution) -> Target:
        """Wait for a target; keep a crash suspect apart from other suspects.

        From its second loss on, a content runs only on a target reserved for it.

        Raises
        ------
        RequestFailed
            If the content is convicted, or `Dispatch.place` fails.
        """
        row, table = execution.row, self._tables.suspects
        while crashers.loss_count(table, execution.content, time.time()) > 1:
            await asyncio.sleep(SUSPECT_RETRY_S)
            now = time.time()
            if crashers.is_convicted(table, execution.content, now):
                message = "the content ran on several targets when they were lost"
                raise RequestFailed(
                    execution.make_failure(ErrorCode.SUSPECT_CONTENT, message)
                )
            names = self._candidate_names(row, crashers.recently_lost(table, now))
            reserved = crashers.reserved_target(table, execution.content, names, now)
            if reserved is None:
                continue
            excluded = frozenset(self._tables.targets.rows) - {reserved}
            try:
                async with asyncio.timeout(RESERVED_TARGET_WAIT_S):
                    return await self._dispatch.place(row, excluded)
            except TimeoutError:
                continue
        return await self._dispatch.place(row, self._exclude(execution))

    def _exclude(self, execution: Execution) -> frozenset[str]:
        """Return the targets to avoid: failed, near losses, or with suspects."""
        row, table, now = execution.row, self._tables.suspects, time.time()
        names = self._candidate_names(row, frozenset(execution.failed_targets))
        if not names:
            return frozenset()
        near_losses: frozenset[str] = frozenset()
        if row.attempts:
            lost = crashers.recently_lost(table, now)
            targets = self._tables.targets
            near_losses = failure_domains.targets_near_losses(
                targets, lost, names, time.monotonic()
            )
        remaining = [name for name in names if name not in near_losses]
        running = self._contents_by_target() if table.rows else {}
        with_suspects = crashers.targets_to_avoid(
            table, running, remaining, execution.content, now
        )
        return with_suspects | near_losses | execution.failed_targets

    def _candidate_names(self, row: RequestRow, exclude: frozenset[str]) -> list[str]:
        targets, now = self._tables.targets, time.monotonic()
        found = routing.candidates(targets, row.profile, now, exclude)
        return [target.name for target in found]

    def _contents_by_target(self) -> dict[str, list[str]]:
        """Return the contents that this router has running, by target."""
        return {
            target: self.contents_on(target) for target in self._tables.streams.targets
        }

    def refresh_profile(self, execution: Execution) -> None:
        """Give a request without tokens the model version that is now offered."""
        row, now = execution.row, time.monotonic()
        if row.tokens or row.profile.kind is ProfileKind.CALL:
            return
        failed_targets = frozenset(execution.failed_targets)
        profile = routing.profile_for_restart(
            self._tables, row.profile, now, failed_targets
        )
        if profile is not row.profile:
            row.profile = profile
            execution.content = crashers.fingerprint(profile, row.prompt)

    def has_other_target(self, row: RequestRow, exclude: frozenset[str]) -> bool:
        """Return whether a target outside ``exclude`` can run a request now."""
        return bool(self._candidate_names(row, exclude))

    def contents_on(self, target: str) -> list[str]:
        """Return the contents that this router has running on a target."""
        streams = self._tables.streams.targets.get(target)
        ids = {request_id for request_id, _ in streams.rows} if streams else set()
        return [
            self._executions[each].content for each in ids if each in self._executions
        ]
