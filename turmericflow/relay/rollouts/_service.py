"""Reads the orders, and decides on them at the host that is the first reader."""

from __future__ import annotations

import structlog
from mode import Service

from turmericflow.relay import (
    _broadcast as broadcast,
    _intervals as intervals,
    _membership as membership,
)
from turmericflow.relay._context import HostContext
from turmericflow.relay._host_tables import HostState
from turmericflow.relay._model import RolloutOrder, RolloutRecord
from turmericflow.relay._store import (
    Conflict,
    HistoryGone,
    Kind,
    Listing,
    Row,
    StoreFailed,
)
from turmericflow.relay._tasks import record_failure
from turmericflow.relay.rollouts._decision import Decision
from turmericflow.relay.rollouts._share import IN_PROGRESS, RolloutView
from turmericflow.relay.rollouts._steps import Bounds, StepName
from turmericflow.relay.rollouts._table import RolloutTable

DECIDE_INTERVAL_S = 0.25  # verdicts are looked for some 4 times a second
WRITE_INTERVAL_S = 0.05  # a small part of the time until hosts know of a step
# The first host to read the store waits, as it may not have heard of others yet.
TAKE_OVER_S = 1.0
# Several times what the next host waits, and needs to read and write the step.
HAND_OVER_S = 3.0
WATCH_TIMEOUT_S = 15.0  # a watch costs one call, however long it waits
RETRY_S = 0.5  # between two calls that fail
# Of the time for a rollback: hosts miss three views before they take them for stale.
VIEW_INTERVAL_SHARE = 1 / 12
MAX_ENDED = 16  # earlier orders that are still told

log = structlog.get_logger()


