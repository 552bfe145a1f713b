"""State shared by the services of a host."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from random import Random
from typing import TYPE_CHECKING

from turmericflow.relay._answers import AnswerMemory
from turmericflow.relay._call import TargetClient
from turmericflow.relay._metrics import Metrics
from turmericflow.relay._model import TargetEntry
from turmericflow.relay._settings import HostSettings
from turmericflow.relay._store import ObjectStore
from turmericflow.relay._tables import CrashSuspect, Tables
from turmericflow.relay.caller_limits import Budget, CallerLimiter

if TYPE_CHECKING:
    from turmericflow.relay.admission import AdmissionGate

MIN_STALL_S = 0.1  # a tick later than this means that the process was stalled


class Clock:
    """The event loop's clock, and one that stops while the process is stalled."""

    __slots__ = ("_stalled_s", "_last_tick_at", "_ran_until")

    def __init__(self) -> None:
        self._stalled_s = 0.0
        self._last_tick_at: float | None = None
        self._ran_until = float("-inf")

    @staticmethod
    def now() -> float:
        """Return the time of the event loop, in seconds."""
        return asyncio.get_running_loop().time()

    def unstalled_now(self) -> float:
        """Return the time of the event loop minus all stalls, in seconds.

        With this clock a stall of this process does not look like silence of others.
        """
        return self.now() - self._stalled_s

    def earliest_arrival(self) -> float:
        """Return the earliest time at which a signal that is handled now can have come.

        This is the time of the last tick before a stall that lasts or has just ended,
        else the current time.
        """
        now, last_tick_at = self.now(), self._last_tick_at
        if last_tick_at is None:
            return now
        if now - last_tick_at > MIN_STALL_S:
            return last_tick_at
        if last_tick_at - self._ran_until > MIN_STALL_S:
            return self._ran_until
        return now

    def tick(self, every_s: float) -> float:
        """Record a periodic tick; return how late it came, in seconds."""
        now = self.now()
        late_s = (
            0.0 if self._last_tick_at is None else now - self._last_tick_at - every_s
        )
        self._ran_until = now if self._last_tick_at is None else self._last_tick_at
        self._last_tick_at = now
        if late_s > MIN_STALL_S:
            self._stalled_s += late_s
        return late_s


def _ignore_announcement() -> None:
    """Ignore announcements until the links to other hosts are set up."""


async def _read_nothing() -> bool:
    """Read nothing until the daemon is set up."""
    return False


class HostContext:
    """Settings, tables and connections of one host.

    Attributes
    ----------
    crash_suspects
        Requests whose connection to the target failed, until the target is checked
        for a crash.
    misdirected
        Targets at whose addresses other targets answered, until the addresses are
        probed.
    announce
        Announces at once a change that affects other hosts' choices.
    announce_load
        Announces new work at a target soon.
    admission
        Lets streams in once an engine has room, or None if the settings name no limits
        on this host.
    read_versions
        Reads from the store which versions began streams; returns whether it did.
    """

    __slots__ = (
        "settings",
        "tables",
        "target_client",
        "store",
        "answer_memory",
        "metrics",
        "caller_limiter",
        "clock",
        "rng",
        "announce",
        "announce_load",
        "read_versions",
        "crash_suspects",
        "misdirected",
        "admission",
    )

    def __init__(
        self,
        settings: HostSettings,
        tables: Tables,
        target_client: TargetClient,
        store: ObjectStore,
    ) -> None:
        self.tables = tables
        self.apply_settings(settings)
        self.target_client = target_client
        self.store = store
        self.answer_memory = AnswerMemory()
        self.metrics = Metrics()
        budget = Budget.from_limits(settings.memory_bytes, settings.max_descriptors)
        self.caller_limiter = CallerLimiter(budget, self.metrics)
        self.clock = Clock()
        self.rng = Random(secrets.randbits(64))
        self.crash_suspects: list[CrashSuspect] = []
        self.misdirected: list[TargetEntry] = []
        self.announce: Callable[[], None] = _ignore_announcement
        self.announce_load: Callable[[], None] = _ignore_announcement
        self.read_versions: Callable[[], Awaitable[bool]] = _read_nothing
        self.admission: AdmissionGate | None = None
        if settings.memory_bytes or settings.max_descriptors:
            from turmericflow.relay import admission

            self.admission = admission.AdmissionGate(self)

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply settings; changed addresses and limits need a restart."""
        self.settings = settings
        budgets = self.tables.retry_budgets
        budgets.ratio = settings.retry_ratio
        budgets.window_s = settings.retry_window_s
        budgets.slack = settings.retry_slack
