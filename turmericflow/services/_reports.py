"""Polls targets' load reports and cache events, and shares what it finds."""

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

REFRESH_S = 0.25
COMPARE_S = 2.0
SHORTEST_SLEEP_S = 0.02
FIRST_LOOK_S = 3.0

log = structlog.get_logger()


class ReportPoller(Service):
    """Keeps what is known of the targets' load and caches fresh.

    Each target is looked at in turn, and polled if it falls to this host.  What
    is polled is told to the hosts of the group, in batches.
    """

    def __init__(self, ctx: HostContext, engines: EngineClient) -> None:
        super().__init__()
        self._tables = ctx.tables
        self._engines = engines
        self._peers = ctx.peers
        self._stats = ctx.stats
        self._rng = ctx.rng
        self._due: list[tuple[float, str]] = []
        self._looks: dict[str, float] = {}
        self._polls: dict[str, asyncio.Task] = {}
        self._posts: dict[str, asyncio.Task] = {}
        self._seen: set[str] = set()
        self._failed: set[str] = set()
        self._others: list[str] = []
        self._wait_s = observation.MIN_POLL_INTERVAL_S
        self._engines_number = 0
        self._compared_at = float("-inf")
        self._started_at = time.monotonic()
        self._wake = asyncio.Event()
        self._news = asyncio.Event()
        self._peers.handle(wire.TargetReports, self._on_observed)

    async def on_stop(self) -> None:
        for task in [*self._polls.values(), *self._posts.values()]:
            task.cancel()

    @Service.task
    async def _look(self) -> None:
        refresh_at = float("-inf")
        while not self.should_stop:
            now = time.monotonic()
            if now >= refresh_at:
                self._refresh(now)
                refresh_at = now + REFRESH_S
            self._look_at_due(now)
            next_at = self._due[0][0] if self._due else refresh_at
            await self._sleep(min(next_at, refresh_at) - now)

    async def _sleep(self, seconds: float) -> None:
        """Sleep, shorter if a target is to be looked at before."""
        self._wake.clear()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(SHORTEST_SLEEP_S, seconds), self._wake.set)
        await self._wake.wait()
        timer.cancel()

    def _refresh(self, now: float) -> None:
        """Take in which hosts are heard, and which targets have come and gone."""
        self._others = observation.reporting_hosts(self._tables, now)
        targets = len(self._tables.targets.rows)
        self._wait_s = observation.poll_interval_s(targets, len(self._others) + 1)
        self._note_first_look(now)
        if targets != len(self._looks) or now - self._compared_at >= COMPARE_S:
            self._compared_at = now
            self._compare(now)

    def _note_first_look(self, now: float) -> None:
        """Say when each target was looked at, or there was time enough for it."""
        table = self._tables.targets
        late = now - self._started_at > FIRST_LOOK_S
        table.all_polled |= late or observation.all_polled(self._tables)

    def _compare(self, now: float) -> None:
        rows = self._tables.targets.rows
        for name in self._looks.keys() - rows.keys():
            self._forget(name)
        new = sorted(rows.keys() - self._looks.keys())
        self._rng.shuffle(new)
        for number, name in enumerate(new):
            self._look_again(name, now + number / observation.MAX_POLLS_PER_S)
        kinds = [row.kind for row in rows.values()]
        self._engines_number = kinds.count(TargetKind.ENGINE)

    def _forget(self, name: str) -> None:
        del self._looks[name]
        self._tables.observation.rows.pop(name, None)
        prefixes.forget_target(self._tables.load, name)

    def _look_again(self, name: str, at: float) -> None:
        """Set a target's next look; an entry of an earlier one lapses."""
        self._looks[name] = at
        heapq.heappush(self._due, (at, name))

    def _look_at_due(self, now: float) -> None:
        table = self._tables.observation
        while self._due and self._due[0][0] <= now and observation.may_poll(table, now):
            at, name = heapq.heappop(self._due)
            target = self._tables.targets.rows.get(name)
            if target is None or self._looks.get(name) != at:
                continue
            self._look_again(name, now + self._next_wait_s(name))
            if name not in self._polls:
                self._look_at(target, now)

    def _next_wait_s(self, name: str) -> float:
        """Return the time to a target's next look; at first at any phase."""
        row = self._tables.observation.rows.get(name)
        if row is None or row.polled_at == float("-inf"):
            return self._rng.uniform(0.0, self._wait_s)
        return observation.next_poll_s(row, self._wait_s)

    def _look_at(self, target: Target, now: float) -> None:
        tables = self._tables
        reason = observation.reason_to_poll(
            tables, target, self._others, self._wait_s, now
        )
        number = self._engines_number
        is_engine = target.kind is TargetKind.ENGINE
        cache = is_engine and observation.must_poll_cache(
            tables, target, number, self._rng.random(), now
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
        found = await self._engines.fetch_load(target.address)
        report = LoadReport(
            found.running,
            found.queued,
            found.slots,
            found.step_ms,
            found.prefill_tokens_s,
            time.monotonic(),
        )
        if observation.on_report(self._tables, target, report, found.models):
            log.info("target_reports_again", target=target.name)
        self._seen.add(target.name)
        self._failed.discard(target.name)
        self._news.set()

    async def _poll_cache(self, target: Target) -> None:
        found = await self._engines.fetch_cache_events(target.address, target.cache_seq)
        events = [(each.seq, each.op, each.block) for each in found.events]
        now = time.monotonic()
        prefixes.learn_events(self._tables.load, target, found.seq, events, now)

    def _on_failure(self, target: Target) -> None:
        self._stats.count("reports.failed")
        now = time.monotonic()
        self._failed.add(target.name)
        self._seen.discard(target.name)
        self._news.set()
        if observation.on_failure(self._tables, target, self._wait_s, now):
            prefixes.forget_target(self._tables.load, target.name)
            target.cache_seq = 0
            log.warning("target_reports_fail", target=target.name)
        elif self._tables.observation.rows[target.name].failures == 1:
            self._look_again(target.name, now + observation.MIN_POLL_INTERVAL_S)

    @Service.task
    async def _tell(self) -> None:
        while not self.should_stop:
            gather_s = observation.batch_delay_s(self._wait_s)
            await self._wait_for_news(observation.PUBLISH_INTERVAL_S - gather_s)
            await asyncio.sleep(gather_s)
            self._tell_group(time.monotonic())

    async def _wait_for_news(self, seconds: float) -> None:
        """Wait until something is to be told, or it is time to say that one lives."""
        timer = asyncio.get_running_loop().call_later(seconds, self._news.set)
        await self._news.wait()
        timer.cancel()
        self._news.clear()

    def _tell_group(self, now: float) -> None:
        rows = self._tables.targets.rows
        seen = [rows[name] for name in self._seen if name in rows]
        reports = [observation.to_wire(target, now) for target in seen]
        msg = wire.TargetReports(self._tables.host, reports, list(self._failed))
        self._seen.clear()
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

    def _on_observed(self, msg: wire.TargetReports, reply: Reply) -> None:
        now = time.monotonic()
        self._stats.count("reports.told", len(msg.reports))
        doubted = observation.learn_peer_reports(self._tables, msg, self._wait_s, now)
        for name in doubted:
            if self._looks.get(name, 0.0) > now:
                self._look_again(name, now)
        if doubted:
            self._wake.set()
