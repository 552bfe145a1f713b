"""What the services of a relaying host share."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from random import Random

from turmericflow.relay._call import TargetClient
from turmericflow.relay._metrics import Metrics
from turmericflow.relay._model import TargetEntry
from turmericflow.relay._settings import HostSettings
from turmericflow.relay._store import ObjectStore
from turmericflow.relay._tables import Suspect, Tables

STALL_S = 0.1  # a tick later than this means that the process stood still


class Clock:
    """The event loop's clock, and one that stops while this host stands still."""

    __slots__ = ("_stalled_s", "_ticked_at")

    def __init__(self) -> None:
        self._stalled_s = 0.0
        self._ticked_at: float | None = None

    @staticmethod
    def now() -> float:
        """Return the time of the event loop, in seconds."""
        return asyncio.get_running_loop().time()

    def listening(self) -> float:
        """Return the time for which this host has listened, in seconds."""
        return self.now() - self._stalled_s

    def tick(self, every_s: float) -> float:
        """Take in that a tick has come; return by how much it was late."""
        now = self.now()
        late_s = 0.0 if self._ticked_at is None else now - self._ticked_at - every_s
        self._ticked_at = now
        if late_s > STALL_S:
            self._stalled_s += late_s
        return late_s


def _announce_to_nobody() -> None:
    """Stand in until this host has streams to others."""


class Parts:
    """Settings, tables and connections of one host.

    Attributes
    ----------
    suspicions
        Requests that were cut off, until it is known whether their target crashed.
    misdirected
        Targets at whose addresses others answered, not yet looked at.
    announce
        Announces a change that bears on other hosts' choices to them at once.
    announce_load
        Announces new work at a target to them, soon.
    """

    __slots__ = (
        "settings",
        "tables",
        "targets",
        "directory",
        "metrics",
        "clock",
        "rng",
        "announce",
        "announce_load",
        "suspicions",
        "misdirected",
    )

    def __init__(
        self,
        settings: HostSettings,
        tables: Tables,
        targets: TargetClient,
        directory: ObjectStore,
    ) -> None:
        self.tables = tables
        self.put_in_force(settings)
        self.targets = targets
        self.directory = directory
        self.metrics = Metrics()
        self.clock = Clock()
        self.rng = Random(secrets.randbits(64))
        self.suspicions: list[Suspect] = []
        self.misdirected: list[TargetEntry] = []
        self.announce: Callable[[], None] = _announce_to_nobody
        self.announce_load: Callable[[], None] = _announce_to_nobody

    def put_in_force(self, settings: HostSettings) -> None:
        """Use settings from now on; addresses stay those of the start."""
        self.settings = settings
        budgets = self.tables.budgets
        budgets.ratio = settings.retry_ratio
        budgets.window_s = settings.retry_window_s
        budgets.slack = settings.retry_slack
