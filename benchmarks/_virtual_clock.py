"""Virtual clock that runs scheduled callbacks without waiting."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Virtual time in seconds, and callbacks scheduled on it."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a callback at a time."""
        heapq.heappush(self._heap, (when, next(self._numbers), call))

    def every(self, start: float, period: float, call: Callable[[], None]) -> None:
        """Schedule a callback periodically."""

        def run_and_reschedule() -> None:
            call()
            self.at(self.now + period, run_and_reschedule)

        self.at(start, run_and_reschedule)

    def run(self, until: float) -> None:
        """Run the callbacks that are due up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()


def call_with(function: Callable, *args: object) -> Callable[[], None]:
    """Return a callback without arguments that calls a function with these."""
    return lambda: function(*args)
