"""Tests of lost owners, backups and runners, with real processes."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from turmericflow.testing import Cluster, _routers as routers, check_answer
from turmericflow.testing._cluster import http_json
from turmericflow.verdict import ErrorCode, Verdict

pytestmark = pytest.mark.integration
TOKENS = 60
FAULT_DELAY_S = 0.5


@pytest.fixture(scope="module")
def shared_cluster():
    with Cluster(routers.router_plan()) as cluster:
        yield cluster


@pytest.fixture
def cluster(shared_cluster):
    routers.restart_killed_routers(shared_cluster)
    return shared_cluster


def run(cluster, work):
    async def with_session():
        async with aiohttp.ClientSession() as session:
            return await work(routers.CallerGroup(cluster, session))

    return asyncio.run(with_session())


def assert_answer_is_whole(answer, tokens=TOKENS):
    assert answer.failure is None
    assert answer.whole
    assert check_answer([token.text for token in answer.tokens], tokens).ok


def test_owner_killed(cluster):
    async def work(callers):
        keys = [routers.find_key(cluster, "entry-2") for _ in range(4)]
        tasks = [
            callers.start([f"entry-{1 + number % 2 * 2}"], key)
            for number, key in enumerate(keys)
        ]
        await asyncio.sleep(FAULT_DELAY_S)
        cluster.kill("entry-2")
        return await asyncio.gather(*tasks)

    for answer in run(cluster, work):
        assert_answer_is_whole(answer)
        assert answer.reconnects == 0


def test_owner_killed_while_platform_is_down(cluster):
    async def work(callers):
        keys = [routers.find_key(cluster, "entry-2") for _ in range(3)]
        running = callers.start(["entry-1"], keys[0])
        await asyncio.sleep(FAULT_DELAY_S)
        cluster.set_platform_fault(fault="outage")
        try:
            cluster.kill("entry-2")
            answers = await asyncio.gather(running, callers.start(["entry-3"], keys[1]))
            order = await callers.post("entry-3", keys[2], "order")
        finally:
            cluster.set_platform_fault(fault="")
        routers.wait_until_unassigned(cluster, "entry-2")
        return answers, order, await callers.post("entry-3", keys[2], "order")

    answers, (_, order), (status, _) = run(cluster, work)
    for answer in answers:
        assert_answer_is_whole(answer)
    assert order["error"]["code"] == "no_owner"
    assert order["error"]["verdict"] == "MAY_HAVE_RUN"
    assert status == 200


def test_runner_killed(cluster):
    async def work(callers):
        keys = [routers.find_key(cluster, f"entry-{n}") for n in (1, 2, 3, 5)]
        tasks = [callers.start(["entry-4", "entry-1"], key) for key in keys]
        await asyncio.sleep(FAULT_DELAY_S)
        cluster.kill("entry-4")
        return await asyncio.gather(*tasks)

    for answer in run(cluster, work):
        assert_answer_is_whole(answer)
        assert answer.reconnects >= 1


def test_accepted_request_goes_on_over_its_customers_rate(cluster):
    async def work(callers):
        def start(hosts, key, tokens):
            return callers.start(
                hosts, key, tokens, customer=routers.RATE_LIMITED_CUSTOMER
            )

        first = start(["entry-4", "entry-1"], "accepted", TOKENS)
        await start(["entry-1"], "uses-the-rate", 1)
        refused = await start(["entry-1"], "over-the-rate", 1)
        assert refused.failure.code is ErrorCode.RATE_LIMITED
        cluster.kill("entry-4")
        return await first

    assert_answer_is_whole(run(cluster, work))


def test_owner_paused_and_back(cluster):
    async def work(callers):
        keys = [routers.find_key(cluster, "entry-2") for _ in range(3)]
        tasks = [callers.start(["entry-1"], key) for key in keys]
        await asyncio.sleep(FAULT_DELAY_S)
        granted_before = routers.read_counters(cluster, "entry-2").get(
            "claim.granted", 0
        )
        cluster.pause("entry-2")
        after_pause = callers.start(["entry-3"], routers.find_key(cluster, "entry-2"))
        answers = await asyncio.gather(*tasks, after_pause)
        routers.wait_until_unassigned(cluster, "entry-2")
        cluster.resume("entry-2")
        await asyncio.sleep(FAULT_DELAY_S)
        granted_after = routers.read_counters(cluster, "entry-2").get(
            "claim.granted", 0
        )
        return answers, granted_after - granted_before

    answers, granted = run(cluster, work)
    assert granted == 0
    for answer in answers:
        assert_answer_is_whole(answer)


def test_runner_paused_and_back(cluster):
    async def work(callers):
        key = routers.find_key(cluster, "entry-1")
        first = callers.start(["entry-5", "entry-3"], key)
        await asyncio.sleep(FAULT_DELAY_S)
        cluster.pause("entry-5")
        second = await callers.start(["entry-4", "entry-1"], key)
        cluster.resume("entry-5")
        return await first, second

    first, second = run(cluster, work)
    assert_answer_is_whole(second)
    assert_answer_is_whole(first)
    assert first.text == second.text


def count_generated_tokens(cluster):
    return sum(
        http_json("GET", f"http://{cluster.processes[name].address}/v1/totals")[
            "generated"
        ]
        for name in ("redactor-0", "redactor-1")
    )


def test_order_whose_runner_is_killed_runs_once(cluster):
    tokens_before = count_generated_tokens(cluster)

    async def work(callers):
        key = routers.find_key(cluster, "entry-1")
        task = callers.start(["entry-4", "entry-3"], key, TOKENS, profile="order")
        await asyncio.sleep(FAULT_DELAY_S)
        cluster.kill("entry-4")
        copy = callers.start(["entry-2"], key, TOKENS, profile="order")
        return await asyncio.gather(task, copy)

    for answer in run(cluster, work):
        assert answer.failure.code is ErrorCode.RUNNER_LOST
        assert answer.failure.verdict is Verdict.MAY_HAVE_RUN
    assert count_generated_tokens(cluster) - tokens_before <= TOKENS


def test_copy_delayed_past_refusal_is_refused(cluster):
    async def work(callers):
        key = routers.find_key(cluster, "entry-1")
        first = await callers.post("entry-3", key, "stranded")
        copy = await callers.post("entry-4", key, "stranded")
        owner = routers.find_slot_entry(cluster, key).owner
        cluster.kill(owner)
        routers.wait_until_unassigned(cluster, owner)
        late = await callers.post("entry-5", key, "stranded")
        return first, copy, late

    first, copy, late = run(cluster, work)
    assert first[1]["error"]["verdict"] == "NOT_RUN"
    assert copy == first
    assert late == first


def test_reply_lost_after_effect(cluster):
    async def work(callers):
        key = routers.find_key(cluster, "entry-2")
        cluster.set_proxy_fault("proxy-entry-2", drop_down=True, delay_s=0.001)
        order = callers.start(["entry-1"], key, 5, profile="order")
        await asyncio.sleep(FAULT_DELAY_S)
        cluster.set_proxy_fault("proxy-entry-2", delay_s=0.001, reset=True)
        return await order

    assert_answer_is_whole(run(cluster, work), 5)


def test_crossed_answers(cluster):
    async def work(callers):
        hosts = list(cluster.plan.routers)
        tasks = [
            callers.start([hosts[number % 5]], f"crossed-{number // 2}", 30)
            for number in range(80)
        ]
        return await asyncio.gather(*tasks)

    answers = run(cluster, work)
    for answer in answers:
        assert_answer_is_whole(answer, 30)
    texts = [answer.text for answer in answers]
    assert texts[0::2] == texts[1::2]
    assert len(set(texts)) == 40


def test_data_centre_cut_off(cluster):
    async def work(callers):
        keys = [routers.find_key(cluster, f"entry-{n}") for n in (2, 5, 2, 5)]
        tasks = [callers.start(["entry-1", "entry-3"], key) for key in keys]
        await asyncio.sleep(FAULT_DELAY_S)
        for host in ("entry-2", "entry-5"):
            cluster.set_proxy_fault(f"proxy-{host}", refuse=True, reset=True)
        try:
            return await asyncio.gather(*tasks)
        finally:
            for host in ("entry-2", "entry-5"):
                cluster.set_proxy_fault(f"proxy-{host}", delay_s=0.001)

    for answer in run(cluster, work):
        assert_answer_is_whole(answer)


@pytest.mark.parametrize(
    ("with_backup", "code", "verdict"),
    [
        (False, ErrorCode.GENERATION_MISMATCH, Verdict.RAN),
        (True, ErrorCode.RETENTION, Verdict.MAY_HAVE_RUN),
    ],
)
def test_runner_and_owner_killed(cluster, with_backup, code, verdict):
    async def work(callers):
        entry = routers.read_owner_map(cluster)[0]
        key = routers.find_key(cluster, entry.owner, entry.backup)
        others = [
            host
            for host, data_centre in cluster.plan.routers.items()
            if host not in (entry.owner, entry.backup)
            and data_centre != cluster.plan.routers[entry.owner]
        ]
        runner = entry.backup if with_backup else others[0]
        remaining = next(
            host for host in cluster.plan.routers if host not in (entry.owner, runner)
        )
        task = callers.start([runner, remaining], key)
        await asyncio.sleep(FAULT_DELAY_S)
        cluster.kill(entry.owner)
        cluster.kill(runner)
        return await task

    answer = run(cluster, work)
    assert check_answer([token.text for token in answer.tokens]).ok
    assert answer.whole or answer.failure.code is code
    assert answer.whole or answer.failure.verdict is verdict
