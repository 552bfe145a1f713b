"""Comparison of a new version with the old one.

Three comparisons are made, on each route and over all routes together: of failures, of
the times above some quantiles of the old side's times, and of the mean logarithms of
the times. The first two are likelihood ratios, whose bound holds over all looks: the
ratio exceeds 1 / a at any time with a probability of at most a if the versions are
alike (Ville's inequality).
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass

from turmericflow.relay.rollouts._evidence import (
    BUCKET_GROWTH,
    Counts,
    Evidence,
    Loss,
    Side,
)
from turmericflow.relay.rollouts._routes import chance

FALSE_ALARM = 0.005  # probability per order, from the requirements
COMPARISONS = 4  # failures, quantiles, means, losses: each has its part of the bound
# Log ratio at a single look: exceeded with a probability of at most 0.007 for each
# comparison if the versions are alike; of far less, because the ratios are too small.
SUSPECT_BOUND = 5.0
# Log ratio of one route, with all traffic on the new version: a return to the earlier
# share costs a good version some seconds, and a bad one stops using the exposure.
ALERT_BOUND = 3.0
# Probabilities per order of a false alarm at the one look before all traffic moves: of
# all single routes, and of all together since the order and in each last window.
FINAL_ROUTES = 0.005
FINAL_TOGETHER = 0.002
# Odds ratios that a bad version may have: three times the failures is the smallest to
# be found; few failures suffice to find the larger ones.
ODDS_RATIOS = (3.0, 10.0, 100.0)
# A version of which all answers are slow shows at the median, one of which a fraction
# is slow shows at the others.
QUANTILES = (0.5, 0.9, 0.98)
MIN_OLD_TIMES = 20  # quantiles of fewer are too uncertain
MIN_NEW_TIMES = 8  # the mean of fewer isn't normally distributed
# A version up to 1.5 times as slow moves by at most one bucket. Where the times are so
# spread that a bucket changes the odds by less than this, none is tolerated: versions
# 1.25 times as slow change them by less than half of the smallest odds ratio.
TOLERATED_BUCKETS = 1
SPREAD_ODDS = 2.5
# Versions 1.2 times as slow pass; between that and 2 lies room for the uncertainty.
TOLERATED_LOG = math.log(1.2)
MIN_LOG_DEVIATION = 0.15  # times in one bucket of 1.5 still differ by this
# Standard errors of the mean above what is tolerated, for looks 4 times a second over a
# minute; versions that are alike are further from it by the tolerance.
MEAN_ERRORS = 3.3
LATE_MEAN_ERRORS = 4.2  # for windows, of which there are many
# With all traffic on the new version, times are compared with earlier ones, and the
# load of the service may have changed since.
EARLIER_TOLERATED_LOG = math.log(1.45)
EARLIER_TOLERATED_BUCKETS = (
    2  # 1.5 times as slow, with one, gave false alarms in bursts
)
# 10 of 10 are enough, from the requirements.
CERTAIN_FAILURES = 10
CERTAIN_RATE = 0.9
# Old answers for each new one, else earlier old ones are used: when all traffic moves,
# the old side's last answers are of another time than the new side's first ones.
MIN_CONCURRENT = 2.0
# Losses of a wave reach the hosts within a heartbeat time-out of each other.
WAVE_S = 2.0
WAVE_EXCESS = 3.0  # small numbers of targets vary by chance


@dataclass(slots=True, frozen=True)
class Bad:
    """The version is bad.

    Attributes
    ----------
    reason
        What was compared, with the figures, for logs.
    route
        Route on which it is bad, or an empty string for all together.
    """

    reason: str
    route: str


@dataclass(slots=True, frozen=True)
class Undecided:
    """The evidence does not show that the version is bad.

    Attributes
    ----------
    suspect
        A comparison that is nearly enough for a verdict. It decides at the few looks
        before a step that gives the version more traffic, for which a lower bound has
        the same probability of a false alarm as the higher one has for all looks.
    final
        A difference in failures that decides at the single look before all traffic
        moves, where it has the least probability of a miss.
    alert
        A suspicion on one route, which ends the step with all traffic for some time.
    """

    suspect: Bad | None = None
    final: Bad | None = None
    alert: Bad | None = None


Verdict = Undecided | Bad


def _log_ratios(bad_new: int, new: int, bad_old: float, old: float) -> list[float]:
    """Return the logarithms of the likelihood ratios, for each odds ratio.

    The number of bad answers on the new side, given the total, is hypergeometric if the
    versions are alike. Both binomial distributions that approximate it are wider, so
    either gives a ratio that is too small, and the larger one is used.
    """
    if not new or not old:
        return [0.0] * len(ODDS_RATIOS)
    bad = bad_new + bad_old
    share, rate = new / (new + old), bad / (new + old)
    return [
        bad_new * math.log(r)
        - min(bad * math.log1p(share * (r - 1)), new * math.log1p(rate * (r - 1)))
        for r in ODDS_RATIOS
    ]


def _mixed(log_ratios: Iterable[float]) -> float:
    """Return the logarithm of the mean of ratios."""
    ratios = list(log_ratios)
    top = max(ratios)
    return top + math.log(sum(math.exp(r - top) for r in ratios) / len(ratios))


class _Sum:
    """Sum of the log ratios of several routes, whose product is a ratio for all."""

    __slots__ = ("ratios",)

    def __init__(self) -> None:
        self.ratios = [0.0] * len(ODDS_RATIOS)

    def add(self, ratios: list[float]) -> float:
        """Add a route's ratios; return the route's own mixture."""
        self.ratios = [a + b for a, b in zip(self.ratios, ratios)]
        return _mixed(ratios)


def _cuts(old: Counts) -> list[int]:
    """Return the buckets of the quantiles of the old side's times."""
    total, below, cuts = sum(old.buckets.values()), 0, []
    quantiles = list(QUANTILES)
    for bucket in sorted(old.buckets):
        below += old.buckets[bucket]
        while quantiles and below >= quantiles[0] * total:
            cuts.append(bucket)
            quantiles.pop(0)
    return cuts


