"""Memory, bytes and processor time of the table of parts that crash targets.

Run as ``python -m benchmarks.crashing_parts``.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable

import msgspec

from turmericflow.relay import _crashing_parts as crashing_parts
from turmericflow.relay._crashing_parts import CrashingParts, PartCrash

PARTS = 3  # shared parts of a prompt
REPEATS = 2000


def _crash(number: int) -> PartCrash:
    parts = tuple(f"service/{number:08x}{part:08x}" for part in range(PARTS))
    return PartCrash(f"i-{number:010x}@0", f"{number:032x}", parts, 1.0)


def full_table() -> CrashingParts:
    """Return a table that holds as much as its bounds allow."""
    table = CrashingParts()
    for number in range(crashing_parts.MAX_SOUND_PARTS):
        table.record_output([f"service/{number:016x}"], 1.0)
    for number in range(crashing_parts.MAX_CRASHES):
        table.record_crash(_crash(number), 1.0)
    convicted = [(f"service/c{n:015x}", 0.0) for n in range(256)]
    table.apply_gossip([], crashing_parts.PartTimes([], convicted), 1.0)
    return table


def _microseconds(call: Callable[[], object], repeats: int = REPEATS) -> float:
    started_at = time.perf_counter()
    for _ in range(repeats):
        call()
    return (time.perf_counter() - started_at) / repeats * 1e6


def main() -> None:
    """Print the figures."""
    tracemalloc.start()
    full = full_table()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    empty, parts = CrashingParts(), [f"service/{n}" for n in range(PARTS)]
    new = CrashingParts()
    for number in range(3):
        new.record_own_crash(_crash(number), 1.0)
    rows = {
        "memory of a full table, bytes": memory_bytes,
        "in a status without crashes, bytes": len(
            msgspec.msgpack.encode(empty.news(1.0, 1.0))
        ),
        "in a status with three crashes, bytes": len(
            msgspec.msgpack.encode(new.news(1.0, 1.0))
        ),
        "first event, empty table, us": _microseconds(
            lambda: empty.record_output(parts, 1.0)
        ),
        "first event, full table, us": _microseconds(
            lambda: full.record_output(parts, 1.0)
        ),
        "check of a request, full table, us": _microseconds(
            lambda: full.find_refused(parts, 1.0)
        ),
        "crash, full table, us": _microseconds(
            lambda: full.record_crash(_crash(1000), 1.0), 1
        ),
    }
    for name, value in rows.items():
        print(f"{name:40} {value:12.1f}")


if __name__ == "__main__":
    main()
