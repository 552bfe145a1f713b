"""Tests of the shared polling of targets."""

from __future__ import annotations

import itertools
import time
from collections import Counter

import pytest

from turmericflow.cfg import Address
from turmericflow.systems import breakers, membership, observation
from turmericflow.systems._membership import MemberInfo, pack_version
from turmericflow.systems._observation import PollReason
from turmericflow.tables import (
    LoadReport,
    PeerState,
    PollState,
    Tables,
    Target,
    TargetKind,
)
from turmericflow.testing import Cluster
from turmericflow.testing._fleet import fleet_plan, profile

DATA_CENTRES = ("mvd-cordon", "mvd-aguada", "mvd-carrasco")
ADDRESS = Address("10.0.0.1", 8000)
TARGETS = [f"redactor-{number}" for number in range(600)]
MODELS = {"sable/none/1"}
POLL_INTERVAL_S = 0.5
LOST = ("entry-1", "entry-2")
MIN_REPORTS = 20
TIMEOUT_S = 60.0


def _tables(number: int, hosts: int) -> Tables:
    tables = Tables(f"entry-{number}", DATA_CENTRES[number % 3])
    version = pack_version(100, 0, PeerState.ALIVE)
    for other in range(hosts):
        if other != number:
            info = MemberInfo(DATA_CENTRES[other % 3], ADDRESS, ADDRESS)
            membership.learn(tables, f"entry-{other}", version, info, 0.0)
    return tables


def _receive_reports(tables: Tables, hosts: list[str], now: float) -> list[str]:
    tables.observation.last_report_at.update(dict.fromkeys(hosts, now))
    return observation.reporting_hosts(tables, now)


def _observers(hosts: list[str], target: str) -> set[str]:
    found = set()
    for host in hosts:
        others = [each for each in hosts if each != host]
        if observation.is_observer(host, others, target):
            found.add(host)
    return found


@pytest.fixture
def target() -> Target:
    found = Target(
        "redactor-1", TargetKind.ENGINE, "redactor", DATA_CENTRES[0], ADDRESS
    )
    found.models = set(MODELS)
    return found


@pytest.fixture
def tables(target: Target) -> Tables:
    """Return the tables of a host that is not an observer of the target."""
    hosts = [f"entry-{number}" for number in range(7)]
    observers = _observers(hosts, target.name)
    host = next(each for each in hosts if each not in observers)
    found = _tables(int(host[-1]), 7)
    found.targets.rows[target.name] = target
    return found


def _peer_report(target: Target, running: int, polled_at: float, now: float):
    seen = Target(target.name, target.kind, target.service, DATA_CENTRES[0], ADDRESS)
    seen.models = set(MODELS)
    seen.load = LoadReport(running, 0, 32, 2.0, 20_000.0, polled_at)
    return observation.wire.TargetReports(
        "entry-9", [observation.to_wire(seen, now)], []
    )


def _reason(tables: Tables, target: Target, now: float) -> PollReason | None:
    others = _receive_reports(tables, observation.group(tables), now)
    return observation.reason_to_poll(tables, target, others, POLL_INTERVAL_S, now)


def test_each_target_has_two_observers_and_hosts_have_equal_shares():
    hosts = [f"entry-{number}" for number in range(7)]
    found = {name: _observers(hosts, name) for name in TARGETS}
    assert {len(each) for each in found.values()} == {2}
    shares = Counter(itertools.chain(*found.values()))
    fair = 2 * len(TARGETS) / len(hosts)
    assert all(0.7 * fair < shares[host] < 1.3 * fair for host in hosts)


def test_only_targets_of_a_silent_observer_are_reassigned():
    tables = _tables(0, 7)
    hosts = [*observation.group(tables), tables.host]
    assert len(_receive_reports(tables, hosts, 10.0)) == 6
    later = 10.0 + 1.1 * observation.REPORT_TIMEOUT_S
    rest = _receive_reports(
        tables, [host for host in hosts if host != "entry-3"], later
    )
    assert sorted([*rest, "entry-3", tables.host]) == sorted(hosts)
    for name in TARGETS:
        before, after = _observers(hosts, name), _observers([*rest, "entry-0"], name)
        assert len(after) == 2
        assert before - {"entry-3"} <= after


@pytest.mark.parametrize("hosts", [7, 8, 9, 60, 400])
def test_groups_are_bounded_and_mutual(hosts):
    groups = {}
    for number in range(hosts):
        tables = _tables(number, hosts)
        groups[tables.host] = {tables.host, *observation.group(tables)}
    for found in groups.values():
        assert len(found) <= observation.MAX_GROUP_HOSTS
        assert all(groups[other] == found for other in found)


def test_report_is_as_old_as_its_poll_and_never_replaces_a_newer_one(tables, target):
    assert not observation.learn_peer_reports(
        tables, _peer_report(target, 3, 8.0, 8.4), POLL_INTERVAL_S, 10.0
    )
    assert target.load.running == 3
    assert target.load.reported_at == pytest.approx(9.6)
    assert not observation.learn_peer_reports(
        tables, _peer_report(target, 5, 7.0, 9.0), POLL_INTERVAL_S, 10.1
    )
    assert target.load.running == 3


