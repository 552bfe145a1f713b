"""Admission of new requests, and placement of attempts on targets."""

from __future__ import annotations

import asyncio
import time
from random import Random

from mode import Service

from turmericflow.profile import ProfileKind
from turmericflow.services._claimant import NewRequest
from turmericflow.services._stats import Stats
from turmericflow.systems import (
    admission,
    budgets,
    estimates,
    fairness,
    limits,
    policies,
    prefixes,
    scheduling,
)
from turmericflow.tables import (
    Pool,
    QueueEntry,
    RequestId,
    RequestRow,
    Tables,
    Target,
    Work,
)
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict

TICK_S = 0.05
POLICY_UPDATE_S = 2.0
RETRY_AFTER_S = 1.0


class _Placement:
    """Work that was placed on a target, and the time at which it was sent."""

    __slots__ = ("sent_at", "target", "work")

    def __init__(self, work: Work, target: Target, sent_at: float) -> None:
        self.work = work
        self.target = target
        self.sent_at = sent_at


class Dispatch(Service):
    """Admit new requests, queue their attempts and choose their targets."""

    def __init__(
        self,
        tables: Tables,
        stats: Stats,
        rng: Random,
        policy: policies.Policy = policies.LeastEstimatedTime(),
    ) -> None:
        super().__init__()
        self._tables = tables
        self._stats = stats
        self._rng = rng
        self._policy = policy
        self._started_at = time.monotonic()
        self._placement_futures: dict[int, asyncio.Future] = {}
        self._placements: dict[tuple[RequestId, str], list[_Placement]] = {}
        budgets.fill(tables.load)

    @Service.task
    async def _update_policy(self) -> None:
        while not self.should_stop:
            await self.sleep(POLICY_UPDATE_S)
            routers = limits.live_routers(self._tables)
            for pool in self._tables.load.pools.values():
                self._policy = policies.with_measured_arrivals(
                    self._policy, self._tables.load, pool, routers, POLICY_UPDATE_S
                )

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            now = time.monotonic()
            for pool in self._tables.load.pools.values():
                scheduling.refresh(self._tables, pool, now)
                self._resolve(scheduling.expire(pool, now))
                self._dispatch_pool(pool, now)
            await asyncio.sleep(TICK_S)

    def admit(self, new: NewRequest) -> Failure | None:
        """Return the reason to refuse a new request, or None if it is admitted."""
        now = time.monotonic()
        work = self._work_of_new(new, now)
        pool = scheduling.pool_of(self._tables, work, now)
        # A host that has just started may not have learned its targets yet.
        if not pool.targets and now < self._started_at + new.profile.wait_s:
            return None
        routers = limits.live_routers(self._tables)
        refusal = admission.admit(self._tables, pool, work, routers, now, self._rng)
        if refusal is not None:
            self._stats.count(f"dispatch.refused.{refusal.code}")
        return refusal

    def withdraw(self, new: NewRequest) -> None:
        """Withdraw an admitted request that another host runs."""
        now = time.monotonic()
        pool = scheduling.pool_of(self._tables, self._work_of_new(new, now), now)
        admission.withdraw(pool, new.request_id)

    async def place(
        self,
        row: RequestRow,
        exclude: frozenset[str] = frozenset(),
    ) -> Target:
        """Queue an attempt and return the target that it is dispatched to.

        Each call that returns must be followed by a call of `release`.

        Parameters
        ----------
        row
            The request.
        exclude
            Names of targets that must not be chosen.

        Raises
        ------
        RequestFailed
            If the retry budget is used up, or no target has a free slot in time.
        """
        now = time.monotonic()
        work = self._work_of_row(row, exclude)
        self._spend_retry_budget(row)
        pool = scheduling.pool_of(self._tables, work, now)
        expires_at = row.accepted_at + row.profile.wait_s
        if work.resume:
            expires_at = row.accepted_at + row.profile.deadline_s
        fut = asyncio.get_running_loop().create_future()
        entry = scheduling.enqueue(self._tables, pool, work, expires_at)
        self._placement_futures[id(entry)] = fut
        self._dispatch_pool(pool, now)
        try:
            placement = await asyncio.shield(fut)
        except asyncio.CancelledError:
            self._abandon_wait(pool, entry, fut)
            raise
        finally:
            self._placement_futures.pop(id(entry), None)
        if placement is None:
            raise RequestFailed(self._no_target_failure(row))
        self._placements.setdefault((row.request_id, placement.target.name), []).append(
            placement
        )
        return placement.target

    def release(self, row: RequestRow, target: Target, lost: bool) -> None:
        """Release a placement; ``lost`` tells whether the target was lost."""
        now = time.monotonic()
        placements = self._placements[(row.request_id, target.name)]
        placement = placements.pop()
        if not placements:
            del self._placements[(row.request_id, target.name)]
        if lost:
            self._stats.count("dispatch.target_lost")
        if row.complete and row.profile.kind is ProfileKind.GENERATION:
            load = self._tables.load
            estimates.learn_length(load, row.profile.name, len(row.tokens))
        self._release_placement(placement, lost, now)

    def _release_placement(self, placement: _Placement, lost: bool, now: float) -> None:
        pool = scheduling.pool_of(self._tables, placement.work, now)
        scheduling.release(
            self._tables,
            pool,
            placement.work,
            placement.target,
            placement.sent_at,
            lost,
            now,
        )
        self._dispatch_pool(pool, now)

    def _spend_retry_budget(self, row: RequestRow) -> None:
        """Charge a repeated attempt to the retry or resume budget, or raise."""
        if not row.attempts:
            return
        load = self._tables.load
        if not budgets.spend(load.resumes if row.tokens else load.retries):
            self._stats.count("dispatch.budget_used_up")
            verdict = Verdict.RAN if row.tokens else Verdict.MAY_HAVE_RUN
            message = "the target was lost, and the budget of repeats is used up"
            failure = Failure(ErrorCode.TARGET_FAILED, verdict, message, RETRY_AFTER_S)
            raise RequestFailed(failure)

    def _no_target_failure(self, row: RequestRow) -> Failure:
        verdict = Verdict.MAY_HAVE_RUN if row.dispatched else Verdict.NOT_RUN
        self._stats.count("dispatch.given_up")
        message = f"no target of service {row.profile.service!r} can run this in time"
        return Failure(ErrorCode.NO_TARGET, verdict, message, RETRY_AFTER_S)

    def _work_of_new(self, new: NewRequest, now: float) -> Work:
        load = self._tables.load
        return Work(
            new.request_id,
            new.profile,
            len(new.prompt.split()),
            [],
            new.max_tokens,
            now,
            estimates.expected_tokens(load, new.profile.name, new.max_tokens),
        )

    def _work_of_row(self, row: RequestRow, exclude: frozenset[str]) -> Work:
        load, name = self._tables.load, row.profile.name
        words = row.prompt.split()
        tokens_left = max(1, row.max_tokens - len(row.tokens))
        return Work(
            row.request_id,
            row.profile,
            len(words) + len(row.tokens),
            prefixes.block_names(words),
            tokens_left,
            row.accepted_at,
            estimates.expected_tokens(load, name, tokens_left),
            bool(row.attempts),
            exclude,
        )

    def _dispatch_pool(self, pool: Pool, now: float) -> None:
        self._resolve(
            scheduling.dispatch(self._tables, pool, self._policy, now, self._rng)
        )

    def _resolve(self, outcomes: list[scheduling.Outcome]) -> None:
        for outcome in outcomes:
            fut = self._placement_futures.get(id(outcome.entry))
            match outcome:
                case scheduling.Placed(entry=entry, target=target):
                    placement = _Placement(entry.work, target, time.monotonic())
                    fut.set_result(placement)
                case scheduling.Expired():
                    fut.set_result(None)

    def _abandon_wait(self, pool: Pool, entry: QueueEntry, fut: asyncio.Future) -> None:
        """Remove the queue entry of a request that was ended while it waited."""
        fairness.remove(pool, entry)
        if fut.done() and not fut.cancelled() and fut.result() is not None:
            self._release_placement(fut.result(), False, time.monotonic())
