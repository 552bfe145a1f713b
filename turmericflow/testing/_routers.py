"""Clusters of routers, and where a key's claim and journal are kept."""

from __future__ import annotations

import asyncio
import itertools
import time

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
_KEYS = itertools.count()


def router_plan(routers: int = 5, peer_delay_s: float = 0.001) -> ClusterPlan:
    """Return a plan of routers in three data centres before two engines."""
    args = ["--model", "sable/none/1", "--step-ms", "20"]
    loaded = {"model": "sable", "adapter": "none", "version": "1"}
    work = {"service": "redactor", **loaded}
    return ClusterPlan(
        routers={f"entry-{n + 1}": DATA_CENTRES[n % 3] for n in range(routers)},
        targets=[
            EngineSpec(f"redactor-{n}", "redactor", DATA_CENTRES[n], args)
            for n in range(2)
        ],
        objects={
            "profile/quotation": {"name": "quotation", **work},
            "profile/order": {"name": "order", **work, "idempotent": False},
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
    """Return the owner map's entries as the platform has them."""
    url = f"http://{cluster.processes['platform'].address}/v1/objects/owners/map"
    return owner_map.decode(http_json("GET", url)["value"])[0]


def find_slot_entry(cluster: Cluster, key: str) -> SlotEntry:
    """Return the owner map's entry of a key."""
    return SlotTable(entries=read_owner_map(cluster)).entry_of(RequestId(CUSTOMER, key))


def find_key(cluster: Cluster, owner: str, backup: str = "") -> str:
    """Return a fresh key whose slot has that owner, and that backup if named."""
    table = SlotTable(entries=read_owner_map(cluster))
    for _ in range(MAX_KEYS):
        key = f"key-{next(_KEYS)}"
        entry = table.entry_of(RequestId(CUSTOMER, key))
        if entry.owner == owner and backup in ("", entry.backup):
            return key
    raise LookupError(f"no slot of owner {owner!r} and backup {backup!r}")


def read_counters(cluster: Cluster, host: str) -> dict[str, int]:
    """Return a router's counters."""
    return http_json("GET", f"http://{cluster.router_addresses[host]}/v1/status")[
        "counts"
    ]


def wait_until_unassigned(cluster: Cluster, *hosts: str) -> None:
    """Wait until the owner map names none of the hosts and has backups again."""
    until = time.monotonic() + OWNER_MAP_TIMEOUT_S
    while time.monotonic() < until:
        entries = read_owner_map(cluster)
        parties = {entry.owner for entry in entries}
        parties |= {entry.backup for entry in entries}
        if not parties & {*hosts, ""}:
            return
        time.sleep(0.1)
    raise TimeoutError(f"the owner map still names one of {hosts}")


def wait_until_slots_backed_up(cluster: Cluster, *hosts: str) -> None:
    """Wait until each host owns slots whose backups hold all their records."""
    until = time.monotonic() + OWNER_MAP_TIMEOUT_S
    while time.monotonic() < until:
        found = [_slots_of(cluster, host) for host in hosts]
        if all(each["owned"] and each["owned"] == each["synced"] for each in found):
            return
        time.sleep(0.1)
    raise TimeoutError(f"one of {hosts} owns no slot, or has no backup for one")


def _slots_of(cluster: Cluster, host: str) -> dict[str, int]:
    return http_json("GET", f"http://{cluster.router_addresses[host]}/v1/status")[
        "slots"
    ]


def restart_killed_routers(cluster: Cluster) -> None:
    """Start the routers that were killed, and wait until all own slots."""
    gone = [host for host in cluster.plan.routers if host not in cluster.processes]
    for host in gone:
        cluster.start_router(host)
    for host in gone:
        cluster.wait_router(host)
    wait_until_slots_backed_up(cluster, *cluster.plan.routers)


class CallerGroup:
    """Callers of a cluster, for one test."""

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
        """Start a generation at the first host, the others as alternatives."""
        addresses = [self.cluster.router_addresses[host] for host in hosts]
        caller = Caller(self._session, addresses, customer)
        work = caller.generate(profile, f"site notes {key}", key, tokens)
        return asyncio.ensure_future(work)

    async def post(
        self, host: str, key: str, profile: str, try_no: int = 1, tokens: int = 5
    ) -> tuple[int, dict]:
        """Post one whole-answer request and return its status and JSON."""
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
