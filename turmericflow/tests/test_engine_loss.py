"""Tests of what callers see when engines fail, with real processes."""

from __future__ import annotations

import asyncio

import pytest

from turmericflow.testing import Cluster, check_answer
from turmericflow.testing._fleet import (
    count_ended_targets,
    fleet_plan,
    generate,
    keys_owned_by,
    profile,
    restart_ended_targets,
    sum_counter,
)

pytestmark = pytest.mark.integration

TOKENS = 40


@pytest.fixture(scope="module")
def shared():
    profiles = [
        profile("report", urgency="urgent"),
        profile("draft", urgency="thrifty"),
        profile("order", idempotent=False),
    ]
    with Cluster(fleet_plan(4, profiles)) as cluster:
        yield cluster


@pytest.fixture
def cluster(shared):
    restart_ended_targets(shared)
    return shared


def assert_answer_is_whole(answer, tokens=TOKENS):
    assert answer.failure is None
    assert answer.whole
    assert check_answer([token.text for token in answer.tokens], tokens).ok


@pytest.mark.parametrize("index", [0, 1, 20, TOKENS])
async def test_engine_that_dies_at_a_token(cluster, index):
    prompts = {f"die-{index}-{n}": f"welfare of horse {n}" for n in range(4)}
    prompts[f"die-{index}"] = f"rider progress die_at={index}"
    for answer in (await generate(cluster, prompts)).values():
        assert_answer_is_whole(answer)
    assert count_ended_targets(cluster, 1) == 1


@pytest.mark.parametrize("name", ["report", "draft"])
async def test_engine_that_falls_silent(cluster, name):
    hedges_won = sum_counter(cluster, "runner.hedge_won")
    key = f"silent-{name}"
    answers = await generate(cluster, {key: "progress silent_at=10"}, name)
    assert_answer_is_whole(answers[key])
    assert count_ended_targets(cluster, 0) == 0
    assert sum_counter(cluster, "runner.hedge_won") == hedges_won + 1


async def test_engine_paused_and_back(cluster):
    prompts = {f"paused-{n}": f"stable {n}" for n in range(8)}
    pending = asyncio.ensure_future(generate(cluster, prompts, max_tokens=150))
    await asyncio.sleep(1.0)
    cluster.pause("engine-0")
    await asyncio.sleep(1.5)
    cluster.resume("engine-0")
    for answer in (await pending).values():
        assert_answer_is_whole(answer, 150)


async def test_engine_and_router_lost_together(cluster):
    keys = keys_owned_by(cluster, {"entry-1", "entry-2"}, "both")
    prompts = {next(keys): f"arena {n}" for n in range(9)}
    pending = asyncio.ensure_future(generate(cluster, prompts, max_tokens=120))
    await asyncio.sleep(1.0)
    cluster.kill("engine-1")
    cluster.kill("entry-3")
    answers = await pending
    cluster.start_router("entry-3")
    cluster.wait_router("entry-3")
    for answer in answers.values():
        assert_answer_is_whole(answer, 120)
    assert sum_counter(cluster, "runner.attached") > 0


async def test_work_that_may_have_run_is_not_run_again(cluster):
    answers = await generate(cluster, {"order-1": "cut die_at=0"}, "order")
    assert answers["order-1"].failure.verdict == "MAY_HAVE_RUN"
    assert count_ended_targets(cluster, 1) == 1


async def test_only_engine_falls_silent_and_is_replaced():
    with Cluster(fleet_plan(1, [profile("report")])) as cluster:
        prompts = {"only": "progress silent_at=10"}
        pending = asyncio.ensure_future(generate(cluster, prompts))
        while not await asyncio.to_thread(sum_counter, cluster, "detection.target"):
            assert not pending.done()
        cluster.kill("engine-0")
        await asyncio.to_thread(restart_ended_targets, cluster)
        assert_answer_is_whole((await pending)["only"])
