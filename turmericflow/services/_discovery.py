"""Discovery of targets and leaving hosts from the host list, marks and peers."""

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
FIRST_POLL_DELAY_S = 0.1

_TARGET_ROLES = frozenset(TargetKind)

log = structlog.get_logger()


class Discovery(Service):
    """Keep the table of targets up to date from the host list, which lags.

    The hosts take turns to poll the list, and gossip the entries that changed.
    The version of an entry is the time at which the list was requested, so that
    a delayed answer never replaces a later one.
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
        self._host_states: dict[str, str] = {}
        self._listed_names: set[str] = set()
        self._gossip.subscribe(LISTED, self._on_fact)
        config.on_change(self._on_config_change)

    @Service.task
    async def _poll(self) -> None:
        await self.sleep(FIRST_POLL_DELAY_S)
        while not self.should_stop:
            sent_at_ms = int(time.time() * 1000)
            try:
                entries = await self._platform.hosts()
            except PlatformError:
                self._stats.count("platform.errors")
            else:
                self._publish_changes(entries, sent_at_ms)
                # The list lags: at first it may be empty although targets run.
                self._tables.targets.host_list_received |= bool(entries)
            size = self._platform.hosts_bytes
            await self.sleep(polling.poll_wait_s(self._tables, self._rng, size))

    def _publish_changes(self, entries: list[HostEntry], sent_at_ms: int) -> None:
        missing = self._listed_names - {entry.name for entry in entries}
        # A list that misses many hosts at once is more likely wrong than right.
        if missing and not polling.is_plausible(len(self._listed_names), len(missing)):
            self._stats.count("hosts.implausible_list")
            return
        for entry in entries:
            self._publish_if_changed(entry, sent_at_ms)
        for name in missing:
            fact = self._gossip.facts.get(LISTED, name)
            entry = msgspec.json.decode(fact.value, type=HostEntry)
            entry.state = GONE
            self._publish_if_changed(entry, sent_at_ms)

    def _publish_if_changed(self, entry: HostEntry, version: int) -> None:
        value = msgspec.json.encode(entry)
        current = self._gossip.facts.get(LISTED, entry.name)
        if current is None or current.value != value:
            self._gossip.spread(wire.Rumour(LISTED, entry.name, version, value, 0.0))

    def _on_fact(self, rumour: wire.Rumour) -> None:
        try:
            entry = msgspec.json.decode(rumour.value, type=HostEntry)
            if entry.role in _TARGET_ROLES:
                self._update_target(entry)
        except (msgspec.MsgspecError, ValueError):
            self._stats.count("hosts.invalid")
            return
        self._host_states[entry.name] = entry.state
        self._tables.targets.host_list_received = True
        if entry.state == GONE:
            self._listed_names.discard(entry.name)
        else:
            self._listed_names.add(entry.name)
        self._update_leaving(entry.name)

    def _update_target(self, entry: HostEntry) -> None:
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

    def _on_config_change(self, kind: str, name: str) -> None:
        if kind == "mark":
            self._update_leaving(name)

    def _update_leaving(self, name: str) -> None:
        mark = self._tables.config.marks.get(name)
        marked = mark is not None and mark.leaving
        leaving = marked or self._host_states.get(name, LIVE) != LIVE
        if name == self._tables.host:
            self._membership.set_leaving(leaving)
        row = self._tables.targets.rows.get(name)
        if row is not None and row.leaving is not leaving:
            row.leaving = leaving
            log.info("target_leaving" if leaving else "target_staying", target=name)
