"""Counts of answers, failures and times of the old and the new version, by route."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable

import msgspec

BUCKET_GROWTH = 1.5  # a version twice as slow moves by 1.7 buckets
FIRST_BUCKET_S = 0.001  # times below it are network noise
MAX_BUCKET = 32  # 0.001 s * 1.5 ** 32 is 430 s, longer than any time-out
MAX_ROUTES = 32  # bounds the bytes in a status; the others share `OTHER_ROUTES`
OTHER_ROUTES = ""
MAX_LOST = 64  # bounds the bytes in a status
# An overdue request has to count as slow in all comparisons, also beyond the highest
# quantile that is compared and the tolerance above it, of 1.5.
OVERDUE_QUANTILE = 0.98
OVERDUE_FACTOR = 2.5
OVERDUE_MIN_ANSWERS = 20  # quantiles of fewer are too uncertain

_LOG_GROWTH = math.log(BUCKET_GROWTH)


class Side(enum.IntEnum):
    """Side of a roll-out."""

    OLD = 0
    NEW = 1


def bucket_of(seconds: float) -> int:
    """Return the histogram bucket of a time in seconds."""
    if seconds <= FIRST_BUCKET_S:
        return 0
    return min(MAX_BUCKET, 1 + int(math.log(seconds / FIRST_BUCKET_S) / _LOG_GROWTH))


class Counts(msgspec.Struct, array_like=True):
    """Cumulative counts of one side of one route.

    Attributes
    ----------
    answers, failures
        Requests that ended, and those of them that failed.
    buckets
        Number of times, by `bucket_of`; empty buckets are left out.
    log_sum
        Sum of the logarithms of the times in ms. Within one bucket, the histogram
        can't tell a version that is twice as slow from one that is slightly slower.
    """

    answers: int = 0
    failures: int = 0
    buckets: dict[int, int] = msgspec.field(default_factory=dict)
    log_sum: float = 0.0

    def add_time(self, seconds: float) -> None:
        """Count a time in seconds."""
        bucket = bucket_of(seconds)
        self.buckets[bucket] = self.buckets.get(bucket, 0) + 1
        self.log_sum += math.log(max(seconds, FIRST_BUCKET_S) / FIRST_BUCKET_S)

    def add(self, other: Counts, sign: int = 1) -> None:
        """Add the counts of `other`, or subtract them if `sign` is -1."""
        self.answers = max(0, self.answers + sign * other.answers)
        self.failures = max(0, self.failures + sign * other.failures)
        self.log_sum += sign * other.log_sum
        buckets = self.buckets
        for bucket, count in other.buckets.items():
            left = buckets.get(bucket, 0) + sign * count
            if left > 0:
                buckets[bucket] = left
            else:
                buckets.pop(bucket, None)


class Loss(msgspec.Struct, array_like=True, frozen=True):
    """Loss of a target.

    Attributes
    ----------
    side
        A `Side`.
    at_s
        Time since the host saw the order, in seconds.
    """

    side: int
    at_s: float


class Evidence(msgspec.Struct, array_like=True):
    """Evidence of one host, or of several, about one order.

    Attributes
    ----------
    routes
        Counts by route; the first item is the old side's, the second the new side's.
    lost
        Lost targets by key. The requests that were lost with a target are not counted
        as answers: they are as many as ran there, and would outweigh all others.
    """

    routes: dict[str, tuple[Counts, Counts]] = msgspec.field(default_factory=dict)
    lost: dict[str, Loss] = msgspec.field(default_factory=dict)

    def counts(self, route: str, side: Side) -> Counts:
        """Return the counts of a route's side; they are created if missing."""
        pair = self.routes.get(route)
        if pair is None:
            if len(self.routes) >= MAX_ROUTES and route != OTHER_ROUTES:
                return self.counts(OTHER_ROUTES, side)
            pair = self.routes[route] = (Counts(), Counts())
        return pair[side]

    def record(
        self, route: str, side: Side, ok: bool, seconds: float | None = None
    ) -> None:
        """Record the end of a request.

        Parameters
        ----------
        route
            Name of the route.
        side
            Side of the target that answered.
        ok
            Whether the answer was correct and complete.
        seconds
            Time to the complete answer, in seconds. None for a stream, whose time was
            recorded at its first event, and for an overdue request. The times of
            failures are not recorded: a failure at once isn't a fast answer.
        """
        counts = self.counts(route, side)
        counts.answers += 1
        if not ok:
            counts.failures += 1
        elif seconds is not None:
            counts.add_time(seconds)

    def record_time(self, route: str, side: Side, seconds: float) -> None:
        """Record the time to a stream's first event, or of an overdue request."""
        self.counts(route, side).add_time(seconds)

    def record_loss(self, target: str, side: Side, at_s: float) -> None:
        """Record the loss of a target, `at_s` seconds after the order was seen."""
        if len(self.lost) < MAX_LOST:
            self.lost.setdefault(target, Loss(int(side), at_s))

    def overdue_s(self, route: str) -> float:
        """Return after which waiting time a request's time is recorded early.

        A version that never answers is slow, although none of its requests ends.

        Returns
        -------
        float
            Seconds, or infinity while the old side's times are uncertain.
        """
        pair = self.routes.get(route)
        if pair is None:
            return math.inf
        buckets = pair[Side.OLD].buckets
        total = sum(buckets.values())
        if total < OVERDUE_MIN_ANSWERS:
            return math.inf
        below = 0
        for bucket in sorted(buckets):
            below += buckets[bucket]
            if below >= OVERDUE_QUANTILE * total:
                return OVERDUE_FACTOR * FIRST_BUCKET_S * BUCKET_GROWTH**bucket
        return math.inf

    def answers(self, side: Side) -> int:
        """Return the number of answers of a side on all routes."""
        return sum(pair[side].answers for pair in self.routes.values())

    def add(self, other: Evidence) -> None:
        """Add other evidence. A target that several hosts lost counts once."""
        for route, pair in other.routes.items():
            for side in Side:
                self.counts(route, side).add(pair[side])
        for target, loss in other.lost.items():
            known = self.lost.get(target)
            if known is None or loss.at_s < known.at_s:
                self.lost[target] = loss

    def minus(self, earlier: Evidence) -> Evidence:
        """Return what was added since `earlier`."""
        diff = Evidence()
        for route, pair in self.routes.items():
            was = earlier.routes.get(route)
            for side in Side:
                counts = diff.counts(route, side)
                counts.add(pair[side])
                if was is not None:
                    counts.add(was[side], -1)
        for target, loss in self.lost.items():
            if target not in earlier.lost:
                diff.lost[target] = loss
        return diff

    @classmethod
    def merge(cls, parts: Iterable[Evidence]) -> Evidence:
        """Return the sum of the evidence of several hosts, as a new object."""
        total = cls()
        for part in parts:
            total.add(part)
        return total


class ReceivedEvidence:
    """Latest evidence of each incarnation of each host, for one order.

    Counts start from zero in each incarnation. Those of ended incarnations are kept,
    so that neither the restart nor the silence of a host reduces the sum.
    """

    __slots__ = ("_parts", "_total")

    def __init__(self) -> None:
        self._parts: dict[str, Evidence] = {}
        self._total = Evidence()

    def apply(self, incarnation: str, evidence: Evidence) -> None:
        """Take the evidence of a host's incarnation, unless it is older than known.

        The object is kept, and may not be changed afterwards.
        """
        known = self._parts.get(incarnation)
        if known is not None and _size(evidence) <= _size(known):
            return
        self._parts[incarnation] = evidence
        self._total.add(evidence if known is None else evidence.minus(known))

    def total(self, *own: Evidence) -> Evidence:
        """Return the sum over all incarnations and `own` as a new object."""
        return Evidence.merge([self._total, *own])


def _size(evidence: Evidence) -> int:
    return len(evidence.lost) + sum(
        counts.answers + sum(counts.buckets.values())
        for pair in evidence.routes.values()
        for counts in pair
    )
