"""Tests of the rate limits that targets name for all hosts together."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from collections.abc import AsyncIterator
from pathlib import Path
from random import Random

import pytest

from turmericflow.relay import _membership as membership
from turmericflow.tests.platform_stand_ins import Fleet, TargetStandIn, deployment

HOSTS = membership.WATCHERS + 1
WINDOW_S = 4.0
SETTLE_S = 1.0  # from the first naming until all hosts keep the limit
REQUESTS_PER_S = 25.0
MAX_REFUSAL_S = 0.3  # of a refusal at once, beside the load of a test
MIN_USED_SHARE = 0.5  # of a limit, with far more demand


def allowed(limit: float) -> float:
    """Return how many requests may reach a target within `WINDOW_S`."""
    return 1.5 * limit * WINDOW_S + 5


def worst_window(times: list[float], since: float) -> int:
    """Return the largest number of times within `WINDOW_S`, from a time on."""
    times = sorted(at for at in times if at >= since)
    return max(
        (bisect_left(times, at + WINDOW_S) - number for number, at in enumerate(times)),
        default=0,
    )


class Caller:
    """Sends requests to random hosts and keeps the outcomes.

    Attributes
    ----------
    outcomes
        Path prefix, status, Retry-After and seconds until the answer, by request.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._rng = Random(5)
        self._number = 0
        self.outcomes: list[tuple[str, int, float | None, float]] = []

    async def _send(self, prefix: str, host: int) -> None:
        self._number += 1
        number, loop = self._number, asyncio.get_running_loop()
        started_at = loop.time()
        async with self._fleet.request(
            f"/{prefix}/{number}", f"{prefix}-{number}", host
        ) as resp:
            await resp.read()
        retry_after = resp.headers.get("Retry-After")
        wait_s = None if retry_after is None else float(retry_after)
        elapsed_s = loop.time() - started_at
        self.outcomes.append((prefix, resp.status, wait_s, elapsed_s))

    async def send_all(self, prefix: str, per_s: float, seconds: float) -> None:
        """Send requests at random times to random hosts."""
        loop = asyncio.get_running_loop()
        end_at, sends = loop.time() + seconds, []
        while loop.time() < end_at:
            host = self._rng.randrange(len(self._fleet.hosts))
            sends.append(asyncio.create_task(self._send(prefix, host)))
            await asyncio.sleep(self._rng.expovariate(per_s))
        await asyncio.gather(*sends)

    def statuses(self, prefix: str) -> list[int]:
        """Return the statuses of all requests with a path prefix."""
        return [status for name, status, *_ in self.outcomes if name == prefix]


@pytest.fixture
async def limited_fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    """Run more hosts than watch the targets, with three plain targets."""
    running = Fleet(tmp_path)
    await running.start(HOSTS)
    await running.until(
        lambda: all(len(h.tables.hosts.rows) == HOSTS - 1 for h in running.hosts)
    )
    await running.add_plain(3)
    yield running
    await running.stop()


def received_at(target: TargetStandIn) -> list[float]:
    return [received.at for received in target.received]


# Guards against hosts that each send a target as much as it takes from all of them.
async def test_hosts_together_keep_the_limits_that_targets_name(limited_fleet: Fleet):
    fleet = limited_fleet
    limits = {"plain-0": 2.3, "plain-1": 4.6}
    for name, limit in limits.items():
        fleet.targets[name].rate_limit = str(limit)
    caller = Caller(fleet)
    since = asyncio.get_running_loop().time() + SETTLE_S
    await caller.send_all("state", REQUESTS_PER_S, 9.0)
    assert caller.statuses("state").count(200) == len(caller.outcomes)
    for name, limit in limits.items():
        assert worst_window(received_at(fleet.targets[name]), since) <= allowed(limit)


