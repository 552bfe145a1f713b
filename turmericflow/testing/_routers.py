"""Cluster plans with several routers, and helpers for their owner map."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any

import aiohttp

from turmericflow.client import Answer, Caller
from turmericflow.systems import owner_map
from turmericflow.tables import RequestId, SlotEntry, SlotTable
from turmericflow.testing._cluster import (
    Cluster,
    ClusterPlan,
    EngineSpec,
    http_json,
)

CUSTOMER = "norte"
RATE_LIMITED_CUSTOMER = "sur"
DATA_CENTRES = ("mvd-cordon", "mvd-aguada", "mvd-carrasco")
OWNER_MAP_TIMEOUT_S = 20.0
MAX_KEYS = 10_000
_KEY_NUMBERS = itertools.count()


def router_plan(routers: int = 5, peer_delay_s: float = 0.001) -> ClusterPlan:
    """Return a plan of routers in three data centres and two engines."""
    args = ["--model", "sable/none/1", "--step-ms", "20"]
    model = {"model": "sable", "adapter": "none", "version": "1"}
    served_by = {"service": "redactor", **model}
    return ClusterPlan(
        routers={f"entry-{n + 1}": DATA_CENTRES[n % 3] for n in range(routers)},
        targets=[
            EngineSpec(f"redactor-{n}", "redactor", DATA_CENTRES[n], args)
            for n in range(2)
        ],
        objects={
            "profile/quotation": {"name": "quotation", **served_by},
            "profile/order": {"name": "order", **served_by, "idempotent": False},
            "profile/stranded": {
                "name": "stranded",
                "service": "nowhere",
                "idempotent": False,
                "wait_s": 0.5,
            },
            f"customer/{CUSTOMER}": {"name": CUSTOMER},
            f"customer/{RATE_LIMITED_CUSTOMER}": {
                "name": RATE_LIMITED_CUSTOMER,
                "rate_per_s": 0.01,
                "burst": routers,
            },
        },
        peer_delay_s=peer_delay_s,
    )


def read_owner_map(cluster: Cluster) -> list[SlotEntry]:
    """Return the owner map's entries from the platform."""
    url = f"http://{cluster.processes['platform'].address}/v1/objects/owners/map"
    return owner_map.decode(http_json("GET", url)["value"])[0]


def find_slot_entry(cluster: Cluster, key: str) -> SlotEntry:
    """Return the owner map's entry for a key's slot."""
    return SlotTable(entries=read_owner_map(cluster)).entry_of(RequestId(CUSTOMER, key))


def find_key(cluster: Cluster, owner: str, backup: str = "") -> str:
    """Return an unused key whose slot has this owner, and this backup if given."""
    table = SlotTable(entries=read_owner_map(cluster))
    for _ in range(MAX_KEYS):
        key = f"key-{next(_KEY_NUMBERS)}"
        entry = table.entry_of(RequestId(CUSTOMER, key))
        if entry.owner == owner and backup in ("", entry.backup):
            return key
    raise LookupError(f"no slot with owner {owner!r} and backup {backup!r}")


def read_counters(cluster: Cluster, host: str) -> dict[str, int]:
    """Return a router's counters."""
    return http_json("GET", f"http://{cluster.router_addresses[host]}/v1/status")[
        "counts"
    ]


def wait_until_unassigned(cluster: Cluster, *hosts: str) -> None:
    """Wait until the owner map names none of the hosts and every slot has a backup."""
    deadline = time.monotonic() + OWNER_MAP_TIMEOUT_S
    while time.monotonic() < deadline:
        entries = read_owner_map(cluster)
        named_hosts = {entry.owner for entry in entries}
        named_hosts |= {entry.backup for entry in entries}
        if not named_hosts & {*hosts, ""}:
            return
        time.sleep(0.1)
    raise TimeoutError(f"owner map names one of {hosts}, or lacks a backup")


def wait_until_slots_backed_up(cluster: Cluster, *hosts: str) -> None:
    """Wait until each host owns slots, all with a backup in sync."""
    deadline = time.monotonic() + OWNER_MAP_TIMEOUT_S
    while time.monotonic() < deadline:
        slots = {host: _read_slots(cluster, host) for host in hosts}
        if all(
            each["owned"] and each["owned"] == each["synced"] for each in slots.values()
        ):
            return
        time.sleep(0.1)
    members = {host: _read_members(cluster, host) for host in hosts}
    raise TimeoutError(
        f"got the slots {slots}, expected each host to own some, all with a backup in"
        f" sync; as seen by each host: {members}"
    )


def _read_status(cluster: Cluster, host: str) -> dict[str, Any]:
    return http_json("GET", f"http://{cluster.router_addresses[host]}/v1/status")


def _read_slots(cluster: Cluster, host: str) -> dict[str, int]:
    return _read_status(cluster, host)["slots"]


def _read_members(cluster: Cluster, host: str) -> dict[str, str]:
    members = _read_status(cluster, host)["members"]
    return {each["host"]: each["state"] for each in members}


def restart_killed_routers(cluster: Cluster) -> None:
    """Restart killed routers, and wait until all own slots with a backup."""
    killed = [host for host in cluster.plan.routers if host not in cluster.processes]
    for host in killed:
        cluster.start_router(host)
    for host in killed:
        cluster.wait_router(host)
    wait_until_slots_backed_up(cluster, *cluster.plan.routers)


class CallerGroup:
    """Sends requests to chosen routers of a cluster."""

    def __init__(self, cluster: Cluster, session: aiohttp.ClientSession) -> None:
        self.cluster = cluster
        self._session = session

    def start(
        self,
        hosts: list[str],
        key: str,
        tokens: int = 60,
        profile: str = "quotation",
        customer: str = CUSTOMER,
    ) -> asyncio.Task[Answer]:
        """Start a generation at the first host; the caller fails over to the others."""
        addresses = [self.cluster.router_addresses[host] for host in hosts]
        caller = Caller(self._session, addresses, customer)
        generation = caller.generate(profile, f"site notes {key}", key, tokens)
        return asyncio.ensure_future(generation)

    async def post(
        self, host: str, key: str, profile: str, try_no: int = 1, tokens: int = 5
    ) -> tuple[int, dict]:
        """Post one request without streaming, and return its status and JSON."""
        url = f"http://{self.cluster.router_addresses[host]}/v1/generate"
        body = {"profile": profile, "prompt": "sign", "max_tokens": tokens}
        headers = {
            "X-Customer": CUSTOMER,
            "Idempotency-Key": key,
            "X-Try": str(try_no),
        }
        async with self._session.post(
            url, json={**body, "stream": False}, headers=headers
        ) as resp:
            return resp.status, await resp.json()
