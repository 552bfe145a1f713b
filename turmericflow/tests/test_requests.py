"""Tests of calls, attaching, cancelling and crashers, with real processes."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from turmericflow.testing import Cluster, EngineSpec, check_answer
from turmericflow.testing._cluster import http_json
from turmericflow.testing._fleet import (
    DATA_CENTRES,
    count_ended_targets,
    fleet_plan,
    generate,
    profile,
    restart_ended_targets,
    sum_counter,
)

pytestmark = pytest.mark.integration

IDLE_TIMEOUT_S = 20.0


@pytest.fixture(scope="module")
def shared_cluster():
    call = {"service": "booking-desk", "kind": "call", "wait_s": 2.0}
    plan = fleet_plan(
        6,
        [
            profile("report", wait_s=1.0),
            {"name": "booking", **call, "idempotent": False},
            {"name": "question", **call},
        ],
    )
    plan.targets += [
        EngineSpec(
            f"desk-{n}",
            "booking-desk",
            DATA_CENTRES[n],
            ["--work-ms", "400"],
            "service",
        )
        for n in range(2)
    ]
    with Cluster(plan) as cluster:
        yield cluster


@pytest.fixture
def cluster(shared_cluster):
    restart_ended_targets(shared_cluster)
    return shared_cluster


@pytest.fixture
async def session():
    async with aiohttp.ClientSession(headers={"X-Customer": "academy"}) as session:
        yield session


async def call(session, cluster, host, name, payload, key):
    url = f"http://{cluster.router_addresses[host]}/v1/call"
    body = {"profile": name, "payload": payload}
    headers = {"Idempotency-Key": key}
    async with session.post(url, json=body, headers=headers) as resp:
        return resp.status, await resp.json()


def count_runs(cluster, key):
    """Return how often each plain service has run a key, by service."""
    found = {}
    for name in ("desk-0", "desk-1"):
        url = f"http://{cluster.processes[name].address}/v1/runs"
        found[name] = http_json("GET", url).get(key, 0)
    return found


def count_streams(cluster):
    loads = (
        http_json("GET", f"http://{running.address}/v1/load")
        for name, running in cluster.processes.items()
        if name.startswith("engine-")
    )
    return sum(load["running"] + load["queued"] for load in loads)


async def wait_for_streams(cluster, number):
    """Return whether the engines run ``number`` streams before the timeout."""
    for _ in range(int(IDLE_TIMEOUT_S / 0.1)):
        if await asyncio.to_thread(count_streams, cluster) == number:
            return True
        await asyncio.sleep(0.1)
    return False


async def start(session, cluster, key, tokens=2000):
    """Start a long generation and return after its first event."""
    url = f"http://{cluster.router_addresses['entry-1']}/v1/generate"
    body = {"profile": "report", "prompt": f"notes {key}", "max_tokens": tokens}
    resp = await session.post(url, json=body, headers={"Idempotency-Key": key})
    async for line in resp.content:
        if line.startswith(b"data"):
            return resp


async def test_copies_of_a_call_get_the_recorded_answer(cluster, session):
    hosts = list(cluster.router_addresses)
    work = [
        call(session, cluster, hosts[n % 3], "booking", {"slot": 7}, "b-1")
        for n in range(4)
    ]
    answers = await asyncio.gather(*work)
    answers.append(
        await call(session, cluster, hosts[1], "booking", {"slot": 7}, "b-1")
    )
    assert {status for status, _ in answers} == {200}
    assert {body["text"] for _, body in answers} == {'{"slot": 7}'}
    assert sum(count_runs(cluster, "b-1").values()) == 1


@pytest.mark.parametrize(("name", "status"), [("booking", 502), ("question", 200)])
async def test_call_whose_service_dies(cluster, session, name, status):
    key = f"dies-{name}"
    work = asyncio.ensure_future(
        call(session, cluster, "entry-1", name, {"slot": 8}, key)
    )
    while not any(
        (found := await asyncio.to_thread(count_runs, cluster, key)).values()
    ):
        assert not work.done()
    dead = max(found, key=found.get)
    cluster.kill(dead)
    got, body = await work
    assert got == status
    if status != 200:
        assert body["error"]["verdict"] == "MAY_HAVE_RUN"
        other = "desk-1" if dead == "desk-0" else "desk-0"
        url = f"http://{cluster.processes[other].address}/v1/runs"
        assert key not in await asyncio.to_thread(http_json, "GET", url)


async def test_vanished_caller_frees_the_engine(cluster, session):
    resp = await start(session, cluster, "vanish")
    assert await wait_for_streams(cluster, 1)
    resp.close()
    assert await wait_for_streams(cluster, 0)


async def follow(session, cluster, host, key):
    """Attach to a request at a router and return after its first event."""
    url = f"http://{cluster.router_addresses[host]}/v1/requests/{key}"
    resp = await session.get(url)
    async for line in resp.content:
        if line.startswith(b"data"):
            return resp


@pytest.mark.parametrize("cause", ["caller leaves", "router killed"])
async def test_lost_follower_frees_the_engine(cluster, session, cause):
    key = cause.replace(" ", "-")
    resp = await start(session, cluster, key)
    followed = await follow(session, cluster, "entry-2", key)
    resp.close()
    assert await wait_for_streams(cluster, 1)
    if cause == "caller leaves":
        followed.close()
    else:
        cluster.kill("entry-2")
    try:
        assert await wait_for_streams(cluster, 0)
    finally:
        if "entry-2" not in cluster.processes:
            cluster.start_router("entry-2")
            cluster.wait_router("entry-2")


async def test_follower_keeps_the_request_running(cluster, session):
    resp = await start(session, cluster, "followed", 400)
    followed = await follow(session, cluster, "entry-2", "followed")
    resp.close()
    rest = await followed.read()
    assert b"event: end" in rest


async def test_cancel_through_another_router(cluster, session):
    resp = await start(session, cluster, "cancel")
    url = f"http://{cluster.router_addresses['entry-2']}/v1/requests/cancel"
    async with session.delete(url) as cancelled:
        assert await cancelled.json() == {"cancelled": True}
    rest = (await resp.read()).decode()
    assert '"code":"cancelled"' in rest.replace(" ", "")
    assert await wait_for_streams(cluster, 0)


async def test_attach_by_key_at_another_router(cluster, session):
    resp = await start(session, cluster, "attach", 60)
    url = f"http://{cluster.router_addresses['entry-3']}/v1/requests/attach"
    async with session.get(url, params={"stream": "false"}) as attached:
        body = await attached.json()
    resp.close()
    assert body["count"] == 60
    tokens = [f"{text} " for text in body["text"].split()]
    assert check_answer(tokens, 60).ok


async def test_unknown_key_is_not_found(cluster, session):
    url = f"http://{cluster.router_addresses['entry-1']}/v1/requests/nothing"
    async with session.get(url) as resp:
        assert resp.status == 404


async def test_crasher_costs_three_engines_and_no_answer(cluster):
    before = sum_counter(cluster, "suspects.convicted")
    prompts = {f"bystander-{n}": f"horse {n}" for n in range(8)}
    work = asyncio.ensure_future(generate(cluster, prompts, max_tokens=150))
    await asyncio.sleep(1.0)
    refused = []
    for number in range(5):
        answers = await generate(cluster, {f"bad-{number}": "feed plan crash=1"})
        refused.append(answers[f"bad-{number}"].failure.code)
    for answer in (await work).values():
        assert answer.whole
        assert check_answer([token.text for token in answer.tokens], 150).ok
    assert set(refused) == {"suspect_content"}
    assert count_ended_targets(cluster, 3) == 3
    assert sum_counter(cluster, "suspects.convicted") > before
