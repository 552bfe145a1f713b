"""Placement of requests and KV cache copies on targets."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from random import Random

import xxhash

from turmericflow.relay._stream_versions import fits, version_of
from turmericflow.relay._target_tables import Target, TargetTable

ROOM_GAIN = 0.2  # a refusal takes back what five answers gain
MIN_FULL_S = 0.4  # a brittle target counts its refusals over a second
MIN_BACKOFF_S = 0.5  # doubles with each consecutive failure
MAX_BACKOFF_S = 4.0
LOSS_WINDOW_S = 1.5  # losses closer together count as one incident
MIN_DATA_CENTRE_LOSSES = 2  # fewer do not indicate a lost data centre
MIN_DATA_CENTRE_LOST_SHARE = 0.15  # nor does a smaller share of its targets
DATA_CENTRE_LOSSES_COST = 3.0  # the other targets there may be lost too
FAILURE_COST = 2.0  # per consecutive failure, also after the backoff
# Costs are in prompts of this length: a request waits for the prefill of those ahead.
PREFILL_TOKENS_PER_PROMPT = 1500.0
ENGINE_RUN_COST = 0.6  # runs share each step and are delayed by each new prefill
REMOTE_DATA_CENTRE_COST = 0.2  # less than one run, since little data is sent
FULL_TARGET_COST = 50.0
LIMITED_TARGET_COST = FAILURE_COST  # others are used first while they are idle
SLOT_USE_COST = 8.0  # of a plain target with all slots in use
SINGLE_VERSION_COST = 4.0  # streams there can be resumed nowhere
LOST_DATA_CENTRE_COST = 1000.0
BACKOFF_COST = 100_000.0
MAX_EXTRA_COST = 500.0  # above any queueing, below LOST_DATA_CENTRE_COST, BACKOFF_COST
MIN_SAMPLE_TARGETS = 3  # with two, too often both are busy or lost
MIN_PREFERRED_SAMPLE = 2  # the least that still avoids the busier of two
SAMPLED_TARGETS_OF_ALL_HOSTS = 100  # sum over all hosts, unless the minimum gives more


@dataclass(slots=True, frozen=True)
class Demand:
    """Constraints for choosing a target.

    Attributes
    ----------
    service
        Service whose targets are candidates.
    data_centre
        Preferred data centre.
    excluded_targets
        Keys of targets that were already tried.
    excluded_data_centre
        Data centre whose targets are not candidates, or None.
    tokens, capacity
        KV cache tokens that the request needs and that an engine has; 0 for targets
        without a KV cache.
    limited_targets
        Keys of targets that name a limit of requests, which this host may still send.
    version
        What binds the stream (see `version_of`), or None if any target may serve it.
    preferred_targets
        Keys of targets with room for the whole request, which are used before others
        that wait as long; empty if they are not known.
    excluded_versions
        Versions (see `version_of`) of targets that are not candidates.
    """

    service: str
    data_centre: str
    excluded_targets: frozenset[str] = frozenset()
    excluded_data_centre: str | None = None
    tokens: int = 0
    capacity: int = 0
    limited_targets: frozenset[str] = frozenset()
    version: str | None = None
    preferred_targets: frozenset[str] = frozenset()
    excluded_versions: frozenset[str] = frozenset()


def usable(target: Target) -> bool:
    """Return whether a target accepts new work."""
    return not (target.leaving or target.gone or target.unconfirmed)


def recent_losses(
    table: TargetTable, data_centre: str, service: str, now: float
) -> int:
    """Return the losses of a service in a data centre within `LOSS_WINDOW_S`."""
    times = table.loss_times.get((data_centre, service), [])
    return sum(1 for at in times if now - at < LOSS_WINDOW_S)


def data_centre_loss_threshold(
    table: TargetTable, data_centre: str, service: str
) -> int:
    """Return the number of recent losses from which a data centre counts as lost."""
    rows = table.by_service.get(service, ())
    size = sum(1 for row in rows if row.entry.data_centre == data_centre)
    return max(MIN_DATA_CENTRE_LOSSES, math.ceil(MIN_DATA_CENTRE_LOST_SHARE * size))


def data_centre_lost(
    table: TargetTable, data_centre: str, service: str, now: float
) -> bool:
    """Return whether so many targets were lost that a data centre counts as lost."""
    lost = recent_losses(table, data_centre, service, now)
    return lost >= data_centre_loss_threshold(table, data_centre, service)


def without_lost_data_centres(
    table: TargetTable, targets: list[Target], service: str, now: float
) -> list[Target]:
    """Return the targets outside data centres that count as lost.

    All are returned if no target outside is free of a backoff: a host that reaches none
    rather has no path itself.
    """
    names = {target.entry.data_centre for target in targets}
    lost = {name for name in names if data_centre_lost(table, name, service, now)}
    # Targets in backoff there are kept: their streams still need places elsewhere.
    found = [
        target
        for target in targets
        if now < target.backoff_until or target.entry.data_centre not in lost
    ]
    reached = any(now >= target.backoff_until for target in found)
    return found if reached else targets


def data_centre_cost(
    table: TargetTable, data_centre: str, service: str, now: float
) -> float:
    """Return the cost that recent losses add to all targets of a data centre."""
    lost = recent_losses(table, data_centre, service, now)
    if not lost:
        return 0.0
    threshold = data_centre_loss_threshold(table, data_centre, service)
    if lost >= threshold:
        return LOST_DATA_CENTRE_COST
    return DATA_CENTRE_LOSSES_COST * lost / (threshold - 1)


def record_loss(table: TargetTable, target: Target, at: float) -> bool:
    """Record the loss of a target and start its backoff.

    Returns
    -------
    bool
        Whether the loss is new: later than the last event of the target, and not
        within its backoff.
    """
    if at < target.backoff_until or at <= target.last_event_at:
        return False
    backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**target.failures)
    target.failures += 1
    target.silent = False
    target.backoff_until = at + backoff_s
    domain = (target.entry.data_centre, target.entry.service)
    times = [
        time for time in table.loss_times.get(domain, []) if at - time < LOSS_WINDOW_S
    ]
    table.loss_times[domain] = [*times, at]
    return True


def prolong_backoff(target: Target, at: float) -> None:
    """Keep a target in backoff that is still silent; this is no further loss."""
    target.backoff_until = max(target.backoff_until, at + MIN_BACKOFF_S)


def record_crash(target: Target, at: float) -> None:
    """Record that a target dropped its connections and refuses new ones.

    Its process has most likely ended. A restarted process has another key, so that
    the backoff does not apply to it.
    """
    target.backoff_until = max(target.backoff_until, at + MAX_BACKOFF_S)


def record_gone(target: Target, now: float) -> None:
    """Record that another target now has this target's address."""
    target.gone = True
    target.gone_at = now


