"""Evidence on single routes: which of them lack it, and which get the credit first."""

from __future__ import annotations

import math

from turmericflow.relay.rollouts._evidence import OTHER_ROUTES, Counts, Evidence, Side

# Odds ratio of the mildest bad version that has to be found, from the requirements.
TRIPLED = 3.0
# Log ratio at which a version that fails three times as often is missed with a
# probability of at most 0.01, from the requirements.
ENOUGH = math.log(1 / 0.01)
MIN_ROUTE_SHARE = 0.02  # of the service's requests, from the requirements
# Share of failures; a tripling of rarer ones needs more answers than any exposure has.
MIN_FAILURE_RATE = 0.01
# Log ratio within which routes are equally suspect; about what ten answers change.
SIMILAR = 0.3
# Log ratio by which another route has to be more suspect to take over the focus: each
# change of a route's share disturbs the comparison of times for some seconds.
TAKE_OVER = 1.0
MAX_FOCUS = 4  # bounds the bytes in a status


def suspicion(old: Counts, new: Counts) -> float:
    """Return the log ratio of three times the failures to as many as the old side's.

    It falls with each good answer, by 0.02 to 0.06, and is 0 without any answer.
    """
    rate = old.failures / old.answers if old.answers else 0.0
    rate = max(MIN_FAILURE_RATE, rate)
    extra = TRIPLED - 1
    return new.failures * math.log(TRIPLED) - new.answers * math.log1p(rate * extra)


def lacking(evidence: Evidence) -> tuple[str, ...]:
    """Return the routes without enough evidence, the most suspect ones first.

    Routes with few of the service's requests are left out.
    """
    total = evidence.answers(Side.OLD) + evidence.answers(Side.NEW)
    found = []
    for route, (old, new) in evidence.routes.items():
        if old.answers + new.answers > MIN_ROUTE_SHARE * total:
            log_ratio = suspicion(old, new)
            if log_ratio > -ENOUGH:
                found.append((-log_ratio, route))
    return tuple(route for _, route in sorted(found))


def focus(evidence: Evidence, earlier: tuple[str, ...] = ()) -> tuple[str, ...]:
    """Return the routes that get the credit first; none if all are alike.

    These are the most suspect ones of those that lack evidence: the others' answers
    bring the verdict on a bad route no nearer.

    Parameters
    ----------
    evidence
        The sum over all hosts.
    earlier
        Routes that had the focus until now.
    """
    suspicions = {
        route: suspicion(*evidence.routes[route])
        for route in lacking(evidence)
        if route != OTHER_ROUTES
    }
    if not suspicions:
        return ()
    top = max(suspicions.values())
    kept = tuple(route for route in earlier if route in suspicions)
    if kept and max(suspicions[route] for route in kept) >= top - TAKE_OVER:
        return kept
    chosen = [route for route, each in suspicions.items() if each >= top - SIMILAR]
    if len(chosen) == len(evidence.routes):
        return ()
    return tuple(chosen[:MAX_FOCUS])


def chance(bad_new: int, bad: float, expected: float) -> float:
    """Return with what probability so many failures are the new side's by chance.

    The tail of the binomial distribution, for one look at a time that doesn't depend on
    the failures. It is wider than the exact, hypergeometric one, and serves for several
    routes together.

    Parameters
    ----------
    bad_new, bad
        Failures of the new side, and of both sides.
    expected
        Failures that the new side would have if the versions were alike.
    """
    total = max(bad_new, round(bad))
    share = expected / total if total else 0.0
    if not bad_new or not 0.0 < share < 1.0:
        return 1.0
    odds = share / (1.0 - share)
    log_term = math.lgamma(total + 1) - math.lgamma(bad_new + 1)
    log_term -= math.lgamma(total - bad_new + 1)
    log_term += bad_new * math.log(share) + (total - bad_new) * math.log1p(-share)
    term, tail = math.exp(log_term), 0.0
    for k in range(bad_new, total + 1):
        tail += term
        term *= odds * (total - k) / (k + 1)
    return min(1.0, tail)
