"""Periodic checks of target streams and of the requests that run here."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from mode import Service

from turmericflow.services._stats import Stats
from turmericflow.systems import budgets, detection, hedging
from turmericflow.tables import StreamRow, Tables

if TYPE_CHECKING:
    from turmericflow.services._runner import Runner

TICK_S = 0.02
IDLE_TICK_S = 0.1
SWEEP_INTERVAL_S = 0.2
MAX_TICK_DELAY_S = 0.03
TARGET_SUSPICION_S = 1.0


class UnstalledClock:
    """A monotonic clock that excludes time during which this process stalled."""

    __slots__ = ("_stalled_s",)

    def __init__(self) -> None:
        self._stalled_s = 0.0

    def now(self) -> float:
        """Return the time in seconds."""
        return time.monotonic() - self._stalled_s

    def add_stall(self, seconds: float) -> None:
        """Exclude a stall, during which no output could be read."""
        self._stalled_s += seconds


class Watchdog(Service):
    """Run the failure detector each tick, and a less frequent request sweep.

    The ticks are further apart while there are no requests.
    """

    def __init__(
        self, tables: Tables, runner: Runner, clock: UnstalledClock, stats: Stats
    ) -> None:
        super().__init__()
        self._tables = tables
        self._runner = runner
        self._clock = clock
        self._stats = stats

    @Service.task
    async def _ticks(self) -> None:
        last_tick_at = last_sweep_at = time.monotonic()
        while not self.should_stop:
            tick_s = TICK_S if self._tables.requests.rows else IDLE_TICK_S
            await asyncio.sleep(tick_s)
            now = time.monotonic()
            delay_s = now - last_tick_at - tick_s
            last_tick_at = now
            if delay_s > MAX_TICK_DELAY_S:
                self._clock.add_stall(delay_s)
                self._stats.count("watch.late")
                # Output that arrived during the stall has not been read yet.
                continue
            sweep = now - last_sweep_at >= SWEEP_INTERVAL_S
            self._check_streams(each_stream=sweep)
            if sweep:
                budgets.earn_by_time(self._tables.load, now - last_sweep_at)
                last_sweep_at = now
                self._runner.sweep(now)

    def _check_streams(self, each_stream: bool) -> None:
        tables = self._tables
        suspicions = detection.find_silent_streams(
            tables.streams, tables.targets, self._clock.now(), each_stream
        )
        suspect_until = time.monotonic() + TARGET_SUSPICION_S
        for suspicion in suspicions:
            self._stats.count(f"detection.{suspicion.fault}")
            target = tables.targets.rows.get(suspicion.stream.target)
            if target is not None and suspicion.fault is detection.Fault.TARGET:
                target.suspect_until = max(target.suspect_until, suspect_until)
            self._hedge(suspicion.stream)

    def _hedge(self, stream: StreamRow) -> None:
        tables = self._tables
        if hedging.try_acquire(tables.streams, tables.load.wasted_hedges, stream):
            self._runner.on_silent_stream(stream)
        else:
            stream.suspected = False
            self._stats.count("detection.held_back")
