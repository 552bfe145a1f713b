"""Differential test of this router against a naive one, without failures."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from turmericflow.client import Caller
from turmericflow.testing import Cluster
from turmericflow.testing._fleet import (
    MODEL,
    fleet_plan,
    profile,
    restart_ended_targets,
)

pytestmark = pytest.mark.integration

PROMPTS = {f"same-{n}": f"stall {n} len={n}" for n in (1, 2, 7, 30)}


async def generate_in_sequence(addresses):
    """Send the prompts one after another, and return the texts of the answers."""
    texts = []
    async with aiohttp.ClientSession() as session:
        caller = Caller(session, addresses, "academy")
        for key, prompt in PROMPTS.items():
            answer = await caller.generate("report", prompt, key, 40)
            assert answer.whole
            texts.append(answer.text)
    return texts


def test_same_requests_get_the_same_answers():
    with Cluster(fleet_plan(1, [profile("report")])) as cluster:
        texts = asyncio.run(
            generate_in_sequence(list(cluster.router_addresses.values()))
        )
        cluster.kill("engine-0")
        restart_ended_targets(cluster)
        platform = cluster.processes["platform"].address
        args = ["--platform", platform, "--model", MODEL]
        cluster.start_stand_in("naive", "benchmarks.naive", "127.0.0.1", args)
        naive_texts = asyncio.run(
            generate_in_sequence([cluster.processes["naive"].address])
        )
    assert texts == naive_texts
