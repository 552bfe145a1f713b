"""Polls load reports and cache events of targets, and shares the reports."""

from __future__ import annotations

import asyncio
import heapq
import time

import structlog
from mode import Service

from turmericflow import wire
from turmericflow.services._context import HostContext
from turmericflow.services._engine import EngineClient, TargetFailed
from turmericflow.services._peers import PeerUnreachable, Reply
from turmericflow.systems import observation, prefixes
from turmericflow.tables import LoadReport, Target, TargetKind

REFRESH_INTERVAL_S = 0.25
SCHEDULE_UPDATE_INTERVAL_S = 2.0
MIN_SLEEP_S = 0.02
FIRST_POLLS_TIMEOUT_S = 3.0

log = structlog.get_logger()


class ReportPoller(Service):
    """Keep the load and cache contents of the targets up to date.

    Each target is checked in turn, and polled if this host has a reason to.  The
    results are sent in batches to the group of hosts that share reports.
    """

    def __init__(self, ctx: HostContext, engines: EngineClient) -> None:
        super().__init__()
        self._tables = ctx.tables
        self._engines = engines
        self._peers = ctx.peers
        self._stats = ctx.stats
        self._rng = ctx.rng
        self._schedule: list[tuple[float, str]] = []
        self._next_checks: dict[str, float] = {}
        self._polls: dict[str, asyncio.Task] = {}
        self._posts: dict[str, asyncio.Task] = {}
        # Targets polled, and targets that failed, since the last message to peers.
        self._polled: set[str] = set()
        self._failed: set[str] = set()
        self._reporting_hosts: list[str] = []
        self._poll_interval_s = observation.MIN_POLL_INTERVAL_S
        self._engine_count = 0
        self._schedule_updated_at = float("-inf")
        self._started_at = time.monotonic()
        self._wake = asyncio.Event()
        self._results_ready = asyncio.Event()
        self._peers.handle(wire.TargetReports, self._on_target_reports)

    async def on_stop(self) -> None:
        for task in [*self._polls.values(), *self._posts.values()]:
            task.cancel()

    @Service.task
    async def _run_checks(self) -> None:
        next_refresh_at = float("-inf")
        while not self.should_stop:
            now = time.monotonic()
            if now >= next_refresh_at:
                self._refresh(now)
                next_refresh_at = now + REFRESH_INTERVAL_S
            self._check_due_targets(now)
            next_at = self._schedule[0][0] if self._schedule else next_refresh_at
            await self._sleep(min(next_at, next_refresh_at) - now)

    async def _sleep(self, seconds: float) -> None:
        """Sleep for a time, or until a target must be checked earlier."""
        self._wake.clear()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(MIN_SLEEP_S, seconds), self._wake.set)
        await self._wake.wait()
        timer.cancel()

    def _refresh(self, now: float) -> None:
        """Update the reporting hosts, the poll interval and the schedule."""
        self._reporting_hosts = observation.reporting_hosts(self._tables, now)
        targets = len(self._tables.targets.rows)
        self._poll_interval_s = observation.poll_interval_s(
            targets, len(self._reporting_hosts) + 1
        )
        self._record_first_polls(now)
        if (
            targets != len(self._next_checks)
            or now - self._schedule_updated_at >= SCHEDULE_UPDATE_INTERVAL_S
        ):
            self._schedule_updated_at = now
            self._update_schedule(now)

    def _record_first_polls(self, now: float) -> None:
        """Record that all targets were polled once, or that the time for it is over."""
        table = self._tables.targets
        timed_out = now - self._started_at > FIRST_POLLS_TIMEOUT_S
        table.all_polled |= timed_out or observation.all_polled(self._tables)

    def _update_schedule(self, now: float) -> None:
        rows = self._tables.targets.rows
        for name in self._next_checks.keys() - rows.keys():
            self._forget(name)
        new = sorted(rows.keys() - self._next_checks.keys())
        self._rng.shuffle(new)
        for number, name in enumerate(new):
            self._schedule_check(name, now + number / observation.MAX_POLLS_PER_S)
        kinds = [row.kind for row in rows.values()]
        self._engine_count = kinds.count(TargetKind.ENGINE)

    def _forget(self, name: str) -> None:
        del self._next_checks[name]
        self._tables.observation.rows.pop(name, None)
        prefixes.forget_target(self._tables.load, name)

    def _schedule_check(self, name: str, at: float) -> None:
        """Schedule a target's next check, which replaces an earlier scheduled check."""
        self._next_checks[name] = at
        heapq.heappush(self._schedule, (at, name))

    def _check_due_targets(self, now: float) -> None:
        table = self._tables.observation
        while (
            self._schedule
            and self._schedule[0][0] <= now
            and observation.may_poll(table, now)
        ):
            at, name = heapq.heappop(self._schedule)
            target = self._tables.targets.rows.get(name)
            if target is None or self._next_checks.get(name) != at:
                continue
            self._schedule_check(name, now + self._next_check_delay_s(name))
            if name not in self._polls:
                self._check_target(target, now)

    def _next_check_delay_s(self, name: str) -> float:
        """Return the time to a target's next check; random before the first poll."""
        row = self._tables.observation.rows.get(name)
        if row is None or row.polled_at == float("-inf"):
            return self._rng.uniform(0.0, self._poll_interval_s)
        return observation.next_poll_s(row, self._poll_interval_s)

    def _check_target(self, target: Target, now: float) -> None:
        tables = self._tables
        reason = observation.reason_to_poll(
            tables, target, self._reporting_hosts, self._poll_interval_s, now
        )
        engine_count = self._engine_count
        is_engine = target.kind is TargetKind.ENGINE
        cache = is_engine and observation.must_poll_cache(
            tables, target, engine_count, self._rng.random(), now
        )
        tables.observation.poll_tokens -= (reason is not None) + cache
        if reason is not None:
            self._stats.count(f"reports.{reason}")
        elif not cache:
            return
        task = asyncio.ensure_future(self._poll(target, reason is not None, cache))
        self._polls[target.name] = task
        task.add_done_callback(lambda _: self._polls.pop(target.name, None))

    async def _poll(self, target: Target, load: bool, cache: bool) -> None:
        row = self._tables.observation.rows[target.name]
        try:
            if load:
                row.polled_at = time.monotonic()
                await self._poll_load(target)
            if cache:
                row.cache_polled_at = time.monotonic()
                await self._poll_cache(target)
        except TargetFailed:
            self._on_failure(target)

    async def _poll_load(self, target: Target) -> None:
        answer = await self._engines.fetch_load(target.address)
        report = LoadReport(
            answer.running,
            answer.queued,
            answer.slots,
            answer.step_ms,
            answer.prefill_tokens_s,
            time.monotonic(),
        )
        if observation.on_report(self._tables, target, report, answer.models):
            log.info("target_reports_again", target=target.name)
        self._polled.add(target.name)
        self._failed.discard(target.name)
        self._results_ready.set()

    async def _poll_cache(self, target: Target) -> None:
        answer = await self._engines.fetch_cache_events(
            target.address, target.cache_seq
        )
        events = [(each.seq, each.op, each.block) for each in answer.events]
        now = time.monotonic()
        prefixes.learn_events(self._tables.load, target, answer.seq, events, now)

    def _on_failure(self, target: Target) -> None:
        self._stats.count("reports.failed")
        now = time.monotonic()
        self._failed.add(target.name)
        self._polled.discard(target.name)
        self._results_ready.set()
        if observation.on_failure(self._tables, target, self._poll_interval_s, now):
            prefixes.forget_target(self._tables.load, target.name)
            target.cache_seq = 0
            log.warning("target_reports_fail", target=target.name)
        elif self._tables.observation.rows[target.name].failures == 1:
            self._schedule_check(target.name, now + observation.MIN_POLL_INTERVAL_S)

    @Service.task
    async def _publish_results(self) -> None:
        while not self.should_stop:
            batch_delay_s = observation.batch_delay_s(self._poll_interval_s)
            await self._wait_for_results(observation.PUBLISH_INTERVAL_S - batch_delay_s)
            await asyncio.sleep(batch_delay_s)
            self._send_results(time.monotonic())

    async def _wait_for_results(self, seconds: float) -> None:
        """Wait for poll results, or until an empty message is due as a heartbeat."""
        timer = asyncio.get_running_loop().call_later(seconds, self._results_ready.set)
        await self._results_ready.wait()
        timer.cancel()
        self._results_ready.clear()

    def _send_results(self, now: float) -> None:
        rows = self._tables.targets.rows
        polled = [rows[name] for name in self._polled if name in rows]
        reports = [observation.to_wire(target, now) for target in polled]
        msg = wire.TargetReports(self._tables.host, reports, list(self._failed))
        self._polled.clear()
        self._failed.clear()
        for host in observation.group(self._tables):
            if host not in self._posts:
                task = asyncio.ensure_future(self._post(host, msg))
                self._posts[host] = task
                task.add_done_callback(lambda _, h=host: self._posts.pop(h, None))

    async def _post(self, host: str, msg: wire.TargetReports) -> None:
        try:
            await self._peers.post(host, msg)
        except PeerUnreachable:
            self._stats.count("reports.peer_unreachable")

    def _on_target_reports(self, msg: wire.TargetReports, reply: Reply) -> None:
        now = time.monotonic()
        self._stats.count("reports.told", len(msg.reports))
        to_check = observation.learn_peer_reports(
            self._tables, msg, self._poll_interval_s, now
        )
        for name in to_check:
            if self._next_checks.get(name, 0.0) > now:
                self._schedule_check(name, now)
        if to_check:
            self._wake.set()
