"""Tests of a host's placement, failure detection, budgets and gossip, without I/O."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from random import Random

import pytest

from turmericflow.relay import (
    _adoption as adoption,
    _discovery as discovery,
    _membership as membership,
    _placement as placement,
    _silence as silence,
    _stream as stream,
)
from turmericflow.relay._budgets import PeerRetryUsage, RetryBudgets, RetryUsage
from turmericflow.relay._call import Call, KvCopy
from turmericflow.relay._crashes import MIN_CRASHES_TO_REFUSE, CrashTable
from turmericflow.relay._events import EventReader, EventsInvalid
from turmericflow.relay._host_tables import Drain, HostState
from turmericflow.relay._model import HostEntry, Route, Share, TargetEntry, WorkKind
from turmericflow.relay._tables import AbortReason, Run, Tables
from turmericflow.relay._target_tables import Load, TargetsChange

ROUTE = Route(
    "stream",
    "site",
    "/",
    WorkKind.STREAM,
    25.0,
    4.5,
    (Share("model", 1.0),),
    max_attempts=5,
    resumable=True,
    gap_s=0.7,
)


def host(name: str, data_centre: str = "dc-0", incarnation: int = 1) -> HostEntry:
    return HostEntry(name, incarnation, data_centre, f"{name}:1", f"{name}:2")


def known_hosts(names: list[str]) -> dict[str, Tables]:
    """Return the tables of hosts that know all of each other's entries."""
    found = {name: Tables(host(name)) for name in names}
    for table in found.values():
        for other in names:
            membership.upsert_entry(table.hosts, host(other), 0.0)
    return found


def engine(name: str, data_centre: str = "dc-0", slots: int = 64) -> TargetEntry:
    return TargetEntry(name, 0, "model", f"{name}:1", data_centre, slots)


@pytest.fixture
def tables() -> Tables:
    found = Tables(host("own"))
    entries = [engine(f"e{n}", f"dc-{n % 3}") for n in range(6)]
    discovery.replace(found.targets, entries, 1, now=0.0)
    return found


def demand(**changes: object) -> placement.Demand:
    return placement.Demand("model", "dc-0", **changes)


def run_at(tables: Tables, name: str, events: int = 1, heard_at: float = 0.0) -> Run:
    target = tables.targets.rows[f"{name}@0"]
    run = Run(Call(name, "POST", "site", "/"), ROUTE, target, heard_at)
    run.events = events
    run.first_event_due_s = 1.0
    target.last_event_at = heard_at
    tables.runs.add(run)
    return run


# Loss of a data centre


def test_new_work_avoids_a_data_centre_that_lost_several_engines(tables: Tables):
    rows = tables.targets.rows
    for name in ("e0@0", "e3@0"):
        placement.record_loss(tables.targets, rows[name], 10.0)
    entry = engine("e6", "dc-0")
    discovery.put(tables.targets, entry, now=0.0)
    for _ in range(20):
        found = placement.choose(tables.targets, demand(), 10.1, Random(1))
        assert found.entry.data_centre != "dc-0"
    later = 10.0 + placement.LOSS_WINDOW_S + 0.1
    found = placement.choose(tables.targets, demand(), later, Random(1))
    assert found.entry.data_centre == "dc-0"


def test_a_copy_is_kept_in_another_data_centre(tables: Tables):
    found = placement.choose_backup(
        tables.targets, demand(excluded_data_centre="dc-0"), 0.0, Random(1)
    )
    assert found.entry.data_centre != "dc-0"


def test_after_one_loss_no_copy_goes_to_that_data_centre(tables: Tables):
    """The engines of a data centre fail one after another within milliseconds."""
    placement.record_loss(tables.targets, tables.targets.rows["e1@0"], 10.0)
    for seed in range(20):
        found = placement.choose_backup(
            tables.targets, demand(excluded_data_centre="dc-0"), 10.01, Random(seed)
        )
        assert found.entry.data_centre == "dc-2"


def test_a_target_that_failed_and_has_not_worked_since_is_chosen_last(tables: Tables):
    for name in ("e0@0", "e1@0", "e2@0", "e3@0", "e4@0"):
        placement.record_loss(tables.targets, tables.targets.rows[name], 10.0)
    found = placement.choose(tables.targets, demand(), 20.0, Random(1))
    assert found.entry.id == "e5"
    placement.record_success(tables.targets.rows["e0@0"])
    found = placement.choose(tables.targets, demand(), 20.0, Random(1))
    assert found.entry.id == "e0"


