"""The stand-in's batches in virtual time, and their late load reports."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks._virtual_clock import Clock
from benchmarks._virtual_outcomes import Outcome
from turmericflow.systems import estimates
from turmericflow.tables import LoadReport
from turmericflow.testing._batch import Batch, EngineSpeed, Stream

LOSS_SEEN_S = 0.002


@dataclass(slots=True, frozen=True)
class Fleet:
    """Size of what is driven."""

    engines: int = 12
    routers: int = 6
    speed: EngineSpeed = EngineSpeed(20.0, 0.01, 16, 20_000.0, 1024)

    def served_per_s(self, tokens: float) -> float:
        """Return the requests of a mean length that the fleet serves a second.

        One step takes the prompt in and each token takes one, all batches full.
        """
        speed = self.speed
        step = speed.step_ms * (1 + speed.slow_down * (speed.slots - 1)) / 1000
        return self.engines * speed.slots / (step * (tokens + 1))


class Engine:
    """A stand-in's batch that steps in virtual time, and its late reports."""

    def __init__(self, clock: Clock, name: str, speed: EngineSpeed, seed: int) -> None:
        self.name = name
        self.batch = Batch(speed, seed)
        self.dead = False
        self.lost: dict[str, Callable[[], None]] = {}
        self._clock = clock
        self._busy = False
        self._reports: list[tuple[float, tuple[int, int, float]]] = []
        self._note()

    def add(self, outcome: Outcome, done: list[str], rank: int) -> Stream:
        """Take a stream in."""
        arrival = outcome.arrival
        most = arrival.stream.max_tokens
        stream = self.batch.add(
            arrival.key, outcome.tries, outcome.prompt, done, most, rank
        )
        if not self._busy:
            self._busy = True
            self._clock.at(self._clock.now + self.batch.step_s(), self._step)
        return stream

    def _step(self) -> None:
        if self.dead:
            return
        self.batch.step()
        self._note()
        self._busy = bool(self.batch.running or self.batch.queue)
        if self._busy:
            self._clock.at(self._clock.now + self.batch.step_s(), self._step)

    def _note(self) -> None:
        batch = self.batch
        report = (len(batch.running), len(batch.queue), batch.step_s() * 1000)
        self._reports.append((self._clock.now, report))
        old = self._clock.now - estimates.REPORT_LAG_S
        while len(self._reports) > 1 and self._reports[1][0] <= old:
            self._reports.pop(0)

    def report(self, now: float) -> LoadReport:
        """Return the report that a router gets now."""
        if not self._busy:
            self._note()
        running, queued, step_ms = self._reports[0][1]
        speed = self.batch.speed
        return LoadReport(
            running, queued, speed.slots, step_ms, speed.prefill_tokens_s, now
        )

    def kill(self) -> None:
        """End at once; every stream's router sees its connection reset."""
        self.dead = True
        for call in list(self.lost.values()):
            self._clock.at(self._clock.now + LOSS_SEEN_S, call)
