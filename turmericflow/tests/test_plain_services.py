"""Tests of calls to plain services that fail, with real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp
import pytest

from turmericflow import _body_memory as body_memory
from turmericflow.client import Caller
from turmericflow.systems import budgets
from turmericflow.testing import Cluster, EngineSpec
from turmericflow.testing._cluster import http_json
from turmericflow.testing._fleet import (
    ANSWERS_TIMEOUT_S,
    DATA_CENTRES,
    fleet_plan,
    sum_counter,
)
from turmericflow.verdict import ErrorCode, Verdict

pytestmark = pytest.mark.integration

DESKS = ("desk-0", "desk-1")
CALLS = 8
ENDLESS_CALLS = 20


def add_proxies(cluster):
    for name in DESKS:
        cluster.route_through_proxy(name)


@pytest.fixture
def cluster():
    call = {"service": "booking-desk", "kind": "call", "wait_s": 2.0}
    profiles = [
        {"name": "booking", **call, "idempotent": False},
        {"name": "question", **call},
    ]
    plan = fleet_plan(0, profiles)
    plan.targets += [
        EngineSpec(
            name, "booking-desk", DATA_CENTRES[0], ["--work-ms", "100"], "service"
        )
        for name in DESKS
    ]
    plan.prepare = add_proxies
    with Cluster(plan) as running:
        yield running


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


def start_calls(session, cluster, name, number=CALLS):
    """Start calls through one router; return their tasks by key."""
    address = cluster.router_addresses["entry-1"]
    started = {}
    for index in range(number):
        key = f"{name}-{index}"
        work = Caller(session, [address], "academy").call(name, {"slot": index}, key)
        started[key] = asyncio.ensure_future(work)
    return started


async def gather(started):
    answers = await asyncio.wait_for(
        asyncio.gather(*started.values()), ANSWERS_TIMEOUT_S
    )
    return dict(zip(started, answers))


def count_runs(cluster, name):
    """Return how often a plain service has run each key."""
    url = f"http://{cluster.processes[name].address}/v1/runs"
    return http_json("GET", url)


async def test_silent_service(cluster, session):
    cluster.pause("desk-0")
    bookings = start_calls(session, cluster, "booking")
    questions = await gather(start_calls(session, cluster, "question"))
    assert all(answer.whole for answer in questions.values())
    hedged = await asyncio.to_thread(sum_counter, cluster, "runner.hedged")
    cluster.resume("desk-0")
    assert all(answer.whole for answer in (await gather(bookings)).values())
    found = [await asyncio.to_thread(count_runs, cluster, name) for name in DESKS]
    assert 0 < hedged <= CALLS
    for key in bookings:
        assert sum(each.get(key, 0) for each in found) == 1


async def test_reply_of_a_booking_is_lost(cluster, session):
    cluster.set_proxy_fault("proxy-desk-0", drop_down=True)
    answers = await gather(start_calls(session, cluster, "booking"))
    lost = await asyncio.to_thread(count_runs, cluster, "desk-0")
    others = await asyncio.to_thread(count_runs, cluster, "desk-1")
    assert lost
    for key, answer in answers.items():
        if key in lost:
            assert answer.failure.code is ErrorCode.TARGET_FAILED
            assert answer.failure.verdict is Verdict.MAY_HAVE_RUN
        else:
            assert answer.whole
        assert lost.get(key, 0) + others.get(key, 0) == 1


async def test_reply_of_a_question_is_lost(cluster, session):
    cluster.set_proxy_fault("proxy-desk-0", drop_down=True)
    answers = await gather(start_calls(session, cluster, "question"))
    lost = await asyncio.to_thread(count_runs, cluster, "desk-0")
    assert lost
    assert all(answer.whole for answer in answers.values())
    attempts = await asyncio.to_thread(sum_counter, cluster, "runner.attempts")
    budget = budgets.MAX_RETRY_TOKENS + budgets.RETRY_RATIO * CALLS
    assert len(lost) <= attempts - CALLS <= budget


def peak_bytes(cluster, name):
    """Return the most memory that a process has had."""
    path = Path(f"/proc/{cluster.processes[name].process.pid}/status")
    (line,) = [line for line in path.read_text().splitlines() if "VmHWM" in line]
    return int(line.split()[1]) * 1024


# Guards against a router that keeps what a service sends without end, until it has no
# memory left and ends with the requests of other callers.
async def test_endless_answers_leave_memory_for_others(cluster, session):
    address = cluster.router_addresses["entry-1"]
    calm_bytes = peak_bytes(cluster, "entry-1")
    caller = Caller(session, [address], "academy")
    endless = [
        asyncio.ensure_future(caller.call("question", {"endless": n}, f"endless-{n}"))
        for n in range(ENDLESS_CALLS)
    ]
    await asyncio.sleep(0.5)
    others = await gather(start_calls(session, cluster, "question"))
    assert all(answer.whole for answer in others.values())
    answers = await asyncio.wait_for(asyncio.gather(*endless), ANSWERS_TIMEOUT_S)
    assert not any(answer.whole for answer in answers)
    # A body is copied when it is complete.
    held_bytes = peak_bytes(cluster, "entry-1") - calm_bytes
    assert held_bytes < 2 * body_memory.MAX_HELD_BYTES
