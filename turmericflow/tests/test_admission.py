"""Tests of admission, prefix cache tracking and shared counts."""

from __future__ import annotations

from random import Random

import pytest

from benchmarks._virtual import Cluster, Fleet
from turmericflow.cfg import Address
from turmericflow.load import Workload, WorkloadError, arrivals
from turmericflow.profile import Mark
from turmericflow.systems import admission, policies, prefixes, scheduling, sharing
from turmericflow.tables import Peer, PeerState
from turmericflow.testing import make_profile, make_tables, make_work
from turmericflow.testing._batch import EngineSpeed
from turmericflow.verdict import ErrorCode, Verdict

WORKLOAD = {
    "name": "small",
    "profiles": [{"name": "quotation", "service": "redactor", "wait_s": 3.0}],
    "customers": [{"name": "norte"}, {"name": "sur"}],
    "streams": [
        {"profile": "quotation", "customer": "norte", "share": 3, "shared_words": 32},
        {"profile": "quotation", "customer": "sur", "share": 1, "shared_words": 32},
    ],
    "phases": [{"length_s": 6, "load": 2.0}],
}
FLEET = Fleet(2, 2, EngineSpeed(20.0, 0.01, 4, 20_000.0, 256))


def admit(tables, work, now=1.0):
    pool = scheduling.pool_of(tables, work, now)
    return admission.admit(tables, pool, work, 1, now, Random(1))


def fill(tables, number):
    for count in range(number):
        work = make_work(f"fill-{count}")
        pool = scheduling.pool_of(tables, work, 1.0)
        scheduling.enqueue(tables, pool, work, 1e9)
        scheduling.dispatch(tables, pool, policies.LeastEstimatedTime(), 1.0, Random(1))
    scheduling.refresh(tables, pool, 1.0)
    pool.hold_s = 2.0
    return pool


def test_work_with_too_long_a_wait_is_refused_with_retry_after():
    tables = make_tables(1, 2)
    fill(tables, 2)
    assert admit(tables, make_work("a", profile=make_profile(wait_s=30.0))) is None
    fill(tables, 30)
    refusal = admit(tables, make_work("b"))
    assert (refusal.code, refusal.verdict) == (ErrorCode.OVERLOADED, Verdict.NOT_RUN)
    assert refusal.retry_after_s >= 1.0


def test_work_that_cannot_end_by_its_deadline_is_refused():
    tables = make_tables(1, 2)
    profile = make_profile(deadline_s=1.0)
    refusal = admit(tables, make_work(profile=profile, max_tokens=100))
    assert refusal.code is ErrorCode.DEADLINE
    assert admit(tables, make_work(profile=profile, max_tokens=20)) is None


def test_accepted_work_counts_before_it_is_queued():
    tables = make_tables(1, 2)
    fill(tables, 2)
    answers = [admit(tables, make_work(f"a{number}")) for number in range(20)]
    assert answers[0] is None and answers[-1] is not None


def test_missing_target_and_stale_view_are_refused():
    tables = make_tables(1)
    tables.config.marks["redactor-0"] = Mark("redactor-0")
    assert admit(tables, make_work()).code is ErrorCode.NO_TARGET
    tables = make_tables(1)
    tables.config.confirmed_at = float("-inf")
    for host in ("entry-2", "entry-3"):
        address = Address("127.0.0.1", 1)
        state = PeerState.DEAD
        tables.peers.rows[host] = Peer(host, "north", address, address, state)
    assert admit(tables, make_work()).code is ErrorCode.STALE_VIEW


def test_gap_in_cache_events_is_polled_again_then_accepted():
    tables = make_tables(1)
    target, load = tables.targets.rows["redactor-0"], tables.load
    prefixes.learn_events(load, target, 2, [(1, "add", "a"), (2, "add", "b")], 1.0)
    assert target.cache_seq == 2
    prefixes.learn_events(load, target, 4, [(4, "add", "d")], 2.0)
    assert target.cache_seq == 2
    prefixes.learn_events(load, target, 4, [(3, "drop", "a"), (4, "add", "d")], 3.0)
    assert target.cache_seq == 4 and "a" not in load.block_holders
    for _ in range(prefixes.MAX_GAP_REPAIRS + 1):
        prefixes.learn_events(load, target, 6, [(6, "add", "f")], 4.0)
    assert target.cache_seq == 6 and set(load.block_holders) == {"f"}


def test_expected_cached_tokens_decrease_with_age():
    load = make_tables(1).load
    blocks = prefixes.block_names(["w"] * 32)
    prefixes.expect_blocks(load, "redactor-0", blocks, 0.0)
    fresh = prefixes.cached_tokens(load, "redactor-0", blocks, 0.0)
    half = prefixes.cached_tokens(
        load, "redactor-0", blocks, prefixes.MAX_BLOCK_AGE_S / 2
    )
    gone = prefixes.cached_tokens(load, "redactor-0", blocks, prefixes.MAX_BLOCK_AGE_S)
    assert (fresh, half, gone) == (32.0, 16.0, 0.0)


def test_counts_of_a_silent_router_expire():
    tables = make_tables(1)
    target = tables.targets.rows["redactor-0"]
    sharing.learn_counts(tables, "entry-2", {"redactor-0": 3}, True, 1.0)
    sharing.learn_counts(tables, "entry-2", {"redactor-0": 5}, False, 1.1)
    assert target.known_in_flight == 5
    sharing.learn_counts(tables, "entry-3", {"redactor-0": 2}, True, 1.1)
    sharing.learn_counts(tables, "entry-3", {}, False, 1.1)
    assert target.known_in_flight == 7
    sharing.learn_counts(tables, "entry-3", {}, True, 1.1)
    assert target.known_in_flight == 5
    sharing.expire_counts(tables, 1.2 + sharing.COUNTS_TTL_S)
    assert target.known_in_flight == 0 and not target.peer_in_flight


def test_arrivals_and_decisions_repeat_with_the_seed(tmp_path):
    path = tmp_path / "small.yaml"
    path.write_text(repr(WORKLOAD))
    workload = Workload.from_file(path)
    assert arrivals(workload, 9.0, 1) == arrivals(workload, 9.0, 1)
    assert arrivals(workload, 9.0, 1) != arrivals(workload, 9.0, 2)
    runs = [
        Cluster(workload, policies.LeastEstimatedTime(), FLEET, 1).run_workload()
        for _ in range(2)
    ]
    assert runs[0].decisions == runs[1].decisions
    for run in runs:
        ended = [each.good or each.failure is not None for each in run.outcomes]
        assert all(ended)
        assert all(
            each.failure.verdict == "NOT_RUN" for each in run.outcomes if not each.good
        )


def test_unknown_workload_field_is_named_in_the_error(tmp_path):
    path = tmp_path / "wrong.yaml"
    path.write_text(repr({**WORKLOAD, "burst": 4}))
    with pytest.raises(WorkloadError, match="burst: got 4"):
        Workload.from_file(path)
