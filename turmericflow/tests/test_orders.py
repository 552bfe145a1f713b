"""Tests of the lease for orders, and of orders to engines."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import pytest

from turmericflow.cfg import Address
from turmericflow.client import Caller
from turmericflow.profile import Profile
from turmericflow.systems import lease as leases, orders
from turmericflow.tables import Lease, Tables, Target, TargetKind
from turmericflow.testing import Cluster, ClusterPlan, EngineSpec
from turmericflow.testing._cluster import http_json

LEASE_TERM_S = 10.0
CENTRE = "mvd-cordon"


def _tables(engines: list[set[str]], versions: list[str]) -> Tables:
    tables = Tables("entry-1", CENTRE)
    for number, models in enumerate(engines):
        name = f"redactor-{number}"
        address = Address("10.0.0.1", 8000 + number)
        row = Target(name, TargetKind.ENGINE, "redactor", CENTRE, address)
        row.models = {f"sable/none/{version}" for version in models}
        tables.targets.rows[name] = row
    for number, version in enumerate(versions):
        _declare(tables, f"profile-{number}", version)
        tables.config.profiles.update(tables.config.declared)
    return tables


def _declare(tables: Tables, name: str, version: str) -> None:
    tables.config.declared[name] = Profile(
        name=name, service="redactor", model="sable", adapter="none", version=version
    )


def _carry_out(tables: Tables, found: list[orders.Order], now: float) -> None:
    for order in found:
        orders.record_sent(tables, order, now)
        order.target.models = set(order.models)


def test_holder_stops_before_a_successor_may_start():
    lease = Lease()
    leases.observe(lease, "", 0, 0.0)
    assert leases.may_take(lease, "entry-1", 0.0, LEASE_TERM_S, True)
    leases.record_acquired(lease, "entry-1", 7, 100.0)
    other = Lease()
    leases.observe(other, "entry-1", 7, 100.0)
    last = max(
        step / 10
        for step in range(1000, 1300)
        if leases.may_order(lease, "entry-1", step / 10, LEASE_TERM_S)
    )
    for targets_check_fence in (True, False):
        first = min(
            step / 10
            for step in range(1000, 1300)
            if leases.may_take(
                other, "entry-2", step / 10, LEASE_TERM_S, targets_check_fence
            )
        )
        wait_s = 0 if targets_check_fence else leases.ORDER_SEND_TIMEOUT_S
        assert last + leases.ORDER_SEND_TIMEOUT_S + wait_s <= first


def test_fence_grows_with_each_tenure_and_not_with_renewals():
    lease = Lease()
    leases.record_acquired(lease, "entry-1", 7, 100.0)
    leases.record_acquired(lease, "entry-1", 9, 103.0)
    assert lease.fence == 7
    leases.observe(lease, "entry-2", 12, 120.0)
    leases.record_lost(lease)
    assert not leases.may_order(lease, "entry-1", 120.0, LEASE_TERM_S)
    leases.record_acquired(lease, "entry-1", 15, 130.0)
    assert lease.fence == 15


def test_nothing_is_ordered_when_all_is_loaded():
    tables = _tables([{"1", "2"}, {"1"}, {"2"}], ["1", "2"])
    assert orders.plan(tables, 0.0) == []


@pytest.mark.parametrize("engines", [1, 2, 3, 5])
def test_version_change_leaves_no_profile_without_a_target(engines):
    tables = _tables([{"1"}] * engines, ["1"])
    _declare(tables, "profile-0", "2")
    declared = tables.config.declared["profile-0"]
    for step in range(20):
        found = orders.plan(tables, float(step))
        assert len(found) <= 1
        _carry_out(tables, found, float(step))
        current = tables.config.profiles["profile-0"]
        routed = orders.effective_profile(declared, current, tables)
        tables.config.profiles["profile-0"] = routed
        rows = tables.targets.rows.values()
        assert any(orders.spec_of(routed) in row.models for row in rows)
    assert routed.version == "2"
    assert all(row.models == {"sable/none/2"} for row in rows)


def test_next_order_waits_until_the_last_is_reported():
    tables = _tables([{"1"}, {"1"}, {"1"}], ["1"])
    _declare(tables, "profile-0", "2")
    (order,) = orders.plan(tables, 0.0)
    orders.record_sent(tables, order, 0.0)
    assert orders.plan(tables, orders.ORDER_TIMEOUT_S - 0.1) == []
    assert orders.plan(tables, orders.ORDER_TIMEOUT_S) != []


def test_demand_moves_one_engine_and_never_the_last():
    tables = _tables([{"1"}, {"1"}, {"2"}], ["1", "2"])
    busy = tables.targets.rows["redactor-2"]
    busy.load.queued = 40
    (order,) = orders.plan(tables, 0.0)
    assert order.models == {"sable/none/2"}
    _carry_out(tables, [order], 0.0)
    busy.load.queued = 400
    assert orders.plan(tables, 2 * orders.MIN_MOVE_INTERVAL_S) == []


def _cluster_plan(checks_fencing: bool) -> ClusterPlan:
    args = ["--model", "sable/none/1", "--step-ms", "2", "--load-s", "0.2"]
    args += ["--checks-fencing"] if checks_fencing else []
    engines = [EngineSpec(f"redactor-{n}", "redactor", CENTRE, args) for n in range(2)]
    profile = {"name": "quotation", "service": "redactor", "model": "sable"}
    profile |= {"adapter": "none", "version": "1"}
    return ClusterPlan(
        routers={"entry-1": CENTRE, "entry-2": CENTRE},
        targets=engines,
        objects={"profile/quotation": profile, "customer/norte": {"name": "norte"}},
        settings={
            "orders_lease_s": 1.5,
            "fencing_services": ["redactor"] if checks_fencing else [],
        },
    )


def _get(cluster: Cluster, name: str, path: str) -> dict:
    return http_json("GET", f"http://{cluster.processes[name].address}{path}")


def _holder(cluster: Cluster) -> str:
    url = f"/v1/objects/lease/orders-{CENTRE}"
    try:
        return _get(cluster, "platform", url)["value"]["holder"]
    except OSError:
        return ""


def _wait(done) -> None:
    until = time.monotonic() + 20.0
    while not done():
        assert time.monotonic() < until
        time.sleep(0.05)


def _set_version(cluster: Cluster, version: str) -> None:
    path = "profile/quotation"
    number = _get(cluster, "platform", f"/v1/objects/{path}")["version"]
    value = {**cluster.plan.objects[path], "version": version}
    cluster.put(path, value, number)


def _all_have(cluster: Cluster, version: str):
    names = [spec.name for spec in cluster.plan.targets]
    wanted = [f"sable/none/{version}"]

    def done() -> bool:
        return all(_get(cluster, n, "/v1/load")["models"] == wanted for n in names)

    return done


async def _generate(cluster: Cluster, stop: asyncio.Event) -> list:
    failures = []
    async with aiohttp.ClientSession() as session:
        caller = Caller(session, list(cluster.router_addresses.values()), "norte")
        number = 0
        while not stop.is_set():
            key = f"order-{number}"
            answer = await caller.generate("quotation", f"notes {number}", key, 5)
            failures += [] if answer.whole else [answer.failure]
            number += 1
    return failures


@pytest.mark.integration
async def test_version_change_under_load_fails_no_request():
    with Cluster(_cluster_plan(checks_fencing=True)) as cluster:
        stop = asyncio.Event()
        load = asyncio.ensure_future(_generate(cluster, stop))
        await asyncio.to_thread(_set_version, cluster, "2")
        await asyncio.to_thread(_wait, _all_have(cluster, "2"))
        stop.set()
        assert await load == []


@pytest.mark.integration
@pytest.mark.parametrize("checks_fencing", [True, False])
def test_paused_lease_holder_sends_no_stale_order(checks_fencing):
    with Cluster(_cluster_plan(checks_fencing)) as cluster:
        _wait(lambda: _holder(cluster))
        old = _holder(cluster)
        (new,) = {"entry-1", "entry-2"} - {old}
        cluster.pause(old)
        _wait(lambda: _holder(cluster) == new)
        _set_version(cluster, "2")
        _wait(_all_have(cluster, "2"))
        fences = {_get(cluster, f"redactor-{n}", "/v1/load")["fence"] for n in range(2)}
        cluster.resume(old)
        _set_version(cluster, "3")
        _wait(_all_have(cluster, "3"))
        for number in range(2):
            totals = _get(cluster, f"redactor-{number}", "/v1/totals")
            assert totals["stale_orders"] == 0
        assert min(fences) > 0
