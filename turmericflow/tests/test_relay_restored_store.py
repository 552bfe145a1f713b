"""Tests of a store that comes back from an older copy."""

from __future__ import annotations

import asyncio

import pytest

from turmericflow.tests.platform_stand_ins import Fleet, TargetStandIn, deployment

HOSTS = 7
AWAY_S = 0.8
REWRITE_S = 1.0  # until the operator and the targets have written again
IN_FORCE_S = 2.0
AGREED_S = 3.0
ROUTE = {
    "name": "late",
    "hostname": "site.example",
    "pathPrefix": "/late/",
    "routeType": "non_idempotent",
    "timeoutMs": 800,
    "backend": "plain",
}


@pytest.fixture
async def serving_fleet(fleet_of_seven: Fleet) -> Fleet:
    """Run one host more than watch the targets, with three plain targets."""
    fleet = fleet_of_seven
    await fleet.add_plain(3)
    return fleet


def with_route(version: int) -> dict[str, object]:
    routes = deployment(version)["routes"]
    return deployment(version, routes=[*routes, ROUTE])


async def change_often(fleet: Fleet, versions: range) -> None:
    """Change the deployment, so that a copy lacks revisions."""
    for version in versions:
        fleet.store.put("config", "main", with_route(version))
        await asyncio.sleep(0.02)


async def restore(fleet: Fleet, revisions: int) -> None:
    """Take the store away, and bring it back from a copy."""
    fleet.store.status = 503
    await asyncio.sleep(AWAY_S)
    fleet.store.restore(revisions)
    fleet.store.status = None


async def answers(fleet: Fleet, path: str, number: int = 21) -> list[int]:
    """Return the statuses of requests at all hosts in turn."""

    async def send(n: int) -> int:
        host = n % len(fleet.hosts)
        async with fleet.request(path, f"{path}{n}{id(path)}", host=host) as resp:
            await resp.read()
            return resp.status

    return await asyncio.gather(*(send(n) for n in range(number)))


def hosts_using(fleet: Fleet, target: TargetStandIn) -> list[str]:
    """Return the hosts that may send new work to a target."""
    return [
        host.name
        for host in fleet.hosts
        for row in host.tables.targets.by_service.get("plain", ())
        if row.entry.id == target.name and host.uses(row)
    ]


# Guards against hosts that drop all changes until revisions pass their former values.
async def test_changes_after_a_restore_come_into_force(serving_fleet: Fleet):
    fleet, target = serving_fleet, serving_fleet.targets["plain-0"]
    await change_often(fleet, range(2, 42))
    await restore(fleet, 40)
    await asyncio.sleep(0.5)
    fleet.store.put("servers", target.name, target.entry("draining"))
    fleet.store.put("config", "main", deployment(60))
    await asyncio.sleep(IN_FORCE_S)
    assert hosts_using(fleet, target) == []
    assert set(await answers(fleet, "/late/a")) == {404}
    assert set(await answers(fleet, "/order/a")) == {200}


# Guards against a deployment that goes back with the store, also at a host that starts.
async def test_a_deployment_in_force_never_goes_back(serving_fleet: Fleet):
    fleet = serving_fleet
    await change_often(fleet, range(2, 12))
    await asyncio.sleep(0.3)
    await restore(fleet, 10)
    started = await fleet.add_host("host-new", "dc-0")
    await fleet.until(lambda: started.tables.deployment.value is not None)
    await asyncio.sleep(IN_FORCE_S)
    versions = {host.tables.deployment.value.version for host in fleet.hosts}
    assert versions == {11}
    assert set(await answers(fleet, "/late/a")) == {200}


# Guards against work for targets that an older copy lists as if they served.
@pytest.mark.parametrize("how", ["said so", "entry", "removed"])
async def test_an_older_copy_brings_no_target_back(serving_fleet: Fleet, how: str):
    fleet, target = serving_fleet, serving_fleet.targets["plain-0"]
    await change_often(fleet, range(2, 6))
    revision = fleet.store.revision
    match how:
        case "said so":
            target.leaving = True
            while not target.received:
                await answers(fleet, "/order/a", 1)
            await change_often(fleet, range(6, 8))
        case "entry":
            fleet.store.put("servers", target.name, target.entry("draining"))
        case "removed":
            fleet.store.remove("servers", target.name)
    await asyncio.sleep(0.5)
    received = len(target.received)
    await restore(fleet, fleet.store.revision - revision)
    for _ in range(8):
        await asyncio.sleep(0.25)
        assert set(await answers(fleet, "/order/a")) == {200}
    assert len(target.received) == received


# Guards against targets that get no work as the copy is older than their entries.
async def test_targets_that_a_copy_lacks_are_used_until_they_write_again(
    serving_fleet: Fleet,
):
    fleet = serving_fleet
    revision = fleet.store.revision
    for number in (3, 4):
        await fleet.add_target(TargetStandIn(f"plain-{number}", f"dc-{number % 3}"))
    for name in ("plain-0", "plain-1", "plain-2"):
        fleet.store.put("servers", name, fleet.targets[name].entry("draining"))
    await asyncio.sleep(0.5)
    await restore(fleet, fleet.store.revision - revision)
    for step in range(8):
        await asyncio.sleep(0.25)
        if step == 3:
            for number in (3, 4):
                target = fleet.targets[f"plain-{number}"]
                fleet.store.put("servers", target.name, target.entry())
        assert set(await answers(fleet, "/order/a")) == {200}


# Guards against entries and records of hosts that are lost with the store.
async def test_hosts_write_again_what_the_store_lost(serving_fleet: Fleet):
    fleet, store = serving_fleet, serving_fleet.store
    first = min(
        stored["metadata"]["revision"]
        for stored in store.objects["turmericflow-hosts"].values()
    )
    await restore(fleet, store.revision - first)
    await asyncio.sleep(AGREED_S)
    names = set(store.objects["turmericflow-hosts"])
    assert names == {host.name for host in fleet.hosts}


# Guards against hosts whose watches hang while the store is restored.
async def test_a_restore_is_noticed_while_watches_hang(serving_fleet: Fleet):
    fleet, store = serving_fleet, serving_fleet.store
    await change_often(fleet, range(2, 22))
    await asyncio.sleep(0.3)
    store.watches_stalled = True
    watching, store._watching = store._watching, set()
    store.restore(20)
    store._watching = watching
    fleet.store.put("config", "main", deployment(60))
    await asyncio.sleep(AGREED_S)
    versions = {host.tables.deployment.value.version for host in fleet.hosts}
    assert versions == {60}
