"""Tables of the targets, with their load and recent failures."""

from __future__ import annotations

import msgspec

from turmericflow.relay._model import TargetEntry


class Load(msgspec.Struct, array_like=True):
    """Requests of one host that a target is running.

    Attributes
    ----------
    runs
        Number of requests.
    pending_prefill_tokens
        Prompt tokens of requests that have no output yet.
    memory_tokens
        KV cache tokens of the requests, including copies for other engines.
    """

    runs: int = 0
    pending_prefill_tokens: int = 0
    memory_tokens: int = 0


class Target:
    """One process of a target, identified by its id and start time.

    Attributes
    ----------
    entry
        The target's entry in the store.
    own_load, other_loads
        Load from this host, and from the other hosts by host name.
    backoff_until
        Time until which the target is avoided after a failure or refusal.
    closed_until
        Time until which it wants no requests from this host. Other hosts are not
        told, as it does not say that it wants none from them.
    brittle
        Whether its last answer said that it falls over when it turns many away.
    full_at
        Time at which a host last heard that it had no room, while it was brittle.
    room
        Requests that it holds at most, as learned from refusals while it is brittle;
        each answer adds a part of one.
    failures
        Number of consecutive failures.
    silent
        Whether its last failure is a silence that this host detected.
    leaving
        Whether it is draining, by its entry or by what it said in an answer; this
        lasts as long as its process.
    unconfirmed
        Whether its entry was removed, and is listed again by a store that came back
        from an older copy; it gets no work until the entry is written again, or the
        store has had time to remove it.
    gone, gone_at
        Whether another target has its address, and when this host itself found out;
        other hosts' findings do not set the time, as they are not gossiped again.
    lost_at
        Time at which this host last detected its loss, to be gossiped.
    last_event_at
        Time of the last event on any stream from it to this host, by the clock that
        omits stalls.
    event_gap_s
        EWMA of the time between two events of a stream, in seconds; 0 if unknown.
    """

    __slots__ = (
        "entry",
        "own_load",
        "other_loads",
        "backoff_until",
        "closed_until",
        "brittle",
        "full_at",
        "room",
        "failures",
        "silent",
        "leaving",
        "unconfirmed",
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
        self.closed_until = 0.0
        self.brittle = False
        self.full_at = float("-inf")
        self.room = float(entry.slots)
        self.failures = 0
        self.silent = False
        self.leaving = entry.leaving
        self.unconfirmed = False
        self.gone = False
        self.gone_at = float("-inf")
        self.lost_at = float("-inf")
        self.last_event_at = 0.0
        self.event_gap_s = 0.0

    @property
    def runs(self) -> int:
        """Number of requests from all hosts."""
        runs = self.own_load.runs
        for load in self.other_loads.values():  # admission reads it of all targets
            runs += load.runs
        return runs

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens that wait for prefill, from all hosts."""
        others = sum(load.pending_prefill_tokens for load in self.other_loads.values())
        return self.own_load.pending_prefill_tokens + others

    @property
    def memory_tokens(self) -> int:
        """KV cache tokens in use, from all hosts."""
        tokens = self.own_load.memory_tokens
        for load in self.other_loads.values():
            tokens += load.memory_tokens
        return tokens


class TargetsChange(msgspec.Struct, array_like=True):
    """Changes of the targets between two revisions of the store.

    Attributes
    ----------
    since, revision
        Revision of the last change before these changes, and of the last of these.
    complete
        Whether all intermediate changes are included, and not only the final
        difference. Only then does it apply to a table that has some of them.
    written
        Entries that were written.
    removed
        Ids of targets whose entries were removed.
    unreadable
        Ids of targets whose entries are invalid, so that they cannot be used.
    """

    since: int
    revision: int
    complete: bool
    written: list[TargetEntry]
    removed: list[str]
    unreadable: list[str]

    @property
    def empty(self) -> bool:
        """Whether no target changed."""
        return not (self.written or self.removed or self.unreadable)


class TargetTable:
    """All targets as of a revision of the store.

    The store has one counter of revisions for objects of all kinds, so that the
    revision of the table grows with each reading. Hosts that read the store at
    different times compare the revision of the last change of a target.

    Attributes
    ----------
    revision
        Revision of the store as of which the table is known to hold all targets.
    changed_revision
        Revision of the last change of a target, or of the reading that found it.
    verified_at
        Time at which the store, or a peer that had read it, last confirmed that the
        table holds all changes.
    rows
        Targets by key.
    by_service
        The same rows by service.
    loss_times
        Times of losses by data centre and service, the last recorded at the end.
    lapsed
        Keys of targets that are kept without an entry in the store, with the time
        until which they are kept: after a removal around an outage of the store, or
        adopted, with infinity until the store is reachable.
    outage_grace_until
        Time until which targets with removed entries are kept, since the entries may
        have expired in an outage of the store.
    recent_changes
        Changes that this host read from the store, with the time, to be gossiped.
    adopted
        Targets that are used although their entries cannot be read.
    own_adoptions
        Adopted targets that this host found, with the time, to be gossiped.
    leaving
        Keys of targets that are known to leave, with the time at which this host
        learned of it; also of targets without a row.
    own_leaving
        Keys of targets that said in an answer to this host that they leave, with the
        time, to be gossiped.
    own_full
        Keys of brittle targets that had no room for a request of this host, with the
        time, to be gossiped.
    removed
        Start of the last process whose entry was removed, in Unix milliseconds, and
        the time of the removal, by target id.
    restored_at
        Time at which the store last came back from an older copy.
    prefill_rates
        EWMA of the prompt tokens that an engine prefills per second, by service.
    """

    __slots__ = (
        "rows",
        "by_service",
        "loss_times",
        "revision",
        "changed_revision",
        "verified_at",
        "lapsed",
        "outage_grace_until",
        "recent_changes",
        "adopted",
        "own_adoptions",
        "leaving",
        "own_leaving",
        "own_full",
        "removed",
        "restored_at",
        "prefill_rates",
    )

    def __init__(self) -> None:
        self.rows: dict[str, Target] = {}
        self.by_service: dict[str, list[Target]] = {}
        self.loss_times: dict[tuple[str, str], list[float]] = {}
        self.revision = -1
        self.changed_revision = -1
        self.verified_at = float("-inf")
        self.lapsed: dict[str, float] = {}
        self.outage_grace_until = 0.0
        self.recent_changes: list[tuple[float, TargetsChange]] = []
        self.adopted: dict[str, TargetEntry] = {}
        self.own_adoptions: list[tuple[float, TargetEntry]] = []
        self.leaving: dict[str, float] = {}
        self.own_leaving: list[tuple[float, str]] = []
        self.own_full: list[tuple[float, str]] = []
        self.removed: dict[str, tuple[int, float]] = {}
        self.restored_at = float("-inf")
        self.prefill_rates: dict[str, float] = {}
