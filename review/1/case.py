"""A stream without a length passes another host, and that host is stopped."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import stand_ins as s
from engine import Engine, event_numbers

CRASH_AT_S, DOWN_S, STOP_AT_S = 2.0, 1.2, 6.0
STREAMS_FROM_S, STREAMS_UNTIL_S, STREAM_EVERY_S = 1.0, 4.5, 0.06
EVENTS = 120
WORKERS_ZONE = "zone-0"
SIGNAL = signal.SIGKILL if os.environ.get("HOW") == "kill" else signal.SIGTERM


async def crash_all(engines: list[Engine], record) -> None:
    """All workers of the zone crash at once; they are back after `DOWN_S`."""
    record.line("all workers of the zone crash")
    for engine in engines:
        engine.crash()
    await asyncio.sleep(DOWN_S)
    for engine in engines:
        await engine.start()
    record.line("they are back")


async def case(folder, prefix, record, hosts) -> int:
    store = s.Store(f"{prefix}.100")
    await store.start()
    store.put("config", "main", s.config())
    engines = []
    for number in range(3):
        args = f"{prefix}.{101 + number}", WORKERS_ZONE, f"i-{number}", store, record
        engine = Engine(*args)
        engine.events, engine.framed = EVENTS, False
        await engine.start()
        engines.append(engine)
    hosts += [s.HostProcess(n, prefix, store, folder, record) for n in range(2)]
    for host in hosts:
        await host.start()
    for host in hosts:
        await host.until_ready()
    await asyncio.sleep(3.0)  # the hosts know each other

    answers: dict[str, s.Answer] = {}

    async def ask(number: int) -> None:
        id = f"stream-{number:03d}"
        headers = s.client_headers(id, 25_000)
        headers |= {
            "X-Turmericflow-Model": "m",
            "X-Turmericflow-Token-Usage": "400,960",
            "X-Turmericflow-Prefix-Hash": f"aa:200,{number:x}:200",
        }
        record.line(f"client sends {id} to {hosts[0].name}")
        found = await s.request(
            hosts[0].ip, s.FRONT, "POST", "/report/x", headers, b"prompt", 30.0
        )
        answers[id] = found
        ids = event_numbers(found.body)
        record.line(
            f"client got {id}: {found.ending}, status {found.status},"
            f" {len(ids)} of {EVENTS} events"
        )

    async def ask_all() -> None:
        number, until = 0, loop.time() + STREAMS_UNTIL_S - STREAMS_FROM_S
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                group.create_task(ask(number))
                number += 1
                await asyncio.sleep(STREAM_EVERY_S)

    loop = asyncio.get_running_loop()
    asking = asyncio.create_task(ask_all())
    if s.TROUBLE:
        await asyncio.sleep(CRASH_AT_S - STREAMS_FROM_S)
        await crash_all(engines, record)
        await asyncio.sleep(STOP_AT_S - CRASH_AT_S - DOWN_S)
        hosts[1].signal(SIGNAL)
        await hosts[1].wait(8.0)
    await asking
    short = [
        id
        for id, found in sorted(answers.items())
        if found.complete
        and found.status == 200
        and event_numbers(found.body) != list(range(1, EVENTS + 1))
    ]
    served = sum(1 for a in answers.values() if a.complete and a.status == 200)
    record.line(f"{len(answers)} streams, {served} complete, of these short: {short}")
    if not served:
        return s.NOT_RUN
    return s.BROKEN if short else s.HELD


s.run_case(case)
