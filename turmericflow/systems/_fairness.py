"""Fair order of queued work: urgency classes, and start-time fair queueing."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from turmericflow.profile import Urgency
from turmericflow.systems import _rates as rates
from turmericflow.tables import Flow, LoadTable, Pool, QueueEntry, Rate, Work
from turmericflow.wire import FlowDemand

FLOW_GAIN = 0.1
RANK_GAIN = 0.3
IDLE_PER_S = 0.01
SHARE_UPDATE_S = 0.5
OVER_SHARE_RATIO = 1.3
WITHIN_SHARE_RATIO = 0.8
OVERLOAD_RATIO = 1.1
OVERLOAD_END_RATIO = 0.9
CREDIT_REQUESTS = 4.0
MAX_TOP_FLOWS = 16
TOP_FLOWS_MAX_FREE_SHARE = 0.5
NO_SLOT_PROBABILITY = 0.002
REPORT_AGE_S = 0.2
REPORT_AGE_DEVIATIONS = 2.0
MAX_LOAD_RATIO = 0.8
MAX_RESERVE_SHARE = 0.25
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
) -> QueueEntry:
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
    start = max(pool.virtual_time.get(rank, 0.0), flow.finish_tag)
    flow.finish_tag = start + max(1.0, work.expected_tokens) / weight
    flow.queued += 1
    entry = QueueEntry(work, rank, start, until)
    load.last_entry_number += 1
    heapq.heappush(pool.heap, (rank, start, load.last_entry_number, entry))
    pool.by_age.append(entry)
    pool.depth[rank] = pool.depth.get(rank, 0) + 1
    return entry


def entries_ahead(pool: Pool, work: Work) -> int:
    """Return how many queued entries would go before some work."""
    rank = rank_of(work)
    start = max(pool.virtual_time.get(rank, 0.0), flow_of(pool, work).finish_tag)
    place = (rank, start)
    return sum(1 for each in pool.heap if each[:2] <= place and not each[3].removed)


def remove(pool: Pool, entry: QueueEntry) -> None:
    """Take an entry out, whether it was served or given up."""
    if entry.removed:
        return
    entry.removed = True
    pool.depth[entry.rank] -= 1
    flow_of(pool, entry.work).queued -= 1


def head(pool: Pool) -> QueueEntry | None:
    """Return the entry that is next, or None if nothing waits."""
    while pool.heap and pool.heap[0][3].removed:
        heapq.heappop(pool.heap)
    return pool.heap[0][3] if pool.heap else None


def overdue(pool: Pool, now: float) -> QueueEntry | None:
    """Return the oldest entry if too little of its wait is left, or None."""
    while pool.by_age and pool.by_age[0].removed:
        pool.by_age.popleft()
    if not pool.by_age:
        return None
    entry = pool.by_age[0]
    least = OVERDUE_SHARE * entry.work.profile.wait_s
    return entry if now < entry.expires_at <= now + least else None


def pop_head(pool: Pool) -> QueueEntry:
    """Take the next entry out of the order for a while."""
    return heapq.heappop(pool.heap)[3]


def reinsert(load: LoadTable, pool: Pool, entry: QueueEntry) -> None:
    """Put an entry that was set aside back in its place."""
    load.last_entry_number += 1
    heapq.heappush(
        pool.heap, (entry.rank, entry.start_tag, load.last_entry_number, entry)
    )


def serve(pool: Pool, entry: QueueEntry) -> None:
    """Take the next entry out to be run."""
    start = max(pool.virtual_time.get(entry.rank, 0.0), entry.start_tag)
    pool.virtual_time[entry.rank] = start
    pool.served.setdefault(entry.rank, Rate()).count += 1
    flow_of(pool, entry.work).served.count += 1
    remove(pool, entry)


def queue_length(pool: Pool) -> int:
    """Return how many entries wait."""
    return sum(pool.depth.values())


def _demand(pool: Pool) -> dict[FlowName, float]:
    """Return what customers ask for at all routers that tell each other."""
    found = {name: flow.demand.per_s for name, flow in pool.flows.items()}
    for told in pool.peer_demands.values():
        for flow in told.flows or ():
            name = (flow.profile, flow.customer)
            found[name] = found.get(name, 0.0) + flow.asked_per_s
    return found


def _largest(pool: Pool) -> tuple[FlowDemand, ...]:
    """Return the customers that ask most here, to be told to other routers."""
    if pool.free > TOP_FLOWS_MAX_FREE_SHARE * pool.slots:
        return ()
    asked = ((flow.demand.per_s, name) for name, flow in pool.flows.items())
    largest = heapq.nlargest(MAX_TOP_FLOWS, asked)
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
        here = flow.demand.per_s / demand[name] if demand[name] else 1.0
        filled = shares[name] * max(here, part) * SHARE_UPDATE_S
        flow.credit = min(CREDIT_REQUESTS, flow.credit + filled)


def update_shares(
    pool: Pool, weight_of: Callable[[str], float], rate_per_s: float, routers: int
) -> None:
    """Judge whose demand is over its share, and how many places to keep.

    To be called each ``SHARE_UPDATE_S``.  Nobody is over its share as long as there
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
    asked = pool.demand.per_s + sum(
        told.asked_per_s for told in pool.peer_demands.values()
    )
    level = math.inf
    if (
        asked > OVERLOAD_END_RATIO * rate_per_s
        and sum(demand.values()) > OVERLOAD_RATIO * rate_per_s
    ):
        level = max(_level(demand, weights, rate_per_s), OVER_SHARE_RATIO * unit)
    pool.over_share = {
        name for name, each in demand.items() if each > level * weights[name]
    }
    within = (
        each
        for name, each in demand.items()
        if each <= WITHIN_SHARE_RATIO * shares[name]
    )
    pool.within_share_per_s = sum(within) if pool.over_share else 0.0
    pool.share_reserve = _spare(pool, rate_per_s)
    previous, pool.top_flows = pool.top_flows, _largest(pool)
    pool.top_flows_pending = bool(previous or pool.top_flows)


