"""Time that entries which name no target cost a host, by their bytes and number.

Run as ``python -m benchmarks.foreign_entries``. The longest stall is that of the event
loop, beside a task that does nothing but yield.
"""

from __future__ import annotations

import asyncio
import time

import structlog

from turmericflow.platform._store import ITEMS, _decode_object, _read_page
from turmericflow.relay import Kind
from turmericflow.tests.test_relay_large_entries import CONTENTS

SIZES = (1_000, 10_000, 100_000, 1_048_000)
NUMBERS = (1, 4, 16)
LARGEST = "arrays beside arrays"


async def _measure_stall(longest: list[float]) -> None:
    last = time.perf_counter()
    while True:
        await asyncio.sleep(0)
        now = time.perf_counter()
        longest[0] = max(longest[0], now - last)
        last = now


def _page(content: str, size: int, number: int) -> bytes:
    spec = CONTENTS[content](size)
    items = [
        f'{{"metadata":{{"name":"x-{n}","revision":{n}}},"spec":{spec},"status":null}}'
        for n in range(number)
    ]
    page = '{"items":[%s],"storeRevision":9,"hasMore":false}' % ",".join(items)
    return page.encode("utf-8", "surrogatepass")


async def _read(page: bytes) -> None:
    for value in (await _read_page(page, ITEMS)).values:
        await _decode_object(Kind.TARGETS, value, 0)


async def _measure(page: bytes) -> tuple[float, float]:
    """Return the processor time and the longest stall, in seconds."""
    started_at = time.process_time()
    await _read(page)
    took_s = time.process_time() - started_at
    longest = [0.0]
    ticks = asyncio.create_task(_measure_stall(longest))
    await asyncio.sleep(0)
    await _read(page)
    await asyncio.sleep(0)
    ticks.cancel()
    return took_s, longest[0]


async def _main() -> None:
    print(f"{'content':24}{'number':>7}{'bytes':>10}{'time, ms':>10}{'stall, ms':>11}")
    rows = [(content, size, 1) for content in CONTENTS for size in SIZES]
    rows += [(LARGEST, SIZES[-1], number) for number in NUMBERS[1:]]
    for content, size, number in rows:
        page = _page(content, size, number)
        took_s, stall_s = await _measure(page)
        print(
            f"{content:24}{number:7}{len(page):10}"
            f"{took_s * 1e3:10.1f}{stall_s * 1e3:11.1f}"
        )


def main() -> None:
    """Print the figures."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    asyncio.run(_main())


if __name__ == "__main__":
    main()