def test_a_copy_is_found_by_address_after_a_restart(tables: Tables):
    restarted = TargetEntry("again", 5, "model", "e1:1", "dc-1", 64)
    discovery.put(tables.targets, restarted, now=0.0)
    found = placement.find_holder(tables.targets, demand(), "e1:1", 0.0)
    assert found.entry.key == "again@5"


def test_a_loss_is_gossiped_once_and_expires(tables: Tables):
    other = Tables(host("other"))
    discovery.replace(other.targets, [engine("e0")], 1, now=0.0)
    target = tables.targets.rows["e0@0"]
    assert placement.record_loss(tables.targets, target, 10.0)
    target.lost_at = 10.0
    for now in (10.1, 10.4, 10.9, 12.0):
        membership.apply_status(other, membership.own_status(tables, now), now)
    copy = other.targets.rows["e0@0"]
    assert copy.failures == 1 and copy.backoff_until == pytest.approx(10.5)
    assert copy.lost_at < 0


# Placement by many hosts at the same time


def test_load_from_other_hosts_affects_placement(tables: Tables):
    other = Tables(host("other"))
    discovery.replace(
        other.targets, [engine(f"e{n}", "dc-0") for n in range(6)], 1, now=0.0
    )
    for n in (0, 3):
        other.targets.rows[f"e{n}@0"].own_load = Load(1, 8000, 9000)
    membership.apply_status(tables, membership.own_status(other, 0.0), 0.0)
    found = placement.choose(tables.targets, demand(), 0.1, Random(1))
    assert found.entry.id not in ("e0", "e3")
    membership.expire(tables, 10.0)
    assert tables.targets.rows["e0@0"].pending_prefill_tokens == 0


def test_an_idle_remote_engine_is_preferred_to_a_busy_local_one(tables: Tables):
    """A data centre has more callers than its engines can serve."""
    for n in (0, 3):
        tables.targets.rows[f"e{n}@0"].own_load = Load(1, 0, 9000)
    for seed in range(20):
        found = placement.choose(
            tables.targets, demand(tokens=9000, capacity=88_000), 0.0, Random(seed)
        )
        assert found.entry.data_centre != "dc-0"


def test_an_engine_with_full_memory_is_chosen_last(tables: Tables):
    for n in range(5):
        tables.targets.rows[f"e{n}@0"].own_load = Load(0, 0, 85_000)
    found = placement.choose(
        tables.targets, demand(tokens=9000, capacity=88_000), 0.0, Random(1)
    )
    assert found.entry.id == "e5"


def test_a_replaced_target_is_used_by_no_host(tables: Tables):
    """The store is unreachable, and targets restarted under other ids."""
    other = Tables(host("other"))
    discovery.replace(other.targets, [engine("e0"), engine("e1")], 1, now=0.0)
    placement.record_gone(tables.targets.rows["e0@0"], 10.0)
    membership.apply_status(other, membership.own_status(tables, 10.1), 10.1)
    for seed in range(10):
        found = placement.choose(other.targets, demand(), 10.2, Random(seed))
        assert found.entry.id == "e1"


# Failure detection


def test_a_silent_engine_is_suspected_in_about_300_ms(tables: Tables):
    run = run_at(tables, "e0")
    run.backup = tables.targets.rows["e1@0"]
    run.target.event_gap_s = 0.03
    assert silence.find_silent_streams(tables, 0.24) == []
    (found,) = silence.find_silent_streams(tables, 0.3)
    assert (found.run, found.action) == (run, silence.Action.END)


def test_a_silent_stream_of_a_live_target_has_a_longer_timeout(tables: Tables):
    run = run_at(tables, "e0")
    run.backup = tables.targets.rows["e1@0"]
    run.target.last_event_at = 0.29
    assert silence.find_silent_streams(tables, 0.3) == []
    run.target.last_event_at = 0.5
    assert [found.run for found in silence.find_silent_streams(tables, 0.5)] == [run]


def test_a_prompt_queued_for_prefill_is_not_aborted(tables: Tables):
    """After a burst, several prompts wait at one engine."""
    run = run_at(tables, "e0", events=0)
    run.target.own_load.pending_prefill_tokens = 32_000
    actions = {found.action for found in silence.find_silent_streams(tables, 4.0)}
    assert silence.Action.END not in actions
    (found,) = silence.find_silent_streams(tables, 12.0)
    assert found.action is silence.Action.END


