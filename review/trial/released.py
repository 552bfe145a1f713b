"""All hosts lose power, and two versions are released meanwhile."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

import lab
from http_peer import Channel, request
from turmericflow.tests.platform_stand_ins import (
    EngineStandIn,
    StoreStandIn,
    deployment,
)

ENGINES, HOSTS = 6, 3
STREAMS = 24
EVENTS, GAP_S = 130, 0.15
TIMEOUT_MS = 25_000
BEFORE_S, COPY_AGE_S, DOWN_S = 4.0, 2.0, 1.5
IN_TOUCH_S = 9.0
TRIES, MIN_PAUSE_S = 3, 0.3


class Caller:
    """A caller of one stream."""

    def __init__(self, number: int, room: lab.Lab, prefix: str) -> None:
        self.id = f"{prefix}-{random.randrange(10**9)}"
        self.host = room.hosts[number % HOSTS]
        self._record = room.record
        self.last = 0
        self.complete = False
        self._retry_after_s = 0.0

    async def read(self, id: str, resumes: str | None = None) -> bool:
        """Send the request; return whether the stream began or went on."""
        channel, began, more = Channel(self.host.front), False, ""
        if resumes is not None:
            more = f"Last-Event-Id: {self.last}\r\nResumes: {resumes}\r\n"
        try:
            await channel.open()
            path = f"/stream/x?events={EVENTS}&interval_s={GAP_S}"
            data = request("POST", path, id, TIMEOUT_MS, more=more)
            await channel.send(data)
            status, headers = await channel.head()
            if b" 200 " not in status:
                self._retry_after_s = float(headers.get("retry-after", "0"))
                text = await channel.exactly(int(headers["content-length"]))
                self._record.line(f"{id} at {self.host.name}: {status!r} {text!r}")
                return False
            while data := await channel.chunk():
                for line in data.split(b"\n"):
                    if line.startswith(b"id:"):
                        number, began = int(line[3:]), True
                        if number != self.last + 1:
                            line = f"{id}: got event {number} after {self.last}"
                            self._record.line(line)
                        self.last = number
            self.complete = True
        except (OSError, ValueError) as exc:
            line = f"{id} at {self.host.name}: {exc!r} after event {self.last}"
            self._record.line(line)
        finally:
            channel.close()
        return began

    async def take_up(self) -> bool:
        """Take the stream up; after a refusal once more, as its answer says."""
        for number in range(TRIES):
            if await self.read(f"{self.id}-again-{number}", self.id):
                return True
            await asyncio.sleep(max(MIN_PAUSE_S, self._retry_after_s))
        return False


async def case(room: lab.Lab) -> list[str]:
    store = await room.add(StoreStandIn())
    engines = [EngineStandIn(f"e-{n}", f"dc-{n % 3}") for n in range(ENGINES)]
    for engine in engines:
        await room.add(engine)
        store.put("servers", engine.name, engine.entry())
    config = deployment()
    for route in config["routes"]:
        if route["name"] == "stream":
            route["timeoutMs"] = TIMEOUT_MS
    store.put("config", "main", config)
    hosts = await room.add_hosts(HOSTS, store.address)
    await asyncio.sleep(8.0)
    callers = [Caller(number, room, "stream") for number in range(STREAMS)]
    first = [asyncio.create_task(each.read(each.id)) for each in callers]
    await asyncio.sleep(BEFORE_S - COPY_AGE_S)
    beat = engines[0].entry() | {"sequence": 2}
    store.put("servers", engines[0].name, beat)
    room.record.line("a worker writes its entry")
    await asyncio.sleep(COPY_AGE_S)
    for host in hosts:
        host.signal(signal.SIGKILL)
    room.record.line("all hosts are killed")
    begun = await asyncio.gather(*first)
    room.record.line(f"{sum(begun)} of {STREAMS} streams had begun")
    if not all(begun):
        raise lab.CannotRun("not all streams had begun")
    await asyncio.sleep(DOWN_S / 2)
    if lab.TROUBLE:
        for v in ("v2", "v3"):
            for n in range(2):
                e = EngineStandIn(f"{v}-{n}", f"dc-{n}")
                await room.add(e)
                store.put("servers", e.name, e.entry() | {"version": v})
    await asyncio.sleep(DOWN_S / 2)
    for host in hosts:
        await host.start()
    for host in hosts:
        await host.wait_until_ready()
    room.record.line("all hosts are ready")
    await asyncio.sleep(IN_TOUCH_S)
    new = [Caller(number, room, "new") for number in range(STREAMS)]
    new_tasks = [asyncio.create_task(each.read(each.id)) for each in new]
    went_on = sum(await asyncio.gather(*(each.take_up() for each in callers)))
    complete = sum(each.complete for each in callers)
    began = sum(await asyncio.gather(*new_tasks))
    room.record.line(f"{went_on} of {STREAMS} taken up went on, {complete} to the end")
    room.record.line(f"{began} of {STREAMS} new streams began")
    if went_on < began / 2:
        return [
            f"{went_on} of {STREAMS} streams that were taken up went on;"
            f" {began} of {STREAMS} new ones began"
        ]
    return []


lab.main(Path(__file__).parent, case)