def record_success(target: Target) -> None:
    """Record that a target answered, which resets its failure count."""
    target.failures = 0


def record_end_of_silence(target: Target) -> None:
    """Record that a silent target sent data again, which ends its backoff."""
    if target.silent:
        target.silent = False
        target.failures = 0
        target.backoff_until = 0.0


def cost(target: Target, demand: Demand, now: float) -> float:
    """Return the cost of placing a request at a target, in prompts of 1,500 tokens.

    It is the expected wait, plus penalties for a full or cold target, another data
    centre, failures and a backoff.
    """
    entry = target.entry
    total = target.pending_prefill_tokens / PREFILL_TOKENS_PER_PROMPT
    if demand.capacity:
        total += ENGINE_RUN_COST * target.runs
        used_tokens = target.memory_tokens
        total += used_tokens / demand.capacity
        if used_tokens + demand.tokens > demand.capacity:
            total += FULL_TARGET_COST
    else:
        total += SLOT_USE_COST * target.runs / entry.slots
        if target.runs >= entry.slots:
            total += FULL_TARGET_COST
    if entry.cold_ms > 0:
        total += 1.0
    if entry.key in demand.limited_targets:
        total += LIMITED_TARGET_COST
    if entry.data_centre != demand.data_centre:
        total += REMOTE_DATA_CENTRE_COST
    total += FAILURE_COST * target.failures
    if now < target.backoff_until:
        total += BACKOFF_COST * (1 + target.failures)
    return total