def test_the_prefill_rate_is_learned_from_prompts_prefilled_alone(tables: Tables):
    for _ in range(40):
        run = run_at(tables, "e0", events=0)
        run.call.prompt_tokens, run.prefills_alone = 8000, True
        silence.record_event(tables, run, 2.0 + silence.FIRST_EVENT_OVERHEAD_S)
    rate = tables.targets.prefill_rates["model"]
    assert rate == pytest.approx(4000, rel=0.05)
    run = run_at(tables, "e1", events=0)
    run.call.prompt_tokens = 4000
    due_s = silence.first_event_due_s(tables, run, 0)
    assert due_s == pytest.approx(1.0 + silence.FIRST_EVENT_OVERHEAD_S, rel=0.05)


def test_an_engine_is_probed_when_others_of_its_data_centre_were_lost(tables: Tables):
    run_at(tables, "e0", events=0)
    assert silence.find_silent_streams(tables, 0.4) == []
    for name in ("e3@0", "e0@0"):
        placement.record_loss(tables.targets, tables.targets.rows[name], 0.35)
    (found,) = silence.find_silent_streams(tables, 0.4)
    assert found.action is silence.Action.PROBE


def test_a_slow_caller_does_not_make_its_engine_suspect(tables: Tables):
    run_at(tables, "e0").waiting_on_caller = True
    assert silence.find_silent_streams(tables, 30.0) == []


def destination(tables: Tables, silent: set[str], now: float = 1.0, **changes) -> str:
    """Return the name of the engine at which a stream of e0 resumes, or ""."""
    copy = KvCopy("e1:1", "e1:1", "r") if changes.pop("copied", False) else None
    excluded = frozenset(["e0@0"])
    found = silence.find_destination(
        tables, demand(excluded_targets=excluded), copy, silent, now, Random(1)
    )
    return "" if found is None else found.entry.id


def test_a_silent_stream_resumes_at_the_holder_of_its_copy(tables: Tables):
    assert destination(tables, set(), copied=True) == "e1"
    assert destination(tables, {"e1@0"}, copied=True) not in ("", "e0", "e1")
    placement.record_loss(tables.targets, tables.targets.rows["e1@0"], 0.9)
    assert destination(tables, set(), copied=True) not in ("", "e0", "e1")


def test_a_silent_stream_resumes_at_no_silent_or_lost_engine(tables: Tables):
    silent = {f"e{n}@0" for n in range(5)}
    assert destination(tables, silent) == "e5"
    placement.record_loss(tables.targets, tables.targets.rows["e5@0"], 0.9)
    assert destination(tables, silent) == ""
    assert destination(tables, silent, now=1.5) == "e5"
    assert destination(tables, silent | {"e5@0"}, now=1.5, copied=True) == ""


def test_engines_that_fall_silent_together_are_all_silent(tables: Tables):
    """Their last events differ by up to an event gap, as their steps do."""
    for number in range(6):
        run = run_at(tables, f"e{number}", heard_at=0.01 * number)
        run.target.event_gap_s = 0.03
    assert silence.find_silent_targets(tables, 0.1) == set()
    assert len(silence.find_silent_targets(tables, 0.25)) == 6


def test_a_live_engine_is_not_silent_for_one_silent_stream(tables: Tables):
    run_at(tables, "e0").target.last_event_at = 0.9
    run_at(tables, "e1", events=0)
    assert silence.find_silent_targets(tables, 1.0) == set()
    run_at(tables, "e2", events=0).held = True
    assert silence.find_silent_targets(tables, 1.0) == {"e2@0"}


def test_a_stream_whose_copy_is_at_a_silent_engine_waits_as_if_it_had_none(
    tables: Tables,
):
    run = run_at(tables, "e0")
    run.backup = tables.targets.rows["e1@0"]
    assert [found.run for found in silence.find_silent_streams(tables, 0.3)] == [run]
    run_at(tables, "e1").waiting_on_caller = True
    assert [found.run for found in silence.find_silent_streams(tables, 0.3)] == [run]
    run_at(tables, "e1")
    assert silence.find_silent_streams(tables, 0.3) == []
    assert len(silence.find_silent_streams(tables, 1.0)) == 2


