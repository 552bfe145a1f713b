"""Tests of hosts that have lost their path to the targets."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from turmericflow.tests.platform_stand_ins import Cut, Fleet, TargetStandIn

HOSTS = 7
NOTICED_S = 3.0


@pytest.fixture
async def serving_fleet(fleet_of_seven: Fleet) -> Fleet:
    """Run seven hosts with three plain targets and three engines."""
    fleet = fleet_of_seven
    await fleet.add_plain(3)
    await fleet.add_engines("dc-0", "dc-1", "dc-2")
    return fleet


class Load:
    """Requests at given hosts, each tried once."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._sent = 0
        self.statuses: list[int] = []

    async def _send(self, path: str, host: int) -> None:
        self._sent += 1
        id = f"{path}-{self._sent}-{id_of(self)}"
        async with self._fleet.request(path, id, host=host) as resp:
            body = await resp.read()
            whole = "/stream/" not in path or b"id: 3" in body
            self.statuses.append(resp.status if whole else 0)

    async def run(self, path: str, hosts: range, seconds: float) -> Counter[int]:
        """Send to the hosts in turn for a time; return the statuses' counts."""
        self.statuses = []
        until = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < until:
                for host in hosts:
                    group.create_task(self._send(path, host))
                await asyncio.sleep(0.25)
        return Counter(self.statuses)


def id_of(load: Load) -> int:
    return id(load) % 100_000


def served(counts: Counter[int]) -> float:
    return counts[200] / counts.total()


def ran_twice(targets: list[TargetStandIn]) -> list[str]:
    runs = Counter(each.id for target in targets for each in target.received)
    return [id for id, number in runs.items() if number > 1]


# Guards against hosts that refuse all requests as they reach no target themselves.
@pytest.mark.parametrize("cut", list(Cut))
@pytest.mark.parametrize("number", [3, 6])
async def test_callers_of_cut_off_hosts_are_served(
    serving_fleet: Fleet, cut: Cut, number: int
):
    fleet, load = serving_fleet, Load(serving_fleet)
    cut_off = range(number)
    for host in fleet.hosts[:number]:
        host.cut_off(cut)
    await load.run("/order/a", cut_off, NOTICED_S)
    counts = await load.run("/order/a", cut_off, 1.0)
    elsewhere = await load.run("/order/a", range(number, HOSTS), 0.5)
    assert served(counts) >= 0.95, counts
    assert served(elsewhere) >= 0.95, elsewhere
    assert ran_twice(list(fleet.targets.values())) == []


# Guards against streams that end, or do not begin, at hosts without a path.
@pytest.mark.parametrize("cut", list(Cut))
async def test_streams_at_a_cut_off_host_begin_and_go_on(
    serving_fleet: Fleet, cut: Cut
):
    fleet, load = serving_fleet, Load(serving_fleet)
    long = asyncio.create_task(
        load.run("/stream/a?events=60&interval_s=0.05", range(1), 0.1)
    )
    await asyncio.sleep(1.0)
    fleet.hosts[0].cut_off(cut)
    begun = await long
    await load.run("/stream/b?events=4&interval_s=0.01", range(1), NOTICED_S)
    counts = await load.run("/stream/c?events=4&interval_s=0.01", range(1), 1.0)
    assert begun == {200: 1}
    assert served(counts) >= 0.95, counts


# Guards against a host that is cut off from one service and serves no other.
async def test_a_cut_from_one_service_leaves_the_others_alone(serving_fleet: Fleet):
    fleet, load = serving_fleet, Load(serving_fleet)
    fleet.hosts[0].cut_off(Cut.REFUSED, "plain")
    await load.run("/order/a", range(1), 0.5)
    plain = await load.run("/order/a", range(1), 1.0)
    streams = await load.run("/stream/a?events=4&interval_s=0.01", range(1), 1.0)
    assert served(plain) >= 0.95, plain
    assert served(streams) >= 0.95, streams


# Guards against hosts that believe what a host without a path says of the targets.
@pytest.mark.parametrize("cut", [Cut.REFUSED, Cut.HANGING])
async def test_others_do_not_avoid_targets_that_a_cut_off_host_cannot_reach(
    serving_fleet: Fleet, cut: Cut
):
    fleet, load = serving_fleet, Load(serving_fleet)
    path = "/stream/a?events=4&interval_s=0.01"
    for host in fleet.hosts[:3]:
        host.cut_off(cut)
    await load.run(path, range(3), NOTICED_S)
    now = asyncio.get_running_loop().time()
    avoided = {
        row.entry.key
        for host in fleet.hosts[3:]
        for row in host.tables.targets.rows.values()
        if row.backoff_until > now
    }
    assert avoided == set()
    assert not any(host.tables.crashes.has_crashes for host in fleet.hosts)


# Guards against a host that goes on through others when its path is back.
async def test_a_host_whose_path_is_back_sends_for_itself(serving_fleet: Fleet):
    fleet, load = serving_fleet, Load(serving_fleet)
    fleet.hosts[0].cut_off(Cut.REFUSED)
    await load.run("/order/a", range(1), 1.0)
    fleet.hosts[0].cut_off(None)
    await load.run("/order/a", range(1), 2.0)
    connections = fleet.hosts[0].connections_made
    counts = await load.run("/order/a", range(1), 1.0)
    assert served(counts) == 1.0
    assert fleet.hosts[0].connections_made >= connections + counts.total()


# Guards against requests that wait when no host has a path.
async def test_requests_are_refused_at_once_when_all_hosts_are_cut_off(
    serving_fleet: Fleet,
):
    fleet, load = serving_fleet, Load(serving_fleet)
    for host in fleet.hosts:
        host.cut_off(Cut.REFUSED)
    await load.run("/order/a", range(HOSTS), 1.0)
    started_at = asyncio.get_running_loop().time()
    counts = await load.run("/order/a", range(HOSTS), 0.1)
    assert set(counts) == {503}
    assert asyncio.get_running_loop().time() - started_at < 0.6


# Guards against an answer that is passed on as whole though its target broke off.
async def test_a_broken_answer_through_another_host_is_not_whole(serving_fleet: Fleet):
    fleet, load = serving_fleet, Load(serving_fleet)
    fleet.hosts[0].cut_off(Cut.REFUSED)
    await load.run("/order/a", range(1), 0.5)
    for target in fleet.targets.values():
        target.injected.always = "unframed torn"
    counts = await load.run("/order/a", range(1), 0.5)
    assert set(counts) == {502}
    for target in fleet.targets.values():
        target.injected.always = "unframed"
    counts = await load.run("/order/a", range(1), 0.5)
    assert set(counts) == {200}


# Guards against work that goes on after its caller has left.
async def test_a_caller_that_leaves_ends_the_work_through_another_host(
    serving_fleet: Fleet,
):
    fleet, load = serving_fleet, Load(serving_fleet)
    fleet.hosts[0].cut_off(Cut.REFUSED)
    await load.run("/order/a", range(1), 0.5)
    path = "/stream/left?events=100&interval_s=0.05"
    async with fleet.request(path, "left", host=0) as resp:
        await resp.content.readany()
        resp.close()
    await asyncio.sleep(0.5)
    outcomes = [
        each.outcome
        for target in fleet.targets.values()
        for each in target.received
        if each.id == "left"
    ]
    assert outcomes == ["cancelled"]
