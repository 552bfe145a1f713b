"""Fair order of waiting work: urgency classes, and start-time fair queueing."""

from __future__ import annotations

import heapq

from turmericflow.profile import Urgency
from turmericflow.tables import Flow, LoadTable, Pool, Waiting, Work

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
    pool.depth[rank] = pool.depth.get(rank, 0) + 1
    return entry


def leave(pool: Pool, entry: Waiting) -> None:
    """Take an entry out, whether it was served or given up."""
    if entry.gone:
        return
    entry.gone = True
    pool.depth[entry.rank] -= 1
    flow = flow_of(pool, entry.work)
    flow.queued -= 1
    if not flow.queued and flow.finish_tag <= pool.virtual.get(entry.rank, 0.0):
        del pool.flows[(entry.work.profile.name, entry.work.request_id.customer)]


def head(pool: Pool) -> Waiting | None:
    """Return the entry that is next, or None if nothing waits."""
    while pool.heap and pool.heap[0][3].gone:
        heapq.heappop(pool.heap)
    return pool.heap[0][3] if pool.heap else None


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
    leave(pool, entry)


def waiting(pool: Pool) -> int:
    """Return how many entries wait."""
    return sum(pool.depth.values())


def trim(pool: Pool) -> None:
    """Forget flows that have nothing queued and nothing owed."""
    served = min(pool.virtual.values(), default=0.0)
    idle = [
        name
        for name, flow in pool.flows.items()
        if not flow.queued and flow.finish_tag <= served
    ]
    for name in idle:
        del pool.flows[name]