def test_an_engine_tried_after_a_silent_one_is_not_probed_at_once(tables: Tables):
    run = run_at(tables, "e0", events=0)
    run.follows_silence, run.first_event_due_s = True, 0.2
    assert silence.find_silent_streams(tables, 1.9) == []
    (found,) = silence.find_silent_streams(tables, 2.1)
    assert found.action is silence.Action.PROBE


def test_the_end_of_a_silence_ends_its_backoff_only(tables: Tables):
    run = run_at(tables, "e0")
    target = run.target
    for silent, failures in ((True, 0), (False, 1)):
        target.backoff_until, target.failures = 0.0, 0
        assert placement.record_loss(tables.targets, target, 10.0)
        target.silent = silent
        target.last_event_at = 0.0
        silence.record_event(tables, run, 10.1)
        assert target.failures == failures
        assert (target.backoff_until > 10.1) == bool(failures)
        target.last_event_at = 0.0


# Retry budgets and crashes


def max_retries(times: list[float], window_s: float) -> int:
    return max(sum(1 for at in times if t <= at < t + window_s) for t in times)


def known_usage(
    gossiped: list[dict[str, RetryUsage]], own: int, hosts: int
) -> PeerRetryUsage:
    """Return the usage that a host knows from the last gossip."""
    usages = [
        each.get("s", RetryUsage()) for n, each in enumerate(gossiped) if n != own
    ]
    return PeerRetryUsage(usages, hosts, 1.0)


@pytest.mark.parametrize("hosts", [1, 6, 76, 300])
def test_retries_of_all_hosts_stay_within_the_budget(hosts: int):
    """All hosts retry as often as allowed, and learn of it a second late."""
    budgets = [RetryBudgets(0.8, 10.0, 150.0) for _ in range(hosts)]
    in_transit: deque = deque([[{} for _ in budgets]] * 4)
    retries: list[float] = []
    per_step = 30
    for step in range(80):
        now = step / 4
        for _ in range(per_step):
            budgets[step % hosts].record_request("s", now)
        gossiped = in_transit.popleft()
        for own, budget in enumerate(budgets):
            others = known_usage(gossiped, own, hosts)
            while budget.try_spend("s", others, now):
                retries.append(now)
        in_transit.append([budget.usage(now) for budget in budgets])
    assert max_retries(retries, 10.0) <= 0.8 * 40 * per_step + 150.0


def test_partitioned_hosts_share_the_slack():
    """A network partition leaves three groups without contact."""
    retries: list[float] = []
    for _ in range(3):
        budgets = [RetryBudgets(0.8, 10.0, 150.0) for _ in range(25)]
        for step in range(40):
            now = step / 4
            for own, budget in enumerate(budgets):
                usages = [b.usage(now).get("s", RetryUsage()) for b in budgets]
                others = PeerRetryUsage(usages[:own] + usages[own + 1 :], 75, 1.0)
                while budget.try_spend("s", others, now):
                    retries.append(now)
    assert len(retries) <= 150


def test_hosts_that_lose_many_streams_use_what_the_others_left():
    """A third of the engines fails every four seconds, with 76 hosts."""
    budgets = [RetryBudgets(0.8, 10.0, 150.0) for _ in range(76)]
    rng, lost = Random(1), 0
    for step in range(200):
        now = step / 10
        for _ in range(3):
            rng.choice(budgets).record_request("s", now)
        if step % 40 == 39:
            gossiped = [budget.usage(now) for budget in budgets]
            for own in range(76):
                others = known_usage(gossiped, own, 76)
                for _ in range(2 if own % 4 == 0 else 0):
                    if not any(
                        budgets[own].try_spend("s", others, now + pause)
                        for pause in (0.0, 1.1)
                    ):
                        lost += 1
    assert lost == 0


def test_a_content_is_refused_after_three_crashes_and_cleared_by_an_answer():
    crashes = CrashTable()
    for number in range(MIN_CRASHES_TO_REFUSE):
        assert not crashes.is_refused("c", 1.0)
        crashes.record("c", f"t{number}", 1.0)
        crashes.record("c", f"t{number}", 1.0)
    assert crashes.is_refused("c", 2.0)
    crashes.clear("c", 3.0)
    assert not crashes.is_refused("c", 3.0)
    assert not crashes.record("c", "t0", 1.0)


