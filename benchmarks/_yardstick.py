"""Does the same small work again and again, to show what a busy machine adds.

A process that wakes often costs more processor time the more others do, for its
caches are cold and its core's clock differs.  The share of a core that this one
uses beside each run tells how far the runs can be compared.
"""

from __future__ import annotations

import asyncio
import json

WAKE_S = 0.005
WORK = {"name": "redactor", "numbers": list(range(20))}


async def _run() -> None:
    while True:
        json.loads(json.dumps(WORK))
        await asyncio.sleep(WAKE_S)


if __name__ == "__main__":
    asyncio.run(_run())
