"""Learns targets and leaving hosts from the host list, marks and peers."""

from __future__ import annotations

import time

import msgspec
import structlog
from mode import Service

from turmericflow import wire
from turmericflow.cfg import Address
from turmericflow.services._config import Config
from turmericflow.services._context import HostContext
from turmericflow.services._membership import Membership
from turmericflow.services._platform import HostEntry, PlatformError
from turmericflow.systems import polling
from turmericflow.tables import Target, TargetKind

LISTED = "listed"
GONE = "gone"
LIVE = "live"
FIRST_POLL_S = 0.1

_TARGET_ROLES = frozenset(TargetKind)

log = structlog.get_logger()


class Discovery(Service):
    """Keeps the table of targets by the host list, a hint that lags.

    The hosts take turns to poll the list, and spread what differs from what
    is known.  The time of asking is the fact's version, so that an answer that
    was long under way never undoes a later one.
    """

    def __init__(
        self, ctx: HostContext, config: Config, membership: Membership
    ) -> None:
        super().__init__()
        self._tables = ctx.tables
        self._platform = ctx.platform
        self._gossip = ctx.gossip
        self._membership = membership
        self._stats = ctx.stats
        self._rng = ctx.rng
        self._listed: dict[str, str] = {}
        self._names: set[str] = set()
        self._gossip.subscribe(LISTED, self._on_fact)
        config.on_change(self._on_change)

    @Service.task
    async def _poll(self) -> None:
        await self.sleep(FIRST_POLL_S)
        while not self.should_stop:
            asked_at_ms = int(time.time() * 1000)
            try:
                entries = await self._platform.hosts()
            except PlatformError:
                self._stats.count("platform.errors")
            else:
                self._compare(entries, asked_at_ms)
                self._tables.targets.host_list_received = True
            size = self._platform.hosts_bytes
            await self.sleep(polling.poll_wait_s(self._tables, self._rng, size))

    def _compare(self, entries: list[HostEntry], asked_at_ms: int) -> None:
        missing = self._names - {entry.name for entry in entries}
        if missing and not polling.is_plausible(len(self._names), len(missing)):
            self._stats.count("hosts.implausible_list")
            return
        for entry in entries:
            self._publish(entry, asked_at_ms)
        for name in missing:
            fact = self._gossip.facts.get(LISTED, name)
            entry = msgspec.json.decode(fact.value, type=HostEntry)
            entry.state = GONE
            self._publish(entry, asked_at_ms)

    def _publish(self, entry: HostEntry, version: int) -> None:
        value = msgspec.json.encode(entry)
        known = self._gossip.facts.get(LISTED, entry.name)
        if known is None or known.value != value:
            self._gossip.spread(wire.Rumour(LISTED, entry.name, version, value, 0.0))

    def _on_fact(self, rumour: wire.Rumour) -> None:
        try:
            entry = msgspec.json.decode(rumour.value, type=HostEntry)
            if entry.role in _TARGET_ROLES:
                self._learn_target(entry)
        except (msgspec.MsgspecError, ValueError):
            self._stats.count("hosts.invalid")
            return
        self._listed[entry.name] = entry.state
        self._tables.targets.host_list_received = True
        if entry.state == GONE:
            self._names.discard(entry.name)
        else:
            self._names.add(entry.name)
        self._apply(entry.name)

    def _learn_target(self, entry: HostEntry) -> None:
        rows = self._tables.targets.rows
        row = rows.get(entry.name)
        if entry.state == GONE:
            if row is not None and not row.in_flight:
                del rows[entry.name]
            return
        address = Address(entry.ip, entry.port)
        if row is None:
            row = rows[entry.name] = Target(
                entry.name,
                TargetKind(entry.role),
                entry.service,
                entry.data_centre,
                address,
            )
        row.address = address

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "mark":
            self._apply(name)

    def _apply(self, name: str) -> None:
        mark = self._tables.config.marks.get(name)
        marked = mark is not None and mark.leaving
        leaving = marked or self._listed.get(name, LIVE) != LIVE
        if name == self._tables.host:
            self._membership.set_leaving(leaving)
        row = self._tables.targets.rows.get(name)
        if row is not None and row.leaving is not leaving:
            row.leaving = leaving
            log.info("target_leaving" if leaving else "target_staying", target=name)
