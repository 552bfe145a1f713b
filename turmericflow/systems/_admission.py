"""Admission control: accept only requests that can be answered in time."""

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
ADMITTED_TTL_S = 2.0
MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0
MAX_DEADLINE_TARGETS = 8


def _refuse(code: ErrorCode, message: str, retry_after_s: float) -> Failure:
    retry = min(MAX_RETRY_S, max(MIN_RETRY_S, retry_after_s))
    return Failure(code, Verdict.NOT_RUN, message, retry)


def weight_of(tables: Tables, customer: str) -> float:
    """Return the weight of a customer in fair sharing, 1 for an unknown customer."""
    row = tables.config.customers.get(customer)
    return row.weight if row is not None else 1.0


def equal_release_rate_per_s(pool: Pool, routers: int) -> float:
    """Return this host's equal part of the rate at which slots are released."""
    hold_s = pool.hold_s or estimates.DEFAULT_HOLD_S
    return max(MIN_RATE_PER_S, pool.slots / hold_s / max(1, routers))


def release_rate_per_s(pool: Pool, routers: int) -> float:
    """Return the rate at which slots are released for this host's queue."""
    equal_rate = equal_release_rate_per_s(pool, routers)
    if fairness.queue_length(pool):
        return max(pool.released.per_s, MIN_RATE_SHARE * equal_rate)
    return max(pool.released.per_s, equal_rate)


def _work_ahead(pool: Pool, work: Work) -> tuple[int, int, int]:
    """Return the numbers of requests of lower ranks, of its rank and of its flow.

    These are queued requests, and accepted ones that are not yet in the queue.
    """
    rank = fairness.rank_of(work)
    before = sum(number for other, number in pool.depth.items() if other < rank)
    same = pool.depth.get(rank, 0)
    flow = pool.flows.get((work.profile.name, work.request_id.customer))
    own = flow.queued if flow is not None else 0
    for request_id, (_, other) in pool.admitted.items():
        before += other < rank
        same += other == rank
        own += request_id.customer == work.request_id.customer
    return before, same, own


def _flow_rate_per_s(tables: Tables, pool: Pool, work: Work, rate: float) -> float:
    """Return the rate at which a customer's work of one rank can be served.

    The rate that lower ranks leave is shared by weight between the customers
    with queued work.  A higher measured rate of a flow within its share is
    used instead.
    """
    rank = fairness.rank_of(work)
    before = sum(served.per_s for other, served in pool.served.items() if other < rank)
    left = max(MIN_RATE_SHARE * rate, rate - before)
    name = (work.profile.name, work.request_id.customer)
    own = weights = weight_of(tables, work.request_id.customer)
    for other, flow in pool.flows.items():
        if flow.queued and other != name:
            weights += weight_of(tables, other[1])
    flow = pool.flows.get(name)
    served = (
        flow.served.per_s if flow is not None and name not in pool.over_share else 0.0
    )
    return max(served, left * own / weights)


def expected_wait_s(tables: Tables, pool: Pool, work: Work, routers: int) -> float:
    """Return the expected wait of some work in this host's queue, in seconds.

    Later work of other customers may be served first.  So the estimate uses the
    customer's own queue and the rate at which that queue is served.  It is at
    most ``MAX_OVERTAKEN_RATIO`` times the wait in the order of arrival.
    """
    within = work.resume or fairness.within_share(pool, work)
    free = pool.free if within else pool.free_over_share
    if free - len(pool.admitted) > fairness.queue_length(pool):
        return 0.0
    before, same, own = _work_ahead(pool, work)
    rate = release_rate_per_s(pool, routers)
    if not within:
        rate = max(MIN_RATE_SHARE * rate, rate - pool.within_share_per_s / routers)
    if not own:
        return (fairness.entries_ahead(pool, work) + 1) / rate
    fair = (own + 1) / _flow_rate_per_s(tables, pool, work, rate)
    return before / rate + min(fair, MAX_OVERTAKEN_RATIO * (same + 1) / rate)