def sample_size(hosts: int) -> int:
    """Return the number of targets to sample, of which the cheapest is chosen.

    Hosts that choose at the same time do not know of each other's choices. The more
    hosts there are, the fewer targets each samples, so that not all choose the same.
    """
    return max(MIN_SAMPLE_TARGETS, SAMPLED_TARGETS_OF_ALL_HOSTS // max(1, hosts))


def is_closed(target: Target, now: float) -> bool:
    """Return whether a target wants no requests from this host now."""
    return now < target.closed_until


def record_full(target: Target, host: str, now: float) -> None:
    """Record that a brittle target had no room, and send it nothing for a time.

    The time differs between targets and hosts, so that not all come back at once.

    Parameters
    ----------
    target
        The target.
    host
        Name of the host that met the refusal.
    now
        Time in seconds.
    """
    target.room = max(1.0, min(target.room, target.runs) - 1.0)
    digest = xxhash.xxh3_64_intdigest(f"{target.entry.key}/{host}/{now}".encode())
    closed_s = MIN_FULL_S * (1 + digest / 2.0**64)
    target.full_at = now
    target.closed_until = max(target.closed_until, now + closed_s)


def record_room(target: Target) -> None:
    """Record that a brittle target had room for a request."""
    target.room = min(float(target.entry.slots), target.room + ROOM_GAIN)


def _has_room(target: Target) -> bool:
    """Return whether a request need not wait at a target that is brittle."""
    return not target.brittle or target.runs < min(target.entry.slots, target.room)


def _meets(target: Target, demand: Demand) -> bool:
    entry = target.entry
    return (
        (not demand.excluded_targets or entry.key not in demand.excluded_targets)
        and entry.data_centre != demand.excluded_data_centre
        and fits(entry, demand.version)
        and not (
            demand.excluded_versions and version_of(entry) in demand.excluded_versions
        )
    )


def candidates(table: TargetTable, demand: Demand) -> list[Target]:
    """Return the usable targets that meet the constraints of a demand."""
    rows = table.by_service.get(demand.service, ())
    return [target for target in rows if usable(target) and _meets(target, demand)]


def _single_versions(targets: list[Target]) -> set[str]:
    """Return the versions that only one of the targets has, if there are several."""
    counts = Counter(version_of(target.entry) for target in targets)
    if len(counts) == 1:
        return set()
    return {version for version, count in counts.items() if count == 1}


def choose(
    table: TargetTable, demand: Demand, now: float, rng: Random, hosts: int = 1
) -> Target | None:
    """Return the cheapest of a random sample of targets, or None if there is none.

    Parameters
    ----------
    table
        The targets.
    demand
        Constraints on the target.
    now
        Time in seconds.
    rng
        Source of randomness for the sample.
    hosts
        Number of hosts that choose independently.
    """
    serving = [t for t in table.by_service.get(demand.service, ()) if usable(t)]
    found = [
        target
        for target in serving
        if _meets(target, demand) and not is_closed(target, now) and _has_room(target)
    ]
    if not found:
        return None
    single = (
        set() if demand.version or not demand.capacity else _single_versions(serving)
    )
    data_centre_costs = {
        name: data_centre_cost(table, name, demand.service, now)
        for name in {target.entry.data_centre for target in found}
    }
    costs = []
    for target in found:
        total = cost(target, demand, now) + data_centre_costs[target.entry.data_centre]
        if version_of(target.entry) in single:
            total += SINGLE_VERSION_COST
        costs.append((total, rng.random()))
    order = sorted(range(len(found)), key=costs.__getitem__)
    max_cost = costs[order[0]][0] + MAX_EXTRA_COST
    candidates = [index for index in order if costs[index][0] <= max_cost]
    preferred = [
        index
        for index in candidates
        if found[index].entry.key in demand.preferred_targets
    ]
    size = sample_size(hosts)
    if preferred:
        # With few of them, hosts that take the cheapest would all take the same.
        size = max(MIN_PREFERRED_SAMPLE, size * len(preferred) // len(candidates))
        candidates = preferred
    sample = rng.sample(candidates, min(len(candidates), size))
    return found[min(sample, key=costs.__getitem__)]


def choose_backup(
    table: TargetTable, demand: Demand, now: float, rng: Random, hosts: int = 1
) -> Target | None:
    """Return an engine for a KV cache copy, or None.

    An engine in backoff is not chosen.
    """
    target = choose(table, demand, now, rng, hosts)
    if target is None or now < target.backoff_until:
        return None
    return target


def find_holder(
    table: TargetTable, demand: Demand, address: str, now: float
) -> Target | None:
    """Return the usable target at an address, whatever its key, or None.

    A target of another version than the one that binds the stream, or of an excluded
    one, is not returned.
    """
    for target in table.by_service.get(demand.service, ()):
        entry = target.entry
        if entry.address == address and usable(target) and not is_closed(target, now):
            allowed = version_of(entry) not in demand.excluded_versions
            return target if allowed and fits(entry, demand.version) else None
    return None


def opens_in_s(table: TargetTable, demand: Demand, now: float) -> float | None:
    """Return the time until a candidate wants requests again, if none does now.

    Returns None if there is no candidate, or one that is not closed.
    """
    found = [target.closed_until - now for target in candidates(table, demand)]
    return min(found) if found and min(found) > 0 else None
