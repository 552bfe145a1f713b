"""Streams begin while the store is down; then all hosts are killed and come back.

With JOINED=1 the second version registers just before the store goes down, the
workers' entries lapse meanwhile, and those of the second version come back last. Then
ORDER is checked: no more than two streams may hold events of two versions.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import stand_ins as s
from engine import Engine, event_numbers

HOSTS, STREAMS = 3, 16
VERSIONS = ("v1", "v1", "v2", "v2")  # of the workers' software
DOWN_S, BEGIN_S, KILL_S, DARK_S = 4.5, 0.3, 2.0, 2.2
CONTACT_S = 3.0  # bound `contactMs`
MIN_TAKEN_UP = 12  # of the rule LOST, as is the half below
BUDGET_MS = 25_000
MAX_JOINED = 2  # of the rule ORDER
LATE_S, FIRST_BACK_S, LAST_BACK_S = 0.05, 0.1, 1.8  # entries are back within 2 s
JOINED = os.environ.get("JOINED", "0") == "1"
STORE_DOWN = s.TROUBLE and os.environ.get("STORE", "1") != "0"


class Versioned(Engine):
    version = ""

    def signed(self, id: str) -> dict[str, str]:
        return super().signed(id) | {"X-Test-Version": self.version}

    def entry(self, state: str) -> dict[str, object]:
        return super().entry(state) | {"version": self.version}


class FailingStore(s.Store):
    down = False

    def go_down(self) -> None:
        """Cut the watches that wait, and answer 503 to all calls."""
        self.down = True
        for task, writer in list(self._tasks.items()):
            s.reset(writer)
            task.cancel()

    async def handle(self, writer, method, path, headers, body) -> bool:
        if not self.down:
            return await super().handle(writer, method, path, headers, body)
        writer.write(s.answer("503 Service Unavailable", {"Store-Era": "1"}))
        return True


async def come_back(engines: dict[str, list[Versioned]]) -> None:
    """Register the workers again whose entries lapsed."""
    await asyncio.sleep(FIRST_BACK_S)
    for engine in engines["v1"]:
        engine.register()
    await asyncio.sleep(LAST_BACK_S - FIRST_BACK_S)
    for engine in engines["v2"]:
        engine.register()


async def case(folder, prefix, record, hosts) -> int:
    loop = asyncio.get_running_loop()
    store = FailingStore(f"{prefix}.100")
    await store.start()
    store.put("config", "main", s.config())
    engines: dict[str, list[Versioned]] = {"v1": [], "v2": []}
    for number, version in enumerate(VERSIONS):
        zone = f"zone-{number % 3}"
        engine = Versioned(f"{prefix}.{101 + number}", zone, f"i-{number}", store, record)
        engine.version, engine.events, engine.interval_s = version, 150, 0.1
        engines[version].append(engine)
        if version == "v1" or not JOINED:
            await engine.start()
    hosts += [s.HostProcess(n, prefix, store, folder, record) for n in range(HOSTS)]
    for host in hosts:
        await host.start()
    for host in hosts:
        await host.until_ready()
    await asyncio.sleep(CONTACT_S + 2.0)

    async def ask(id: str, host, last: int = 0, resumes: str = "") -> s.Answer:
        headers = s.client_headers(id, BUDGET_MS)
        headers |= {
            "X-Turmericflow-Model": "m",
            "X-Turmericflow-Token-Usage": "600,1200",
            "X-Turmericflow-Prefix-Hash": f"aa:200,{id[-2:]}:400",
        }
        if last:
            headers |= {"Last-Event-Id": str(last), "Resumes": resumes}
        record.line(f"client sends {id} to {host.name}, last event {last}")
        found = await s.request(
            host.ip, s.FRONT, "POST", "/report/x", headers, b"prompt", 20.0
        )
        ids = event_numbers(found.body)
        record.line(
            f"client got {id}: {found.ending}, status {found.status}, {len(ids)} events"
        )
        return found

    if JOINED:
        for engine in engines["v2"]:
            await engine.start()
        await asyncio.sleep(LATE_S)
    if STORE_DOWN:
        record.line("the store is down")
        store.go_down()
        for name in list(store.objects["servers"]) if JOINED else ():
            store.remove("servers", name)
    downed_at = loop.time()
    await asyncio.sleep(BEGIN_S)
    begun = [
        asyncio.create_task(ask(f"stream-{n:02d}", hosts[n % HOSTS]))
        for n in range(STREAMS)
    ]
    await asyncio.sleep(KILL_S - BEGIN_S)
    if s.TROUBLE:
        for host in hosts:
            host.signal(signal.SIGKILL)
        await asyncio.sleep(DARK_S)
        for host in hosts:
            await host.start()
        await asyncio.sleep(max(0.0, downed_at + DOWN_S - loop.time()))
        store.down = False
        record.line("the store is back")
        if JOINED:
            asyncio.get_running_loop().create_task(come_back(engines))
        for host in hosts:
            await host.until_ready()
        await asyncio.sleep(0.4 if JOINED else CONTACT_S + 1.0)
    first = await asyncio.gather(*begun)
    taken, begun_by = [], []
    for number, found in enumerate(first):
        ids = event_numbers(found.body)
        if ids and not found.complete:
            host = hosts[(number + 1) % HOSTS]
            id = f"stream-{number:02d}"
            begun_by.append(found.headers.get("x-test-version"))
            taken.append(ask(f"again-{number:02d}", host, max(ids), id))
    new = [ask(f"newer-{n:02d}", hosts[n % HOSTS]) for n in range(STREAMS)]
    results = await asyncio.gather(*taken, *new)
    go_on = [bool(event_numbers(r.body)) for r in results[: len(taken)]]
    begin = [bool(event_numbers(r.body)) for r in results[len(taken) :]]
    record.line(
        f"{sum(go_on)} of {len(go_on)} streams that were taken up go on,"
        f" {sum(begin)} of {len(begin)} new ones begin"
    )
    joined = [
        number
        for number, version in enumerate(begun_by)
        if go_on[number] and results[number].headers.get("x-test-version") != version
    ]
    record.line(f"{len(joined)} streams hold events of two versions")
    if JOINED and s.TROUBLE:
        return s.BROKEN if len(joined) > MAX_JOINED else s.HELD
    if not s.TROUBLE:
        return s.HELD if all(found.complete for found in first) else s.BROKEN
    if len(go_on) < MIN_TAKEN_UP or not any(begin):
        return s.NOT_RUN
    broken = sum(go_on) / len(go_on) < 0.5 * sum(begin) / len(begin)
    return s.BROKEN if broken else s.HELD


s.run_case(case)
