"""The old side's counts, weighted to the times at which the new side answered.

The new side's share of the requests changes, and so does the load of the service. Sums
over both would compare the new side's answers of a burst with the old side's of a calm
time. Each interval of the old side is therefore weighted by the new side's answers in
it; the number of answers that the weighted sum is worth is smaller by the spread of the
weights.
"""

from __future__ import annotations

from turmericflow.relay.rollouts._evidence import Counts, Evidence

_NOTHING = 1e-6  # differences of sums of weights leave rounding errors


class _Matched:
    """Weighted sums of one route; see `Matching`."""

    __slots__ = ("answers", "failures", "spread", "times")

    def __init__(self) -> None:
        self.answers = 0.0
        self.failures = 0.0
        self.spread = 0.0
        # New times, weighted logarithms, spread, and weighted buckets.
        self.times: tuple[float, float, float, dict[int, float]] = (0.0, 0.0, 0.0, {})

    def add(self, old: Counts, new: Counts) -> None:
        """Add an interval."""
        if old.answers and new.answers:
            weight = new.answers / old.answers
            self.answers += new.answers
            self.failures += weight * old.failures
            self.spread += weight * new.answers
        old_times, new_times = sum(old.buckets.values()), sum(new.buckets.values())
        if old_times and new_times:
            weight = new_times / old_times
            number, log_sum, spread, buckets = self.times
            for bucket, count in old.buckets.items():
                buckets[bucket] = buckets.get(bucket, 0.0) + weight * count
            log_sum += weight * old.log_sum
            spread += weight * new_times
            self.times = number + new_times, log_sum, spread, buckets

    def copy(self) -> _Matched:
        """Return a copy."""
        copy = _Matched()
        copy.answers, copy.failures = self.answers, self.failures
        copy.spread = self.spread
        copy.times = (*self.times[:3], dict(self.times[3]))
        return copy

    def since(self, earlier: _Matched) -> Counts:
        """Return the counts of the old side since `earlier`, or since the order."""
        counts = Counts()
        answers, spread = self.answers - earlier.answers, self.spread - earlier.spread
        if answers > _NOTHING and spread > _NOTHING:
            counts.answers = answers * answers / spread
            failures = max(0.0, self.failures - earlier.failures)
            counts.failures = failures * answers / spread
        number = self.times[0] - earlier.times[0]
        spread = self.times[2] - earlier.times[2]
        if number > _NOTHING and spread > _NOTHING:
            scale = number / spread
            before = earlier.times[3]
            for bucket, count in self.times[3].items():
                count -= before.get(bucket, 0.0)
                if count > _NOTHING:
                    counts.buckets[bucket] = count * scale
            counts.log_sum = (self.times[1] - earlier.times[1]) * scale
        return counts


class Matching:
    """Weighted sums of the old side since the order, by route."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: dict[str, _Matched] = {}

    def plus(self, interval: Evidence) -> Matching:
        """Return the sums with a further interval."""
        total = Matching()
        total._routes = {route: m.copy() for route, m in self._routes.items()}
        for route, (old, new) in interval.routes.items():
            if new.answers or new.buckets:
                total._routes.setdefault(route, _Matched()).add(old, new)
        return total

    def match(self, evidence: Evidence, earlier: Matching) -> Evidence:
        """Return evidence since `earlier` with the old side's weighted counts."""
        matched = Evidence(lost=evidence.lost)
        for route, (old, new) in evidence.routes.items():
            sums = self._routes.get(route)
            if sums is None:
                matched.routes[route] = old, new
                continue
            counts = sums.since(earlier._routes.get(route) or _Matched())
            if not counts.answers:
                counts.answers, counts.failures = old.answers, old.failures
            if not counts.buckets:
                counts.buckets, counts.log_sum = old.buckets, old.log_sum
            matched.routes[route] = counts, new
        return matched