def _tolerance(old: Counts, cut: int, total: int) -> int:
    """Return by how many buckets the new side's times may lie above a cut."""
    above = _above(old, cut)
    wider = above + old.buckets.get(cut, 0)
    if wider * (total - above) < SPREAD_ODDS * above * (total - wider):
        return 0
    return TOLERATED_BUCKETS


def _above(counts: Counts, cut: int) -> int:
    return sum(count for bucket, count in counts.buckets.items() if bucket > cut)


def moments(counts: Counts) -> tuple[int, float, float]:
    """Return the number of times, and mean and variance of their logarithms."""
    number = sum(counts.buckets.values())
    if not number:
        return 0, 0.0, 0.0
    middle = sum(b * n for b, n in counts.buckets.items()) / number
    spread = sum(n * (b - middle) ** 2 for b, n in counts.buckets.items()) / number
    deviation = max(MIN_LOG_DEVIATION, math.sqrt(spread) * math.log(BUCKET_GROWTH))
    return number, counts.log_sum / number, deviation**2


def _is_near(at_s: float, times: list[float]) -> bool:
    """Return whether one of the sorted times is within `WAVE_S`."""
    index = bisect_left(times, at_s - WAVE_S)
    return index < len(times) and times[index] <= at_s + WAVE_S


def _judge_losses(lost: Iterable[Loss], share: float, bound: float) -> Verdict:
    """Compare the losses of targets, without those of a wave that hits both sides."""
    new = sorted(loss.at_s for loss in lost if loss.side == Side.NEW)
    old = sorted(loss.at_s for loss in lost if loss.side == Side.OLD)
    counted, excused = 0, 0
    in_wave = [at_s for at_s in old if _is_near(at_s, new)]
    allowance = 1 + WAVE_EXCESS * len(in_wave) * share / max(0.01, 1 - share)
    for at_s in new:
        if excused < allowance and _is_near(at_s, in_wave):
            excused += 1
        else:
            counted += 1
    losses = counted + len(old) - len(in_wave)
    ratio = _mixed(
        counted * math.log(r) - losses * math.log1p(share * (r - 1))
        for r in ODDS_RATIOS
    )
    if ratio > bound:
        return Bad(f"{counted} of {losses} losses of targets", "")
    return Undecided()


