"""Judgement of a version over the whole time of its order."""

from __future__ import annotations

import math
from collections import deque

from turmericflow.relay.rollouts._evidence import (
    FIRST_BUCKET_S,
    Counts,
    Evidence,
    Side,
)
from turmericflow.relay.rollouts._matching import Matching
from turmericflow.relay.rollouts._verdict import (
    MIN_OLD_TIMES,
    Bad,
    Undecided,
    Verdict,
    judge,
    moments,
)

# The load of the service changes less in it than in the whole time of the order.
BASELINE_S = 8.0
BASELINE_ANSWERS = 300  # a hundredth of failures shows in them
MOVED_MIN_ANSWERS = 5  # fewer in a second may be most by chance
SNAPSHOT_INTERVAL_S = 1.0
# In intervals with fewer answers of the new side, chance spreads the weights of the old
# side's answers, of which the fewer count then.
INTERVAL_ANSWERS = 10
MAX_INTERVAL_S = 4.0  # the load of a service may change in it
# Windows for versions that turn bad late, for looks in turn, which bounds the time of
# a judgement.
WINDOWS_S = ((2.0, 8.0), (4.0, 16.0))
KEPT_S = 21.0  # the longest window, and the longest interval
WINDOW_STARTS = 30  # times at which a version may turn bad share their bound
# When a route's share falls, the new side's answers include more of the slow ones that
# were sent before; at most this share of a window's answers may be of that excess.
MAX_LATE_ANSWERS = 0.1


class Judge:
    """Judgement of one order over all looks, including versions that turn bad late.

    Besides the evidence since the order, that of the last seconds is judged, because
    the good answers of a minute would hide the first bad ones for long.
    """

    __slots__ = ("_snapshots", "_looks", "_moved", "_baseline")

    def __init__(self) -> None:
        self._snapshots: deque[tuple[float, Evidence, Matching]] = deque()
        self._looks = 0
        self._moved = False
        self._baseline: Evidence | None = None

    def observe(
        self, evidence: Evidence, now: float, target_share: float = 0.5
    ) -> Verdict:
        """Judge the evidence of all hosts; to be called some 4 times a second.

        Parameters
        ----------
        evidence
            The sum over all hosts. It is kept, and may not be changed afterwards.
        now
            Present time in seconds.
        target_share
            Share of the new version's targets in all targets of the service, 0 to 1.
        """
        snapshots = self._snapshots
        if not snapshots:
            snapshots.append((now, Evidence(), Matching()))
        last_at, last, last_matching = snapshots[-1]
        interval = evidence.minus(last)
        matching = last_matching.plus(interval)
        new, old = interval.answers(Side.NEW), interval.answers(Side.OLD)
        if not self._moved and new >= MOVED_MIN_ANSWERS and new > old:
            self._moved = True
            self._baseline = self._recent_baseline(evidence, now)
        matched = matching.match(evidence, Matching())
        baseline = self._baseline or evidence
        verdict = judge(matched, target_share, baseline, moved=self._moved)
        if isinstance(verdict, Undecided):
            so_far = verdict
            verdict = self._judge_windows(evidence, matching, now, target_share)
            if isinstance(verdict, Undecided):
                suspect = so_far.suspect or verdict.suspect
                final = so_far.final or verdict.final
                verdict = Undecided(suspect, final, so_far.alert)
        interval_s = now - last_at
        if interval_s >= MAX_INTERVAL_S or (
            interval_s >= SNAPSHOT_INTERVAL_S
            and old >= MIN_OLD_TIMES
            and new >= INTERVAL_ANSWERS
        ):
            snapshots.append((now, evidence, matching))
        while now - snapshots[0][0] > KEPT_S:
            snapshots.popleft()
        return verdict

    def _recent_baseline(self, evidence: Evidence, now: float) -> Evidence | None:
        """Return the evidence just before the traffic moved, if there is enough."""
        for at, earlier, _ in reversed(self._snapshots):
            if now - at >= BASELINE_S:
                recent = evidence.minus(earlier)
                if recent.answers(Side.OLD) >= BASELINE_ANSWERS:
                    return recent
        return None

    def _judge_windows(
        self, evidence: Evidence, matching: Matching, now: float, target_share: float
    ) -> Verdict:
        suspect = final = None
        self._looks += 1
        for window_s in WINDOWS_S[self._looks % len(WINDOWS_S)]:
            # The newest one that is at least as old as the window.
            for at, earlier, earlier_matching in reversed(self._snapshots):
                if now - at >= window_s:
                    break
            else:
                break
            recent = matching.match(evidence.minus(earlier), earlier_matching)
            self._drop_fallen(recent, evidence.minus(earlier), earlier, at, now - at)
            baseline = self._baseline or evidence
            verdict = judge(recent, target_share, baseline, WINDOW_STARTS, self._moved)
            match verdict:
                case Bad():
                    return verdict
                case Undecided():
                    suspect = suspect or verdict.suspect
                    final = final or verdict.final
        return Undecided(suspect, final)

    def _drop_fallen(
        self,
        matched: Evidence,
        recent: Evidence,
        earlier: Evidence,
        at: float,
        window_s: float,
    ) -> None:
        """Drop the times of routes whose share was larger just before the window."""
        for then, before, _ in reversed(self._snapshots):
            if at - then >= BASELINE_S:
                break
        else:
            before = self._snapshots[0][1]
        preceding = earlier.minus(before)
        for route, (old, new) in matched.routes.items():
            was, share = _new_share(preceding, route), _new_share(recent, route)
            typical_s = FIRST_BUCKET_S * math.exp(moments(old)[1])
            excess_s = (was / share - 1) * typical_s if share else 0.0
            if excess_s > MAX_LATE_ANSWERS * window_s:
                times_dropped = Counts(new.answers, new.failures)
                matched.routes[route] = old, times_dropped


def _new_share(evidence: Evidence, route: str) -> float:
    """Return the new side's share of a route's answers."""
    old, new = evidence.counts(route, Side.OLD), evidence.counts(route, Side.NEW)
    return new.answers / max(1, old.answers + new.answers)