def test_reported_failure_opens_no_breaker_until_own_polls_fail(tables, target):
    failed = observation.wire.TargetReports("entry-9", [], [target.name])
    assert observation.learn_peer_reports(tables, failed, POLL_INTERVAL_S, 10.0) == [
        target.name
    ]
    assert breakers.allows(target, 10.0)
    assert _reason(tables, target, 10.0) is PollReason.CHECK
    assert not observation.on_failure(tables, target, POLL_INTERVAL_S, 10.1)
    assert _reason(tables, target, 10.2) is PollReason.CHECK
    assert observation.on_failure(tables, target, POLL_INTERVAL_S, 10.3)
    open_until = 10.3 + observation.STALE_INTERVALS * POLL_INTERVAL_S
    assert not breakers.allows(target, open_until - 0.1)
    assert breakers.allows(target, open_until)
    observation.learn_peer_reports(tables, failed, POLL_INTERVAL_S, open_until - 0.1)
    assert not breakers.allows(target, open_until)
    assert observation.learn_peer_reports(
        tables, _peer_report(target, 0, 12.0, 12.0), POLL_INTERVAL_S, 12.0
    )
    report = LoadReport(reported_at=12.1)
    assert observation.on_report(tables, target, report, list(MODELS))
    assert breakers.allows(target, 12.1)


def test_report_of_other_models_is_checked_by_an_own_poll(tables, target):
    msg = _peer_report(target, 0, 10.0, 10.0)
    assert not observation.learn_peer_reports(tables, msg, POLL_INTERVAL_S, 10.0)
    target.models = {"sable/none/2"}
    assert observation.learn_peer_reports(tables, msg, POLL_INTERVAL_S, 11.0) == [
        target.name
    ]
    assert _reason(tables, target, 11.0) is PollReason.CHECK


def test_target_without_reports_is_polled_at_a_lower_rate(tables, target):
    observation.learn_peer_reports(
        tables, _peer_report(target, 0, 10.0, 10.0), POLL_INTERVAL_S, 10.0
    )
    assert _reason(tables, target, 10.0 + POLL_INTERVAL_S) is None
    late = 10.1 + observation.STALE_INTERVALS * POLL_INTERVAL_S
    assert _reason(tables, target, late) is PollReason.NO_REPORTS
    tables.observation.rows[target.name].polled_at = late
    assert _reason(tables, target, late + POLL_INTERVAL_S) is None
    later = late + observation.fallback_interval_s(POLL_INTERVAL_S)
    assert _reason(tables, target, later) is PollReason.NO_REPORTS


def test_polls_of_one_host_are_bounded_whatever_the_reason(tables):
    table, polls = tables.observation, 0
    for tick in range(1001):
        while observation.may_poll(table, 10.0 + tick / 100):
            table.poll_tokens -= 1
            polls += 1
    most = 10 * observation.MAX_POLLS_PER_S + observation.POLL_BURST
    assert 0.9 * most < polls <= most


def test_cache_of_an_idle_engine_is_fetched_less_often(tables, target):
    def due(now: float) -> bool:
        return observation.must_poll_cache(tables, target, 1, 0.5, now)

    row = tables.observation.rows.setdefault(target.name, PollState())
    assert not due(10.0)
    assert due(10.1)
    row.cache_polled_at = 10.1
    assert not due(10.0 + observation.IDLE_CACHE_POLL_S)
    assert due(10.2 + observation.IDLE_CACHE_POLL_S)
    target.load.running = 1
    assert due(10.2 + observation.BUSY_CACHE_POLL_S)


def _targets_of(lost: tuple[str, ...], hosts: list[str], most: int) -> list[str]:
    """Return names of targets whose observers are exactly the lost hosts."""
    names = (f"engine-{number}" for number in itertools.count())
    found = (name for name in names if _observers(hosts, name) == set(lost))
    return list(itertools.islice(found, most))


def _report_counts(cluster: Cluster, host: str) -> tuple[int, int]:
    counts = cluster.status(host)["counts"]
    return counts.get("reports.told", 0), counts.get("reports.untold", 0)


def _wait_for_reports(cluster: Cluster, host: str) -> None:
    """Wait until a host receives reports and needs no own polls for lack of them."""
    until = time.monotonic() + TIMEOUT_S
    reports, polls = _report_counts(cluster, host)
    while True:
        reports_now, polls_now = _report_counts(cluster, host)
        if polls_now != polls:
            reports, polls = reports_now, polls_now
        elif reports_now - reports >= MIN_REPORTS:
            return
        if time.monotonic() > until:
            raise TimeoutError(
                f"{host}: {reports_now - reports} reports, {polls_now} own polls"
            )
        time.sleep(0.05)


@pytest.mark.integration
def test_killed_and_paused_observers_are_replaced():
    plan = fleet_plan(3, [profile("report")], routers=5)
    hosts = list(plan.routers)
    for spec, name in zip(plan.targets, _targets_of(LOST, hosts, 3), strict=True):
        spec.name = name
    with Cluster(plan) as cluster:
        rest = [host for host in hosts if host not in LOST]
        for host in rest:
            _wait_for_reports(cluster, host)
        cluster.kill(LOST[0])
        cluster.pause(LOST[1])
        observers = [_observers(rest, spec.name) for spec in plan.targets]
        for host in rest:
            if any(host not in each for each in observers):
                _wait_for_reports(cluster, host)
        cluster.resume(LOST[1])
        _wait_for_reports(cluster, rest[0])


def test_all_targets_are_polled_once_each_reported_or_failed(tables, target):
    assert not observation.all_polled(tables)
    tables.targets.host_list_received = True
    assert not observation.all_polled(tables)
    observation.on_failure(tables, target, POLL_INTERVAL_S, 10.0)
    assert observation.all_polled(tables)
    other = Target("redactor-2", target.kind, target.service, DATA_CENTRES[0], ADDRESS)
    tables.targets.rows[other.name] = other
    assert not observation.all_polled(tables)
    observation.on_report(tables, other, LoadReport(reported_at=10.1), [])
    assert observation.all_polled(tables)
