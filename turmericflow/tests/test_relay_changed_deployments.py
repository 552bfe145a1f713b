"""Tests of requests that run while the deployment changes."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

import pytest

from turmericflow.relay import _watchdog as watchdog
from turmericflow.tests.platform_stand_ins import (
    EngineStandIn,
    Fleet,
    TargetStandIn,
    deployment,
)

CONFIG_INTERVAL_S = 0.04
MIN_IDLE_MS = 500
MIN_HEAD_MS = 300
LIMIT_SHARE = 0.9  # a caller that has been stalled for longer leaves its connection
EVENTS = 20
TENANTS = [
    {"name": "customer-a", "apiKeys": ["key-of-a"]},
    {"name": "customer-b", "apiKeys": ["key-of-b"]},
]


def _random_deployment(version: int, rng: Random) -> dict[str, object]:
    """Return a configuration that differs from others in all that may change."""
    config = deployment(version)
    routes, services = config["routes"], config["backends"]
    others = [service | {"name": f"{service['name']}-b"} for service in services]
    with_others = rng.random() < 0.7
    if with_others:
        services += others
    for route in routes:
        name = route["backend"]
        if with_others and rng.random() < 0.6:
            route["backend"] = f"{name}-b"
        elif with_others and rng.random() < 0.3:
            del route["backend"]
            route["weightedBackends"] = [
                {"backend": name, "weight": 1},
                {"backend": f"{name}-b", "weight": 2},
            ]
        route["timeoutMs"] = rng.choice([2_000, 5_000])
        route["maxAttempts"] = rng.choice([4, 5])
        route["priority"] = rng.randrange(3)
    if rng.random() < 0.5:
        routes.append(routes[1] | {"name": "added", "pathPrefix": "/added/"})
    config["limits"] = {
        "maxHeaderBytes": rng.choice([4_000, 16_384]),
        "maxBodyBytes": rng.choice([10_000, 100_000]),
        "headerTimeoutMs": rng.choice([MIN_HEAD_MS, 3_000]),
        "idleTimeoutMs": rng.choice([MIN_IDLE_MS, 15_000]),
    }
    config["tenants"] = TENANTS[: rng.choice([1, 2])]
    return config


class StormCaller:
    """A caller that keeps a connection and checks each answer."""

    def __init__(self, fleet: Fleet, name: int, rng: Random) -> None:
        self._fleet = fleet
        self._name = name
        self._rng = rng
        self.outcomes: Counter[str] = Counter()
        self.refused: set[str] = set()

    async def run(self, until: float) -> None:
        """Send requests, one after another, until a time of the event loop."""
        loop = asyncio.get_running_loop()
        port = self._fleet.hosts[self._name % len(self._fleet.hosts)].ports[0]
        number, writer = 0, None
        while loop.time() < until:
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            number += 1
            id = f"c{self._name}-{number}"
            async with asyncio.timeout(8):
                sent = await self._request(reader, writer, id)
            if not sent or self._rng.random() < 0.1:
                writer.close()
                writer = None
            elif self._rng.random() < 0.2:
                answered_at = loop.time()
                await asyncio.sleep(self._rng.uniform(0, 0.8) * MIN_IDLE_MS / 1000)
                if loop.time() - answered_at > LIMIT_SHARE * MIN_IDLE_MS / 1000:
                    writer.close()
                    writer = None
        if writer is not None:
            writer.close()

    async def _request(self, reader, writer, id: str) -> bool:
        """Return whether a request was sent; False if the caller was too late."""
        rng, loop = self._rng, asyncio.get_running_loop()
        route = rng.choice(["order", "order", "state", "stream", "added"])
        key = "key-of-b" if rng.random() < 0.2 else "key-of-a"
        body = b"b" * rng.choice([0, 10, 9_000])
        lines = [
            f"{'GET' if route == 'state' else 'POST'} /{route}/1 HTTP/1.1",
            "Host: site.example",
            f"X-Turmericflow-Key: {key}",
            "X-Turmericflow-Deadline-Ms: 5000",
            f"X-Turmericflow-Attempt-Id: {id}",
            "X-Turmericflow-Token-Usage: 100,120",
            f"Content-Length: {len(body)}",
        ]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        if rng.random() < 0.2:
            cut = rng.randrange(1, len(data))
            writer.write(data[:cut])
            began_at = loop.time()
            await asyncio.sleep(rng.uniform(0, 0.8) * MIN_HEAD_MS / 1000)
            if loop.time() - began_at > LIMIT_SHARE * MIN_HEAD_MS / 1000:
                self.outcomes["late"] += 1
                return False
            data = data[cut:]
        writer.write(data)
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        status = int(head.split(b" ", 2)[1])
        if b"transfer-encoding: chunked" in head:
            answer = b""
            while size := int(await reader.readline(), 16):
                answer += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = head.partition(b"content-length: ")[2].split(b"\r\n")[0]
            answer = await reader.readexactly(int(length))
        self.outcomes[f"{route} {status}"] += 1
        if status == 200:
            assert b"attempt-id: " + id.encode() in head
            if route == "stream":
                ids = [line for line in answer.split(b"\n") if line.startswith(b"id:")]
                assert ids == [b"id: %d" % n for n in range(1, EVENTS + 1)]
            else:
                assert answer.endswith(b" " + id.encode())
            return True
        self.refused.add(id)
        allowed = {503} | ({401} if key == "key-of-b" else set())
        assert status in allowed | ({404} if route == "added" else set()), (id, status)
        return True


async def storm(fleet: Fleet, seed: int, seconds: float) -> Counter[str]:
    """Send requests beside changes of the deployment; return counts of the outcomes.

    Raises
    ------
    AssertionError, asyncio.IncompleteReadError, ConnectionError, TimeoutError
        If a request gets no answer, a wrong one or one that is not whole, or if it
        ran although it was refused.
    """
    rng = Random(seed)
    for number in range(8):
        kind = EngineStandIn if number < 4 else TargetStandIn
        target = kind(f"t{number}", f"dc-{number % 2}")
        target.service += "-b" if number % 4 > 1 else ""
        await fleet.add_target(target)
    targets = list(fleet.targets.values())
    for service in ("model", "model-b", "plain", "plain-b"):
        await fleet.until(lambda: fleet.all_hosts_have_targets(service, 2))
    table = fleet.hosts[0].tables.deployment
    fleet.store.put("config", "main", _random_deployment(2, rng))
    await fleet.until(lambda: all(h.tables.deployment.value for h in fleet.hosts))
    until = asyncio.get_running_loop().time() + seconds
    callers = [StormCaller(fleet, n, Random(seed * 100 + n)) for n in range(12)]
    tasks = [asyncio.create_task(caller.run(until)) for caller in callers]
    version = 2
    while not all(task.done() for task in tasks):
        version += 1
        fleet.store.put("config", "main", _random_deployment(version, rng))
        if rng.random() < 0.3:
            engine = rng.choice(targets[:4:2])  # one of each service
            engine.injected.faults = [f"cut {rng.randrange(1, EVENTS)}"]
        await asyncio.sleep(CONFIG_INTERVAL_S * rng.uniform(0.2, 1.8))
    for task in tasks:
        await task
    refused = set().union(*(caller.refused for caller in callers))
    received = [seen.id for target in targets for seen in target.received]
    assert not refused & set(received)
    assert table.value.version > 2
    return sum((caller.outcomes for caller in callers), Counter())


# Guards against a request without an answer, or with a refusal that is not true, beside
# changes of all that a configuration holds.
async def test_requests_beside_changes_of_the_deployment_are_all_answered(
    fleet_of_three: Fleet,
):
    outcomes = await storm(fleet_of_three, seed=1, seconds=3.0)
    served = Counter()
    for outcome, number in outcomes.items():
        route, _, status = outcome.partition(" ")
        served[route] += number if status == "200" else 0
    assert min(served[route] for route in ("order", "state", "stream", "added")) > 5


# Guards against the end of a host's process, and of all that runs on it, when a run
# ends or its service is removed as its lost KV cache copy is about to be made again.
@pytest.mark.parametrize("change", ["run ended", "service removed"])
async def test_a_copy_is_made_again_although_its_run_or_service_is_gone(
    fleet: Fleet, change: str
):
    await fleet.add_engines("dc-0", "dc-1")
    host = fleet.hosts[0]
    async with fleet.request("/stream/1") as resp:
        (run,) = host.tables.runs
        assert run.backup is not None
        (service,) = [
            child
            for child in host.daemon._children
            if isinstance(child, watchdog.Watchdog)
        ]
        service.add_future(service._copy_kv_cache(run))
        if change == "run ended":
            run.drop_copy()
        else:
            host.tables.deployment.services = {}
        await asyncio.sleep(0.05)
        assert not host.daemon.crashed and not service.crashed
        assert (await resp.read()).count(b"id: ") == EVENTS
