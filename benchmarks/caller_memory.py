"""Memory of a host's process beside callers that stall, and the cost of the limits.

The first table shows the peak resident memory of a host on a machine of 160 MB against
the number of connections; each cell is a process of its own. The second shows the
processor time of a small request with limits in the settings and without them.

Usage: python -m benchmarks.caller_memory
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import statistics
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

from benchmarks._processes import cpu_s
from turmericflow.tests.host_process import HostProcess, add_host_process
from turmericflow.tests.platform_stand_ins import Fleet, deployment
from turmericflow.tests.test_caller_crowds import (
    BODY_BYTES,
    MAX_FDS,
    MEMORY_MB,
    TIMEOUT_MS,
    Caller,
    Kind,
    LargeEngine,
    LargeTarget,
    connect_crowd,
    large_answers_ahead,
    short_bodies,
    unread_streams,
)

LIMITS = {"memoryMb": MEMORY_MB, "maxFds": MAX_FDS}
CONNECTIONS = (0, 15, 30, 60, 120)
KINDS = {
    "bodies short of their end": short_bodies,
    "large answers unread": large_answers_ahead,
    "streams unread": unread_streams,
}
STAY_S = 4.0  # bodies are refused after 1 s, answers wait for room for 2 s
ROUNDS = 7
REQUESTS = 1_000  # of a round
AT_ONCE = 8
VIEW_S = 0.3  # until the host knows the targets

_requests = itertools.count()


@contextlib.asynccontextmanager
async def _fleet() -> AsyncIterator[tuple[Fleet, Path]]:
    """Run a store, two targets and two engines."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        await fleet.start(hosts=0)
        routes = [route | {"timeoutMs": TIMEOUT_MS} for route in deployment()["routes"]]
        limits = {"maxHeaderBytes": 16_384, "maxBodyBytes": BODY_BYTES}
        fleet.store.put("config", "main", deployment(2, routes=routes, limits=limits))
        for number in range(2):
            await fleet.add_target(LargeTarget(f"plain-{number}", f"dc-{number}"))
            await fleet.add_target(LargeEngine(f"engine-{number}", f"dc-{number}"))
        try:
            yield fleet, Path(folder)
        finally:
            await fleet.stop()


async def _add_host(
    fleet: Fleet, folder: Path, limits: dict[str, int] | None
) -> HostProcess:
    host = await add_host_process(fleet, folder, limits)
    await host.wait_until_ready(fleet.session)
    await asyncio.sleep(VIEW_S)
    return host


async def _peak_mb(act, connections: int) -> float:
    """Return the peak resident memory beside a crowd, in megabytes."""
    async with _fleet() as (fleet, folder):
        host = await _add_host(fleet, folder, LIMITS)
        callers: list[Caller] = await connect_crowd(Kind(act, connections), host)
        acts = [asyncio.create_task(act(c, n)) for n, c in enumerate(callers)]
        await asyncio.sleep(STAY_S)
        if host.process.returncode is not None:
            return float("nan")  # the process ended
        peak = host.peak_memory_bytes() / 1e6
        for task in acts:
            task.cancel()
        await asyncio.gather(*acts, return_exceptions=True)
        for caller in callers:
            caller.close()
        return peak


async def _round_us(fleet: Fleet, number: int) -> float:
    """Return the processor time of a host for a request, in microseconds."""
    host = fleet.hosts[number]

    async def send(count: int) -> None:
        for _ in range(count):
            id = f"b{next(_requests)}"
            async with fleet.request("/order/1", id, number, data=b"small") as resp:
                assert resp.status == 200, resp.status
                await resp.read()

    used_s = cpu_s(host.process.pid)
    await asyncio.gather(*(send(REQUESTS // AT_ONCE) for _ in range(AT_ONCE)))
    return (cpu_s(host.process.pid) - used_s) / REQUESTS * 1e6


async def _print_memory() -> None:
    print(f"peak resident MB, machine of {MEMORY_MB} MB and {MAX_FDS} descriptors")
    print(f"{'connections':<27}" + "".join(f"{n:>7}" for n in CONNECTIONS))
    for name, act in KINDS.items():
        peaks = [await _peak_mb(act, count) for count in CONNECTIONS]
        print(f"{name:<27}" + "".join(f"{peak:7.1f}" for peak in peaks), flush=True)


async def _print_cost() -> None:
    async with _fleet() as (fleet, folder):
        for limits in (LIMITS, None):
            await _add_host(fleet, folder, limits)
        for number in (0, 1):
            await _round_us(fleet, number)  # warms up
        rounds = []
        for turn in range(ROUNDS):
            order = (0, 1) if turn % 2 else (1, 0)
            used = {number: await _round_us(fleet, number) for number in order}
            rounds.append((used[0], used[1]))
    print(f"processor time of a small request, {ROUNDS} rounds of {REQUESTS}, in us")
    columns = [*zip(*rounds), [limited - without for limited, without in rounds]]
    for name, values in zip(("with limits", "without", "difference"), columns):
        median = statistics.median(values)
        print(f"{name:<12}{median:8.0f}  ({min(values):.0f} to {max(values):.0f})")


async def main() -> None:
    """Print both tables."""
    await _print_memory()
    await _print_cost()


if __name__ == "__main__":
    asyncio.run(main())