def _check_deadline(
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
    completion_s = wait + min(
        estimates.last_token_s(tables.load, each, work, tokens, now) for each in engines
    )
    if completion_s <= profile.deadline_s:
        return None
    message = (
        f"deadline_s: got {profile.deadline_s:g}, expected at least "
        f"{completion_s:.1f} for {work.max_tokens} tokens"
    )
    return _refuse(ErrorCode.DEADLINE, message, wait)


def _check_rate_limit(
    tables: Tables, customer: Customer | None, now: float
) -> Failure | None:
    if customer is None:
        return None
    known = limits.known_routers(tables)
    retry_after_s = limits.take_token(tables.load, customer, known, now)
    if not retry_after_s:
        return None
    message = (
        f"customer {customer.name!r} exceeds its rate limit of "
        f"{customer.rate_per_s:g}/s"
    )
    return _refuse(ErrorCode.RATE_LIMITED, message, retry_after_s)


def _max_wait_s(pool: Pool, work: Work, now: float) -> float:
    """Return the longest expected wait at which work is still accepted.

    An empty queue accepts work at any pool size.  Queued work adds to the waits
    of later work and to the recovery time, so the queue is kept short.  A queue
    that does not empty is kept shorter still, except for customers without
    queued work.
    """
    if not fairness.queue_length(pool) and not pool.admitted:
        return work.profile.wait_s * EMPTY_QUEUE_WAIT_SHARE
    flow = pool.flows.get((work.profile.name, work.request_id.customer))
    standing = now - pool.last_empty_at > STANDING_QUEUE_S
    if standing and flow is not None and flow.queued:
        return work.profile.wait_s * STANDING_QUEUE_WAIT_SHARE
    return work.profile.wait_s * QUEUE_WAIT_SHARE


def _check_capacity(
    tables: Tables, pool: Pool, work: Work, routers: int, now: float, rng: Random
) -> Failure | None:
    if not freshness.may_dispatch(tables, now):
        message = (
            "this host's configuration is too old to dispatch work: neither the "
            "platform nor a peer has confirmed it recently"
        )
        return _refuse(ErrorCode.STALE_VIEW, message, MIN_RETRY_S)
    if not any(routing.usable(tables, each, work, now) for each in pool.targets):
        message = (
            f"no target of service {work.profile.service!r} is available "
            "for the request"
        )
        return _refuse(ErrorCode.NO_TARGET, message, MIN_RETRY_S)
    wait = expected_wait_s(tables, pool, work, routers)
    max_wait_s = _max_wait_s(pool, work, now)
    if wait > max_wait_s:
        message = f"estimated wait: got {wait:.1f} s, expected at most {max_wait_s:g} s"
        return _refuse(ErrorCode.OVERLOADED, message, wait - max_wait_s)
    return _check_deadline(tables, pool, work, wait, now, rng)


def admit(
    tables: Tables, pool: Pool, work: Work, routers: int, now: float, rng: Random
) -> Failure | None:
    """Accept or refuse a new request.

    Returns
    -------
    Failure or None
        The reason of a refusal, with the time after which to retry, in seconds;
        None if the request is accepted.
    """
    customer = tables.config.customers.get(work.request_id.customer)
    fairness.flow_of(pool, work).demand.count += 1
    refusal = _check_rate_limit(tables, customer, now)
    if refusal is not None:
        return refusal
    refusal = _check_capacity(tables, pool, work, routers, now, rng)
    if refusal is not None:
        limits.return_token(tables.load, work.request_id.customer)
        return refusal
    pool.admitted[work.request_id] = (now, fairness.rank_of(work))
    return None


def withdraw(pool: Pool, request_id: RequestId) -> None:
    """Remove an accepted request that another host runs or that nobody runs."""
    pool.admitted.pop(request_id, None)


def expire_admitted(pool: Pool, now: float) -> None:
    """Remove accepted requests that did not reach the queue in time."""
    for name in list(pool.admitted):
        if now - pool.admitted[name][0] < ADMITTED_TTL_S:
            return
        del pool.admitted[name]
