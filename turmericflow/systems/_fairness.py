"""Fair order of waiting work: urgency classes, and start-time fair queueing."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from turmericflow.profile import Urgency
from turmericflow.systems import _rates as rates
from turmericflow.tables import Flow, LoadTable, Pool, Rate, Waiting, Work
from turmericflow.wire import FlowDemand

FLOW_GAIN = 0.1
RANK_GAIN = 0.3
IDLE_PER_S = 0.01
JUDGED_S = 0.5
OVER = 1.3
INSIDE = 0.8
OVERLOAD = 1.1
CALM = 0.9
CREDIT_REQUESTS = 4.0
MOST_TOLD = 16
TOLD_FREE_SHARE = 0.5
SELDOM = 0.002
UNSEEN_S = 0.2
UNSEEN_DEVIATIONS = 2.0
LARGEST_RATIO = 0.8
LARGEST_SPARE = 0.25
OVERDUE_SHARE = 0.5
RESUME_RANK = 0
RANKS = {Urgency.URGENT: 1, Urgency.NORMAL: 2, Urgency.THRIFTY: 3}

FlowName = tuple[str, str]


def rank_of(work: Work) -> int:
    """Return the class of some work; a lower one goes first."""
    return RESUME_RANK if work.resume else RANKS[work.profile.urgency]


def flow_of(pool: Pool, work: Work) -> Flow:
    """Return the flow that some work belongs to."""
    name = (work.profile.name, work.request_id.customer)
    flow = pool.flows.get(name)
    if flow is None:
        flow = pool.flows[name] = Flow(credit=CREDIT_REQUESTS)
    return flow


def push(
    load: LoadTable, pool: Pool, work: Work, weight: float, until: float
) -> Waiting:
    """Put work into the queue, behind its own customer's earlier work.

    Parameters
    ----------
    load, pool
        The tables.
    work
        The work.
    weight
        Weight of its customer.
    until
        Time at which it is given up, in seconds of the host's clock.
    """
    rank = rank_of(work)
    flow = flow_of(pool, work)
    start = max(pool.virtual.get(rank, 0.0), flow.finish_tag)
    flow.finish_tag = start + max(1.0, work.expected_tokens) / weight
    flow.queued += 1
    entry = Waiting(work, rank, start, until)
    load.number += 1
    heapq.heappush(pool.heap, (rank, start, load.number, entry))
    pool.by_age.append(entry)
    pool.depth[rank] = pool.depth.get(rank, 0) + 1
    return entry


def before(pool: Pool, work: Work) -> int:
    """Return how many waiting entries would go before some work."""
    rank = rank_of(work)
    start = max(pool.virtual.get(rank, 0.0), flow_of(pool, work).finish_tag)
    place = (rank, start)
    return sum(1 for each in pool.heap if each[:2] <= place and not each[3].gone)


def leave(pool: Pool, entry: Waiting) -> None:
    """Take an entry out, whether it was served or given up."""
    if entry.gone:
        return
    entry.gone = True
    pool.depth[entry.rank] -= 1
    flow_of(pool, entry.work).queued -= 1


def head(pool: Pool) -> Waiting | None:
    """Return the entry that is next, or None if nothing waits."""
    while pool.heap and pool.heap[0][3].gone:
        heapq.heappop(pool.heap)
    return pool.heap[0][3] if pool.heap else None


def overdue(pool: Pool, now: float) -> Waiting | None:
    """Return the oldest entry if too little of its wait is left, or None."""
    while pool.by_age and pool.by_age[0].gone:
        pool.by_age.popleft()
    if not pool.by_age:
        return None
    entry = pool.by_age[0]
    least = OVERDUE_SHARE * entry.work.profile.wait_s
    return entry if now < entry.until <= now + least else None


def set_aside(pool: Pool) -> Waiting:
    """Take the next entry out of the order for a while."""
    return heapq.heappop(pool.heap)[3]


def put_back(load: LoadTable, pool: Pool, entry: Waiting) -> None:
    """Put an entry that was set aside back in its place."""
    load.number += 1
    heapq.heappush(pool.heap, (entry.rank, entry.start_tag, load.number, entry))


def serve(pool: Pool, entry: Waiting) -> None:
    """Take the next entry out to be run."""
    start = max(pool.virtual.get(entry.rank, 0.0), entry.start_tag)
    pool.virtual[entry.rank] = start
    pool.served.setdefault(entry.rank, Rate()).count += 1
    flow_of(pool, entry.work).served.count += 1
    leave(pool, entry)


def waiting(pool: Pool) -> int:
    """Return how many entries wait."""
    return sum(pool.depth.values())


def _demand(pool: Pool) -> dict[FlowName, float]:
    """Return what customers ask for at all routers that tell each other."""
    found = {name: flow.asked.per_s for name, flow in pool.flows.items()}
    for told in pool.others.values():
        for flow in told.flows or ():
            name = (flow.profile, flow.customer)
            found[name] = found.get(name, 0.0) + flow.demand_per_s
    return found


def _largest(pool: Pool) -> tuple[FlowDemand, ...]:
    """Return the customers that ask most here, to be told to other routers."""
    if pool.free > TOLD_FREE_SHARE * pool.slots:
        return ()
    asked = ((flow.asked.per_s, name) for name, flow in pool.flows.items())
    largest = heapq.nlargest(MOST_TOLD, asked)
    return tuple(FlowDemand(*name, round(rate, 1)) for rate, name in largest if rate)


def _level(
    demand: dict[FlowName, float], weights: dict[FlowName, float], rate_per_s: float
) -> float:
    """Return the demand for each weight up to which all can be served.

    It is the level of max-min fairness; infinite if there is enough for all.
    """
    left, weight_left = rate_per_s, sum(weights.values())
    for name in sorted(demand, key=lambda each: demand[each] / weights[each]):
        if demand[name] * weight_left > left * weights[name]:
            return left / weight_left
        left -= demand[name]
        weight_left -= weights[name]
    return math.inf


def _fill_credits(
    pool: Pool,
    demand: dict[FlowName, float],
    shares: dict[FlowName, float],
    part: float,
) -> None:
    """Add to each customer's credit what of its share falls to this router.

    That is the part that it asks for here, and no less than an equal part.
    """
    for name, flow in pool.flows.items():
        here = flow.asked.per_s / demand[name] if demand[name] else 1.0
        filled = shares[name] * max(here, part) * JUDGED_S
        flow.credit = min(CREDIT_REQUESTS, flow.credit + filled)


def judge(
    pool: Pool, weight_of: Callable[[str], float], rate_per_s: float, routers: int
) -> None:
    """Judge whose demand is over its share, and how many places to keep.

    To be called each ``JUDGED_S``.  Nobody is over its share as long as there
    is enough for all.  Shares are of what all routers see together.

    Parameters
    ----------
    pool
        The pool.
    weight_of
        Weight of a customer.
    rate_per_s
        Rate at which places come free for all routers.
    routers
        Number of routers.
    """
    demand = _demand(pool)
    weights = {name: weight_of(name[1]) for name in demand}
    unit = rate_per_s / (sum(weights.values()) or 1.0)
    shares = {name: unit * weight for name, weight in weights.items()}
    _fill_credits(pool, demand, shares, 1.0 / routers)
    asked = pool.asked.per_s + sum(told.demand_per_s for told in pool.others.values())
    level = math.inf
    if asked > CALM * rate_per_s and sum(demand.values()) > OVERLOAD * rate_per_s:
        level = max(_level(demand, weights, rate_per_s), OVER * unit)
    pool.over = {name for name, each in demand.items() if each > level * weights[name]}
    within = (each for name, each in demand.items() if each <= INSIDE * shares[name])
    pool.inside_per_s = sum(within) if pool.over else 0.0
    pool.spare = _spare(pool, rate_per_s)
    before, pool.told = pool.told, _largest(pool)
    pool.untold = bool(before or pool.told)


def _spare(pool: Pool, rate_per_s: float) -> int:
    """Return the places of each target to keep for customers within their share.

    Places come free at some rate, and those customers take them at a lower one.
    So many are kept that they seldom find none, and on each target what may
    have been taken there since it was last heard of: its mean and two deviations.
    """
    inside = pool.inside_per_s
    if not inside or not pool.targets:
        return 0
    ratio = min(LARGEST_RATIO, inside / rate_per_s)
    places = math.log(SELDOM) / math.log(ratio)
    unseen = inside * UNSEEN_S / len(pool.targets)
    kept = places / len(pool.targets) + unseen
    kept = math.ceil(kept + UNSEEN_DEVIATIONS * math.sqrt(unseen))
    return min(kept, int(LARGEST_SPARE * pool.slots / len(pool.targets)))


def within_share(pool: Pool, work: Work) -> bool:
    """Return whether a work's customer has taken no more than its share lately."""
    name = (work.profile.name, work.request_id.customer)
    return name not in pool.over and flow_of(pool, work).credit >= 1.0


def charge(pool: Pool, work: Work) -> None:
    """Take work that was given a place out of its customer's credit."""
    flow = flow_of(pool, work)
    flow.credit = max(0.0, flow.credit - 1.0)


def measure(pool: Pool, elapsed_s: float) -> None:
    """Measure at which rates flows and ranks are served, over some seconds.

    Flows that have nothing queued and were not served for a while are dropped.
    """
    for rate in pool.served.values():
        rates.renew(rate, elapsed_s, RANK_GAIN)
    pool.asked.count = sum(flow.asked.count for flow in pool.flows.values())
    rates.renew(pool.asked, elapsed_s, RANK_GAIN)
    pool.measured += 1
    # A flow asked for nothing before it was first seen, so the pool's age counts.
    gain = max(FLOW_GAIN, 1.0 / pool.measured)
    for name, flow in list(pool.flows.items()):
        rates.renew(flow.served, elapsed_s, gain)
        rates.renew(flow.asked, elapsed_s, gain)
        if not flow.queued and flow.asked.per_s < IDLE_PER_S:
            del pool.flows[name]
