"""Streams that wait at this host for room at an engine."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from turmericflow.relay.fair_shares import Standing

# Hosts compare the time that is left in steps of a second, about four times the age of
# a status; objectives beyond 15 s don't compete with those of seconds.
LEFT_STEP_S = 1.0
MAX_LEFT_STEPS = 15
# Of customers under their share; those over it have the upper half of the steps. Hosts
# of an earlier version compare such a rank as one of a stream with more time left.
MAX_UNDER_STEPS = 7


class WaitingStream:
    """A stream that waits.

    Attributes
    ----------
    rank
        See `rank_of`; the lowest is served first.
    objective_at
        Time by which its first event is due, in seconds.
    arrived_at
        Time of arrival, in seconds.
    version
        What binds the stream, see `Demand.version`.
    late
        Whether it can no longer meet its objective; it is then served after those of
        its rank that can.
    customer
        Key of its customer, or None in a deployment without customers.
    standing
        Its customer's standing when the queue was last sorted, or None.
    """

    __slots__ = (
        "rank",
        "objective_at",
        "arrived_at",
        "version",
        "late",
        "customer",
        "standing",
    )

    def __init__(
        self,
        rank: int,
        objective_at: float,
        arrived_at: float,
        version: str | None = None,
        customer: int | None = None,
    ) -> None:
        self.rank = rank
        self.objective_at = objective_at
        self.arrived_at = arrived_at
        self.version = version
        self.late = False
        self.customer = customer
        self.standing: Standing | None = None

    @property
    def share_label(self) -> str:
        """Label of metrics: ``under`` or ``over`` the share, or ``none``."""
        if self.standing is None:
            return "none"
        return "over" if self.standing.is_over else "under"

    @property
    def over_share(self) -> bool:
        """Whether its customer uses its share of the places or more."""
        return self.standing is not None and self.standing.is_over

    def order(self) -> tuple[int, bool, bool, float, float, float]:
        """Return the sort key; the least is served first."""
        over, excess = (False, 0.0) if self.standing is None else self.standing.key
        return self.rank, over, self.late, excess, self.objective_at, self.arrived_at

    def shared_rank(self, now: float) -> int:
        """Return the rank that hosts compare, which includes the time left."""
        steps = int((self.objective_at - now) / LEFT_STEP_S)
        first, last = 0, MAX_LEFT_STEPS
        if self.standing is not None:
            over = self.over_share
            first, last = (MAX_UNDER_STEPS + 1, last) if over else (0, MAX_UNDER_STEPS)
        steps = last if self.late else min(first + max(steps, 0), last - 1)
        return self.rank * (MAX_LEFT_STEPS + 1) + steps

    def deferring_share(self, others: Sequence[dict[int, int]]) -> float:
        """Return the part of other hosts' waiting streams that are of a worse `rank`.

        Parameters
        ----------
        others
            Waiting streams of each other host, by the rank that hosts compare.
        """
        worse = (self.rank + 1) * (MAX_LEFT_STEPS + 1)
        total = sum(sum(waiting.values()) for waiting in others)
        deferring = sum(
            number
            for waiting in others
            for rank, number in waiting.items()
            if rank >= worse
        )
        return deferring / total if total else 0.0


def rank_of(priority: int, resumes: bool) -> int:
    """Return the rank: by priority (0 is first), resumed streams before new ones."""
    return 2 * priority + (0 if resumes else 1)


class StreamQueue:
    """The waiting streams of a service, in the order in which they are served."""

    __slots__ = ("_streams",)

    def __init__(self) -> None:
        self._streams: list[WaitingStream] = []

    def __len__(self) -> int:
        return len(self._streams)

    def __contains__(self, stream: WaitingStream) -> bool:
        return stream in self._streams

    def add(self, stream: WaitingStream) -> None:
        """Add a stream."""
        self._streams.append(stream)
        self._streams.sort(key=WaitingStream.order)

    def discard(self, stream: WaitingStream) -> None:
        """Remove a stream if it waits."""
        if stream in self._streams:
            self._streams.remove(stream)

    def set_late(self, stream: WaitingStream) -> None:
        """Record that a stream can no longer meet its objective."""
        stream.late = True
        self._streams.sort(key=WaitingStream.order)

    def sort_by(self, standing: Callable[[int], Standing]) -> None:
        """Sort by the standings of customers, which a function gives by their keys."""
        for stream in self._streams:
            if stream.customer is not None:
                stream.standing = standing(stream.customer)
        self._streams.sort(key=WaitingStream.order)

    def customers(self) -> list[int]:
        """Return the key of the customer of each stream that has one."""
        return [each.customer for each in self._streams if each.customer is not None]

    def first(self) -> WaitingStream | None:
        """Return the stream to serve next, or None."""
        return self._streams[0] if self._streams else None

    def ahead_of(self, stream: WaitingStream) -> list[WaitingStream]:
        """Return the streams that are served before a stream."""
        order = stream.order()
        return [other for other in self._streams if other.order() < order]

    def is_behind(self, stream: WaitingStream) -> bool:
        """Return whether the first stream is another one that any engine may serve."""
        first = self.first()
        return first is not None and first is not stream and first.version is None

    def counts(self, now: float) -> dict[int, int]:
        """Return the number of streams by the rank that hosts compare."""
        return dict(Counter(stream.shared_rank(now) for stream in self._streams))
