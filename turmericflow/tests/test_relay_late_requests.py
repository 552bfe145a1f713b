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
END_S = 0.5  # what ends with the process after the grace period


async def upload(seconds: float):
    """Yield a body that takes some time."""
    for _ in range(5):
        yield b"part"
        await asyncio.sleep(seconds / 5)


class Callers:
    """Callers that keep their connections until the host closes them.

    Attributes
    ----------
    outcomes
        Number of answers by status.
    cut
        Ids of requests without an answer.
    """

    def __init__(self, host, upload_s: float) -> None:
        self.outcomes: Counter[str] = Counter()
        self.cut: list[str] = []
        self._host, self._upload_s = host, upload_s
        self._tasks = [
            asyncio.create_task(self._call(number)) for number in range(CALLERS)
        ]

    async def _call(self, caller: int) -> None:
        headers = {"Host": "site.example", "X-Turmericflow-Key": KEY}
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            for number in range(1000):
                id = f"c{caller}-{number}"
                try:
                    async with session.post(
                        f"{self._host.url}/order/a",
                        headers=headers | {"X-Turmericflow-Attempt-Id": id},
                        data=upload(self._upload_s) if self._upload_s else None,
                    ) as resp:
                        await resp.read()
                        self.outcomes[str(resp.status)] += 1
                except aiohttp.ClientConnectorError:
                    return
                except aiohttp.ClientError:
                    self.cut.append(id)
                await asyncio.sleep(0.01 * (caller % 7))

    async def wait(self) -> None:
        """Wait until all have found the host gone."""
        await asyncio.gather(*self._tasks)


# Guards against requests that are passed on late in a planned stop, and then cut.
@pytest.mark.parametrize(
    ("work_s", "upload_s"), [(0.05, 0.0), (0.05, 0.4), (0.3, 0.4), (WORK_S, 0.0)]
)
@pytest.mark.parametrize("others", [0, 1])
@pytest.mark.parametrize("stream", [False, True])
async def test_requests_that_come_late_in_a_stop_are_answered(
    fleet: Fleet, others: int, work_s: float, upload_s: float, stream: bool
):
    """With a stream that outlasts the grace period, the host uses all of it."""
    for number in range(others):
        await fleet.add_host(f"other-{number}", "dc-1")
    targets = await fleet.add_plain(2)
    for target in targets:
        target.response_delay_s = work_s
    host, loop = fleet.hosts[0], asyncio.get_running_loop()
    host.ctx.settings = replace(host.ctx.settings, leave_s=LEAVE_S)
    running = None
    if stream:
        (engine,) = await fleet.add_engines("dc-0")
        engine.event_interval_s, engine.events = 0.2, 40
        running = asyncio.create_task(read_stream(fleet))
    callers = Callers(host, upload_s)
    await asyncio.sleep(0.5)
    stopped_at = loop.time()
    await host.daemon.leave()
    await host.daemon.close()
    took_s = loop.time() - stopped_at
    assert took_s < LEAVE_S + END_S if stream else took_s < LEAVE_S
    assert not stream or took_s > LEAVE_S / 2
    await callers.wait()
    if running is not None:
        await running
    ran = {each.id for target in targets for each in target.received}
    assert [id for id in callers.cut if id in ran] == []
    assert callers.outcomes["200"] >= CALLERS, callers.outcomes


async def read_stream(fleet: Fleet) -> None:
    """Read a stream for as long as it lasts."""
    try:
        async with fleet.request("/stream/a", "stream") as resp:
            await resp.read()
    except aiohttp.ClientError:
        pass
