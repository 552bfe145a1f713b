"""Admission: accept only what can be answered in time."""

from __future__ import annotations

from random import Random

from turmericflow.profile import Customer
from turmericflow.systems import (
    _estimates as estimates,
    _fairness as fairness,
    _freshness as freshness,
    _limits as limits,
    _routing as routing,
)
from turmericflow.tables import Pool, Tables, TargetKind, Work
from turmericflow.verdict import ErrorCode, Failure, Verdict

WAIT_SHARE = 0.5
ADMITTED_KEEP_S = 2.0
SHORTEST_RETRY_S = 1.0
LONGEST_RETRY_S = 60.0
FULL_SAMPLE = 8


def _refuse(code: ErrorCode, message: str, retry_after_s: float) -> Failure:
    retry = min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, retry_after_s))
    return Failure(code, Verdict.NOT_RUN, message, retry)


def weight_of(tables: Tables, customer: str) -> float:
    """Return the weight of a customer's fair share."""
    row = tables.config.customers.get(customer)
    return row.weight if row is not None else 1.0


def rate_per_s(pool: Pool, routers: int) -> float:
    """Return the rate at which places come free for this host."""
    hold = pool.hold_s or estimates.DEFAULT_HOLD_S
    return max(pool.rate_per_s, pool.slots / hold / max(1, routers), 1e-6)


def wait_s(tables: Tables, pool: Pool, work: Work, routers: int) -> float:
    """Return the wait in this host's queue that some work can count on.

    It holds even if every customer that has work in the queue brings more: a
    customer's own queue is served at its weighted share at least.
    """
    rank = fairness.rank_of(work)
    promised = len(pool.admitted)
    if pool.free - promised > fairness.waiting(pool):
        return 0.0
    before = sum(number for each, number in pool.depth.items() if each < rank)
    before += sum(1 for _, each in pool.admitted.values() if each < rank)
    same = pool.depth.get(rank, 0) + sum(
        1 for _, each in pool.admitted.values() if each == rank
    )
    name = (work.profile.name, work.request_id.customer)
    own_weight = weight_of(tables, work.request_id.customer)
    weights, own = own_weight, 0
    for each, flow in pool.flows.items():
        if each == name:
            own = flow.queued
        elif flow.queued:
            weights += weight_of(tables, each[1])
    own += sum(1 for each in pool.admitted if each.customer == work.request_id.customer)
    fair = (own + 1) * weights / own_weight
    ahead = before + min(same + 1, fair)
    return max(0.0, ahead - max(0, pool.free)) / rate_per_s(pool, routers)


def _deadline(
    tables: Tables, pool: Pool, work: Work, wait: float, now: float, rng: Random
) -> Failure | None:
    targets = pool.targets
    if len(targets) > FULL_SAMPLE:
        targets = rng.sample(targets, FULL_SAMPLE)
    profile = work.profile
    engines = [each for each in targets if each.kind is TargetKind.ENGINE]
    if not engines:
        return None
    tokens = float(work.max_tokens)
    whole = wait + min(
        estimates.last_token_s(tables.load, each, work, tokens, now) for each in engines
    )
    if whole <= profile.deadline_s:
        return None
    message = (
        f"deadline_s: got {profile.deadline_s:g}, expected at least {whole:.1f} "
        f"for {work.max_tokens} tokens"
    )
    return _refuse(ErrorCode.DEADLINE, message, wait)


def _limited(tables: Tables, customer: Customer | None, now: float) -> Failure | None:
    if customer is None:
        return None
    known = limits.known_routers(tables)
    later = limits.take(tables.load, customer, known, now)
    if not later:
        return None
    message = (
        f"customer {customer.name!r} is over its rate of {customer.rate_per_s:g}/s"
    )
    return _refuse(ErrorCode.RATE_LIMITED, message, later)


def _overloaded(
    tables: Tables, pool: Pool, work: Work, routers: int, now: float, rng: Random
) -> Failure | None:
    if not freshness.may_dispatch(tables, now):
        message = "this host's view is too old to give work to targets"
        return _refuse(ErrorCode.STALE_VIEW, message, SHORTEST_RETRY_S)
    if not any(routing.usable(tables, each, work, now) for each in pool.targets):
        message = f"no target of service {work.profile.service!r} can run this now"
        return _refuse(ErrorCode.NO_TARGET, message, SHORTEST_RETRY_S)
    wait = wait_s(tables, pool, work, routers)
    longest = work.profile.wait_s * WAIT_SHARE
    if wait > longest:
        message = f"wait: {wait:.1f} s is expected, the profile allows {longest:g}"
        return _refuse(ErrorCode.OVERLOADED, message, wait - longest)
    return _deadline(tables, pool, work, wait, now, rng)


def admit(
    tables: Tables, pool: Pool, work: Work, routers: int, now: float, rng: Random
) -> Failure | None:
    """Decide on a new request.

    Returns
    -------
    Failure or None
        Why it is refused, with the time after which a retry is worth while;
        None if it is accepted.
    """
    customer = tables.config.customers.get(work.request_id.customer)
    refusal = _limited(tables, customer, now)
    if refusal is not None:
        return refusal
    refusal = _overloaded(tables, pool, work, routers, now, rng)
    if refusal is not None:
        limits.give_back(tables.load, work.request_id.customer)
        return refusal
    pool.admitted[work.request_id] = (now, fairness.rank_of(work))
    return None


def forget_admitted(pool: Pool, now: float) -> None:
    """Forget accepted requests that turned out to run elsewhere."""
    for name in list(pool.admitted):
        if now - pool.admitted[name][0] < ADMITTED_KEEP_S:
            return
        del pool.admitted[name]
