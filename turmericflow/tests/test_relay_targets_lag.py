"""Tests that every host learns of leaving targets, whatever else changes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path
from random import Random

import pytest
from structlog.testing import capture_logs

from turmericflow.relay import (
    Kind,
    _discovery as discovery,
    _intervals as intervals,
    _links as links,
    _membership as membership,
)
from turmericflow.relay._tables import Tables
from turmericflow.tests.platform_stand_ins import Fleet, TargetStandIn, deployment
from turmericflow.tests.test_relay_broadcast import build_fleet, entry
from turmericflow.tests.test_relay_systems import host

MAX_LAG_S = 0.5
HOSTS = membership.WATCHERS + 3
DEPLOYMENT_INTERVAL_S = 0.1


@pytest.fixture
async def large_fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    """Run more hosts than watch the targets, with three targets."""
    running = Fleet(tmp_path)
    await running.start(HOSTS)
    await running.until(
        lambda: all(len(h.tables.hosts.rows) == HOSTS - 1 for h in running.hosts)
    )
    await running.add_plain(3)
    yield running
    await running.stop()


async def _change_deployments(fleet: Fleet) -> None:
    version = 1
    while True:
        version += 1
        fleet.store.put("config", "main", deployment(version))
        await asyncio.sleep(DEPLOYMENT_INTERVAL_S)


def _hosts_using(fleet: Fleet, name: str) -> list[str]:
    """Return the hosts that may send new work to a target."""
    return [
        host.name
        for host in fleet.hosts
        for target in host.tables.targets.by_service.get("plain", ())
        if target.entry.id == name and not target.entry.leaving
    ]


async def _leave(fleet: Fleet, target: TargetStandIn, removed: bool) -> None:
    if removed:
        fleet.store.remove("servers", target.name)
    else:
        fleet.store.put("servers", target.name, target.entry() | {"state": "draining"})


# Guards against hosts that send work to a target long after it has said that it
# leaves: those that learned of targets from others lagged while deployments changed.
@pytest.mark.parametrize("removed", [False, True])
async def test_all_hosts_learn_of_a_leaving_target_while_deployments_change(
    large_fleet: Fleet, removed: bool
):
    fleet = large_fleet
    storm = asyncio.create_task(_change_deployments(fleet))
    try:
        for number in range(2):
            await asyncio.sleep(2.2)  # the resyncing hosts read all targets meanwhile
            target = fleet.targets[f"plain-{number}"]
            await _leave(fleet, target, removed)
            await asyncio.sleep(MAX_LAG_S)
            assert _hosts_using(fleet, target.name) == []
    finally:
        storm.cancel()


# Guards against a host that waits for others when none of them tells it of targets.
async def test_a_host_reads_the_targets_when_no_other_host_confirms_them(
    large_fleet: Fleet, monkeypatch: pytest.MonkeyPatch
):
    fleet = large_fleet
    now = asyncio.get_running_loop().time()
    lagging = next(
        host for host in fleet.hosts if not membership.is_watcher(host.tables, now)
    )
    apply_status = membership.apply_status

    def apply_without_targets(tables, status, now):
        if tables is lagging.tables:
            status.target_changes, status.targets_revision = [], -1
            status.targets_age_s = float("inf")
        return apply_status(tables, status, now)

    monkeypatch.setattr(membership, "apply_status", apply_without_targets)
    await asyncio.sleep(0.5)
    target = fleet.targets["plain-0"]
    await _leave(fleet, target, removed=False)
    await asyncio.sleep(links.MAX_TARGETS_AGE_S)
    assert lagging.name not in _hosts_using(fleet, target.name)


# Guards against a host that is behind and does not ask, as other objects change.
async def test_a_host_that_missed_a_change_asks_while_deployments_change(
    large_fleet: Fleet,
):
    fleet = large_fleet
    now = fleet.hosts[0].ctx.clock.now()
    behind = next(
        host for host in fleet.hosts if not membership.is_watcher(host.tables, now)
    )
    storm = asyncio.create_task(_change_deployments(fleet))
    try:
        await asyncio.sleep(1.0)
        apply_status = membership.apply_status

        def without_changes(tables, status, now):
            if tables is behind.tables:
                status.target_changes = []
            return apply_status(tables, status, now)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(membership, "apply_status", without_changes)
            await _leave(fleet, fleet.targets["plain-0"], removed=False)
            await asyncio.sleep(MAX_LAG_S)
            assert _hosts_using(fleet, "plain-0") == []
    finally:
        storm.cancel()


# Guards against changes of targets that a host rejects, as the host that announces
# them has meanwhile read the store at revisions without a change of the targets.
def test_changes_announced_after_readings_without_a_change_are_applied():
    rng = Random(7)
    tables = build_fleet(3)
    reader, *others = tables.values()
    entries = [entry(number) for number in range(5)]
    for table in tables.values():
        discovery.replace(table.targets, entries, 10, now=0.0)
    revision = 10
    while entries:
        for _ in range(rng.randrange(4)):
            revision += rng.randrange(1, 9)
            empty = discovery.difference(reader.targets, entries, [], revision)
            discovery.apply(reader.targets, empty, 1.0)
        entries.pop()
        revision += 1
        change = discovery.difference(reader.targets, entries, [], revision)
        assert discovery.apply(reader.targets, change, 1.0)
        for other in others:
            assert discovery.apply(other.targets, change, 1.0)
            assert set(other.targets.rows) == {each.key for each in entries}


# Guards against a watch that collects changes of targets for longer than all hosts
# together may take to learn of them.
@pytest.mark.parametrize("size", [6, 76, 300, 2000])
def test_changes_of_targets_are_not_collected_for_long(size: int):
    table = Tables(host("h"))
    for number in range(size - 1):
        membership.upsert_entry(table.hosts, host(f"h{number}"), 0.0)
    batch_s = intervals.watch_batch_s(table, Kind.TARGETS)
    assert 2 * batch_s < MAX_LAG_S


# Guards against a host that cannot learn of leaving targets and does not say so.
async def test_a_host_that_cannot_learn_of_targets_says_so(fleet_of_three: Fleet):
    fleet = fleet_of_three
    await fleet.add_plain(1)
    ages = [host.ctx.metrics.targets_age_seconds._value for host in fleet.hosts]
    await asyncio.sleep(links.MAX_TARGETS_AGE_S)
    assert all(age.get() < links.MAX_TARGETS_AGE_S for age in ages)
    with capture_logs() as lines:
        fleet.store.status = 503
        await asyncio.sleep(2 * links.MAX_TARGETS_AGE_S)
        assert all(age.get() > links.MAX_TARGETS_AGE_S for age in ages)
    events = [line["event"] for line in lines]
    assert events.count("targets_unverified") == 3


async def test_targets_are_verified_through_a_peer_that_reads_the_store(
    fleet_of_three: Fleet,
):
    fleet = fleet_of_three
    await fleet.add_plain(1)
    host = fleet.hosts[2]
    host.ctx.store._base = "http://127.0.0.1:1"
    await asyncio.sleep(2 * links.MAX_TARGETS_AGE_S)
    assert host.tables.hosts.unanswered_kinds
    assert host.ctx.metrics.targets_age_seconds._value.get() < links.MAX_TARGETS_AGE_S


# Guards against hosts of which none reads the targets, as each waits for a watch that
# hangs and counts as unable to read the store since an earlier reading failed.
async def test_targets_are_verified_soon_after_an_outage_that_cuts_no_watch(
    fleet_of_three: Fleet,
):
    fleet = fleet_of_three
    await fleet.add_plain(1)
    ages = [host.ctx.metrics.targets_age_seconds._value for host in fleet.hosts]
    await asyncio.sleep(links.MAX_TARGETS_AGE_S)
    fleet.store.status = 503
    await fleet.until(lambda: all(h.tables.hosts.unanswered_kinds for h in fleet.hosts))
    fleet.store.status = None
    await asyncio.sleep(links.MAX_TARGETS_AGE_S)
    await fleet.until(
        lambda: all(age.get() < links.MAX_TARGETS_AGE_S for age in ages), 0.5
    )
