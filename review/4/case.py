"""A request that crashes its workers comes again while hosts are restarted in turn."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import stand_ins as s

HOSTS, WORKERS = 3, 6
POISON = b"a body that crashes its worker"
DOWN_S = 2.0
CONTACT_S = 3.0  # bound `contactMs`
MAX_RETRIES = 3  # of the rule BUDGET
GRACE_S = 8.0  # bound `graceS`
BUDGET_MS = 1500
BOOKINGS_AT_ONCE = 3  # at each host
RESTART = s.TROUBLE and os.environ.get("RESTART", "1") != "0"


class Desk(s.Worker):
    """A worker that crashes as it begins to run the poisonous request."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.crashes: list[tuple[float, str]] = []

    async def run(self, writer, id, path, headers, body) -> bool:
        if body == POISON:
            self.record.line(f"worker {self.id} crashes on {id}")
            self.crashes.append((asyncio.get_running_loop().time(), id))
            asyncio.get_running_loop().create_task(self._fall_over())
            await asyncio.sleep(60)
        await asyncio.sleep(0.15)
        return await super().run(writer, id, path, headers, body)

    async def _fall_over(self) -> None:
        self.crash()
        await asyncio.sleep(DOWN_S)
        await self.start()


async def case(folder, prefix, record, hosts) -> int:
    store = s.Store(f"{prefix}.100")
    await store.start()
    store.put("config", "main", s.config())
    workers = []
    for number in range(WORKERS):
        zone = f"zone-{number % 3}"
        worker = Desk(f"{prefix}.{101 + number}", zone, f"i-{number}", store, record)
        await worker.start()
        workers.append(worker)
    hosts += [s.HostProcess(n, prefix, store, folder, record) for n in range(HOSTS)]
    for host in hosts:
        await host.start()
    for host in hosts:
        await host.until_ready()
    await asyncio.sleep(CONTACT_S + 0.5)

    sound: list[s.Answer] = []

    async def ask(id: str, host, path: str, body: bytes) -> s.Answer:
        record.line(f"client sends {id} to {host.name}")
        headers = s.client_headers(id, BUDGET_MS)
        answer = await s.request(host.ip, s.FRONT, "POST", path, headers, body, 2.0)
        record.line(f"client got {id}: {answer.ending}, status {answer.status}")
        return answer

    async def poison(id: str, host) -> None:
        """Send the poisonous request: the same path, caller and body each time."""
        if s.TROUBLE:
            await ask(id, host, "/slot/x", POISON)
            await asyncio.sleep(0.5)

    async def book(host, lane: int) -> None:
        """Send sound requests that run at most once, until cancelled."""
        number = 0
        while True:
            number += 1
            if await host_ready(host):
                id = f"{host.name}-{lane}-{number}"
                sound.append(await ask(id, host, "/booking/x", b"a booking"))
            await asyncio.sleep(0.1)

    async def host_ready(host) -> bool:
        return host.running and await host.is_ready()

    booking = [
        asyncio.create_task(book(host, lane))
        for host in hosts
        for lane in range(BOOKINGS_AT_ONCE)
    ]
    for number in range(6):
        await poison(f"poison-{number}", hosts[number % HOSTS])
        await asyncio.sleep(1.0)
    await asyncio.sleep(DOWN_S + CONTACT_S)
    for host in hosts:
        await poison(f"poison-before-{host.name}", host)
    for host in hosts:
        # One at a time is stopped and started; it is in touch again when asked.
        if RESTART:
            host.signal(signal.SIGTERM)
            await host.wait(GRACE_S)
            await host.start()
            await host.until_ready()
        await asyncio.sleep(CONTACT_S + 0.5)
        for number in range(3):
            await poison(f"poison-{number}-at-{host.name}", host)
        await asyncio.sleep(DOWN_S)
    for task in booking:
        task.cancel()
    crashes = sorted(crash for worker in workers for crash in worker.crashes)
    cut = [a for a in sound if a.status != 200]
    if s.TROUBLE and len(crashes) < 3:
        return s.NOT_RUN
    late = []
    if len(crashes) >= 3:
        from_s = crashes[2][0] + CONTACT_S
        late = [id for at, id in crashes if at > from_s]
    record.line(
        f"{len(crashes)} crashes, {len(late)} of them more than {CONTACT_S} s after the"
        f" third: {late}; {len(cut)} of {len(sound)} sound requests not served"
    )
    return s.BROKEN if len(late) > MAX_RETRIES else s.HELD


s.run_case(case)
