"""Fair order of queued work: priority ranks and start-time fair queueing."""

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
IDLE_DEMAND_PER_S = 0.01
SHARE_UPDATE_S = 0.5
OVER_SHARE_RATIO = 1.3
WITHIN_SHARE_RATIO = 0.8
OVERLOAD_RATIO = 1.1
OVERLOAD_END_RATIO = 0.9
MAX_CREDIT_REQUESTS = 4.0
MAX_TOP_FLOWS = 16
TOP_FLOWS_MAX_FREE_SHARE = 0.5
NO_SLOT_PROBABILITY = 0.002
REPORT_AGE_S = 0.2
REPORT_AGE_DEVIATIONS = 2.0
MAX_LOAD_RATIO = 0.8
MAX_RESERVE_SHARE = 0.25
NEAR_EXPIRY_SHARE = 0.5
RESUME_RANK = 0
RANKS = {Urgency.URGENT: 1, Urgency.NORMAL: 2, Urgency.THRIFTY: 3}

FlowName = tuple[str, str]


def rank_of(work: Work) -> int:
    """Return the priority rank of some work; the lowest rank is served first."""
    return RESUME_RANK if work.resume else RANKS[work.profile.urgency]


def flow_of(pool: Pool, work: Work) -> Flow:
    """Return the flow that some work belongs to, and create it if needed."""
    name = (work.profile.name, work.request_id.customer)
    flow = pool.flows.get(name)
    if flow is None:
        flow = pool.flows[name] = Flow(credit=MAX_CREDIT_REQUESTS)
    return flow


def push(
    load: LoadTable, pool: Pool, work: Work, weight: float, expires_at: float
) -> QueueEntry:
    """Add work to the queue, behind earlier work of the same flow.

    Parameters
    ----------
    load, pool
        Tables of this host and of the work's pool.
    work
        The work to queue.
    weight
        Weight of the work's customer in fair sharing.
    expires_at
        Time at which the entry expires, in seconds of the host's clock.
    """
    rank = rank_of(work)
    flow = flow_of(pool, work)
    start = max(pool.virtual_time.get(rank, 0.0), flow.finish_tag)
    flow.finish_tag = start + max(1.0, work.expected_tokens) / weight
    flow.queued += 1
    entry = QueueEntry(work, rank, start, expires_at)
    load.last_entry_number += 1
    heapq.heappush(pool.heap, (rank, start, load.last_entry_number, entry))
    pool.by_age.append(entry)
    pool.depth[rank] = pool.depth.get(rank, 0) + 1
    return entry


def entries_ahead(pool: Pool, work: Work) -> int:
    """Return how many queued entries would be served before some work."""
    rank = rank_of(work)
    start = max(pool.virtual_time.get(rank, 0.0), flow_of(pool, work).finish_tag)
    position = (rank, start)
    return sum(1 for each in pool.heap if each[:2] <= position and not each[3].removed)


def remove(pool: Pool, entry: QueueEntry) -> None:
    """Remove a served, expired or abandoned entry from the queue."""
    if entry.removed:
        return
    entry.removed = True
    pool.depth[entry.rank] -= 1
    flow_of(pool, entry.work).queued -= 1


def head(pool: Pool) -> QueueEntry | None:
    """Return the next entry in fair order, or None if the queue is empty."""
    while pool.heap and pool.heap[0][3].removed:
        heapq.heappop(pool.heap)
    return pool.heap[0][3] if pool.heap else None


def near_expiry(pool: Pool, now: float) -> QueueEntry | None:
    """Return the oldest entry if it is close to expiry, else None."""
    while pool.by_age and pool.by_age[0].removed:
        pool.by_age.popleft()
    if not pool.by_age:
        return None
    entry = pool.by_age[0]
    near_expiry_s = NEAR_EXPIRY_SHARE * entry.work.profile.wait_s
    return entry if now < entry.expires_at <= now + near_expiry_s else None


def pop_head(pool: Pool) -> QueueEntry:
    """Take the next entry out of the order, to put it back with `reinsert`."""
    return heapq.heappop(pool.heap)[3]


def reinsert(load: LoadTable, pool: Pool, entry: QueueEntry) -> None:
    """Put an entry taken out by `pop_head` back in its place."""
    load.last_entry_number += 1
    heapq.heappush(
        pool.heap, (entry.rank, entry.start_tag, load.last_entry_number, entry)
    )


def serve(pool: Pool, entry: QueueEntry) -> None:
    """Remove an entry that starts on a target, and advance the virtual time."""
    start = max(pool.virtual_time.get(entry.rank, 0.0), entry.start_tag)
    pool.virtual_time[entry.rank] = start
    pool.served.setdefault(entry.rank, Rate()).count += 1
    flow_of(pool, entry.work).served.count += 1
    remove(pool, entry)


def queue_length(pool: Pool) -> int:
    """Return the number of queued entries."""
    return sum(pool.depth.values())


def _total_demand(pool: Pool) -> dict[FlowName, float]:
    """Return the demand of each flow, summed over the routers that share demand."""
    demands = {name: flow.demand.per_s for name, flow in pool.flows.items()}
    for peer in pool.peer_demands.values():
        for flow in peer.flows or ():
            name = (flow.profile, flow.customer)
            demands[name] = demands.get(name, 0.0) + flow.demand_per_s
    return demands


