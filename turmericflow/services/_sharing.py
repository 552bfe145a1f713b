"""Shares load counts and customers' rate limits between the routers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine

from mode import Service

from turmericflow import wire
from turmericflow.services._peers import Peers, PeerUnreachable, Reply
from turmericflow.services._stats import Stats
from turmericflow.systems import limits, membership, sharing
from turmericflow.tables import Tables

IDLE_BUCKET_S = 60.0


class Sharing(Service):
    """Send this host's counts and demands to peers, and apply those of the peers."""

    def __init__(self, tables: Tables, peers: Peers, stats: Stats) -> None:
        super().__init__()
        self._tables = tables
        self._peers = peers
        self._stats = stats
        self._tasks: dict[str, asyncio.Task] = {}
        peers.handle(wire.InFlight, self._on_in_flight)
        peers.handle(wire.Demands, self._on_demands)

    async def on_stop(self) -> None:
        for task in list(self._tasks.values()):
            task.cancel()

    def _start(self, name: str, coro: Coroutine) -> None:
        """Run a coroutine, or drop it if an earlier one of the same name still runs."""
        if name in self._tasks:
            coro.close()
            return
        task = asyncio.ensure_future(coro)
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))

    @Service.task
    async def _share(self) -> None:
        sent_counts: dict[str, int] = {}
        last_pool_demands: dict[str, tuple[int, float]] = {}
        last_full_at = float("-inf")
        while not self.should_stop:
            now = time.monotonic()
            sharing.expire_counts(self._tables, now)
            full = now - last_full_at >= sharing.FULL_INTERVAL_S
            counts = sharing.changed_counts(self._tables, sent_counts, full)
            if full:
                last_full_at = now
            pool_demands = sharing.pool_demands(self._tables)
            if counts or full or pool_demands != last_pool_demands:
                last_pool_demands = pool_demands
                msg = wire.InFlight(self._tables.host, full, counts, pool_demands)
                for host in sharing.group(self._tables):
                    self._start(f"share {host}", self._post(host, msg))
            await asyncio.sleep(sharing.SHARE_INTERVAL_S)

    async def _post(self, host: str, msg: wire.InFlight) -> None:
        try:
            await self._peers.post(host, msg)
        except PeerUnreachable:
            self._stats.count("sharing.unreachable")

    def _on_in_flight(self, msg: wire.InFlight, reply: Reply) -> None:
        now = time.monotonic()
        sharing.learn_counts(self._tables, msg.host, msg.counts, msg.full, now)
        sharing.learn_demands(self._tables, msg.host, msg.waiting)

    @Service.task
    async def _request_allotments(self) -> None:
        sent_at = time.monotonic()
        while not self.should_stop:
            await self.sleep(limits.DEMAND_INTERVAL_S)
            now = time.monotonic()
            demands = limits.demands(self._tables.load, now - sent_at)
            limits.forget_idle(self._tables.load, now, IDLE_BUCKET_S)
            sent_at = now
            hosts = membership.live_hosts(self._tables)
            by_keeper: dict[str, dict[str, float]] = {}
            for name, rate in demands.items():
                keeper = limits.keeper_of(name, hosts)
                by_keeper.setdefault(keeper, {})[name] = rate
            for keeper, rates in by_keeper.items():
                self._start(f"ask {keeper}", self._request_allotment(keeper, rates))

    async def _request_allotment(self, keeper: str, rates: dict[str, float]) -> None:
        sent_at = time.monotonic()
        msg = wire.Demands(self._peers.next_rid(), self._tables.host, rates)
        try:
            answer = await self._peers.call(keeper, msg)
        except PeerUnreachable:
            self._stats.count("limits.keeper_unreachable")
            return
        for name, rate in answer.rates.items():
            bucket = self._tables.load.buckets.get(name)
            if bucket is not None:
                limits.apply_allotment(bucket, rate, sent_at)

    def _on_demands(self, msg: wire.Demands, reply: Reply) -> None:
        tables, now = self._tables, time.monotonic()
        live, routers = limits.live_hosts(tables), limits.known_routers(tables)
        allotments = {}
        for name, rate in msg.rates.items():
            customer = tables.config.customers.get(name)
            if customer is not None:
                allotments[name] = limits.allot(
                    tables.load, customer, msg.host, rate, live, routers, now
                )
        reply(wire.Allotments(msg.rid, allotments))
