"""All tables of a relaying host, and those of the deployment and running requests."""

from __future__ import annotations

import asyncio
import enum

from turmericflow.relay._budgets import Budgets
from turmericflow.relay._call import Call, Copy
from turmericflow.relay._crashes import Crashes
from turmericflow.relay._host_tables import HostTable
from turmericflow.relay._model import Customer, Deployment, HostEntry, Route, Service
from turmericflow.relay._target_tables import Target, TargetTable


class DeploymentTable:
    """The deployment in force, and what is looked up in it."""

    __slots__ = ("value", "revision", "by_host", "by_key", "services")

    def __init__(self) -> None:
        self.value: Deployment | None = None
        self.revision = -1
        self.by_host: dict[str, list[Route]] = {}
        self.by_key: dict[str, Customer] = {}
        self.services: dict[str, Service] = {}


class Fault(enum.StrEnum):
    """Why an attempt is ended from this side."""

    SILENT = "silent"
    LOST = "lost"


class Run:
    """One attempt of a request at a target.

    Attributes
    ----------
    target, backup
        Where it runs, and where a copy of its memory is kept.
    copy
        That copy.
    copying
        Whether another copy is being made.
    due_s
        Time after which the first event is overdue.
    heard_at
        Time of its last event, or of its start.
    events
        Events had in this attempt.
    waiting_on_caller
        Whether the caller does not take what is written.
    scope
        Ends the attempt when it is rescheduled to now.
    fault
        Why it was ended from this side.
    probed_at
        Time of the last probe of its target.
    reads_alone
        Whether its target had nothing else to read when it began.
    """

    __slots__ = (
        "call",
        "route",
        "target",
        "backup",
        "copy",
        "copying",
        "due_s",
        "started_at",
        "heard_at",
        "events",
        "waiting_on_caller",
        "scope",
        "fault",
        "probed_at",
        "reads_alone",
        "memory_tokens",
    )

    def __init__(self, call: Call, route: Route, target: Target, now: float) -> None:
        self.call = call
        self.route = route
        self.target = target
        self.backup: Target | None = None
        self.copy: Copy | None = None
        self.copying = False
        self.due_s = 0.0
        self.started_at = now
        self.heard_at = now
        self.events = 0
        self.waiting_on_caller = False
        self.scope: asyncio.Timeout | None = None
        self.fault: Fault | None = None
        self.probed_at = 0.0
        self.reads_alone = False
        self.memory_tokens = call.prompt_tokens + call.output_tokens

    def keep_backup(self, backup: Target) -> None:
        """Note that an engine keeps a copy of the run's memory as it grows."""
        self._hold(backup)
        address = backup.entry.address
        self.copy = Copy(address, address, self.call.id)

    def keep_copy(self, holder: Target, copy: Copy) -> None:
        """Note that an engine has a copy of the run's memory as it was."""
        self._hold(holder)
        self.copy = copy

    def drop_copy(self) -> None:
        """Note that there is no copy of the run's memory."""
        if self.backup is not None:
            self.backup.own.memory_tokens -= self.memory_tokens
        self.backup = self.copy = None

    def _hold(self, holder: Target) -> None:
        self.drop_copy()
        self.backup = holder
        holder.own.memory_tokens += self.memory_tokens


class Suspect:
    """A content that was cut off, and the target that may have crashed of it."""

    __slots__ = ("content", "target", "at")

    def __init__(self, content: str, target: Target, at: float) -> None:
        self.content = content
        self.target = target
        self.at = at


class Tables:
    """All tables of a host."""

    __slots__ = ("deployment", "targets", "hosts", "runs", "crashes", "budgets")

    def __init__(self, own: HostEntry) -> None:
        self.deployment = DeploymentTable()
        self.targets = TargetTable()
        self.hosts = HostTable(own)
        self.runs: set[Run] = set()
        self.crashes = Crashes()
        self.budgets = Budgets()
