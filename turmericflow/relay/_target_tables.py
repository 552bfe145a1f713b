"""Tables of a host's targets: what is known of each, and of all."""

from __future__ import annotations

import msgspec

from turmericflow.relay._model import TargetEntry


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
