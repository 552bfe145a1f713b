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
from turmericflow.tables import Pool, RequestId, Tables, TargetKind, Work
from turmericflow.verdict import ErrorCode, Failure, Verdict

EMPTY_QUEUE_WAIT_SHARE = 0.25
QUEUE_WAIT_SHARE = 0.1
STANDING_QUEUE_S = 2.0
STANDING_QUEUE_WAIT_SHARE = 0.05
MAX_OVERTAKEN_RATIO = 3.0
MIN_RATE_SHARE = 0.1
MIN_RATE_PER_S = 1e-6
ADMITTED_KEEP_S = 2.0
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0
MAX_DEADLINE_TARGETS = 8


def _refuse(code: ErrorCode, message: str, retry_after_s: float) -> Failure:
    retry = min(MAX_RETRY_S, max(MIN_RETRY_S, retry_after_s))
    return Failure(code, Verdict.NOT_RUN, message, retry)


def weight_of(tables: Tables, customer: str) -> float:
    """Return the weight of a customer's fair share."""
    row = tables.config.customers.get(customer)
    return row.weight if row is not None else 1.0


def equal_release_rate_per_s(pool: Pool, routers: int) -> float:
    """Return this host's equal part of the rate at which places come free."""
    hold = pool.hold_s or estimates.DEFAULT_HOLD_S
    return max(MIN_RATE_PER_S, pool.slots / hold / max(1, routers))


def release_rate_per_s(pool: Pool, routers: int) -> float:
    """Return the rate at which places come free for this host."""
    part = equal_release_rate_per_s(pool, routers)
    if fairness.queue_length(pool):
        return max(pool.released.per_s, MIN_RATE_SHARE * part)
    return max(pool.released.per_s, part)


def _ahead(pool: Pool, work: Work) -> tuple[int, int, int]:
    """Return the work before some work: of lower ranks, of its own, its customer's.

    What was accepted and is not yet in the queue counts as well.
    """
    rank = fairness.rank_of(work)
    before = sum(number for each, number in pool.depth.items() if each < rank)
    same = pool.depth.get(rank, 0)
    flow = pool.flows.get((work.profile.name, work.request_id.customer))
    own = flow.queued if flow is not None else 0
    for name, (_, each) in pool.admitted.items():
        before += each < rank
        same += each == rank
        own += name.customer == work.request_id.customer
    return before, same, own


def _flow_rate(tables: Tables, pool: Pool, work: Work, rate: float) -> float:
    """Return the rate at which a customer's work of a class can be served.

    It is what the classes before leave over, shared by weight between the
    customers that have work in the queue, or more if it was served faster.
    """
    rank = fairness.rank_of(work)
    before = sum(each.per_s for number, each in pool.served.items() if number < rank)
    left = max(MIN_RATE_SHARE * rate, rate - before)
    name = (work.profile.name, work.request_id.customer)
    own = weights = weight_of(tables, work.request_id.customer)
    for each, flow in pool.flows.items():
        if flow.queued and each != name:
            weights += weight_of(tables, each[1])
    flow = pool.flows.get(name)
    served = (
        flow.served.per_s if flow is not None and name not in pool.over_share else 0.0
    )
    return max(served, left * own / weights)


def expected_wait_s(tables: Tables, pool: Pool, work: Work, routers: int) -> float:
    """Return the wait in this host's queue that some work must expect.

    Later work of other customers may go before it, so that what counts is its
    customer's own queue, and the rate at which that is served.
    """
    within = work.resume or fairness.within_share(pool, work)
    free = pool.free if within else pool.free_over_share
    if free - len(pool.admitted) > fairness.queue_length(pool):
        return 0.0
    before, same, own = _ahead(pool, work)
    rate = release_rate_per_s(pool, routers)
    if not within:
        rate = max(MIN_RATE_SHARE * rate, rate - pool.within_share_per_s / routers)
    if not own:
        return (fairness.entries_ahead(pool, work) + 1) / rate
    fair = (own + 1) / _flow_rate(tables, pool, work, rate)
    return before / rate + min(fair, MAX_OVERTAKEN_RATIO * (same + 1) / rate)


def _deadline(
    tables: Tables, pool: Pool, work: Work, wait: float, now: float, rng: Random
) -> Failure | None:
    targets = pool.targets
    if len(targets) > MAX_DEADLINE_TARGETS:
        targets = rng.sample(targets, MAX_DEADLINE_TARGETS)
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
    later = limits.take_token(tables.load, customer, known, now)
    if not later:
        return None
    message = (
        f"customer {customer.name!r} is over its rate of {customer.rate_per_s:g}/s"
    )
    return _refuse(ErrorCode.RATE_LIMITED, message, later)


def _longest_wait_s(pool: Pool, work: Work, now: float) -> float:
    """Return the longest expected wait with which work is still accepted.

    An empty queue takes work in whatever the pool's size.  Behind that, all that
    waits adds to the waits of later work and to the time of recovery; so a
    queue is kept short, and one that does not empty shorter still, but for
    customers with nothing in it.
    """
    if not fairness.queue_length(pool) and not pool.admitted:
        return work.profile.wait_s * EMPTY_QUEUE_WAIT_SHARE
    flow = pool.flows.get((work.profile.name, work.request_id.customer))
    standing = now - pool.last_empty_at > STANDING_QUEUE_S
    if standing and flow is not None and flow.queued:
        return work.profile.wait_s * STANDING_QUEUE_WAIT_SHARE
    return work.profile.wait_s * QUEUE_WAIT_SHARE


def _overloaded(
    tables: Tables, pool: Pool, work: Work, routers: int, now: float, rng: Random
) -> Failure | None:
    if not freshness.may_dispatch(tables, now):
        message = "this host's view is too old to give work to targets"
        return _refuse(ErrorCode.STALE_VIEW, message, MIN_RETRY_S)
    if not any(routing.usable(tables, each, work, now) for each in pool.targets):
        message = f"no target of service {work.profile.service!r} can run this now"
        return _refuse(ErrorCode.NO_TARGET, message, MIN_RETRY_S)
    wait = expected_wait_s(tables, pool, work, routers)
    longest = _longest_wait_s(pool, work, now)
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
    fairness.flow_of(pool, work).demand.count += 1
    refusal = _limited(tables, customer, now)
    if refusal is not None:
        return refusal
    refusal = _overloaded(tables, pool, work, routers, now, rng)
    if refusal is not None:
        limits.return_token(tables.load, work.request_id.customer)
        return refusal
    pool.admitted[work.request_id] = (now, fairness.rank_of(work))
    return None


def withdraw(pool: Pool, request_id: RequestId) -> None:
    """Forget one accepted request that another host runs, or nobody."""
    pool.admitted.pop(request_id, None)


def expire_admitted(pool: Pool, now: float) -> None:
    """Forget accepted requests that never came to the queue."""
    for name in list(pool.admitted):
        if now - pool.admitted[name][0] < ADMITTED_KEEP_S:
            return
        del pool.admitted[name]
