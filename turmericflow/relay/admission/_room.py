"""Room for further streams at engines, as known from all hosts' loads."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from turmericflow.relay._target_tables import Target


@dataclass(slots=True, frozen=True)
class Places:
    """Places of a service for streams of one size.

    Attributes
    ----------
    free, total
        Free places, and places when idle, of the engines that are not in backoff.
    engines
        Keys of the engines with a free place.
    lost_runs
        Runs at engines in backoff, which need a place elsewhere soon.
    """

    free: int
    total: int
    engines: frozenset[str]
    lost_runs: int


# New streams fill engines to this share, so that those of a third of the engines, such
# as one of three data centres, still fit into the others after a crash.
MAX_NEW_SHARE = 2 / 3


def idle_room(tokens: int, slots: int, capacity: int) -> int:
    """Return how many streams fit into an idle engine; see `room`."""
    return min(slots, capacity // tokens) if tokens else slots


def max_new_runs(tokens: int, slots: int, capacity: int) -> int:
    """Return with how many runs an engine gets no further new stream of one size.

    With more, the prompts that are read for streams that go on there after a crash slow
    the others down, so that the next crash meets more of them.
    """
    return max(1, math.ceil(MAX_NEW_SHARE * idle_room(tokens, slots, capacity)))


def room(target: Target, tokens: int, slots: int, capacity: int, now: float) -> int:
    """Return how many more streams an engine can hold.

    Parameters
    ----------
    target
        The engine; it has no room while it is in backoff.
    tokens
        KV cache tokens that each stream needs.
    slots, capacity
        Runs, and KV cache tokens, that the engine holds.
    now
        Time in seconds.
    """
    if now < target.backoff_until or now < target.closed_until:
        return 0
    if target.brittle:
        slots = min(slots, int(target.room))
    by_memory = (capacity - target.memory_tokens) // tokens if tokens else slots
    # Full engines mostly lack memory; their runs need not be counted then.
    return max(0, min(by_memory, slots - target.runs)) if by_memory > 0 else 0


def count_places(
    targets: Iterable[Target], tokens: int, slots: int, capacity: int, now: float
) -> Places:
    """Return the places at engines for streams of one size; see `room`.

    An engine that reads a prompt has none: a second prompt would delay the first event
    of both, and each prompt slows down all streams that run beside it.
    """
    free, total, lost_runs, engines = 0, 0, 0, set()
    idle = idle_room(tokens, slots, capacity)
    for target in targets:
        if now < target.backoff_until:
            lost_runs += target.runs
            continue
        total += idle
        if target.pending_prefill_tokens > 0:
            continue
        found = room(target, tokens, slots, capacity, now)
        if found:
            free += found
            engines.add(target.entry.key)
    return Places(free, total, frozenset(engines), lost_runs)


def exclude_hidden(free: int, total: int, heard: int, others: int) -> int:
    """Return the free places without those that silent hosts may use.

    They may be alive behind a partition, with an equal part of all places. Only
    customers above their share leave these places free: if the hosts died, no place
    that others need stays idle. A host that hears no other one has left them out.

    Parameters
    ----------
    free, total
        Free places that this host counts on, and all places.
    heard, others
        Live hosts, and known hosts, without this one.
    """
    if not heard:
        return free
    return max(0, free - total * (others - heard) // (1 + others))


def fill(target: Target, capacity: int) -> float:
    """Return the used share of an engine's memory, copies included."""
    return target.memory_tokens / capacity


def occupancy(targets: Iterable[Target], capacity: int) -> float:
    """Return the average used share of engines' memory; 1 if there is none."""
    fills = [fill(target, capacity) for target in targets]
    return sum(fills) / len(fills) if fills else 1.0
