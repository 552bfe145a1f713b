"""The stand-in engine's batch in virtual time, with delayed load reports."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks._virtual_clock import Clock
from benchmarks._virtual_outcomes import Outcome
from turmericflow.systems import estimates
from turmericflow.tables import LoadReport
from turmericflow.testing._batch import Batch, EngineSpeed, Stream

LOSS_NOTICE_DELAY_S = 0.002


@dataclass(slots=True, frozen=True)
class Fleet:
    """Numbers of engines and routers, and the engines' speed."""

    engines: int = 12
    routers: int = 6
    speed: EngineSpeed = EngineSpeed(20.0, 0.01, 16, 20_000.0, 1024)

    def served_per_s(self, tokens: float) -> float:
        """Return the requests of a mean length that the fleet serves per second.

        All batches are full; a request takes one step of prefill and one step
        for each token.
        """
        speed = self.speed
        step = speed.step_ms * (1 + speed.slow_down * (speed.slots - 1)) / 1000
        return self.engines * speed.slots / (step * (tokens + 1))


class Engine:
    """A stand-in engine's batch that steps in virtual time.

    Attributes
    ----------
    loss_callbacks
        Callback of each running request for the engine's loss, by request key.
    """

    def __init__(self, clock: Clock, name: str, speed: EngineSpeed, seed: int) -> None:
        self.name = name
        self.batch = Batch(speed, seed)
        self.dead = False
        self.loss_callbacks: dict[str, Callable[[], None]] = {}
        self._clock = clock
        self._busy = False
        self._reports: list[tuple[float, tuple[int, int, float]]] = []
        self._record_report()

    def add(self, outcome: Outcome, prefix: list[str], priority: int) -> Stream:
        """Start an attempt and return its stream."""
        arrival = outcome.arrival
        max_tokens = arrival.stream.max_tokens
        stream = self.batch.add(
            arrival.key, outcome.tries, outcome.prompt, prefix, max_tokens, priority
        )
        if not self._busy:
            self._busy = True
            self._clock.at(self._clock.now + self.batch.step_s(), self._step)
        return stream

    def _step(self) -> None:
        if self.dead:
            return
        self.batch.step()
        self._record_report()
        self._busy = bool(self.batch.running or self.batch.queue)
        if self._busy:
            self._clock.at(self._clock.now + self.batch.step_s(), self._step)

    def _record_report(self) -> None:
        batch = self.batch
        report = (len(batch.running), len(batch.queue), batch.step_s() * 1000)
        self._reports.append((self._clock.now, report))
        visible_until = self._clock.now - estimates.REPORT_LAG_S
        while len(self._reports) > 1 and self._reports[1][0] <= visible_until:
            self._reports.pop(0)

    def report(self, now: float) -> LoadReport:
        """Return the delayed load report that a router receives now."""
        if not self._busy:
            self._record_report()
        running, queued, step_ms = self._reports[0][1]
        speed = self.batch.speed
        return LoadReport(
            running, queued, speed.slots, step_ms, speed.prefill_tokens_s, now
        )

    def kill(self) -> None:
        """Fail the engine; every stream's router sees its connection reset."""
        self.dead = True
        for call in list(self.loss_callbacks.values()):
            self._clock.at(self._clock.now + LOSS_NOTICE_DELAY_S, call)
