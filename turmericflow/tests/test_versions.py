"""Tests of requests whose profile gets a newer version while they run."""

from __future__ import annotations

import asyncio
import json

import pytest

from turmericflow.profile import Profile
from turmericflow.services._restore import restore
from turmericflow.tables import AttemptStart, RequestId, RequestRow
from turmericflow.testing import Cluster, EngineSpec, check_answer
from turmericflow.testing._cluster import http_json
from turmericflow.testing._fleet import DATA_CENTRES, fleet_plan, generate, profile

TOKENS = 20
OLD, NEW = "sable/none/1", "sable/none/2"


@pytest.mark.parametrize(("loaded", "version"), [([OLD], "1"), ([], "2"), ([""], "2")])
def test_restored_request_keeps_the_version_it_ran_with(loaded, version):
    body = json.dumps({"profile": "report", "prompt": "arena"}).encode()
    unknown = Profile("unknown", "unknown")
    name = RequestId("academy", "k")
    row = RequestRow(name, unknown, "g1", 1, body, "", 1, 0.0)
    row.attempts = [AttemptStart(1, 0, "engine-0", each) for each in loaded]
    restore(row, {"report": Profile(**profile("report", version="2"))})
    assert row.profile.version == version
    assert row.prompt == "arena"


def engine(number, model):
    args = ["--model", model]
    return EngineSpec(f"engine-{number}", "report-writer", DATA_CENTRES[number], args)


@pytest.fixture
def cluster():
    """Run one engine with the old version and one with the new."""
    plan = fleet_plan(0, [profile("report", wait_s=30.0)])
    plan.targets += [engine(0, OLD), engine(1, NEW)]
    with Cluster(plan) as running:
        yield running


def fresh_starts(cluster, name, label):
    """Return how often an engine generated a request from its first token."""
    url = f"http://{cluster.processes[name].address}/v1/totals"
    return http_json("GET", url)["fresh"].get(label, 0)


def wait_models_known(cluster, *names):
    """Wait until each router knows which models the named engines have loaded."""

    def knows(status):
        known = {each["name"] for each in status["targets"] if each["models"]}
        return known >= set(names)

    cluster.wait_for_status(knows)


def declare_new(cluster):
    """Declare the new version, and wait until each router knows it."""
    before = cluster.status("entry-1")["versions"]["profile/report"]
    value = profile("report", wait_s=30.0, version="2")
    version = cluster.put("profile/report", value, before)["version"]
    cluster.wait_for_status(
        lambda status: status["versions"]["profile/report"] == version
    )


def wait_sent(cluster):
    """Wait until a router has sent a request to the first engine."""

    def sent(status):
        return any(each["in_flight"] for each in status["targets"])

    cluster.wait_for_status(sent, ["entry-1"])


@pytest.mark.integration
@pytest.mark.parametrize("restart_engine", ["engine-1", "engine-2"])
async def test_request_restarted_after_a_new_profile_version(cluster, restart_engine):
    """Lose an engine before its first output, after a newer profile was declared."""
    wait_models_known(cluster, "engine-0", "engine-1")
    cluster.pause("engine-0")
    prompts = {"late": "id=late welfare of horse"}
    work = asyncio.ensure_future(generate(cluster, prompts, max_tokens=TOKENS))
    await asyncio.to_thread(wait_sent, cluster)
    await asyncio.to_thread(declare_new, cluster)
    if restart_engine == "engine-2":
        cluster.start_target(engine(2, OLD))
        cluster.write_host_list()
        await asyncio.to_thread(wait_models_known, cluster, "engine-2")
    cluster.kill("engine-0")
    answer = (await work)["late"]
    assert answer.whole
    assert check_answer([token.text for token in answer.tokens], TOKENS).ok
    assert await asyncio.to_thread(fresh_starts, cluster, restart_engine, "late") == 1
