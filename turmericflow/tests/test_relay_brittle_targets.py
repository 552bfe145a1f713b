"""Tests of targets that fall over when they turn too many requests away."""

from __future__ import annotations

import asyncio

import pytest

from turmericflow.tests.platform_stand_ins import Fleet

HOSTS = 7
TARGETS = 3
MAX_REFUSALS_PER_S = 5
SECONDS = 5.0


@pytest.fixture
async def serving_fleet(fleet_of_seven: Fleet) -> Fleet:
    """Run seven hosts with three targets that have room for few requests."""
    fleet = fleet_of_seven
    for target in await fleet.add_plain(TARGETS):
        target.brittle = MAX_REFUSALS_PER_S
        target.response_delay_s = 0.1
    return fleet


async def send(fleet: Fleet, id: int, statuses: list[int]) -> None:
    path = ("/order/a", "/state/a")[id % 2]
    async with fleet.request(path, f"r{id}", host=id % HOSTS) as resp:
        await resp.read()
        statuses.append(resp.status)


# Guards against targets that fall over, as hosts that do not agree overload them.
@pytest.mark.parametrize("per_s, room", [(120, 6), (250, 6), (120, 3)])
async def test_brittle_targets_rarely_fall_over(
    serving_fleet: Fleet, per_s: int, room: int
):
    fleet, statuses = serving_fleet, []
    for id in range(30):  # each host hears that they are brittle
        await send(fleet, id, statuses)
    for target in fleet.targets.values():
        target.room = room
    statuses.clear()
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    async with asyncio.TaskGroup() as group:
        for id in range(100, 100 + int(per_s * SECONDS)):
            group.create_task(send(fleet, id, statuses))
            await asyncio.sleep(begun_at + (id - 99) / per_s - loop.time())
    falls = sum(target.falls for target in fleet.targets.values())
    assert falls <= 2 + TARGETS / 10
    capacity = TARGETS * room / 0.1
    assert statuses.count(200) >= 0.25 * min(per_s, capacity) * SECONDS
