"""Virtual time, and what happens at which."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Virtual time, and what happens at which."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Have something happen at a time."""
        heapq.heappush(self._heap, (when, next(self._numbers), call))

    def every(self, start: float, period: float, call: Callable[[], None]) -> None:
        """Have something happen again and again."""

        def again() -> None:
            call()
            self.at(self.now + period, again)

        self.at(start, again)

    def run(self, until: float) -> None:
        """Let everything happen up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()


def call_with(function: Callable, *args: object) -> Callable[[], None]:
    """Return a call without arguments."""
    return lambda: function(*args)