def test_a_crashed_target_gets_no_work_before_it_restarts(tables: Tables):
    """Engines fail together, and their entries stay for a second or two."""
    other = Tables(host("other"))
    discovery.replace(other.targets, [engine("e0"), engine("e1")], 1, now=0.0)
    membership.upsert_entry(other.hosts, host("own"), 0.0)
    placement.record_loss(tables.targets, tables.targets.rows["e0@0"], 1.0)
    placement.record_crash(tables.targets.rows["e0@0"], 1.0)
    tables.crashes.record_own("c", "e0@0", 1.0)
    membership.apply_status(other, membership.own_status(tables, 1.1), 1.1)
    other.targets.rows["e1@0"].own_load.pending_prefill_tokens = 50_000
    for _ in range(20):
        found = placement.choose(other.targets, demand(), 2.5, Random(1))
        assert found.entry.id == "e1"
    discovery.put(
        other.targets, TargetEntry("e2", 0, "model", "e0:1", "dc-0", 64), now=0.0
    )
    found = placement.choose(other.targets, demand(), 2.6, Random(1))
    assert found.entry.id == "e2"


def test_a_crash_is_gossiped_only_by_the_host_that_detected_it():
    """Targets crash under many requests, and all hosts gossip their crashes."""
    detector, receiver = Tables(host("a")), Tables(host("b"))
    for table in (detector, receiver):
        membership.upsert_entry(table.hosts, host("a"), 0.0)
    detector.crashes.record_own("c", "t0", 1.0)
    status = membership.own_status(detector, 1.1)
    assert [crash[:2] for crash in status.crashes] == [("c", "t0")]
    membership.apply_status(receiver, status, 1.2)
    assert receiver.crashes.is_recorded("c")
    assert membership.own_status(receiver, 1.3).crashes == []
    assert membership.own_status(detector, 9.0).crashes == []


# Hosts


def test_an_adopted_target_is_gossiped_only_by_the_host_that_found_it(
    tables: Tables,
):
    """The store is unreachable, and a third of the engines restarts."""
    receiver = Tables(host("heard"))
    membership.upsert_entry(receiver.hosts, host("own"), 0.0)
    for table in (tables, receiver):
        table.hosts.unanswered_kinds.add("targets")
    adoption.adopt(tables, engine("back"), 1.0)
    status = membership.own_status(tables, 1.1)
    membership.apply_status(receiver, status, 1.2)
    assert [entry.id for entry in status.adopted] == ["back"]
    adoption.adopt_from_peer(receiver, status.adopted, 1.2)
    assert "back@0" in receiver.targets.rows
    assert membership.own_status(receiver, 1.3).adopted == []
    assert membership.own_status(tables, 9.0).adopted == []


def test_a_status_reaches_every_host_in_a_few_hops():
    names = [f"h{n:02}" for n in range(76)]
    links: dict[str, set[str]] = {name: set() for name in names}
    for name, table in known_hosts(names).items():
        found = membership.neighbours(table, 0.0)
        assert len(found) <= 7
        for entry in found:
            links[name].add(entry.name)
            links[entry.name].add(name)
    reached, hops = {names[0]}, 0
    while len(reached) < len(names):
        reached |= {peer for name in reached for peer in links[name]}
        hops += 1
    assert hops <= 4


@pytest.mark.parametrize("lost", [("1", "2", "4", "5"), ("0", "1", "2"), ("3",)])
def test_the_live_hosts_stay_connected_whichever_are_lost(lost: tuple[str, ...]):
    """Hosts fail together, and the remaining ones must find each other."""
    names = [str(number) for number in range(6)]
    live = [name for name in names if name not in lost]
    tables = known_hosts(names)
    for table in tables.values():
        for other in live:
            status = membership.own_status(tables[other], 5.0)
            membership.apply_status(table, status, 5.0)
    links: dict[str, set[str]] = {name: set() for name in live}
    for name in live:
        for entry in membership.neighbours(tables[name], 5.1):
            if entry.name in links:
                links[name].add(entry.name)
                links[entry.name].add(name)
    reached = {live[0]}
    for _ in live:
        reached |= {peer for name in reached for peer in links[name]}
    assert reached == set(live)


