"""The runner's side: takes a claimed request to its end."""

from __future__ import annotations

import asyncio

from turmericflow.profile import Urgency
from turmericflow.services._claimant import Claimant, NewRequest
from turmericflow.services._dispatch import Dispatch
from turmericflow.services._engine import EngineClient, EngineRequest, TargetFailed
from turmericflow.services._journal import Journal
from turmericflow.services._stats import Stats
from turmericflow.tables import AttemptStart, RequestRow, Tables, Target
from turmericflow.verdict import Failure, RequestFailed

PRIORITY = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.THRIFTY: 2}


def _begin_attempt(row: RequestRow, target: Target) -> EngineRequest:
    number = row.attempt + 1
    row.attempts.append(AttemptStart(number, len(row.tokens), target.name))
    row.target = target.name
    row.dispatched = True
    return EngineRequest(
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


class Runner:
    """Runs requests on targets, and resumes them when a target is lost."""

    def __init__(
        self,
        tables: Tables,
        claimant: Claimant,
        engines: EngineClient,
        journal: Journal,
        dispatch: Dispatch,
        stats: Stats,
    ) -> None:
        self._tables = tables
        self._claimant = claimant
        self._engines = engines
        self._journal = journal
        self._dispatch = dispatch
        self._stats = stats
        self._tasks: set[asyncio.Task] = set()

    async def submit(
        self, new: NewRequest, refusal: Failure | None = None
    ) -> RequestRow:
        """Claim a request and start to run it, or follow its runner.

        ``refusal`` says why it is not to be run if it is new.

        Raises
        ------
        RequestFailed
            If the claim is refused.
        """
        present = self._tables.requests.rows.get(new.request_id)
        if present is not None and not present.ended:
            return present
        refusal = refusal or self._dispatch.admit(new)
        if refusal is not None:
            return await self._claimant.seal(new, refusal)
        row = await self._claimant.claim(new)
        if self._tables.requests.rows.get(new.request_id) is row:
            task = asyncio.ensure_future(self._run(row))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return row

    async def _run(self, row: RequestRow) -> None:
        while not row.complete and not row.ended:
            try:
                target = await self._dispatch.place(row)
            except RequestFailed as exc:
                await self._claimant.fail(row, exc.failure)
                return
            await self._attempt(row, target)

    async def _attempt(self, row: RequestRow, target: Target) -> None:
        request = _begin_attempt(row, target)
        self._stats.count("runner.attempts")
        lost = False
        try:
            async for output in self._engines.generate(target.address, request):
                if row.ended:
                    return
                row.tokens.extend(output.texts)
                row.complete = output.done
                self._journal.changed(row)
        except TargetFailed:
            lost = True
            self._stats.count("runner.target_failed")
        finally:
            self._dispatch.release(row, target, lost)
