"""Another writer puts entries among the workers whose bytes cannot be read."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import stand_ins as s

HOSTS = 3
BEFORE_S, AFTER_S, EVERY_S = 4.0, 20.0, 0.1
BUDGET_MS, ROUTE_TIMEOUT_S, LATE_S = 1500, 0.8, 0.5
MIN_LATE, MAX_LATE_SHARE = 8, 0.5  # of the rule CONFIG: eight or more, over half
ENTRIES = int(os.environ.get("ENTRIES", "4"))
VALUE_BYTES = 1_048_576  # of the page DEPLOY: most bytes of an object
METADATA_BYTES = 500


def unreadable() -> bytes:
    """Return an entry of the largest size that is nested as deeply as it is long."""
    begin = b'{"backend":"desk","state":"ready","tags":'
    depth = (VALUE_BYTES - METADATA_BYTES - len(begin) - 1) // 2
    return begin + b"[" * depth + b"]" * depth + b"}"


async def case(folder, prefix, record, hosts) -> int:
    store = s.Store(f"{prefix}.100")
    await store.start()
    store.put("config", "main", s.config())
    for number in range(3):
        args = f"{prefix}.{101 + number}", f"zone-{number}", f"i-{number}", store, record
        await s.Worker(*args).start()
    hosts += [s.HostProcess(n, prefix, store, folder, record) for n in range(HOSTS)]
    for host in hosts:
        await host.start()
    for host in hosts:
        await host.until_ready()
    await asyncio.sleep(3.0)

    loop = asyncio.get_running_loop()
    found: list[tuple[float, str, s.Answer]] = []

    async def ask(number: int, host) -> None:
        id, at = f"{host.name}-{number:03d}", loop.time()
        record.line(f"client sends {id}")
        answer = await s.request(
            host.ip,
            s.FRONT,
            "POST",
            "/booking/x",
            s.client_headers(id, BUDGET_MS),
            b"a booking",
            BUDGET_MS / 1000,
        )
        found.append((at, id, answer))
        record.line(
            f"client got {id}: {answer.ending}, status {answer.status}"
            f" after {answer.seconds:.3f} s"
        )

    async def ask_all(seconds: float, first: int) -> int:
        until, number = loop.time() + seconds, first
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                for host in hosts:
                    group.create_task(ask(number, host))
                number += 1
                await asyncio.sleep(EVERY_S)
        return number

    number = await ask_all(BEFORE_S, 0)
    if any(not answer.complete for _, _, answer in found):
        return s.NOT_RUN
    found.clear()
    if s.TROUBLE:
        for entry in range(ENTRIES):
            record.line(f"another writer writes servers/x-{entry}")
            store.put("servers", f"x-{entry}", unreadable())
    await ask_all(AFTER_S, number)
    waiting = [a for _, _, a in found if a.seconds > ROUTE_TIMEOUT_S]
    late = [
        a
        for a in waiting
        if not a.complete or a.seconds > ROUTE_TIMEOUT_S + LATE_S
    ]
    record.line(
        f"{len(found)} requests; {len(waiting)} unanswered after {ROUTE_TIMEOUT_S} s,"
        f" of these {len(late)} without an answer {LATE_S} s later;"
        f" {sum(a.status == 200 for _, _, a in found)} served"
    )
    broken = len(late) >= MIN_LATE and len(late) > MAX_LATE_SHARE * len(waiting)
    return s.BROKEN if broken else s.HELD


s.run_case(case)
