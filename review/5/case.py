"""Another writer puts entries with missing fields among the workers."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import stand_ins as s

HOSTS = 3
BEFORE_S, AFTER_S, EVERY_S = 4.0, 30.0, 0.2
BUDGET_MS = 1500
# Of the rule Fault: on a tenth of the machines, two at least, three ends each.
MIN_MACHINES, MIN_ENDS = 2, 3
# Fields that the page PROTOCOL names are missing: version, slots, coldRemainingMs,
# sequence.
FOREIGN = {"backend": "desk", "state": "ready"}


async def case(folder, prefix, record, hosts) -> int:
    store = s.Store(f"{prefix}.100")
    await store.start()
    store.put("config", "main", s.config())
    for number in range(3):
        args = f"{prefix}.{101 + number}", f"zone-{number}", f"i-{number}", store, record
        await s.Worker(*args).start()
    hosts += [s.HostProcess(n, prefix, store, folder, record) for n in range(HOSTS)]
    keepers = [asyncio.create_task(host.keep_running()) for host in hosts]
    for host in hosts:
        await host.until_ready()
    await asyncio.sleep(3.0)

    loop = asyncio.get_running_loop()
    found: list[s.Answer] = []

    async def ask(id: str, host) -> None:
        record.line(f"client sends {id}")
        headers = s.client_headers(id, BUDGET_MS)
        answer = await s.request(
            host.ip, s.FRONT, "POST", "/booking/x", headers, b"a booking", 1.5
        )
        found.append(answer)
        record.line(f"client got {id}: {answer.ending}, status {answer.status}")

    async def ask_all(seconds: float, first: int) -> int:
        until, number = loop.time() + seconds, first
        async with asyncio.TaskGroup() as group:
            while loop.time() < until:
                for host in hosts:
                    group.create_task(ask(f"{host.name}-{number:03d}", host))
                number += 1
                await asyncio.sleep(EVERY_S)
        return number

    sent = await ask_all(BEFORE_S, 0)
    if any(answer.status != 200 for answer in found):
        return s.NOT_RUN
    found.clear()
    if s.TROUBLE:
        for number in range(3):
            record.line(f"another writer writes servers/x-{number}")
            where = {"zone": f"zone-{number}", "address": f"desk{number}..local:8080"}
            store.put("servers", f"x-{number}", FOREIGN | where)
    await ask_all(AFTER_S, sent)
    for keeper in keepers:
        keeper.cancel()
    endings: dict[str, int] = {}
    for answer in found:
        key = f"{answer.ending} {answer.status}"
        endings[key] = endings.get(key, 0) + 1
    ends = {host.name: len(host.own_ends) for host in hosts}
    record.line(f"{len(found)} requests: {endings}; ends by themselves: {ends}")
    machines = sum(1 for number in ends.values() if number >= MIN_ENDS)
    return s.BROKEN if machines >= MIN_MACHINES else s.HELD


s.run_case(case)