def _spare(pool: Pool, rate_per_s: float) -> int:
    """Return the places of each target to keep for customers within their share.

    Places come free at some rate, and those customers take them at a lower one.
    So many are kept that they seldom find none, and on each target what may
    have been taken there since it was last heard of: its mean and two deviations.
    """
    inside = pool.within_share_per_s
    if not inside or not pool.targets:
        return 0
    ratio = min(MAX_LOAD_RATIO, inside / rate_per_s)
    places = math.log(NO_SLOT_PROBABILITY) / math.log(ratio)
    unseen = inside * REPORT_AGE_S / len(pool.targets)
    kept = places / len(pool.targets) + unseen
    kept = math.ceil(kept + REPORT_AGE_DEVIATIONS * math.sqrt(unseen))
    return min(kept, int(MAX_RESERVE_SHARE * pool.slots / len(pool.targets)))


def within_share(pool: Pool, work: Work) -> bool:
    """Return whether a work's customer has taken no more than its share lately."""
    name = (work.profile.name, work.request_id.customer)
    return name not in pool.over_share and flow_of(pool, work).credit >= 1.0


def charge(pool: Pool, work: Work) -> None:
    """Take work that was given a place out of its customer's credit."""
    flow = flow_of(pool, work)
    flow.credit = max(0.0, flow.credit - 1.0)


def update_rates(pool: Pool, elapsed_s: float) -> None:
    """Measure at which rates flows and ranks are served, over some seconds.

    Flows that have nothing queued and were not served for a while are dropped.
    """
    for rate in pool.served.values():
        rates.update(rate, elapsed_s, RANK_GAIN)
    pool.demand.count = sum(flow.demand.count for flow in pool.flows.values())
    rates.update(pool.demand, elapsed_s, RANK_GAIN)
    pool.measurements += 1
    # A flow asked for nothing before it was first seen, so the pool's age counts.
    gain = max(FLOW_GAIN, 1.0 / pool.measurements)
    for name, flow in list(pool.flows.items()):
        rates.update(flow.served, elapsed_s, gain)
        rates.update(flow.demand, elapsed_s, gain)
        if not flow.queued and flow.demand.per_s < IDLE_PER_S:
            del pool.flows[name]
