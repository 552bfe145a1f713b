"""Tables of a relaying host: the deployment, targets, hosts and running requests."""

from __future__ import annotations

import asyncio
import enum

import msgspec

from turmericflow.relay._budgets import Budgets, Spent
from turmericflow.relay._call import Call, Copy
from turmericflow.relay._crashes import Crashes
from turmericflow.relay._model import (
    Customer,
    Deployment,
    HostEntry,
    Route,
    Service,
    TargetEntry,
)


class Load(msgspec.Struct, array_like=True):
    """Work that one host has at a target now.

    Attributes
    ----------
    runs
        Requests sent and not ended.
    unread_tokens
        Prompt tokens of those that have had no output yet.
    memory_tokens
        Tokens that the runs hold, copies kept for other engines included.
    """

    runs: int = 0
    unread_tokens: int = 0
    memory_tokens: int = 0


class Target:
    """One life of a target, and what is known of it.

    Attributes
    ----------
    entry
        What it says of itself.
    own, others
        Work that this host has there, and the other hosts, by host name.
    out_until
        Time until which it gets no work, after a failure.
    failures
        Failures in a row.
    gone, gone_at
        Whether its address was found to be another's, and when by this host.
    lost_at
        Time at which this host itself lost it last, to be told to the others.
    heard_at
        Time of its last sign of life on any stream of this host.
    event_gap_s
        Mean time between two events of a stream there, in seconds; 0 if unknown.
    """

    __slots__ = (
        "entry",
        "own",
        "others",
        "out_until",
        "failures",
        "gone",
        "gone_at",
        "lost_at",
        "heard_at",
        "event_gap_s",
    )

    def __init__(self, entry: TargetEntry) -> None:
        self.entry = entry
        self.own = Load()
        self.others: dict[str, Load] = {}
        self.out_until = 0.0
        self.failures = 0
        self.gone = False
        self.gone_at = float("-inf")
        self.lost_at = float("-inf")
        self.heard_at = 0.0
        self.event_gap_s = 0.0

    @property
    def runs(self) -> int:
        """Requests there of all hosts."""
        return self.own.runs + sum(load.runs for load in self.others.values())

    @property
    def unread_tokens(self) -> int:
        """Prompt tokens there that wait to be read, of all hosts."""
        others = sum(load.unread_tokens for load in self.others.values())
        return self.own.unread_tokens + others

    @property
    def memory_tokens(self) -> int:
        """Tokens held there for all hosts."""
        others = sum(load.memory_tokens for load in self.others.values())
        return self.own.memory_tokens + others


class TargetsChange(msgspec.Struct, array_like=True):
    """What changed of the targets between two revisions of the store.

    Attributes
    ----------
    since, revision
        The revision before and the one after.
    complete
        Whether it holds all that was written or removed in between, and not only
        what differs in the end: only then it can be taken in halfway.
    written
        Entries that were written.
    removed
        Ids of targets whose entries were removed.
    unreadable
        Ids of targets whose entries cannot be read, and name no target to use.
    """

    since: int
    revision: int
    complete: bool
    written: list[TargetEntry]
    removed: list[str]
    unreadable: list[str]


class TargetTable:
    """All targets, as of a revision of the store.

    Attributes
    ----------
    rows
        Targets by the name of their life.
    by_service
        The same rows by service.
    lost
        Times of losses by data centre and service, the latest last.
    lapsed
        Targets whose entry went while the store was away, with the time until
        which it may come back.
    lenient_until
        Time until which entries that go may have lapsed in an outage of the store.
    news
        What this host has read of changes, with the time, to be told to others.
    adopted
        Targets that are used though no entry of theirs could be read.
    adopted_here
        Those that this host has found, with the time, to be told to others.
    read_rates
        Prompt tokens that an engine reads in a second, by service.
    """

    __slots__ = (
        "rows",
        "by_service",
        "lost",
        "revision",
        "lapsed",
        "lenient_until",
        "news",
        "adopted",
        "adopted_here",
        "read_rates",
    )

    def __init__(self) -> None:
        self.rows: dict[str, Target] = {}
        self.by_service: dict[str, list[Target]] = {}
        self.lost: dict[tuple[str, str], list[float]] = {}
        self.revision = -1
        self.lapsed: dict[str, float] = {}
        self.lenient_until = 0.0
        self.news: list[tuple[float, TargetsChange]] = []
        self.adopted: dict[str, TargetEntry] = {}
        self.adopted_here: list[tuple[float, TargetEntry]] = []
        self.read_rates: dict[str, float] = {}


class DeploymentTable:
    """The deployment in force, and what is looked up in it."""

    __slots__ = ("value", "revision", "by_host", "by_key", "services")

    def __init__(self) -> None:
        self.value: Deployment | None = None
        self.revision = -1
        self.by_host: dict[str, list[Route]] = {}
        self.by_key: dict[str, Customer] = {}
        self.services: dict[str, Service] = {}


class HostState(enum.IntEnum):
    """What a host says of itself."""

    STARTING = 0
    READY = 1
    LEAVING = 2


class HostStatus(msgspec.Struct, array_like=True):
    """What a host says of itself, forwarded by others.

    Attributes
    ----------
    number
        Grows with each sending; the higher one of an incarnation is the newer.
    urgent
        Grows with each change that is forwarded at once.
    reads_store
        Whether its last call to the store was answered.
    loads
        Work at targets, by the name of their life.
    lost
        Targets lost a moment ago, with the age of the loss in seconds.
    gone
        Targets whose address was found a moment ago to be another's.
    adopted
        Targets that it uses since a moment ago though no entry could be read.
    news
        Changes of the targets that it has read from the store a moment ago.
    spent
        Requests and repeats of the budgets' window, by service.
    crashes
        Fingerprints of requests that were running where a target crashed, the
        target's life, and the age in seconds.
    """

    entry: HostEntry
    number: int
    urgent: int
    state: int
    deployment_revision: int
    targets_revision: int
    reads_store: bool
    loads: dict[str, Load]
    lost: dict[str, float]
    gone: list[str]
    adopted: list[TargetEntry]
    news: list[TargetsChange]
    spent: dict[str, Spent]
    crashes: list[tuple[str, str, float]]


class Host:
    """Another entry host.

    Attributes
    ----------
    heard_at
        Time at which a newer status came in.
    revision
        Revision of its entry in the store, or None if it has none there.
    """

    __slots__ = ("entry", "status", "heard_at", "revision")

    def __init__(self, entry: HostEntry, heard_at: float) -> None:
        self.entry = entry
        self.status: HostStatus | None = None
        self.heard_at = heard_at
        self.revision: int | None = None


class HostTable:
    """The other entry hosts, and this one's own standing.

    Attributes
    ----------
    unanswered
        Kinds of objects for which the store did not answer this host's last call.
    """

    __slots__ = ("own", "state", "rows", "number", "urgent", "unanswered")

    def __init__(self, own: HostEntry) -> None:
        self.own = own
        self.state = HostState.STARTING
        self.rows: dict[str, Host] = {}
        self.number = 0
        self.urgent = 0
        self.unanswered: set[str] = set()


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
