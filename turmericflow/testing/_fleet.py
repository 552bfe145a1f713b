"""Cluster plans, and helpers for tests in which processes fail."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Iterator

import aiohttp

from turmericflow.client import Answer, Caller
from turmericflow.tables import RequestId, SlotEntry, SlotTable
from turmericflow.testing._cluster import Cluster, ClusterPlan, EngineSpec, http_json

MODEL = "sable/none/1"
ANSWERS_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 2.0
SLOTS = 64
POLL_INTERVAL_S = 0.02
DATA_CENTRES = ("amman-north", "amman-south", "amman-west")


def profile(name: str, **fields: object) -> dict:
    """Return a profile that the engines of `fleet_plan` serve."""
    model = {"model": "sable", "adapter": "none", "version": "1"}
    return {"name": name, "service": "report-writer", **model, **fields}


def fleet_plan(
    engines: int, profiles: list[dict], args: list[str] | None = None, routers: int = 3
) -> ClusterPlan:
    """Return a plan of routers and engines spread over three data centres."""
    args = ["--model", MODEL, *(args or [])]
    objects = {f"profile/{each['name']}": each for each in profiles}
    return ClusterPlan(
        routers={f"entry-{n + 1}": DATA_CENTRES[n % 3] for n in range(routers)},
        targets=[
            EngineSpec(f"engine-{n}", "report-writer", DATA_CENTRES[n % 3], args)
            for n in range(engines)
        ],
        objects={**objects, "customer/academy": {"name": "academy"}},
        settings={"slots": SLOTS},
    )


def restart_ended_targets(cluster: Cluster) -> None:
    """Restart exited targets, end the silence of engines, write the host list."""
    specs = {spec.name: spec for spec in cluster.plan.targets}
    for name, spec in specs.items():
        running = cluster.processes.get(name)
        if running is None or running.process.poll() is not None:
            cluster.start_target(spec)
        elif spec.role == "engine":
            url = f"http://{running.address}/admin/silent"
            http_json("POST", url, {"silent": False})
    cluster.write_host_list()


def count_ended_targets(cluster: Cluster, expected: int) -> int:
    """Return the number of exited targets; wait shortly for the expected number."""
    deadline = time.monotonic() + EXIT_TIMEOUT_S
    while True:
        targets = [cluster.processes[spec.name] for spec in cluster.plan.targets]
        ended = sum(1 for target in targets if target.process.poll() is not None)
        if ended >= expected or time.monotonic() > deadline:
            return ended
        time.sleep(POLL_INTERVAL_S)


def keys_owned_by(cluster: Cluster, hosts: set[str], prefix: str) -> Iterator[str]:
    """Yield keys whose slots some hosts own in the first owner map."""
    slots = SlotTable(1, [SlotEntry("", "", 1)] * cluster.plan.settings["slots"])
    names = sorted(cluster.plan.routers)
    for number in itertools.count():
        key = f"{prefix}-{number}"
        if names[slots.slot_of(RequestId("academy", key)) % len(names)] in hosts:
            yield key


def sum_counter(cluster: Cluster, name: str) -> int:
    """Return a counter's sum over the running routers."""
    total = 0
    for host in cluster.plan.routers:
        if host in cluster.processes:
            url = f"http://{cluster.router_addresses[host]}/v1/status"
            total += http_json("GET", url)["counts"].get(name, 0)
    return total


async def generate(
    cluster: Cluster,
    prompts: dict[str, str],
    name: str = "report",
    max_tokens: int = 40,
) -> dict[str, Answer]:
    """Run one generation for each key, and spread them over the routers."""
    hosts = list(cluster.router_addresses.values())
    async with aiohttp.ClientSession() as session:
        pending = []
        for number, (key, prompt) in enumerate(prompts.items()):
            first = number % len(hosts)
            caller = Caller(session, hosts[first:] + hosts[:first], "academy")
            pending.append(caller.generate(name, prompt, key, max_tokens))
        answers = await asyncio.wait_for(asyncio.gather(*pending), ANSWERS_TIMEOUT_S)
    return dict(zip(prompts, answers))
