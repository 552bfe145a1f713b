"""The runner's side: takes a claimed request to its end."""

from __future__ import annotations

import asyncio
import time
from random import Random

from turmericflow.profile import Urgency
from turmericflow.services._claimant import Claimant, NewRequest
from turmericflow.services._engine import EngineClient, EngineRequest, TargetFailed
from turmericflow.services._journal import Journal
from turmericflow.services._stats import Stats
from turmericflow.systems import routing
from turmericflow.tables import AttemptStart, RequestRow, Tables, Target
from turmericflow.verdict import ErrorCode, Failure, Verdict

SUSPECT_S = 2.0
NO_TARGET_WAIT_S = 0.1

PRIORITY = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.THRIFTY: 2}


class Runner:
    """Runs requests on targets, and resumes them when a target is lost."""

    def __init__(
        self,
        tables: Tables,
        claimant: Claimant,
        engines: EngineClient,
        journal: Journal,
        stats: Stats,
        rng: Random,
    ) -> None:
        self._tables = tables
        self._claimant = claimant
        self._engines = engines
        self._journal = journal
        self._stats = stats
        self._rng = rng
        self._tasks: set[asyncio.Task] = set()

    async def submit(self, new: NewRequest) -> RequestRow:
        """Claim a request and start to run it, or follow its runner.

        Raises
        ------
        RequestFailed
            If the claim is refused.
        """
        present = self._tables.requests.rows.get(new.request_id)
        if present is not None and not present.ended:
            return present
        row = await self._claimant.claim(new)
        if self._tables.requests.rows.get(new.request_id) is row:
            task = asyncio.ensure_future(self._run(row))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return row

    async def _run(self, row: RequestRow) -> None:
        while not row.complete and not row.ended:
            target = routing.choose(
                self._tables.targets, row.profile, time.monotonic(), self._rng
            )
            if target is None:
                await self._wait_or_fail(row)
                continue
            await self._attempt(row, target)

    async def _wait_or_fail(self, row: RequestRow) -> None:
        waited = time.monotonic() - row.accepted_at
        if waited < row.profile.wait_s:
            await asyncio.sleep(NO_TARGET_WAIT_S)
            return
        verdict = Verdict.MAY_HAVE_RUN if row.dispatched else Verdict.NOT_RUN
        message = f"no target of service {row.profile.service!r} can run this"
        await self._claimant.fail(
            row, Failure(ErrorCode.NO_TARGET, verdict, message, 1.0)
        )

    async def _attempt(self, row: RequestRow, target: Target) -> None:
        number = row.attempt + 1
        row.attempts.append(AttemptStart(number, len(row.tokens), target.name))
        row.target = target.name
        row.dispatched = True
        target.in_flight += 1
        self._stats.count("runner.attempts")
        request = EngineRequest(
            row.generation,
            number,
            row.prompt,
            list(row.tokens),
            row.max_tokens,
            PRIORITY[row.profile.urgency],
            row.profile.model,
            row.profile.adapter,
            row.profile.version,
        )
        try:
            async for output in self._engines.generate(target.address, request):
                if row.ended:
                    return
                row.tokens.extend(output.texts)
                row.complete = output.done
                self._journal.changed(row)
        except TargetFailed:
            target.suspect_until = time.monotonic() + SUSPECT_S
            self._stats.count("runner.target_failed")
        finally:
            target.in_flight -= 1
