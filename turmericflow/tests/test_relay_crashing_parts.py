"""Tests of prompts with a part that crashes each engine that begins an answer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from turmericflow.relay._stream import Stream
from turmericflow.tests.platform_stand_ins import (
    CRASH_DOWNTIME_S,
    EngineStandIn,
    Fleet,
)

FIRST, CRASHING = "aa01", "bad1"
# Five crashes and three requests more.
MAX_SENDS = 5 + 3
DATA_CENTRES = ("dc-0", "dc-1", "dc-2") * 3


def parts_header(number: int, *parts: str) -> dict[str, str]:
    """Return the header of a prompt; each has further parts of its own."""
    found = [FIRST, *parts, f"c{number:03x}"]
    ids = [f"{part}:40" for part in found]
    return {"X-Turmericflow-Prefix-Hash": ",".join(ids)}


@pytest.fixture
async def crashing_fleet(
    fleet_of_three: Fleet, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[Fleet]:
    """Run three hosts, and nine engines that crash on a part."""
    monkeypatch.setattr(EngineStandIn, "crashing_parts", frozenset([CRASHING]))
    await fleet_of_three.add_engines(*DATA_CENTRES)
    yield fleet_of_three


def count_crashing(fleet: Fleet) -> int:
    """Return how often requests with the crashing part reached engines."""
    return sum(
        CRASHING in received.headers["X-Turmericflow-Prefix-Hash"]
        for target in fleet.targets.values()
        for received in target.received
    )


async def send(fleet: Fleet, number: int, *parts: str, host: int | None = None) -> int:
    """Send a request that is like no other; return its status when it is whole."""
    headers = parts_header(number, *parts)
    async with fleet.request(
        f"/stream/{number}",
        f"r{number}",
        host=number % len(fleet.hosts) if host is None else host,
        headers=headers,
        data=f"content {number}".encode(),
    ) as resp:
        await resp.read()
        return resp.status


async def crash_until_refused(fleet: Fleet) -> list[int]:
    """Send crashing requests to all hosts for a time; return the statuses."""
    found = []
    for number in range(12):
        found.append(
            asyncio.create_task(send(fleet, number, f"d{number:03x}", CRASHING))
        )
        await asyncio.sleep(0.15)
    return await asyncio.gather(*found)


# Guards against requests that crash one engine after the other, no two of them alike.
async def test_a_part_that_crashes_engines_is_refused_at_all_hosts(
    crashing_fleet: Fleet,
):
    fleet = crashing_fleet
    await crash_until_refused(fleet)
    reached = count_crashing(fleet)
    assert reached <= MAX_SENDS
    for number in range(20, 29):
        assert await send(fleet, number, CRASHING) == 503
    assert count_crashing(fleet) == reached


# Guards against a refusal of what crashing requests share with sound ones.
async def test_sound_requests_with_the_same_caller_and_parts_are_served(
    crashing_fleet: Fleet,
):
    fleet = crashing_fleet
    assert await send(fleet, 100, "b001") == 200
    crashing = asyncio.create_task(crash_until_refused(fleet))
    found = []
    for number in range(101, 121):
        found.append(asyncio.create_task(send(fleet, number, "b001")))
        await asyncio.sleep(0.1)
    await crashing
    assert [await each for each in found] == [200] * len(found)
    await asyncio.sleep(CRASH_DOWNTIME_S)
    sent = sum(len(target.received) for target in fleet.targets.values())
    assert [await send(fleet, number, "b001") for number in range(200, 210)] == [
        200
    ] * 10
    # Each began at its first attempt.
    assert sum(len(t.received) for t in fleet.targets.values()) == sent + 10


# Guards against a host that has just started and knows no crashes of earlier.
async def test_a_host_that_has_just_started_refuses_a_part_that_crashed_engines(
    crashing_fleet: Fleet,
):
    fleet = crashing_fleet
    await crash_until_refused(fleet)
    await asyncio.sleep(1.5)  # longer than statuses repeat what is new
    started = await fleet.add_host("host-3", "dc-0")
    await fleet.until(lambda: len(started.tables.hosts.rows) == 3)
    await asyncio.sleep(0.5)
    reached = count_crashing(fleet)
    assert await send(fleet, 30, CRASHING, host=3) == 503
    assert count_crashing(fleet) == reached


# Guards against a sound part that all hosts refuse for good, since one that has just
# started cannot tell it from the crashing one (review/2).
async def test_a_host_that_has_just_started_has_no_sound_part_refused(
    crashing_fleet: Fleet,
):
    fleet = crashing_fleet
    for number in range(100, 106):
        assert await send(fleet, number, "b001") == 200
    started = await fleet.add_host("host-3", "dc-0")
    await fleet.until(lambda: len(started.tables.hosts.rows) == 3)
    await fleet.until(lambda: started.tables.targets.rows)
    found = [
        asyncio.create_task(send(fleet, number, CRASHING, "b001", host=3))
        for number in range(4)
    ]
    await asyncio.gather(*found)
    await asyncio.sleep(CRASH_DOWNTIME_S)
    reached = count_crashing(fleet)
    for host in range(4):
        assert await send(fleet, 20 + host, CRASHING, "b001", host=host) == 503
    assert count_crashing(fleet) == reached
    statuses = [
        await send(fleet, 200 + number, "b001", host=number % 4) for number in range(12)
    ]
    assert statuses == [200] * 12


# Guards against a refusal of parts that many share, when engines die for other reasons.
async def test_parts_of_engines_that_die_for_other_reasons_are_not_refused(
    fleet_of_three: Fleet,
):
    fleet = fleet_of_three
    engines = await fleet.add_engines(*DATA_CENTRES)
    for engine in engines:
        engine.prefill_s, engine.events = 0.2, 60
    for wave in range(3):
        found = [
            asyncio.create_task(send(fleet, 40 * wave + number, "b001", "b002"))
            for number in range(24)
        ]
        await asyncio.sleep(0.15 + 0.1 * wave)
        for engine in engines[:6]:
            asyncio.ensure_future(engine.crash())
        await asyncio.gather(*found)
        await asyncio.sleep(CRASH_DOWNTIME_S + 0.3)
    await fleet.until(lambda: fleet.all_hosts_have_targets("model", len(engines)))
    assert [await send(fleet, 300 + n, "b001", "b002") for n in range(6)] == [200] * 6


# Guards against an answer without a length or chunks that is cut, or looks whole.
@pytest.mark.parametrize("fault", ["unframed", "unframed tear 7"])
async def test_a_stream_without_length_or_chunks_is_whole(fleet: Fleet, fault: str):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2")
    for engine in engines:
        engine.injected.faults = [fault]
    async with fleet.request("/stream/1") as resp:
        body = await resp.read()
    assert resp.status == 200
    events = [line for line in body.split(b"\n") if line.startswith(b"id:")]
    assert events == [b"id: %d" % number for number in range(1, 21)]


# Guards against a sound request that is refused as it lost engines to its neighbours.
async def test_a_stream_that_has_output_is_no_suspect_when_its_engines_crash(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(Stream, "_choose_backup", lambda self, target: None)
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2", "dc-0", "dc-1")
    for engine in engines:
        engine.event_interval_s, engine.events = 0.02, 200

    async def crash_its_engine() -> None:
        for _ in range(4):
            await asyncio.sleep(0.6)
            (run,) = fleet.hosts[0].tables.runs
            await fleet.targets[run.target.entry.id].crash()

    crashes = asyncio.create_task(crash_its_engine())
    async with fleet.request("/stream/1", data=b"sound") as resp:
        body = await resp.read()
    await crashes
    events = [line for line in body.split(b"\n") if line.startswith(b"id:")]
    assert events == [b"id: %d" % number for number in range(1, 201)]
