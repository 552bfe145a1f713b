"""Tests of admission, limits and fair shares over real processes."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

import aiohttp
import pytest

from turmericflow.client import Caller
from turmericflow.testing import Cluster, ClusterPlan, EngineSpec, check_answer

TOKENS = 20
HOSTS = {"entry-1": "north", "entry-2": "north", "entry-3": "south"}


@pytest.fixture(scope="module")
def cluster():
    args = ["--model", "sable/none/1", "--step-ms", "10", "--slots", "2"]
    served_by = {"service": "redactor", "model": "sable", "adapter": "none"}
    profile = {"name": "quotation", "version": "1", "wait_s": 1.0, **served_by}
    customers = {"norte": {}, "sur": {}, "slow": {"rate_per_s": 1.0, "burst": 3.0}}
    plan = ClusterPlan(
        HOSTS,
        [EngineSpec(f"redactor-{n}", "redactor", "north", args) for n in range(2)],
        {
            "profile/quotation": profile,
            "profile/long": {**profile, "name": "long", "deadline_s": 0.05},
            **{f"customer/{n}": {"name": n, **each} for n, each in customers.items()},
        },
    )
    with Cluster(plan) as cluster:
        yield cluster


def send_requests(cluster, requests):
    """Send requests ``(profile, customer, key)`` at once, spread over the routers."""

    async def work():
        hosts = list(cluster.router_addresses.values())
        async with aiohttp.ClientSession() as session:
            tasks = []
            for number, (profile, customer, key) in enumerate(requests):
                addresses = hosts[number % 3 :] + hosts[: number % 3]
                caller = Caller(session, addresses, customer)
                tasks.append(caller.generate(profile, f"notes {key}", key, TOKENS))
            return await asyncio.gather(*tasks)

    return asyncio.run(work())


def check_whole_or_refused(answers):
    """Check that every request has a whole answer, or is refused and did not run."""
    for answer in answers:
        if answer.whole:
            assert check_answer([each.text for each in answer.tokens], TOKENS).ok
        else:
            assert answer.failure.verdict == "NOT_RUN"
            assert answer.failure.retry_after_s > 0


@pytest.mark.integration
def test_rush_is_answered_whole_or_refused_and_served_again_after(cluster):
    burst = send_requests(
        cluster, [("quotation", "norte", f"rush-{n}") for n in range(150)]
    )
    check_whole_or_refused(burst)
    codes = Counter(each.failure.code for each in burst if not each.whole)
    assert codes["overloaded"] > 0
    time.sleep(max(each.failure.retry_after_s for each in burst if not each.whole))
    again = send_requests(
        cluster, [("quotation", "norte", f"again-{n}") for n in range(2)]
    )
    assert [each.failure for each in again if not each.whole] == []


@pytest.mark.integration
def test_refused_key_gets_the_same_refusal_and_never_runs(cluster):
    requests = [("long", "norte", f"late-{n // 2}") for n in range(6)]
    answers = send_requests(cluster, requests) + send_requests(cluster, requests)
    assert {each.failure.code for each in answers} <= {"deadline", "sealed"}
    assert {each.failure.verdict for each in answers} == {"NOT_RUN"}


@pytest.mark.integration
def test_rate_of_a_customer_holds_over_all_routers(cluster):
    answers = send_requests(
        cluster, [("quotation", "slow", f"slow-{n}") for n in range(40)]
    )
    check_whole_or_refused(answers)
    codes = Counter(each.failure.code for each in answers if not each.whole)
    assert sum(each.whole for each in answers) <= 3 + len(HOSTS)
    assert codes["rate_limited"] >= 40 - 3 - len(HOSTS) - codes["overloaded"]
