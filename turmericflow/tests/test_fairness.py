"""Tests of fair shares between customers and of the slots reserved for them."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from turmericflow.systems import (
    admission,
    estimates,
    fairness,
    policies,
    routing,
    scheduling,
    sharing,
)
from turmericflow.testing import make_tables, make_work
from turmericflow.wire import FlowDemand, PoolDemand


def equal_weight(customer):
    return 1.0


def record_demand(pool, **rates_per_s):
    """Record the demand of customers in requests per second, and update the rates."""
    for customer, rate in rates_per_s.items():
        flow = fairness.flow_of(pool, make_work(customer=customer))
        flow.demand.count += round(rate * fairness.SHARE_UPDATE_S)
    fairness.update_rates(pool, fairness.SHARE_UPDATE_S)


@pytest.fixture
def tables():
    """Return tables of four engines, with most of the demand from one customer."""
    tables = make_tables(4, 8)
    pool = scheduling.pool_of(tables, make_work(), 1.0)
    pool.hold_s, pool.hold_samples = 2.0, 100
    scheduling.refresh(tables, pool, 1.0)
    for _ in range(10):
        record_demand(pool, norte=40, sur=4)
    fairness.update_shares(pool, equal_weight, 16.0, 1)
    scheduling.refresh(tables, pool, 1.1)
    return tables


@pytest.fixture
def pool(tables):
    """Return the pool of the engines."""
    return tables.load.pools[make_work().pool]


def fill(tables, pool, customer):
    """Start work of a customer until no slot is left for it; return the number."""
    for number in range(40):
        work = make_work(f"{customer}-{number}", customer)
        scheduling.enqueue(tables, pool, work, 1e9)
        if not scheduling.dispatch(
            tables, pool, policies.ShortestQueue(), 1.1, Random(1)
        ):
            return number
    raise AssertionError("got 40 requests started on 32 slots")


def test_no_customer_exceeds_its_share_without_overload(pool):
    fairness.update_shares(pool, equal_weight, 100.0, 1)
    assert not pool.over_share and not pool.share_reserve


def test_first_request_of_a_customer_does_not_exceed_its_share(pool):
    record_demand(pool, este=2)
    fairness.update_shares(pool, equal_weight, 4.0, 1)
    assert ("quotation", "este") not in pool.over_share


def test_customer_over_its_share_leaves_slots_free_on_each_target(tables, pool):
    assert pool.over_share == {("quotation", "norte")} and pool.share_reserve > 0
    fill(tables, pool, "norte")
    usable = 8 - pool.share_reserve
    assert [each.in_flight for each in pool.targets] == [usable] * 4
    work = make_work("small", "sur")
    scheduling.enqueue(tables, pool, work, 1e9)
    assert (
        len(scheduling.dispatch(tables, pool, policies.ShortestQueue(), 1.1, Random(1)))
        == 1
    )


def test_at_most_a_quarter_of_a_small_target_is_reserved():
    tables = make_tables(3, 4)
    pool = scheduling.pool_of(tables, make_work(), 1.0)
    for _ in range(10):
        record_demand(pool, norte=40, sur=4)
    fairness.update_shares(pool, equal_weight, 16.0, 1)
    assert pool.over_share and pool.share_reserve == 1


def test_admission_excludes_slots_reserved_for_other_customers(tables, pool):
    fill(tables, pool, "norte")
    scheduling.refresh(tables, pool, 1.15)
    assert pool.free > fairness.queue_length(pool)
    assert admission.expected_wait_s(tables, pool, make_work("more", "norte"), 1) > 0
    assert admission.expected_wait_s(tables, pool, make_work("small", "sur"), 1) == 0


def test_end_of_an_overload_ends_the_reserve(pool):
    for _ in range(6):
        record_demand(pool, norte=4, sur=4)
    fairness.update_shares(pool, equal_weight, 16.0, 1)
    assert not pool.over_share and not pool.share_reserve


def test_shares_use_the_demand_at_all_routers(pool):
    flows = tuple(FlowDemand("quotation", name, 4.0) for name in ("este", "cerro"))
    flow = fairness.flow_of(pool, make_work(customer="sur"))
    flow.credit = 0.0
    fairness.update_shares(pool, equal_weight, 4.0, 1)
    before, flow.credit = flow.credit, 0.0
    pool.peer_demands["entry-2"] = PoolDemand(0, 8.0, 0.0, flows)
    fairness.update_shares(pool, equal_weight, 4.0, 1)
    assert flow.credit == pytest.approx(before / 2)


def test_demand_is_sent_once_per_measurement_and_stored(tables, pool):
    fill(tables, pool, "norte")
    scheduling.refresh(tables, pool, 1.15)
    fairness.update_shares(pool, equal_weight, 16.0, 1)
    first, second = sharing.pool_demands(tables), sharing.pool_demands(tables)
    other = make_tables(4, 8)
    known = scheduling.pool_of(other, make_work(), 1.0)
    for demands in (first, second, {}):
        sharing.learn_demands(other, "entry-1", demands)
        flows = known.peer_demands["entry-1"].flows
        assert [each.customer for each in flows] == ["norte", "sur"]
    assert second[make_work().pool].flows is None
    assert known.peer_demands["entry-1"].waiting == 0


@given(st.lists(st.integers(0, 3), min_size=1, max_size=80))
@settings(max_examples=60, deadline=None)
def test_work_within_its_share_never_exceeds_the_share_and_one_credit(steps):
    """Each step starts as many of the wanted requests as the share allows."""
    pool = scheduling.pool_of(make_tables(), make_work(), 1.0)
    work, taken = make_work(customer="sur"), 0
    record_demand(pool, sur=2, norte=2)
    for wanted in steps:
        fairness.update_shares(pool, equal_weight, 4.0, 1)
        for _ in range(wanted):
            if fairness.within_share(pool, work):
                fairness.charge(pool, work)
                taken += 1
    share = 2.0 * fairness.SHARE_UPDATE_S * len(steps)
    assert taken <= share + fairness.MAX_CREDIT_REQUESTS


def test_last_free_slot_is_unused_while_another_target_has_more(pool, tables):
    full, roomy = pool.targets[0], pool.targets[1]
    for each in pool.targets:
        estimates.change_in_flight(each, 7 if each is not roomy else 6, 1.0)
    work = make_work("small", "sur")
    found = routing.sample(tables, pool, work, 1.1, Random(1))
    assert found == [roomy]
    estimates.change_in_flight(roomy, 1, 1.0)
    assert full in routing.sample(tables, pool, work, 1.1, Random(1))


def test_routers_divide_the_targets_for_work_over_its_share(tables, pool):
    sharing.learn_counts(tables, "entry-2", {}, True, 1.1)
    sharing.learn_demands(tables, "entry-2", {make_work().pool: PoolDemand(0)})
    scheduling.refresh(tables, pool, 1.15)
    assert len(pool.assigned_targets) == 2
    other = next(
        each for each in pool.targets if each.name not in pool.assigned_targets
    )
    assert not routing.may_exceed_share_on(pool, other)
    estimates.change_in_flight(other, 1, 1.15)
    scheduling.release(tables, pool, make_work(), other, 1.0, False, 1.16)
    assert routing.may_exceed_share_on(pool, other)


def test_first_ended_requests_do_not_bias_the_mean_hold_time():
    tables = make_tables(1, 4)
    pool = scheduling.pool_of(tables, make_work(), 0.0)
    (target,) = pool.targets
    for number in range(4):
        scheduling.enqueue(tables, pool, make_work(f"k{number}"), 1e9)
    scheduling.dispatch(tables, pool, policies.ShortestQueue(), 0.0, Random(1))
    for now in (0.0, 1.0):
        scheduling.refresh(tables, pool, now)
    scheduling.release(tables, pool, make_work(), target, 0.0, False, 1.0)
    assert pool.hold_s == pytest.approx(4.0)