class RolloutService(Service):
    """Keeps the orders in sync with the store, and decides on them."""

    abstract = False

    def __init__(self, ctx: HostContext, table: RolloutTable) -> None:
        super().__init__()
        self._ctx = ctx
        self._table = table
        settings = ctx.settings
        self._bounds = Bounds(
            settings.canary_share, settings.canary_slack, settings.rollback_s
        )
        # Orders as the store holds them: revision, order, and time of the first sight.
        self._orders: dict[str, tuple[int, RolloutOrder, float]] | None = None
        self._unusable: dict[str, int] = {}  # revisions of orders, logged once
        self._records: dict[str, tuple[int, RolloutRecord | None]] | None = None
        self._era = ctx.store.era
        self._bars_read = False
        self._first_since: float | None = None
        self._decisions: dict[str, Decision] = {}
        self._ended: list[RolloutView] = []
        self._first_until = self._announced_at = float("-inf")
        self._resynced_at = float("-inf")

    @Service.task
    async def _watch(self) -> None:
        revision: int | None = None
        while not self.should_stop:
            if not self._is_watcher():
                if self._orders is not None:
                    self._orders, revision = None, None
                    self._table.note_orders({})
                await self.sleep(intervals.heartbeat_interval_s(self._ctx.tables))
                continue
            try:
                revision = await self._read_or_watch(revision)
            except HistoryGone as exc:
                log.info("store_history_gone", kind=Kind.ROLLOUTS, reason=str(exc))
                revision = None
            except StoreFailed as exc:
                log.info("rollouts_not_read", reason=str(exc))
                await self.sleep(RETRY_S)
            except Exception:
                record_failure(self._ctx, "rollouts")
                revision = None
                await self.sleep(RETRY_S)

    async def _read_or_watch(self, revision: int | None) -> int:
        if revision is None:
            return await self._read_orders()
        self._ctx.metrics.store_calls.labels("watch").inc()
        changes = await self._ctx.store.changes(
            Kind.ROLLOUTS, revision, WATCH_TIMEOUT_S
        )
        orders = self._orders
        if orders is None:
            return await self._read_orders()
        for change in changes.changes:
            if change.removed:
                orders.pop(change.row.name, None)
            else:
                self._put(orders, change.row)
        self._note_orders()
        return changes.revision

    async def _read_orders(self) -> int:
        if not self._bars_read:
            await self._read_records()
        listing = await self._list(Kind.ROLLOUTS)
        earlier = self._orders or {}
        listed = {row.name for row in listing.rows}
        orders = {
            name: found
            for name, found in earlier.items()
            if name in listed or found[0] > listing.revision
        }
        for row in listing.rows:
            self._put(orders, row)
        self._orders = orders
        if not self._bars_read:
            self._bar_removed()
            self._bars_read = True
        self._note_orders()
        return listing.revision

    def _bar_removed(self) -> None:
        """Bar the versions of orders that were removed while this host did not run."""
        for name, (_, record) in (self._records or {}).items():
            if record is not None and name not in self._orders:
                if record.step != StepName.COMPLETED:
                    self._table.bar(name, record.target, record.order)

    async def _list(self, kind: Kind) -> Listing:
        self._ctx.metrics.store_calls.labels("read").inc()
        return await self._ctx.store.read(kind)

    def _put(
        self, orders: dict[str, tuple[int, RolloutOrder, float]], row: Row
    ) -> None:
        """Put an order into the table, unless it is older than the known one."""
        known = orders.get(row.name)
        if known is not None and row.revision <= known[0]:
            return
        if row.value is None:
            orders.pop(row.name, None)
            if self._unusable.get(row.name) != row.revision:
                self._unusable[row.name] = row.revision
                log.warning("order_unusable", name=row.name[:200], reason=row.problem)
            return
        now = self._ctx.clock.now()
        same = known is not None and known[1].target == row.value.target
        orders[row.name] = row.revision, row.value, known[2] if same else now

    def _note_orders(self) -> None:
        """Tell the table the orders in progress, so that it excludes their versions."""
        open_states = "", IN_PROGRESS
        orders = {
            name: order.target
            for name, (_, order, _) in (self._orders or {}).items()
            if order.state in open_states
        }
        if self._table.note_orders(orders):
            self._ctx.announce()

    async def _read_records(self) -> None:
        """Read the steps; versions that were rolled back must not run requests."""
        listing = await self._list(Kind.ROLLOUT_STEPS)
        self._records = {}
        for row in listing.rows:
            if row.value is None:
                log.warning("record_unreadable", name=row.name, reason=row.problem)
            elif row.value.step == StepName.ROLLED_BACK:
                self._table.bar(row.name, row.value.target, row.value.order)
            self._records[row.name] = row.revision, row.value

    @Service.task
    async def _decide_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(DECIDE_INTERVAL_S)
            try:
                self._decide()
            except Exception:
                record_failure(self._ctx, "rollouts")

    def _readers(self) -> list[str]:
        """Return the live hosts that follow orders and can read the store, in order.

        Hosts of the earlier build would leave an order without a decider.
        """
        tables, now = self._ctx.tables, self._ctx.clock.now()
        names = [] if tables.hosts.unanswered_kinds else [tables.hosts.own.name]
        names += [
            row.entry.name
            for row in membership.live_peers(tables, now)
            if row.status.reads_store and row.status.entry in self._table.followers
        ]
        return sorted(names, key=lambda name: broadcast.ring_position(1, name))

    def _is_watcher(self) -> bool:
        """Return whether this host watches the orders."""
        hosts = self._ctx.tables.hosts
        first = self._readers()[: membership.WATCHERS]
        return bool(hosts.unanswered_kinds) or hosts.own.name in first

    def _is_decider(self) -> bool:
        """Return whether this host decides.

        A host that does not any more tells its views until another host has taken over;
        it may still roll a version back, but writes nothing.
        """
        tables, now = self._ctx.tables, self._ctx.clock.now()
        if tables.hosts.state is HostState.STARTING:
            return False
        if self._readers()[:1] != [tables.hosts.own.name]:
            if self._first_since is not None:
                self._first_since, self._first_until = None, now
            self._drop_taken_over()
            away = bool(tables.hosts.unanswered_kinds)
            waits = away or now - self._first_until < HAND_OVER_S
            return bool(self._decisions) and waits
        if self._first_since is None:
            self._first_since = now
        return bool(self._decisions) or now - self._first_since >= TAKE_OVER_S

    def _drop_taken_over(self) -> None:
        for name, decision in list(self._decisions.items()):
            rollout = self._table.find(name)
            view = rollout.ledger.view if rollout is not None else None
            if view is not None and view.order >= decision.order.created:
                if view.order > decision.order.created or view.term > decision.term:
                    del self._decisions[name]

    def _decide(self) -> None:
        now = self._ctx.clock.now()
        self._table.tick(now)
        if not self._is_decider():
            self._stop_deciding()
            return
        changed = self._follow_orders(now)
        for decision in self._decisions.values():
            rollout = self._table.find(decision.service)
            if decision.published and rollout is not None:
                changed |= decision.decide(rollout, self._table, now)
        self._publish(changed, now)

    def _stop_deciding(self) -> None:
        if self._decisions or self._table.own_views:
            log.info("rollouts_left", services=sorted(self._decisions))
        self._decisions, self._ended = {}, []
        self._table.own_views = []
        self._records = None

    def _follow_orders(self, now: float) -> bool:
        """Begin and end decisions as the orders say; return whether views changed."""
        if self._era != self._ctx.store.era:
            self._era = self._ctx.store.era
            self._records = None  # the store may have lost what was written
            for decision in self._decisions.values():
                decision.unwritten = True
        if self._orders is None or self._records is None:
            return False
        changed = False
        for name, decision in list(self._decisions.items()):
            found = self._orders.get(name)
            if found is not None and decision.is_of(*found[:2]):
                continue
            if not decision.removed:
                changed |= decision.end("order removed or replaced", now)
                if found is None:
                    log.info("rollout_order_removed", service=name)
            if found is not None:
                if decision.step.name is StepName.ROLLED_BACK:
                    self._ended = [*self._ended, decision.view][-MAX_ENDED:]
                del self._decisions[name]
        changed |= self._end_removed(now)
        for name, (revision, order, seen_at) in self._orders.items():
            if name in self._decisions or not self._is_configured(name, revision):
                continue
            record = self._records.get(name, (None, None))[1]
            known = self._table.find(name)
            decision = self._decisions[name] = Decision.take_up(
                revision, order, record, known, self._bounds, seen_at, now
            )
            log.info(
                "rollout_taken_up",
                service=name,
                target=order.target,
                order=decision.order.created,
                term=decision.term,
                step=decision.step.name.value,
                left_s=round(decision.order.ends_at - now, 1),
            )
        return changed

    def _end_removed(self, now: float) -> bool:
        """Roll back what was removed while no host decided; return whether any was.

        Orders that were rolled back are told to hosts that have started since.
        """
        changed = False
        for name, (_, record) in self._records.items():
            if record is None or record.step == StepName.COMPLETED:
                continue
            if name in self._decisions or name in self._orders:
                continue
            order = RolloutOrder(name, record.target, 0.0, True)
            decision = self._decisions[name] = Decision.take_up(
                record.order,
                order,
                record,
                self._table.find(name),
                self._bounds,
                now,
                now,
            )
            decision.end("order removed", now)
            changed = True
        return changed

    def _is_configured(self, name: str, revision: int) -> bool:
        deployment = self._ctx.tables.deployment
        if deployment.value is None:
            return False
        if name in deployment.services:
            return True
        if self._unusable.get(name) != revision:
            self._unusable[name] = revision
            log.warning("order_unusable", name=name[:200], reason="unknown service")
        return False

    def _publish(self, changed: bool, now: float) -> None:
        """Publish the views of what is decided, and again before they become stale."""
        published = [each for each in self._decisions.values() if each.published]
        views = self._ended + [each.view for each in published]
        for view in views:
            self._table.apply_view(view, now)
        self._table.own_views = views
        in_progress = any(each.step.state == IN_PROGRESS for each in published)
        interval_s = self._bounds.rollback_s * VIEW_INTERVAL_SHARE
        if changed or (in_progress and now - self._announced_at >= interval_s):
            self._announced_at = now
            self._ctx.announce()

    @Service.task
    async def _write_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(WRITE_INTERVAL_S)
            if self._first_since is None:
                continue  # the store is away, or another host decides
            try:
                await self._sync()
            except StoreFailed as exc:
                log.info("rollouts_not_written", reason=str(exc))
                self._records = None  # a write whose reply was lost may have been made
                await self.sleep(RETRY_S)
            except Exception:
                record_failure(self._ctx, "rollouts")
                await self.sleep(RETRY_S)

    async def _sync(self) -> None:
        """Read what decisions need, and write what they lack in the store."""
        now = self._ctx.clock.now()
        if now - self._resynced_at >= intervals.RESYNC_INTERVAL_S:
            # A watch can miss a change without an error.
            await self._read_orders()
            self._resynced_at = now
        if self._records is None:
            await self._read_records()
        for name, decision in list(self._decisions.items()):
            await self._write(name, decision)
            await self._answer(name, decision)

    async def _write(self, name: str, decision: Decision) -> None:
        candidate, step = decision.candidate, decision.step
        if candidate is None and not decision.unwritten:
            return
        records = self._records
        if records is None:
            return
        revision, record = records.get(name, (None, None))
        if record is not None and decision.is_taken_over(revision, record):
            self._yield(name, decision, record)
            return
        number = decision.number if candidate is None else decision.number + 1
        written = decision.record(candidate or step, number)
        self._ctx.metrics.store_calls.labels("write").inc()
        try:
            found = await self._ctx.store.record_rollout(name, written, revision)
        except Conflict as exc:
            log.info("rollout_write_conflict", service=name, reason=str(exc))
            await self._read_records()
            return
        records[name] = found, written
        decision.revision = found
        if self._decisions.get(name) is not decision:
            return
        if decision.step is not step:
            return  # rolled back meanwhile, which is written next
        decision.published = True
        if candidate is None:
            decision.unwritten = False
        else:
            now = self._ctx.clock.now()
            rollout = self._table.find(name)
            figures = decision.describe(rollout, self._table, now) if rollout else {}
            decision.enter(candidate, **figures)
        self._publish(True, self._ctx.clock.now())

    def _yield(self, name: str, decision: Decision, record: RolloutRecord) -> None:
        """Follow a host that has taken the order over meanwhile.

        If it should not have, this host takes the order over again with a higher term.
        """
        log.info("rollout_taken_over", service=name, term=decision.term, by=record.term)
        del self._decisions[name]
        self._first_since = self._ctx.clock.now()

    async def _answer(self, name: str, decision: Decision) -> None:
        """Write the status of an order, unless it says the same."""
        found = (self._orders or {}).get(name)
        if found is None or not decision.published or decision.unwritten:
            return
        revision, order, seen_at = found
        if not decision.is_of(revision, order):
            return
        state, target = decision.step.state, decision.target
        if order.answered and order.state == state:
            return
        self._ctx.metrics.store_calls.labels("write").inc()
        try:
            revision = await self._ctx.store.answer_rollout(
                name, state, target, revision
            )
        except Conflict as exc:
            log.info("rollout_status_conflict", service=name, reason=str(exc))
            await self._read_orders()
            return
        decision.answered_revision = revision
        order = RolloutOrder(name, target, order.duration_s, True, state)
        if self._orders is not None:
            self._orders[name] = revision, order, seen_at
            self._note_orders()
        log.info("rollout_answered", service=name, target=target, state=state)
