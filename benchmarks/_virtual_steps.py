"""Engines that prefill prompts in chunks between steps, in virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

SLOTS = 16
CAPACITY = 88_000  # KV cache tokens
STEP_S = 0.0042
CHUNK_STEP_S = 0.0292
CHUNK_TOKENS = 200
PROMPT_TOKENS, OUTPUT_TOKENS = 8_200, 910
TOKENS = PROMPT_TOKENS + OUTPUT_TOKENS
FIRST_EVENT_TOKENS = 7
MAX_STEPS = 8  # simulated at once while nothing is prefilled


class Events:
    """Calls in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list = []
        self._order = count()

    def add(self, at: float, call: Callable, *args: object) -> None:
        """Schedule a call."""
        heapq.heappush(self._heap, (at, next(self._order), call, args))

    def run(self, until: float) -> None:
        """Make the calls up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._heap)
            call(*args)


class Stream:
    """One stream, its caller's objective, and what became of it."""

    def __init__(self, objective_s: float, arrived_at: float) -> None:
        self.objective_s = objective_s
        self.arrived_at = arrived_at
        self.host = 0
        self.tokens = 0  # of output
        self.prefilled = 0  # tokens of the prompt, and of the output on a resume
        self.sent_at = 0.0
        self.began_at: float | None = None
        self.ended_at: float | None = None
        self.refused = False
        self.engine: Engine | None = None
        self.holder: Engine | None = None

    @property
    def memory(self) -> int:
        """KV cache tokens in use."""
        return self.prefilled + self.tokens

    @property
    def served(self) -> bool:
        """Whether it began within its objective and was completed."""
        began = self.began_at is not None
        return (
            began
            and self.ended_at is not None
            and self.began_at - self.arrived_at <= self.objective_s
        )


class Engine:
    """An engine with a queue of its own, which preempts the newest run."""

    def __init__(
        self, events: Events, number: int, on_end: Callable, on_first: Callable
    ) -> None:
        self.number = number
        self.queue: list[Stream] = []
        self.runs: list[Stream] = []
        self.copies: set[Stream] = set()
        self.down = False
        self.prefilled_again = 0
        self._events = events
        self._on_end, self._on_first = on_end, on_first
        self._busy = False
        self._era = 0

    def memory(self) -> int:
        """Return the KV cache tokens in use."""
        return sum(s.memory for s in self.runs) + sum(s.memory for s in self.copies)

    def add(self, stream: Stream, from_copy: bool) -> None:
        """Queue a stream, which is prefilled again unless its copy is here."""
        stream.engine = self
        if not from_copy:
            self.prefilled_again += stream.memory
            stream.prefilled = 0
        self.queue.append(stream)
        self._wake()

    def crash(self) -> list[Stream]:
        """Lose all runs and copies; return the runs."""
        lost = self.runs + self.queue
        self.runs, self.queue, self.down, self._busy = [], [], True, False
        self._era += 1
        for stream in self.copies:
            stream.holder = None
        self.copies = set()
        return lost

    def _wake(self) -> None:
        if not self._busy and not self.down:
            self._busy = True
            self._events.add(self._events.now, self._begin, self._era)

    def _needed(self, stream: Stream) -> int:
        return PROMPT_TOKENS + stream.tokens + 1

    def _begin(self, era: int) -> None:
        if era != self._era:
            return
        while self.queue and len(self.runs) < SLOTS:
            used = sum(self._needed(s) for s in self.runs)
            used += sum(s.memory for s in self.copies)
            if self.runs and used + self._needed(self.queue[0]) > CAPACITY:
                break
            self.runs.append(self.queue.pop(0))
        if not self.runs:
            self._busy = False
            return
        prefills = next((s for s in self.runs if self._missing(s)), None)
        decoding = [s for s in self.runs if not self._missing(s)]
        steps, seconds = 1, CHUNK_STEP_S
        if prefills is None:
            steps = min(MAX_STEPS, *(OUTPUT_TOKENS - s.tokens for s in decoding), 8)
            seconds = steps * STEP_S
        self._events.add(
            self._events.now + seconds, self._end, era, prefills, decoding, steps
        )

    @staticmethod
    def _missing(stream: Stream) -> int:
        return PROMPT_TOKENS - stream.prefilled

    def _end(
        self, era: int, prefills: Stream | None, decoding: list[Stream], steps: int
    ) -> None:
        if era != self._era:
            return
        if prefills is not None:
            prefills.prefilled = min(PROMPT_TOKENS, prefills.prefilled + CHUNK_TOKENS)
        for stream in decoding:
            stream.tokens += steps
            if stream.began_at is None and stream.tokens >= FIRST_EVENT_TOKENS:
                stream.began_at = self._events.now
                self._on_first(stream)
            if stream.tokens >= OUTPUT_TOKENS:
                self.runs.remove(stream)
                stream.ended_at = self._events.now
                self._on_end(stream)
        while len(self.runs) > 1 and self.memory() > CAPACITY:
            newest = max(self.runs, key=lambda s: s.sent_at)
            self.runs.remove(newest)
            self.prefilled_again += newest.memory
            newest.prefilled = 0
            self.queue.insert(0, newest)
        self._begin(era)
