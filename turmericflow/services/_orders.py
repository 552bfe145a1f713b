"""Sends orders to engines from the lease holder of a data centre."""

from __future__ import annotations

import asyncio
import time

import structlog
from mode import Service

from turmericflow.cfg import Settings
from turmericflow.services._engine import EngineClient, StaleFence, TargetFailed
from turmericflow.services._platform import PlatformClient, PlatformError
from turmericflow.services._stats import Stats
from turmericflow.systems import lease as leases, orders, overlay
from turmericflow.tables import Tables

KIND = "lease"
DUTY = "orders"
RENEWALS_PER_TERM = 3
PLAN_INTERVAL_S = 0.5
FIRST_PLAN_DELAY_S = 2.0

log = structlog.get_logger()


class Orders(Service):
    """Acquire and renew the lease; send the planned orders while it is held.

    An order tells an engine which models to have loaded.
    """

    def __init__(
        self,
        settings: Settings,
        tables: Tables,
        platform: PlatformClient,
        engines: EngineClient,
        stats: Stats,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._tables = tables
        self._platform = platform
        self._engines = engines
        self._stats = stats
        self._name = f"{DUTY}-{tables.data_centre}"
        self._term_s = settings.orders_lease_s

    @property
    def _lease(self):
        return self._tables.orders.lease

    @Service.task
    async def _maintain_lease(self) -> None:
        while not self.should_stop:
            await self.sleep(self._term_s / RENEWALS_PER_TERM)
            try:
                await self._acquire_or_renew()
            except PlatformError:
                self._stats.count("platform.errors")

    def _is_candidate(self) -> bool:
        ranking = overlay.rank_hosts(self._tables, DUTY, self._tables.data_centre)
        return ranking[:1] == [self._tables.host]

    async def _acquire_or_renew(self) -> None:
        host, lease = self._tables.host, self._lease
        if lease.holder != host and not self._is_candidate():
            return
        stored = await self._platform.get(KIND, self._name)
        holder = "" if stored is None else (stored.value or {}).get("holder", "")
        version = 0 if stored is None else stored.version
        was_held = bool(lease.fence)
        leases.observe(lease, holder, version, time.monotonic())
        if was_held and lease.holder != host:
            self._on_lease_lost()
        if not leases.may_take(
            lease, host, time.monotonic(), self._term_s, self._targets_check_fence()
        ):
            return
        leaving = self._tables.peers.leaving
        if leaving and lease.holder != host:
            return
        sent_at = time.monotonic()
        value = {"holder": "" if leaving else host}
        result = await self._platform.put(KIND, self._name, value, version)
        if result.is_err():
            self._on_lease_lost()
        elif leaving:
            leases.observe(lease, "", result.ok().version, sent_at)
            self._on_lease_lost()
        else:
            self._on_acquired(result.ok().version, sent_at)

    def _on_acquired(self, version: int, sent_at: float) -> None:
        is_new = not self._lease.fence
        leases.record_acquired(self._lease, self._tables.host, version, sent_at)
        if is_new:
            log.info("lease_taken", lease=self._name, fence=version)

    def _on_lease_lost(self) -> None:
        if self._lease.fence:
            log.info("lease_lost", lease=self._name)
        leases.record_lost(self._lease)

    def _targets_check_fence(self) -> bool:
        services = {row.service for row in self._tables.targets.rows.values()}
        return services <= set(self._settings.fencing_services)

    def _may_order(self) -> bool:
        now = time.monotonic()
        lease = self._lease
        if now - lease.taken_at < min(FIRST_PLAN_DELAY_S, self._term_s):
            return False
        return leases.may_order(lease, self._tables.host, now, self._term_s)

    @Service.task
    async def _send_orders(self) -> None:
        while not self.should_stop:
            await self.sleep(PLAN_INTERVAL_S)
            if not self._may_order():
                continue
            for order in orders.plan(self._tables, time.monotonic()):
                await self._send_order(order)

    async def _send_order(self, order: orders.Order) -> None:
        try:
            if order.loads_weights:
                await self._platform.request_weight_load(order.target.name)
        except PlatformError:
            self._stats.count("orders.weights_wait")
            return
        if not self._may_order():
            return
        orders.record_sent(self._tables, order, time.monotonic())
        models = sorted(order.models)
        log.info("order", target=order.target.name, models=models)
        self._stats.count("orders.sent")
        sending = self._engines.send_order(
            order.target.address, self._lease.fence, models
        )
        try:
            await asyncio.wait_for(sending, leases.ORDER_SEND_TIMEOUT_S)
        except StaleFence:
            self._stats.count("orders.stale_fence")
            self._on_lease_lost()
        except (TargetFailed, TimeoutError):
            self._stats.count("orders.failed")
