"""Long work in steps, between which other tasks of the event loop run."""

from __future__ import annotations

import asyncio
import time

STEP_S = 0.001


class Step:
    """One step of some work, begun when this is created or the last one ended."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until = time.perf_counter() + STEP_S

    async def end(self) -> None:
        """Let other tasks run if the step has lasted long enough."""
        if time.perf_counter() >= self._until:
            await asyncio.sleep(0)
            self._until = time.perf_counter() + STEP_S
