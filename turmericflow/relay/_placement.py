"""Which target gets a request, and which one keeps a copy of its memory."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from turmericflow.relay._target_tables import Target, TargetTable

MIN_BACKOFF_S = 0.5  # doubles with each failure in a row
MAX_BACKOFF_S = 4.0
LOSS_WINDOW_S = 1.5  # losses closer together are taken for one event
MIN_DATA_CENTRE_LOSSES = 2  # fewer are no sign that all of a data centre is lost
MIN_DATA_CENTRE_LOST_SHARE = 0.15  # nor is a smaller share of its targets
DATA_CENTRE_LOSSES_COST = 3.0  # a data centre's other targets may be lost too
FAILURE_COST = 2.0  # for each failure in a row of a target that gets work again
# Costs below are in prompts of this size: what is read first is waited for.
PREFILL_TOKENS_PER_PROMPT = 1500.0
ENGINE_RUN_COST = 0.6  # a run shares each step, and its tokens wait for a new prompt
REMOTE_DATA_CENTRE_COST = 0.2  # less than one run: bytes between data centres are few
FULL_TARGET_COST = 50.0
SLOT_USE_COST = 8.0  # of a plain target whose places are all taken
LOST_DATA_CENTRE_COST = 1000.0
BACKOFF_COST = 100_000.0
MAX_EXTRA_COST = 500.0  # above all waits, below what a lost target or centre costs
MIN_SAMPLE_TARGETS = 3  # of two, both are busy or lost too often
SAMPLED_TARGETS_OF_ALL_HOSTS = 100  # targets that few hosts look at, together


@dataclass(slots=True, frozen=True)
class Demand:
    """What a target is chosen for.

    Attributes
    ----------
    service
        Service whose targets come into question.
    data_centre
        Where the target is best.
    excluded_targets
        Lives of targets that were tried already.
    excluded_data_centre
        Data centre in which no target is taken, or None.
    tokens, capacity
        Tokens of memory that the request needs, and that an engine has; 0 for
        targets without such memory.
    """

    service: str
    data_centre: str
    excluded_targets: frozenset[str] = frozenset()
    excluded_data_centre: str | None = None
    tokens: int = 0
    capacity: int = 0


def usable(target: Target) -> bool:
    """Return whether a target may get new work at all."""
    return not target.entry.leaving and not target.gone


def recent_losses(
    table: TargetTable, data_centre: str, service: str, now: float
) -> int:
    """Return how many targets of a data centre were lost a moment ago."""
    times = table.loss_times.get((data_centre, service), [])
    return sum(1 for at in times if now - at < LOSS_WINDOW_S)


def data_centre_loss_threshold(
    table: TargetTable, data_centre: str, service: str
) -> int:
    """Return how many losses at once are a sign that a data centre is lost."""
    rows = table.by_service.get(service, ())
    size = sum(1 for row in rows if row.entry.data_centre == data_centre)
    return max(MIN_DATA_CENTRE_LOSSES, math.ceil(MIN_DATA_CENTRE_LOST_SHARE * size))


def data_centre_lost(
    table: TargetTable, data_centre: str, service: str, now: float
) -> bool:
    """Return whether several targets of a data centre were lost a moment ago."""
    lost = recent_losses(table, data_centre, service, now)
    return lost >= data_centre_loss_threshold(table, data_centre, service)


def data_centre_cost(
    table: TargetTable, data_centre: str, service: str, now: float
) -> float:
    """Return what the losses of a data centre add to the cost of its targets."""
    lost = recent_losses(table, data_centre, service, now)
    if not lost:
        return 0.0
    enough = data_centre_loss_threshold(table, data_centre, service)
    if lost >= enough:
        return LOST_DATA_CENTRE_COST
    return DATA_CENTRE_LOSSES_COST * lost / (enough - 1)


def note_loss(table: TargetTable, target: Target, at: float) -> bool:
    """Take in that a target was lost: it gets no work for a while.

    Returns
    -------
    bool
        Whether this is a loss not known before.
    """
    if at < target.backoff_until or at <= target.last_event_at:
        return False
    backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**target.failures)
    target.failures += 1
    target.backoff_until = at + backoff_s
    place = (target.entry.data_centre, target.entry.service)
    times = [
        time for time in table.loss_times.get(place, []) if at - time < LOSS_WINDOW_S
    ]
    table.loss_times[place] = [*times, at]
    return True


def note_crash(target: Target, at: float) -> None:
    """Take in that a target broke off its work and refuses connections.

    Its process has most likely ended, and comes back as another life, if at all.
    """
    target.backoff_until = max(target.backoff_until, at + MAX_BACKOFF_S)


def note_gone(target: Target, now: float) -> None:
    """Take in that a target's address is another's now."""
    target.gone = True
    target.gone_at = now


def note_success(target: Target) -> None:
    """Take in that a target has done some work."""
    target.failures = 0


def cost(target: Target, demand: Demand, now: float) -> float:
    """Return how much a request would wait at a target, in prompts of 1,500 tokens."""
    entry = target.entry
    total = target.pending_prefill_tokens / PREFILL_TOKENS_PER_PROMPT
    if demand.capacity:
        total += ENGINE_RUN_COST * target.runs
        held = target.memory_tokens
        total += held / demand.capacity
        if held + demand.tokens > demand.capacity:
            total += FULL_TARGET_COST
    else:
        total += SLOT_USE_COST * target.runs / entry.slots
        if target.runs >= entry.slots:
            total += FULL_TARGET_COST
    if entry.cold_ms > 0:
        total += 1.0
    if entry.data_centre != demand.data_centre:
        total += REMOTE_DATA_CENTRE_COST
    total += FAILURE_COST * target.failures
    if now < target.backoff_until:
        total += BACKOFF_COST * (1 + target.failures)
    return total


def sample_size(hosts: int) -> int:
    """Return of how many targets the best is taken.

    Hosts that choose at the same time do not know of each other's choices; the more
    they are, the fewer targets each looks at, so that they do not all take one.
    """
    return max(MIN_SAMPLE_TARGETS, SAMPLED_TARGETS_OF_ALL_HOSTS // max(1, hosts))


def choose(
    table: TargetTable, demand: Demand, now: float, rng: Random, hosts: int = 1
) -> Target | None:
    """Return a target with little expected wait, or None if there is none.

    Parameters
    ----------
    table
        The targets.
    demand
        What it is chosen for.
    now
        Time in seconds.
    rng
        Takes the sample of which the best is chosen.
    hosts
        Number of hosts that choose by themselves.
    """
    found = [
        target
        for target in table.by_service.get(demand.service, ())
        if usable(target) and target.entry.key not in demand.excluded_targets
    ]
    if demand.excluded_data_centre is not None:
        found = [t for t in found if t.entry.data_centre != demand.excluded_data_centre]
    if not found:
        return None
    centres = {
        name: data_centre_cost(table, name, demand.service, now)
        for name in {target.entry.data_centre for target in found}
    }
    costs = [
        (cost(t, demand, now) + centres[t.entry.data_centre], rng.random())
        for t in found
    ]
    order = sorted(range(len(found)), key=costs.__getitem__)
    bearable = costs[order[0]][0] + MAX_EXTRA_COST
    likely = [index for index in order if costs[index][0] <= bearable]
    sample = rng.sample(likely, min(len(likely), sample_size(hosts)))
    return found[min(sample, key=costs.__getitem__)]


def choose_backup(
    table: TargetTable, demand: Demand, now: float, rng: Random, hosts: int = 1
) -> Target | None:
    """Return the engine that keeps a copy, in another data centre, or None."""
    target = choose(table, demand, now, rng, hosts)
    if target is None or now < target.backoff_until:
        return None
    return target


def find_at_address(table: TargetTable, service: str, address: str) -> Target | None:
    """Return the usable target at an address, whichever life it is in."""
    for target in table.by_service.get(service, ()):
        if target.entry.address == address and usable(target):
            return target
    return None