def judge(
    evidence: Evidence,
    target_share: float = 0.5,
    baseline: Evidence | None = None,
    starts: int = 0,
    moved: bool = False,
) -> Verdict:
    """Compare new with old.

    Parameters
    ----------
    evidence
        Evidence of all hosts, over the same time for both sides.
    target_share
        Share of the new version's targets in all targets of the service, 0 to 1. Losses
        are compared by it.
    baseline
        Earlier evidence, from which the old side is taken where `evidence` has too
        little of it.
    starts
        Number of times from which evidence is judged, 0 if only from the order on.
    moved
        Whether the traffic has moved to the new version in `evidence`, so that its
        answers are mostly of a later time than the old side's.
    """
    bound = math.log(COMPARISONS / FALSE_ALARM)
    errors = MEAN_ERRORS
    if starts:
        bound += math.log(starts)
        errors = LATE_MEAN_ERRORS
    verdict = _judge_losses(evidence.lost.values(), target_share, bound)
    if isinstance(verdict, Bad):
        return verdict
    suspects = _Suspects()
    final = alert = None
    bad_new, bad_both, expected = 0, 0.0, 0.0
    routes = sum(
        bool(new.answers or new.buckets) for _, new in evidence.routes.values()
    )
    bound += math.log(routes + 1)
    failures, quantiles = _Sum(), [_Sum() for _ in QUANTILES]
    time_bound = bound + math.log(len(QUANTILES))
    weights, weighted = 0.0, 0.0
    for route, (old, new) in evidence.routes.items():
        if not new.answers and not new.buckets:
            continue
        old, is_earlier = _reference(route, old, new, baseline)
        is_earlier = is_earlier or moved
        if (
            not starts
            and new.failures >= CERTAIN_FAILURES
            and new.failures >= CERTAIN_RATE * new.answers
            and 2 * old.failures <= old.answers
        ):
            return Bad(f"{new.failures} of {new.answers} answers failed", route)
        ratios = _log_ratios(new.failures, new.answers, old.failures, old.answers)
        ratio = failures.add(ratios)
        if ratio > ALERT_BOUND + math.log(routes + 1):
            alert = Bad(_failures_reason(old, new), route)
        bad = new.failures + old.failures
        usual = bad * new.answers / max(1.0, new.answers + old.answers)
        bad_new, bad_both = bad_new + new.failures, bad_both + bad
        expected += usual
        if not starts and chance(new.failures, bad, usual) < FINAL_ROUTES / routes:
            final = Bad(_failures_reason(old, new), route)
        if ratio > SUSPECT_BOUND:
            found = Bad(_failures_reason(old, new), route)
            if ratio > bound:
                return found
            suspects.add(found, ratio, routes)
        old_times, old_mean, old_variance = moments(old)
        new_times, new_mean, new_variance = moments(new)
        if old_times < MIN_OLD_TIMES or not new_times:
            continue
        for cut, total in zip(_cuts(old), quantiles):
            tolerated = _tolerance(old, cut, old_times)
            if is_earlier:
                tolerated = EARLIER_TOLERATED_BUCKETS
            above = _above(new, cut + tolerated), new_times
            ratio = total.add(_log_ratios(*above, _above(old, cut), old_times))
            if ratio > SUSPECT_BOUND:
                found = Bad(f"times above bucket {cut} of the old version", route)
                if ratio > time_bound:
                    return found
                suspects.add(found, ratio, routes)
        variance = max(old_variance, new_variance) * (1 / new_times + 1 / old_times)
        slower = new_mean - old_mean
        slower -= EARLIER_TOLERATED_LOG if is_earlier else TOLERATED_LOG
        if new_times >= MIN_NEW_TIMES and slower > errors * math.sqrt(variance):
            return Bad(f"{math.exp(new_mean - old_mean):.2f} times as slow", route)
        weights += 1 / variance
        weighted += slower / variance
    for what, sums, limit in (
        ("failures", [failures], bound),
        ("times above a quantile of the old version", quantiles, time_bound),
    ):
        ratio = max(_mixed(total.ratios) for total in sums)
        if ratio > limit:
            return Bad(what, "")
        suspects.add(Bad(what, ""), ratio, routes)
    if weights > 0 and weighted > errors * math.sqrt(weights):
        if _new_times(evidence) >= MIN_NEW_TIMES:
            return Bad("mean times", "")
    if chance(bad_new, bad_both, expected) < FINAL_TOGETHER:
        final = final or Bad(f"{bad_new} failures, {expected:.1f} expected", "")
    return Undecided(suspects.found, final, alert)


class _Suspects:
    """The first comparison above `SUSPECT_BOUND`, which all routes share."""

    __slots__ = ("found",)

    def __init__(self) -> None:
        self.found: Bad | None = None

    def add(self, found: Bad, ratio: float, routes: int) -> None:
        if ratio > SUSPECT_BOUND + math.log(routes + 1):
            self.found = found


def _new_times(evidence: Evidence) -> int:
    """Return the number of times of the new side, on all routes."""
    return sum(sum(new.buckets.values()) for _, new in evidence.routes.values())


def _reference(
    route: str, old: Counts, new: Counts, baseline: Evidence | None
) -> tuple[Counts, bool]:
    """Return the old side to compare with, and whether it is of an earlier time."""
    new_times, old_times = sum(new.buckets.values()), sum(old.buckets.values())
    enough = (
        old.answers >= MIN_CONCURRENT * new.answers
        and old_times >= MIN_CONCURRENT * new_times
        and old_times >= MIN_OLD_TIMES
    )
    if enough or baseline is None or route not in baseline.routes:
        return old, not enough
    return baseline.routes[route][Side.OLD], True


def _failures_reason(old: Counts, new: Counts) -> str:
    return (
        f"{new.failures} of {new.answers} answers failed, "
        f"{old.failures:.0f} of {old.answers:.0f} of the old version"
    )
