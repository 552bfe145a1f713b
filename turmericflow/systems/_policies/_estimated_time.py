"""Choice by estimated time, with the unreported requests of peers simulated.

A load report is a fraction of a second old, and every router sees the same
report.  If all routers chose the least loaded target, they would overload it
before the next report.  So the requests that other routers are expected to have
sent since the report are assigned first, each to the least loaded target.  The
request takes the position of a randomly chosen one of them (after Dahlin,
"Interpreting stale load information", 1999).
"""

from __future__ import annotations

import heapq
import random

from turmericflow.systems import _estimates as estimates
from turmericflow.tables import LoadTable, Target, Work

MAX_SIMULATED = 32
MIN_GAIN_S = 0.005


def _load_cost_s(target: Target, streams: int, work: Work, now: float) -> float:
    """Return the estimated run time plus the delay of other requests, in seconds."""
    batch = min(streams + 1, estimates.slots_of(target))
    added_step_s = (batch - 1) * estimates.slope_s(target)
    tokens = max(1.0, work.expected_tokens)
    queue_s = estimates.queue_s(target, streams, tokens, now)
    return queue_s + tokens * (estimates.step_s(target, batch) + added_step_s)


def _prefill_s(load: LoadTable, target: Target, work: Work, now: float) -> float:
    prompt = estimates.uncached_tokens(load, target, work, now)
    prompt += estimates.prefill_backlog_tokens(target, now)
    return prompt / estimates.prefill_rate(target)


def _unreported_requests(targets: list[Target], now: float) -> float:
    """Return the expected number of requests that peers sent since their reports."""
    return sum(
        each.peer_sends_per_s * estimates.unreported_s(each, now) for each in targets
    )


def choose_by_estimated_time(
    load: LoadTable,
    targets: list[Target],
    work: Work,
    now: float,
    rng: random.Random,
) -> Target:
    """Choose the target with about the least estimated time for some work.

    The choice by simulated load is replaced by the best target if that is faster
    by more than ``MIN_GAIN_S``, for instance because it has the prefix cached.
    """
    streams = [estimates.estimated_in_flight(each, now) for each in targets]
    heap = [
        (_load_cost_s(each, streams[number], work, now), rng.random(), number)
        for number, each in enumerate(targets)
    ]
    heapq.heapify(heap)
    unreported = _unreported_requests(targets, now)
    rounds = min(MAX_SIMULATED, int(unreported + rng.random())) + 1
    own_round = rng.randrange(rounds)
    picked = 0
    for count in range(rounds):
        _, _, number = heap[0]
        if count == own_round:
            picked = number
            continue
        streams[number] += 1
        cost = _load_cost_s(targets[number], streams[number], work, now)
        heapq.heapreplace(heap, (cost, rng.random(), number))
    load_costs_s = {number: cost for cost, _, number in heap}

    def total_s(number: int) -> float:
        return load_costs_s[number] + _prefill_s(load, targets[number], work, now)

    best = min(range(len(targets)), key=total_s)
    gain_s = total_s(picked) - total_s(best)
    return targets[best] if gain_s > MIN_GAIN_S else targets[picked]
