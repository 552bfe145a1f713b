"""Time that entries of another writer cost a host, by their bytes and number.

Run as ``python -m benchmarks.foreign_entries``. The longest stall is that of the event
loop, beside a task that does nothing but yield. Small entries are put into the table of
targets too, in one step.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterator

import structlog

from turmericflow.platform._steps import Step
from turmericflow.platform._store import (
    EVENTS,
    ITEMS,
    _decode_event,
    _decode_object,
    _read_page,
)
from turmericflow.relay import Kind, Row, _discovery as discovery
from turmericflow.relay._target_tables import TargetTable
from turmericflow.tests.platform_stand_ins import TargetStandIn
from turmericflow.tests.test_relay_large_entries import CONTENTS

SIZES = (1_000, 10_000, 100_000, 1_048_000)
NUMBERS = (1, 4, 16)
LARGEST = "arrays beside arrays"
SMALL_NUMBERS = (100, 1_000, 10_000)
SMALL = ("fields missing", "complete", "complete, one address")


async def _measure_stall(longest: list[float]) -> None:
    last = time.perf_counter()
    while True:
        await asyncio.sleep(0)
        now = time.perf_counter()
        longest[0] = max(longest[0], now - last)
        last = now


def _page(specs: list[str], name: str) -> bytes:
    """Return a page of objects or events that hold some contents."""
    values = [
        f'{{"metadata":{{"name":"x-{n}","revision":{n + 1}}},"spec":{spec}}}'
        for n, spec in enumerate(specs)
    ]
    if name == EVENTS:
        values = [f'{{"object":{value},"tombstone":false}}' for value in values]
    page = f'{{"{name}":[{",".join(values)}],"storeRevision":{len(specs) + 1}}}'
    return page.encode("utf-8", "surrogatepass")


def _small(content: str, number: int) -> list[str]:
    """Return contents of at most some hundred bytes."""
    if content == "fields missing":
        return ['{"backend":"plain"}'] * number
    entry = TargetStandIn("x", "dc-0").entry()
    addresses = [f"127.1.{n // 250}.{n % 250 + 1}:80" for n in range(number)]
    if content == "complete, one address":
        addresses = addresses[:1] * number
    return [json.dumps(entry | {"address": address}) for address in addresses]


async def _read(page: bytes, name: str) -> list[Row]:
    rows: list[Row] = []
    step = Step()
    for value in (await _read_page(page, name)).values:
        await step.end()
        if name == EVENTS:
            rows.append((await _decode_event(Kind.TARGETS, value, 0)).row)
        else:
            rows.append(await _decode_object(Kind.TARGETS, value, 0))
    return rows


async def _read_and_apply(page: bytes, name: str) -> None:
    rows = await _read(page, name)
    table = TargetTable()
    discovery.begin_era(table, 1, 0.0)
    entries = [row.value for row in rows if row.value is not None]
    odd = [row.name for row in rows if row.value is None]
    change = discovery.difference(table, entries, odd, len(rows) + 1)
    discovery.apply(table, change, 0.0)


async def _measure(page: bytes, name: str) -> tuple[float, float]:
    """Return the processor time and the longest stall, in seconds."""
    started_at = time.process_time()
    await _read_and_apply(page, name)
    took_s = time.process_time() - started_at
    longest = [0.0]
    ticks = asyncio.create_task(_measure_stall(longest))
    await asyncio.sleep(0)
    await _read_and_apply(page, name)
    await asyncio.sleep(0)
    ticks.cancel()
    return took_s, longest[0]


def _cases() -> Iterator[tuple[str, list[str]]]:
    """Yield contents of entries, with a name."""
    for content in CONTENTS:
        for size in SIZES:
            yield content, [CONTENTS[content](size)]
    for number in NUMBERS[1:]:
        yield LARGEST, [CONTENTS[LARGEST](SIZES[-1])] * number
    for content in SMALL:
        for number in SMALL_NUMBERS:
            yield content, _small(content, number)


async def _main() -> None:
    print(
        f"{'content':24}{'in':>8}{'number':>7}{'bytes':>10}{'time, ms':>10}"
        f"{'stall, ms':>11}"
    )
    for content, specs in _cases():
        for name in (ITEMS, EVENTS):
            page = _page(specs, name)
            took_s, stall_s = await _measure(page, name)
            print(
                f"{content:24}{name:>8}{len(specs):7}{len(page):10}"
                f"{took_s * 1e3:10.1f}{stall_s * 1e3:11.1f}"
            )


def main() -> None:
    """Print the figures."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    asyncio.run(_main())


if __name__ == "__main__":
    main()
