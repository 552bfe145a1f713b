"""Tests of the queues for targets, and of the work dispatched to targets."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from turmericflow.profile import Mark, Urgency
from turmericflow.systems import breakers, budgets, estimates, policies, scheduling
from turmericflow.tables import BreakerState, LoadReport, Pool
from turmericflow.testing import make_profile, make_tables, make_work

POLICIES = ["random", "sq", "lew", "mc", "fpi", "ours"]


def place(tables, work, now=1.0, policy="ours", until=10.0):
    pool = scheduling.pool_of(tables, work, now)
    scheduling.enqueue(tables, pool, work, until)
    rng = Random(1)
    return scheduling.dispatch(tables, pool, policies.policy_of(policy), now, rng)


def placed(outcomes):
    return [each.target.name for each in outcomes if hasattr(each, "target")]


@given(
    policy=st.sampled_from(POLICIES),
    steps=st.lists(
        st.tuples(st.sampled_from("prlm"), st.integers(0, 3)), min_size=1, max_size=60
    ),
)
@settings(max_examples=80, deadline=None)
def test_leaving_targets_get_nothing_and_work_is_conserved(policy, steps):
    """Work stays queued only while all targets that are not leaving are full."""
    tables = make_tables()
    chosen, rng = policies.policy_of(policy), Random(7)
    pool = scheduling.pool_of(tables, make_work(), 1.0)
    running, now = [], 1.0
    for number, (step, name) in enumerate(steps):
        now += 0.01
        target = tables.targets.rows[f"redactor-{name}"]
        match step:
            case "p":
                work = make_work(f"k{number}", ("norte", "sur")[name % 2])
                scheduling.enqueue(tables, pool, work, 1e9)
            case "r" if running:
                work, host = running.pop(0)
                scheduling.release(tables, pool, work, host, now, False, now)
            case "l":
                target.leaving = True
            case "m":
                tables.config.marks[target.name] = Mark(target.name, number % 2 == 0)
        for outcome in scheduling.dispatch(tables, pool, chosen, now, rng):
            mark = tables.config.marks.get(outcome.target.name)
            assert not outcome.target.leaving and not (mark and mark.leaving)
            running.append((outcome.entry.work, outcome.target))
        for each in tables.targets.rows.values():
            assert each.in_flight <= 2
            mark = tables.config.marks.get(each.name)
            if not (each.leaving or (mark and mark.leaving)) and each.in_flight < 2:
                assert sum(pool.depth.values()) == 0


@given(
    weights=st.lists(st.integers(1, 8), min_size=2, max_size=4),
    costs=st.lists(st.integers(1, 200), min_size=4, max_size=4),
)
@settings(max_examples=60, deadline=None)
def test_customers_with_work_waiting_get_their_weighted_share(weights, costs):
    """Served work per weight differs by at most one request of each customer."""
    names = [f"c{number}" for number in range(len(weights))]
    tables = make_tables(1, 1, dict(zip(names, map(float, weights))))
    pool = scheduling.pool_of(tables, make_work(), 1.0)
    for number in range(40):
        for name, cost in zip(names, costs):
            work = make_work(f"{name}-{number}", name, expected_tokens=float(cost))
            scheduling.enqueue(tables, pool, work, 1e9)
    served = dict.fromkeys(names, 0.0)
    for _ in range(30):
        (outcome,) = scheduling.dispatch(
            tables, pool, policies.ShortestQueue(), 1.0, Random(1)
        )
        work = outcome.entry.work
        served[work.request_id.customer] += work.expected_tokens
        scheduling.release(tables, pool, work, outcome.target, 1.0, False, 1.0)
    limits = {n: c / w for n, c, w in zip(names, costs, weights)}
    per_weight = {n: served[n] / w for n, w in zip(names, weights)}
    for name in names:
        for other in names:
            bound = limits[name] + limits[other]
            assert per_weight[name] - per_weight[other] <= bound + 1e-6


def test_urgent_work_goes_first_and_resumes_before_it():
    tables = make_tables(1, 1)
    place(tables, make_work("running"))
    thrifty = make_profile(name="t", urgency=Urgency.THRIFTY)
    urgent = make_profile(name="u", urgency=Urgency.URGENT)
    for work in (
        make_work("a", profile=thrifty),
        make_work("b", profile=urgent),
        make_work("c", profile=thrifty, resume=True),
    ):
        assert not place(tables, work)
    pool = tables.load.pools[make_work().pool]
    order = []
    target = tables.targets.rows["redactor-0"]
    for _ in range(3):
        scheduling.release(tables, pool, make_work(), target, 1.0, False, 1.0)
        (outcome,) = scheduling.dispatch(
            tables, pool, policies.LeastEstimatedTime(), 1.0, Random(1)
        )
        order.append(outcome.entry.work.request_id.key)
    assert order == ["c", "b", "a"]


def test_work_without_allowed_target_blocks_no_other_work():
    tables = make_tables(1, 2)
    only = frozenset(["redactor-0"])
    assert not place(tables, make_work("a", resume=True, exclude=only))
    assert placed(place(tables, make_work("b"))) == ["redactor-0"]


def test_queued_work_expires_at_its_time_and_not_before():
    tables = make_tables(1, 1)
    place(tables, make_work("a"))
    place(tables, make_work("b"), until=3.0)
    pool = tables.load.pools[make_work().pool]
    assert scheduling.expire(pool, 2.9) == []
    (outcome,) = scheduling.expire(pool, 3.0)
    assert outcome.entry.work.request_id.key == "b"
    assert sum(pool.depth.values()) == 0


def test_lost_target_is_probed_by_one_request_after_its_breaker_opened():
    tables = make_tables(1, 4)
    (sent,) = place(tables, make_work("a"))
    pool = tables.load.pools[make_work().pool]
    scheduling.release(tables, pool, make_work(), sent.target, 1.0, True, 1.0)
    assert not place(tables, make_work("b"), 1.5)
    later = 1.0 + breakers.INITIAL_OPEN_S
    assert len(place(tables, make_work("c"), later)) == 1
    assert sent.target.breaker.state is BreakerState.HALF_OPEN
    scheduling.release(tables, pool, make_work(), sent.target, later, False, later)
    assert sent.target.breaker.state is BreakerState.CLOSED
    outcomes = scheduling.dispatch(
        tables, pool, policies.LeastEstimatedTime(), later, Random(1)
    )
    assert len(outcomes) == 1


def test_breaker_that_fails_again_opens_for_longer():
    target = make_tables(1).targets.rows["redactor-0"]
    breakers.on_lost(target, 0.0)
    breakers.on_sent(target, 1.0)
    breakers.on_lost(target, 1.0)
    assert not breakers.allows(target, 1.0 + breakers.INITIAL_OPEN_S)
    assert breakers.allows(target, 1.0 + 2 * breakers.INITIAL_OPEN_S)


@given(st.lists(st.sampled_from(["accept", "retry"]), max_size=300))
@settings(max_examples=50, deadline=None)
def test_retries_never_exceed_their_share_of_accepted_work(steps):
    load = make_tables().load
    budgets.fill(load)
    accepted = retried = 0
    for step in steps:
        if step == "accept":
            budgets.earn(load)
            accepted += 1
        else:
            retried += budgets.spend(load.retries)
        share = budgets.MAX_RETRY_TOKENS + budgets.RETRY_RATIO * accepted
        assert retried <= share + 1e-6


def test_reserve_for_a_loss_is_kept_from_new_work_and_open_to_resumes():
    tables = make_tables(3, 8)
    pool = Pool(make_profile(), hold_s=120.0)
    tables.load.pools[make_work().pool] = pool
    scheduling.refresh(tables, pool, 1.0)
    assert pool.resume_reserve == 2
    for number in range(30):
        place(tables, make_work(f"k{number}"))
    assert all(row.in_flight == 6 for row in tables.targets.rows.values())
    assert len(place(tables, make_work("r", resume=True))) == 1


def test_load_report_is_corrected_by_requests_sent_since():
    tables = make_tables(1, 8)
    target = tables.targets.rows["redactor-0"]
    place(tables, make_work("a"), 1.0)
    place(tables, make_work("b"), 2.0)
    report = LoadReport(3, 0, 8, 20.0, 20_000.0, 2.05)
    estimates.learn_report(target, report)
    assert report.known_in_flight == 1
    assert estimates.estimated_in_flight(target, 2.1) == 4


@pytest.mark.parametrize("policy", POLICIES)
def test_same_seed_gives_the_same_decisions(policy):
    def trace():
        tables, rng, names = make_tables(12, 4), Random(3), []
        chosen = policies.policy_of(policy)
        pool = scheduling.pool_of(tables, make_work(), 1.0)
        for number in range(60):
            scheduling.enqueue(tables, pool, make_work(f"k{number}"), 1e9)
            outcomes = scheduling.dispatch(tables, pool, chosen, 1.0 + number, rng)
            for outcome in outcomes:
                names.append(outcome.target.name)
                if number % 3:
                    work = outcome.entry.work
                    scheduling.release(
                        tables, pool, work, outcome.target, 0.0, False, 1.0 + number
                    )
        return names

    assert trace() == trace()


def test_overdue_work_starts_before_it_expires_whatever_its_share():
    tables = make_tables(1, 1)
    place(tables, make_work("running"))
    place(tables, make_work("old", "norte", expected_tokens=1e6), until=5.0)
    place(tables, make_work("older", "norte", expected_tokens=1e6), until=5.0)
    for number in range(5):
        place(tables, make_work(f"new-{number}", "sur"), 4.0, until=9.0)
    pool = tables.load.pools[make_work().pool]
    target = tables.targets.rows["redactor-0"]
    order = []
    for now in (4.0, 4.1):
        scheduling.release(tables, pool, make_work(), target, 1.0, False, now)
        (outcome,) = scheduling.dispatch(
            tables, pool, policies.LeastEstimatedTime(), now, Random(1)
        )
        order.append(outcome.entry.work.request_id.key)
    assert order == ["old", "older"]