def test_a_silent_host_is_no_longer_listed_and_one_host_removes_its_entry():
    all_tables = {name: Tables(host(name)) for name in ("a", "b", "c")}
    for table in all_tables.values():
        table.hosts.state = HostState.READY
        for name in all_tables:
            row = membership.upsert_entry(table.hosts, host(name), 0.0)
            if row is not None:
                row.revision = 5
    for now in (0.1, 30.0):
        for name in ("a", "b") if now > 1 else all_tables:
            status = membership.own_status(all_tables[name], now)
            for table in all_tables.values():
                membership.apply_status(table, status, now)
    assert sorted(membership.addresses(all_tables["a"], 30.0)) == ["a:1", "b:1"]
    removers = [
        name for name in ("a", "b") if membership.expired_hosts(all_tables[name], 30.0)
    ]
    assert len(removers) == 1


def test_two_of_the_hosts_with_store_access_read_it():
    all_tables = {name: Tables(host(name)) for name in ("a", "b", "c", "d", "e")}

    def readers(now: float) -> list[str]:
        for name, table in all_tables.items():
            status = membership.own_status(table, now)
            for other in all_tables.values():
                membership.apply_status(other, status, now)
        return [
            n for n, table in all_tables.items() if membership.is_resyncer(table, now)
        ]

    first = readers(0.0)
    assert len(first) == membership.RESYNCERS
    all_tables[first[0]].hosts.unanswered_kinds.add("targets")
    second = readers(0.2)
    assert len(second) == membership.RESYNCERS and first[0] not in second


def test_an_entry_that_expired_in_an_outage_is_kept_until_it_may_be_renewed(
    tables: Tables,
):
    table = tables.targets
    discovery.apply(table, TargetsChange(1, 101, True, [], ["e2"], []), 9.0)
    table.outage_grace_until = 12.5
    discovery.apply(table, TargetsChange(101, 102, True, [], ["e0", "e1"], []), 10.0)
    assert set(tables.targets.rows) == {"e0@0", "e1@0", "e3@0", "e4@0", "e5@0"}
    discovery.put(tables.targets, engine("e0"), now=0.0)
    assert discovery.expire(tables.targets, 12.6) == ["e1@0"]
    assert "e0@0" in tables.targets.rows


def test_an_invalid_entry_is_dropped_even_after_an_outage(
    tables: Tables,
):
    table = tables.targets
    table.outage_grace_until = 12.5
    change = discovery.difference(table, [engine("e0")], ["e1"], 9)
    assert discovery.apply(table, change, 10.0)
    assert "e1@0" not in table.rows and "e1@0" not in table.lapsed
    assert set(table.lapsed) == {"e2@0", "e3@0", "e4@0", "e5@0"}


def test_a_listing_older_than_the_table_is_ignored(tables: Tables):
    table = tables.targets
    for revision in (0, table.revision):
        change = discovery.difference(table, [], [], revision)
        assert not discovery.apply(table, change, 10.0)
    assert len(table.rows) == 6


# Events


def test_events_are_complete_for_any_chunk_sizes():
    data = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(50))
    rng, reader, found = Random(1), EventReader(), []
    while data:
        size = rng.choice([1, 3, 20, 200])
        found += [event.id for event in reader.feed(data[:size])]
        data = data[size:]
    assert found == list(range(50)) and reader.remainder == b""


def test_an_event_id_that_is_no_number_is_refused():
    with pytest.raises(EventsInvalid):
        EventReader().feed(b"id: x\ndata: y\n\n")


# Guards against a crash of the host, which ends all of its requests, if a stream is
# found to be silent in the pass of the event loop in which its deadline ends it.
async def test_a_stream_that_its_deadline_ends_may_be_interrupted_too(tables: Tables):
    run = run_at(tables, "e0")
    loop = asyncio.get_running_loop()
    interrupted = loop.create_future()

    def interrupt() -> None:
        try:
            stream.interrupt(run, AbortReason.SILENT, set(), loop.time())
        except RuntimeError as exc:
            interrupted.set_exception(exc)
        else:
            interrupted.set_result(None)

    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01) as run.timeout:
            loop.call_later(0.02, interrupt)
            time.sleep(0.05)
            await asyncio.sleep(1)
    await interrupted


# Guards against a stream that is sent later than 3/8 of the time to leave after the
# order, and accepted as the order was handled or the stream was read a little late.
def test_a_drain_accepts_for_less_than_the_time_in_which_a_cut_is_excused():
    order_at, handled_at, leave_s = 0.0, 0.1, 8.0
    drain = Drain(handled_at, leave_s)
    assert drain.accept_until < order_at + 3 / 8 * leave_s
    assert drain.serve_until < order_at + leave_s
    assert Drain(handled_at, 0.1).accept_until == handled_at