def _top_flows(pool: Pool) -> tuple[FlowDemand, ...]:
    """Return the flows with the highest demand here, to send to other routers."""
    if pool.free > TOP_FLOWS_MAX_FREE_SHARE * pool.slots:
        return ()
    demands = ((flow.demand.per_s, name) for name, flow in pool.flows.items())
    largest = heapq.nlargest(MAX_TOP_FLOWS, demands)
    return tuple(FlowDemand(*name, round(rate, 1)) for rate, name in largest if rate)


def _max_min_level(
    demand: dict[FlowName, float], weights: dict[FlowName, float], rate_per_s: float
) -> float:
    """Return the max-min fair level: the served demand per unit of weight.

    The level is infinite if the rate covers the demand of all flows.
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
    equal_part: float,
) -> None:
    """Add this router's part of each flow's share to the flow's credit.

    The part is the fraction of the flow's demand that reaches this router, and
    no less than an equal part.
    """
    for name, flow in pool.flows.items():
        local_part = flow.demand.per_s / demand[name] if demand[name] else 1.0
        added = shares[name] * max(local_part, equal_part) * SHARE_UPDATE_S
        flow.credit = min(MAX_CREDIT_REQUESTS, flow.credit + added)


def update_shares(
    pool: Pool, weight_of: Callable[[str], float], rate_per_s: float, routers: int
) -> None:
    """Update which flows exceed their share, and the slots to reserve for others.

    Also add to the credits of the flows and select the flows to report to other
    routers.  Call this function every ``SHARE_UPDATE_S``.  No flow exceeds its share
    while the rate covers the demand of all.  Shares refer to the total of all routers.

    Parameters
    ----------
    pool
        The pool to update.
    weight_of
        Function that returns a customer's weight.
    rate_per_s
        Rate at which slots are released for all routers.
    routers
        Number of live routers.
    """
    demand = _total_demand(pool)
    weights = {name: weight_of(name[1]) for name in demand}
    rate_per_weight = rate_per_s / (sum(weights.values()) or 1.0)
    shares = {name: rate_per_weight * weight for name, weight in weights.items()}
    _fill_credits(pool, demand, shares, 1.0 / routers)
    demand_per_s = pool.demand.per_s + sum(
        peer.demand_per_s for peer in pool.peer_demands.values()
    )
    level = math.inf
    # The rate of the whole pool follows changes sooner than the rates of the flows,
    # so it shows first that an overload has ended.
    if (
        demand_per_s > OVERLOAD_END_RATIO * rate_per_s
        and sum(demand.values()) > OVERLOAD_RATIO * rate_per_s
    ):
        level = max(
            _max_min_level(demand, weights, rate_per_s),
            OVER_SHARE_RATIO * rate_per_weight,
        )
    pool.over_share = {
        name for name, each in demand.items() if each > level * weights[name]
    }
    within = (
        each
        for name, each in demand.items()
        if each <= WITHIN_SHARE_RATIO * shares[name]
    )
    pool.within_share_per_s = sum(within) if pool.over_share else 0.0
    pool.share_reserve = _share_reserve(pool, rate_per_s)
    previous, pool.top_flows = pool.top_flows, _top_flows(pool)
    pool.top_flows_pending = bool(previous or pool.top_flows)


def _share_reserve(pool: Pool, rate_per_s: float) -> int:
    """Return the slots of each target to reserve for flows within their share.

    Slots are released at some rate, and those flows take them at a lower rate.
    The reserve is so large that they find no free slot only with a probability
    of ``NO_SLOT_PROBABILITY``.  On each target the reserve also covers the requests
    that may have started there since its last report: their mean and two
    standard deviations.
    """
    within_per_s = pool.within_share_per_s
    if not within_per_s or not pool.targets:
        return 0
    ratio = min(MAX_LOAD_RATIO, within_per_s / rate_per_s)
    reserved = math.log(NO_SLOT_PROBABILITY) / math.log(ratio)
    unreported = within_per_s * REPORT_AGE_S / len(pool.targets)
    per_target = reserved / len(pool.targets) + unreported
    per_target = math.ceil(per_target + REPORT_AGE_DEVIATIONS * math.sqrt(unreported))
    return min(per_target, int(MAX_RESERVE_SHARE * pool.slots / len(pool.targets)))


def within_share(pool: Pool, work: Work) -> bool:
    """Return whether the work's flow is within its share and has credit left."""
    name = (work.profile.name, work.request_id.customer)
    return name not in pool.over_share and flow_of(pool, work).credit >= 1.0


def charge(pool: Pool, work: Work) -> None:
    """Charge work that starts on a target to its flow's credit."""
    flow = flow_of(pool, work)
    flow.credit = max(0.0, flow.credit - 1.0)


def update_rates(pool: Pool, elapsed_s: float) -> None:
    """Update the rates of demand and of served work from the last ``elapsed_s``.

    Flows without queued work and with almost no recent demand are dropped.
    """
    for rate in pool.served.values():
        rates.update(rate, elapsed_s, RANK_GAIN)
    pool.demand.count = sum(flow.demand.count for flow in pool.flows.values())
    rates.update(pool.demand, elapsed_s, RANK_GAIN)
    pool.measurements += 1
    # A new flow had no demand before its first request, so the gain depends on the
    # number of measurements of the pool and not of the flow.
    gain = max(FLOW_GAIN, 1.0 / pool.measurements)
    for name, flow in list(pool.flows.items()):
        rates.update(flow.served, elapsed_s, gain)
        rates.update(flow.demand, elapsed_s, gain)
        if not flow.queued and flow.demand.per_s < IDLE_DEMAND_PER_S:
            del pool.flows[name]
