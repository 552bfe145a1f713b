"""Repeats a fixed small task, to show the effect of other load on the machine.

A process that wakes often uses more processor time when others are busy, since
its caches are cold and its core's clock differs.  The share of a core that this
process uses during each run shows how far the runs can be compared.
"""

from __future__ import annotations

import asyncio
import json

WAKE_INTERVAL_S = 0.005
DOCUMENT = {"name": "redactor", "numbers": list(range(20))}


async def _run() -> None:
    while True:
        json.loads(json.dumps(DOCUMENT))
        await asyncio.sleep(WAKE_INTERVAL_S)


if __name__ == "__main__":
    asyncio.run(_run())
