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
    pending_prefill_tokens
        Prompt tokens of those that have had no output yet.
    memory_tokens
        Tokens that the runs hold, copies kept for other engines included.
    """

    runs: int = 0
    pending_prefill_tokens: int = 0
    memory_tokens: int = 0


class Target:
    """One life of a target, and what is known of it.

    Attributes
    ----------
    entry
        What it says of itself.
    own_load, other_loads
        Work that this host has there, and the other hosts, by host name.
    backoff_until
        Time until which it gets no work, after a failure.
    failures
        Failures in a row.
    gone, gone_at
        Whether its address was found to be another's, and when by this host.
    lost_at
        Time at which this host itself lost it last, to be told to the others.
    last_event_at
        Time of its last sign of life on any stream of this host.
    event_gap_s
        Mean time between two events of a stream there, in seconds; 0 if unknown.
    """

    __slots__ = (
        "entry",
        "own_load",
        "other_loads",
        "backoff_until",
        "failures",
        "gone",
        "gone_at",
        "lost_at",
        "last_event_at",
        "event_gap_s",
    )

    def __init__(self, entry: TargetEntry) -> None:
        self.entry = entry
        self.own_load = Load()
        self.other_loads: dict[str, Load] = {}
        self.backoff_until = 0.0
        self.failures = 0
        self.gone = False
        self.gone_at = float("-inf")
        self.lost_at = float("-inf")
        self.last_event_at = 0.0
        self.event_gap_s = 0.0

    @property
    def runs(self) -> int:
        """Requests there of all hosts."""
        return self.own_load.runs + sum(load.runs for load in self.other_loads.values())

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens there that wait to be read, of all hosts."""
        others = sum(load.pending_prefill_tokens for load in self.other_loads.values())
        return self.own_load.pending_prefill_tokens + others

    @property
    def memory_tokens(self) -> int:
        """Tokens held there for all hosts."""
        others = sum(load.memory_tokens for load in self.other_loads.values())
        return self.own_load.memory_tokens + others


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
    loss_times
        Times of losses by data centre and service, the latest last.
    lapsed
        Targets whose entry went while the store was away, with the time until
        which it may come back.
    outage_grace_until
        Time until which entries that go may have lapsed in an outage of the store.
    recent_changes
        What this host has read of changes, with the time, to be told to others.
    adopted
        Targets that are used though no entry of theirs could be read.
    own_adoptions
        Those that this host has found, with the time, to be told to others.
    prefill_rates
        Prompt tokens that an engine reads in a second, by service.
    """

    __slots__ = (
        "rows",
        "by_service",
        "loss_times",
        "revision",
        "lapsed",
        "outage_grace_until",
        "recent_changes",
        "adopted",
        "own_adoptions",
        "prefill_rates",
    )

    def __init__(self) -> None:
        self.rows: dict[str, Target] = {}
        self.by_service: dict[str, list[Target]] = {}
        self.loss_times: dict[tuple[str, str], list[float]] = {}
        self.revision = -1
        self.lapsed: dict[str, float] = {}
        self.outage_grace_until = 0.0
        self.recent_changes: list[tuple[float, TargetsChange]] = []
        self.adopted: dict[str, TargetEntry] = {}
        self.own_adoptions: list[tuple[float, TargetEntry]] = []
        self.prefill_rates: dict[str, float] = {}