# Guards against a request that is held, or sent on, when all targets name limits.
async def test_what_is_over_the_sum_of_the_limits_is_refused_at_once(
    limited_fleet: Fleet,
):
    fleet = limited_fleet
    for target in fleet.targets.values():
        target.rate_limit = "2"
    caller = Caller(fleet)
    started_at = asyncio.get_running_loop().time()
    await caller.send_all("order", REQUESTS_PER_S, 9.0)
    served = 0
    for target in fleet.targets.values():
        times = [at for at in received_at(target) if at >= started_at + SETTLE_S]
        served += len(times)
        assert worst_window(times, 0.0) <= allowed(2.0)
    assert served >= MIN_USED_SHARE * 3 * 2.0 * (9.0 - SETTLE_S)
    refused = [outcome for outcome in caller.outcomes if outcome[1] != 200]
    assert refused and {status for _, status, *_ in refused} == {503}
    assert max(elapsed_s for *_, elapsed_s in refused) < MAX_REFUSAL_S
    waits = [wait_s for *_, wait_s, _ in refused]
    assert None not in waits and max(waits) - min(waits) > 1.0


# Guards against callers of a low rank that take what a limited target has to give.
async def test_requests_of_a_higher_rank_are_served_first(limited_fleet: Fleet):
    fleet = limited_fleet
    routes = deployment()["routes"]
    for route in routes:
        route["priority"] = {"order": 0, "state": 5}.get(route["name"], 1)
    fleet.store.put("config", "main", deployment(2, routes=routes))
    for target in fleet.targets.values():
        target.rate_limit = "2"
    caller = Caller(fleet)
    await caller.send_all("order", REQUESTS_PER_S, SETTLE_S)
    caller.outcomes.clear()
    await asyncio.gather(
        caller.send_all("order", 4.0, 8.0), caller.send_all("state", 20.0, 8.0)
    )
    served = {
        prefix: caller.statuses(prefix).count(200) / len(caller.statuses(prefix))
        for prefix in ("order", "state")
    }
    assert served["order"] > 2 * served["state"] and served["state"] < 0.5


# Guards against a host that sends as before since it had no answer of the target.
async def test_all_hosts_know_a_limit_that_one_of_them_heard(limited_fleet: Fleet):
    fleet = limited_fleet
    for name in ("plain-1", "plain-2"):
        fleet.store.remove("servers", name)
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 1))
    fleet.targets["plain-0"].rate_limit = "0.5"
    async with fleet.request("/state/1", host=3) as resp:
        assert resp.status == 200
    await asyncio.sleep(0.5)
    started = await fleet.add_host("host-started", "dc-0")
    await fleet.until(lambda: started.tables.targets.revision > 0)
    await fleet.until(lambda: len(started.tables.hosts.rows) == HOSTS)
    await asyncio.sleep(0.3)
    caller = Caller(fleet)
    await caller.send_all("state", 100.0, 1.0)
    assert len(fleet.targets["plain-0"].received) <= allowed(0.5)


# Guards against a limit that is kept after its target has ceased to name it.
async def test_a_limit_ends_with_an_answer_that_names_none(limited_fleet: Fleet):
    fleet = limited_fleet
    for target in fleet.targets.values():
        target.rate_limit = "4"
    caller = Caller(fleet)
    await caller.send_all("order", REQUESTS_PER_S, 3.0)
    assert set(caller.statuses("order")[-20:]) == {200, 503}
    for target in fleet.targets.values():
        target.rate_limit = None
    await caller.send_all("order", REQUESTS_PER_S, 3.0)
    caller.outcomes.clear()
    await caller.send_all("order", REQUESTS_PER_S, 1.0)
    assert set(caller.statuses("order")) == {200}


# Guards against waits that grow with retries that no caller was refused for.
async def test_a_retry_without_a_token_is_no_refusal(limited_fleet: Fleet):
    fleet = limited_fleet
    for target in fleet.targets.values():
        target.rate_limit = "1"
        target.injected.always = "error"
    caller = Caller(fleet)
    await caller.send_all("state", REQUESTS_PER_S, 2.0)
    failed = caller.statuses("state").count(500)
    refused = caller.statuses("state").count(503)
    counted = sum(
        len(each.tables.rate_limits.demand("plain")._refused) for each in fleet.hosts
    )
    assert failed and refused and counted == refused
