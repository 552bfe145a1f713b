"""Polls the targets' load reports and cache events."""

from __future__ import annotations

import asyncio
import time

import structlog
from mode import Service

from turmericflow.services._engine import EngineClient, TargetFailed
from turmericflow.services._stats import Stats
from turmericflow.systems import breakers, estimates, prefixes
from turmericflow.tables import LoadReport, Tables, Target, TargetKind

SHORTEST_POLL_S = 0.25
POLLS_PER_S = 40.0
CACHE_POLLS = 4
FAILURES_TO_OPEN = 2
WAIT_S = 0.05

log = structlog.get_logger()


class Reports(Service):
    """Keeps what is known of the targets' load and caches fresh.

    The calls per second are bounded, so that reports of a larger fleet come
    less often rather than cost more.
    """

    def __init__(self, tables: Tables, engines: EngineClient, stats: Stats) -> None:
        super().__init__()
        self._tables = tables
        self._engines = engines
        self._stats = stats
        self._failures: dict[str, int] = {}
        self._polls: dict[str, int] = {}
        self._due: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    @Service.task
    async def _poll_all(self) -> None:
        while not self.should_stop:
            rows = self._tables.targets.rows
            now = time.monotonic()
            wait = max(SHORTEST_POLL_S, len(rows) / POLLS_PER_S)
            for name in [each for each in self._due if each not in rows]:
                self._forget(name)
            for name, target in list(rows.items()):
                if name not in self._tasks and now >= self._due.get(name, 0.0):
                    self._due[name] = now + wait
                    self._start(target)
            await asyncio.sleep(WAIT_S)

    async def on_stop(self) -> None:
        for task in list(self._tasks.values()):
            task.cancel()

    def _start(self, target: Target) -> None:
        task = asyncio.ensure_future(self._poll(target))
        self._tasks[target.name] = task
        task.add_done_callback(lambda _: self._tasks.pop(target.name, None))

    def _forget(self, name: str) -> None:
        del self._due[name]
        self._failures.pop(name, None)
        self._polls.pop(name, None)
        prefixes.forget(self._tables.load, name)

    async def _poll(self, target: Target) -> None:
        try:
            await self._poll_load(target)
            polls = self._polls[target.name] = self._polls.get(target.name, 0) + 1
            if target.kind is TargetKind.ENGINE and polls % CACHE_POLLS == 1:
                await self._poll_cache(target)
        except TargetFailed:
            self._failed(target)

    async def _poll_load(self, target: Target) -> None:
        found = await self._engines.load(target.address)
        now = time.monotonic()
        if self._failures.pop(target.name, 0) >= FAILURES_TO_OPEN:
            breakers.on_return(target, now)
            log.info("target_reports_again", target=target.name)
        report = LoadReport(
            found.running,
            found.queued,
            found.slots,
            found.step_ms,
            found.prefill_tokens_s,
            now,
        )
        estimates.learn_report(target, report)
        target.models = set(found.models)

    async def _poll_cache(self, target: Target) -> None:
        found = await self._engines.cache(target.address, target.cache_seq)
        events = [(each.seq, each.op, each.block) for each in found.events]
        now = time.monotonic()
        prefixes.learn(self._tables.load, target, found.seq, events, now)

    def _failed(self, target: Target) -> None:
        self._stats.count("reports.failed")
        failures = self._failures[target.name] = self._failures.get(target.name, 0) + 1
        if failures < FAILURES_TO_OPEN:
            return
        breakers.on_lost(target, time.monotonic())
        if failures == FAILURES_TO_OPEN:
            prefixes.forget(self._tables.load, target.name)
            target.cache_seq = 0
            log.warning("target_reports_fail", target=target.name)
