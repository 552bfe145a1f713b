"""The workers of one version crash, the store goes away, and all hosts lose power."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections import Counter
from pathlib import Path

import lab
from http_peer import Channel, request
from turmericflow.tests.platform_stand_ins import (
    EngineStandIn,
    StoreStandIn,
    deployment,
)

HOSTS = 3
OLD_WORKERS, NEW_WORKERS = 2, 10  # of the versions v1 and v2
STREAMS = 24
EVENTS, GAP_S = 130, 0.15
TIMEOUT_MS = 25_000
STEADY_S = 10.0
# After the crash of the workers of v1, in seconds.
REMOVED_S = 3.6  # their entries, after three liveness report intervals
STORE_DOWN_S, STORE_BACK_S = 3.9, 8.4
WORKERS_BACK_S = 4.5
STREAMS_S = 6.2
KILLED_S, STARTED_S = 8.0, 10.0
REGISTERED_S = 9.4  # a second after the store's return
CRASH = os.environ.get("CRASH", "1") != "0"
STORE = os.environ.get("STORE", "1") != "0"


class Engine(EngineStandIn):
    """An engine of a software version, which its events name."""

    def __init__(self, name: str, zone: str, version: str) -> None:
        super().__init__(name, zone)
        self.version = version
        self.born = int(time.time() * 1000)

    async def start_again(self) -> None:
        """Start as a new lifetime with a new id, at the same address."""
        self.name += "-again"
        self.born = int(time.time() * 1000)
        self.kv_copies.clear()
        await self.start()

    def entry(self, state: str = "ready") -> dict[str, object]:
        return super().entry(state) | {"version": self.version, "born": self.born}

    def report(self) -> dict[str, object]:
        return super().report() | {"born": self.born}

    def event(self, received, number: int) -> bytes:
        return f"id: {number}\ndata: {self.version} {self.name}\n\n".encode()


class Caller:
    """A caller of one stream, which it takes up again if its channel breaks."""

    def __init__(self, number: int, room: lab.Lab) -> None:
        self.id = f"stream-{number}"
        self.host = room.hosts[number % HOSTS]
        self._record = room.record
        self.last = 0
        self.versions: list[str] = []  # of its events, in order

    async def read(self, id: str, resumes: str | None = None) -> bool:
        """Send the request; return whether the stream has ended."""
        channel, more = Channel(self.host.front), ""
        if resumes is not None:
            more = f"Last-Event-Id: {self.last}\r\nResumes: {resumes}\r\n"
        try:
            await channel.open()
            path = f"/stream/x?events={EVENTS}&interval_s={GAP_S}"
            data = request("POST", path, id, TIMEOUT_MS, more=more)
            await channel.send(data)
            status, headers = await channel.head()
            if b" 200 " not in status:
                text = await channel.exactly(int(headers["content-length"]))
                self._record.line(f"{id} at {self.host.name}: {status!r} {text!r}")
                return False
            while data := await channel.chunk():
                for event in data.split(b"\n\n")[:-1]:
                    head, _, text = event.decode().partition("\n")
                    number = int(head.removeprefix("id:"))
                    if number != self.last + 1:
                        self._record.line(f"{id}: event {number} after {self.last}")
                    self.last = number
                    self.versions.append(text.split(" ")[1])
        except (OSError, ValueError) as exc:
            line = f"{id} at {self.host.name}: {exc!r} after event {self.last}"
            self._record.line(line)
            return False
        finally:
            channel.close()
        return True


async def case(room: lab.Lab) -> list[str]:
    store = await room.add(StoreStandIn())
    versions = ["v1"] * OLD_WORKERS + ["v2"] * NEW_WORKERS
    engines = [
        Engine(f"e-{number}", f"dc-{number % 3}", version)
        for number, version in enumerate(versions)
    ]
    old = engines[:OLD_WORKERS]
    for engine in engines:
        await room.add(engine)
        store.put("servers", engine.name, engine.entry())
    config = deployment()
    for route in config["routes"]:
        if route["name"] == "stream":
            route["timeoutMs"] = TIMEOUT_MS
    store.put("config", "main", config)
    hosts = await room.add_hosts(HOSTS, store.address)
    await asyncio.sleep(STEADY_S)
    loop = asyncio.get_running_loop()
    began, record = loop.time(), room.record

    async def until(seconds: float, what: str) -> None:
        await asyncio.sleep(max(0.0, began + seconds - loop.time()))
        record.line(what)

    if lab.TROUBLE and CRASH:
        record.line("the workers of v1 crash")
        for engine in old:
            for connection in engine.runner.server.connections:
                connection.transport.abort()
            await engine.stop()
        await until(REMOVED_S, "the store removes their entries")
        for engine in old:
            store.remove("servers", engine.name)
    if lab.TROUBLE and STORE:
        await until(STORE_DOWN_S, "the store is down (busy)")
        store.go_away()
    if lab.TROUBLE and CRASH:
        await until(WORKERS_BACK_S, "the workers of v1 are back")
        for engine in old:
            await engine.start_again()
    await until(STREAMS_S, "the streams are sent")
    callers = [Caller(number, room) for number in range(STREAMS)]
    tasks = [asyncio.create_task(each.read(each.id)) for each in callers]
    if lab.TROUBLE:
        await until(KILLED_S, "all hosts lose power")
        for host in hosts:
            host.signal(signal.SIGKILL)
        await until(STORE_BACK_S, "the store is back")
        store.status = None
        await until(REGISTERED_S, "the workers of v1 write their entries again")
        for engine in old:
            store.put("servers", engine.name, engine.entry())
        await until(STARTED_S, "all hosts start")
        for host in hosts:
            await host.start()
        for host in hosts:
            await host.wait_until_ready()
        record.line("all hosts are ready")
    ended = await asyncio.gather(*tasks)
    if lab.TROUBLE:
        await asyncio.sleep(1.0)
        again = [
            each
            for each, complete in zip(callers, ended)
            if not complete and each.versions
        ]
        record.line(f"{len(again)} streams that had begun are taken up")
        await asyncio.gather(
            *(each.read(f"{each.id}-again", each.id) for each in again)
        )
    joined = []
    for each in callers:
        runs = dict(Counter(each.versions))
        record.line(f"{each.id}: {each.last} of {EVENTS} events, {runs}")
        if len(runs) > 1:
            joined.append(each.id)
    record.line(f"{len(joined)} streams hold events of two versions")
    if len(joined) > 2:
        return [f"{len(joined)} of {STREAMS} streams hold events of two versions"]
    return []


lab.main(Path(__file__).parent, case)
