"""Choice by estimated time, with what other routers have sent filled in.

A load report is a fraction of a second old, and every router sees the same
one.  If all took the least loaded target they would flood it before the next
report.  So the requests that others are expected to have sent since are dealt
out first, each to the least loaded target, and this request takes the place of
one of them by chance (after Dahlin, "Interpreting stale load information",
1999).
"""

from __future__ import annotations

import heapq
import random

from turmericflow.systems import _estimates as estimates
from turmericflow.tables import LoadTable, Target, Work

MAX_SIMULATED = 32
MIN_GAIN_S = 0.005


def _load_s(target: Target, streams: int, work: Work, now: float) -> float:
    """Return the time that a target's load costs this request and those there."""
    batch = min(streams + 1, estimates.slots_of(target))
    others = (batch - 1) * estimates.slope_s(target)
    tokens = max(1.0, work.expected_tokens)
    queue = estimates.queue_s(target, streams, tokens, now)
    return queue + tokens * (estimates.step_s(target, batch) + others)


def _prompt_s(load: LoadTable, target: Target, work: Work, now: float) -> float:
    prompt = estimates.uncached_tokens(load, target, work, now)
    prompt += estimates.prefill_backlog_tokens(target, now)
    return prompt / estimates.prefill_rate(target)


def _unseen(targets: list[Target], now: float) -> float:
    """Return how many requests others have sent there, as far as expected."""
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
    """Choose one of the targets that may run some work."""
    streams = [estimates.occupied(each, now) for each in targets]
    heap = [
        (_load_s(each, streams[number], work, now), rng.random(), number)
        for number, each in enumerate(targets)
    ]
    heapq.heapify(heap)
    unseen = _unseen(targets, now)
    rounds = min(MAX_SIMULATED, int(unseen + rng.random())) + 1
    mine = rng.randrange(rounds)
    picked = 0
    for count in range(rounds):
        _, _, number = heap[0]
        if count == mine:
            picked = number
            continue
        streams[number] += 1
        cost = _load_s(targets[number], streams[number], work, now)
        heapq.heapreplace(heap, (cost, rng.random(), number))
    levels = {number: cost for cost, _, number in heap}

    def total(number: int) -> float:
        return levels[number] + _prompt_s(load, targets[number], work, now)

    best = min(range(len(targets)), key=total)
    gain = total(picked) - total(best)
    return targets[best] if gain > MIN_GAIN_S else targets[picked]
