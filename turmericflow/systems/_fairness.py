"""Fair order of waiting work: urgency classes, and start-time fair queueing."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from turmericflow.profile import Urgency
from turmericflow.tables import Flow, LoadTable, Pool, Waiting, Work

FLOW_GAIN = 0.1
RANK_GAIN = 0.3
IDLE_PER_S = 0.01
WITHIN = 1.3
CONTENDED_S = 3.0
SELDOM = 0.01
OVERDUE_SHARE = 0.5
UNSEEN_S = 0.2
LARGEST_RATIO = 0.8
LARGEST_HEADROOM = 0.1
RESUME_RANK = 0
RANKS = {Urgency.URGENT: 1, Urgency.NORMAL: 2, Urgency.THRIFTY: 3}


def rank_of(work: Work) -> int:
    """Return the class of some work; a lower one goes first."""
    return RESUME_RANK if work.resume else RANKS[work.profile.urgency]


def flow_of(pool: Pool, work: Work) -> Flow:
    """Return the flow that some work belongs to."""
    name = (work.profile.name, work.request_id.customer)
    flow = pool.flows.get(name)
    if flow is None:
        flow = pool.flows[name] = Flow()
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
    pool.served[entry.rank] = pool.served.get(entry.rank, 0) + 1
    flow_of(pool, entry.work).served += 1
    leave(pool, entry)


def waiting(pool: Pool) -> int:
    """Return how many entries wait."""
    return sum(pool.depth.values())


def judge(
    pool: Pool,
    weight_of: Callable[[str], float],
    rate_per_s: float,
    routers: int,
    now: float,
) -> None:
    """Judge who wants more than its share, and what to keep for the others.

    Places come free at some rate, and customers within their share take them at
    a lower one.  So many are kept for them that they seldom find none; none are
    kept while there are places for all.
    """
    flows = pool.flows
    weights = sum(weight_of(name[1]) for name in flows) or 1.0
    unit = WITHIN * rate_per_s / weights
    over = {n for n, each in flows.items() if each.asked_per_s > unit * weight_of(n[1])}
    inside = sum(each.asked_per_s for name, each in flows.items() if name not in over)
    pool.over = over if now - pool.contended_at <= CONTENDED_S else set()
    pool.inside_per_s = inside if pool.over else 0.0
    total = pool.inside_per_s + sum(pool.others_inside.values())
    if not total:
        pool.headroom = 0
        return
    ratio = min(LARGEST_RATIO, total / (rate_per_s * routers))
    places = math.log(SELDOM) / math.log(ratio) + total * UNSEEN_S
    pool.headroom = min(int(LARGEST_HEADROOM * pool.slots), math.ceil(places))


def note_contention(pool: Pool, now: float) -> None:
    """Note if work waits anywhere, or few places are free."""
    few = pool.free <= LARGEST_HEADROOM * pool.slots
    if few or waiting(pool) or any(pool.others_waiting.values()):
        pool.contended_at = now


def within_share(pool: Pool, entry: Waiting) -> bool:
    """Return whether an entry's customer asks for no more than its share."""
    name = (entry.work.profile.name, entry.work.request_id.customer)
    return name not in pool.over


def measure(pool: Pool, elapsed_s: float) -> None:
    """Measure at which rates flows and ranks are served, over some seconds.

    Flows that have nothing queued and were not served for a while are dropped.
    """
    for rank in pool.depth:
        before = pool.rank_rates.get(rank, 0.0)
        rate = pool.served.pop(rank, 0) / elapsed_s
        pool.rank_rates[rank] = before + RANK_GAIN * (rate - before)
    for name, flow in list(pool.flows.items()):
        flow.measured += 1
        gain = max(FLOW_GAIN, 1.0 / flow.measured)
        flow.rate_per_s += gain * (flow.served / elapsed_s - flow.rate_per_s)
        flow.asked_per_s += gain * (flow.asked / elapsed_s - flow.asked_per_s)
        flow.served = flow.asked = 0
        if not flow.queued and flow.asked_per_s < IDLE_PER_S:
            del pool.flows[name]
