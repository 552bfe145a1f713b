"""Tests of requests that come late while a host stops as planned."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

import aiohttp
import pytest

from turmericflow.tests.platform_stand_ins import KEY, Fleet

LEAVE_S = 3.0
WORK_S = 0.7  # of the route's 0.8 s
CALLERS = 30


async def upload(seconds: float):
    """Yield a body that takes some time."""
    for _ in range(5):
        yield b"part"
        await asyncio.sleep(seconds / 5)


# Guards against requests that are passed on late in a planned stop, and then cut.
@pytest.mark.parametrize(
    ("work_s", "upload_s"), [(0.05, 0.0), (0.05, 0.4), (0.3, 0.4), (WORK_S, 0.0)]
)
@pytest.mark.parametrize("others", [0, 1])
async def test_requests_that_come_late_in_a_stop_are_answered(
    fleet: Fleet, others: int, work_s: float, upload_s: float
):
    for number in range(others):
        await fleet.add_host(f"other-{number}", "dc-1")
    targets = await fleet.add_plain(2)
    for target in targets:
        target.response_delay_s = work_s
    host, loop = fleet.hosts[0], asyncio.get_running_loop()
    host.ctx.settings = replace(host.ctx.settings, leave_s=LEAVE_S)
    outcomes: Counter[str] = Counter()
    cut: list[str] = []
    headers = {"Host": "site.example", "X-Turmericflow-Key": KEY}

    async def call(caller: int) -> None:
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            for number in range(1000):
                id = f"c{caller}-{number}"
                try:
                    async with session.post(
                        f"{host.url}/order/a",
                        headers=headers | {"X-Turmericflow-Attempt-Id": id},
                        data=upload(upload_s) if upload_s else None,
                    ) as resp:
                        await resp.read()
                        outcomes[str(resp.status)] += 1
                except aiohttp.ClientConnectorError:
                    return
                except aiohttp.ClientError:
                    cut.append(id)
                await asyncio.sleep(0.01 * (caller % 7))

    callers = [asyncio.create_task(call(number)) for number in range(CALLERS)]
    await asyncio.sleep(0.5)
    stopped_at = loop.time()
    await host.daemon.leave()
    await host.daemon.close()
    assert loop.time() - stopped_at < LEAVE_S
    await asyncio.gather(*callers)
    ran = {each.id for target in targets for each in target.received}
    assert [id for id in cut if id in ran] == []
    assert outcomes["200"] >= CALLERS, outcomes
