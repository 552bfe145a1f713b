"""Scheduling of queued work: which entry runs on which target, and when."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random

from turmericflow.systems import (
    _admission as admission,
    _breakers as breakers,
    _budgets as budgets,
    _estimates as estimates,
    _fairness as fairness,
    _freshness as freshness,
    _limits as limits,
    _policies as policies,
    _prefixes as prefixes,
    _rates as rates,
    _routing as routing,
)
from turmericflow.tables import Pool, QueueEntry, Tables, Target, TargetKind, Work
from turmericflow.wire import PoolDemand

LAST_WAIT_SHARE = 0.2
RATE_GAIN = 0.3
HOLD_GAIN = 0.02
MIN_HOLD_SAMPLES = 50


@dataclass(slots=True, frozen=True)
class Placed:
    """A queue entry that starts on a target."""

    entry: QueueEntry
    target: Target


@dataclass(slots=True, frozen=True)
class Expired:
    """A queue entry that expired."""

    entry: QueueEntry


Outcome = Placed | Expired


def pool_of(tables: Tables, work: Work, now: float) -> Pool:
    """Return the pool of some work, and create it if needed."""
    pool = tables.load.pools.get(work.pool)
    if pool is None:
        pool = Pool(work.profile, measured_at=now)
        tables.load.pools[work.pool] = pool
    if not pool.targets:
        _update_slots(tables, pool, now)
    return pool


def _resume_reserve(pool: Pool, targets: list[Target], resume_s: float) -> int:
    """Return the slots of each target to reserve for the loss of the largest target.

    Slots that are released within the time objective of a resume need no reserve.
    At most a quarter of the largest target's slots are reserved on each target.
    """
    if len(targets) < 2 or not pool.hold_s:
        return 0
    largest = max(estimates.slots_of(each) for each in targets)
    rest = sum(estimates.slots_of(each) for each in targets) - largest
    freed = rest * min(1.0, resume_s / pool.hold_s)
    shortfall = max(0.0, largest - freed)
    return min(largest // 4, -int(-shortfall // (len(targets) - 1)))


def _update_slots(tables: Tables, pool: Pool, now: float) -> None:
    pool.freed_targets.clear()
    rows = tables.targets.rows.values()
    pool.targets = [each for each in rows if routing.matches(each, pool.profile)]
    usable = [each for each in pool.targets if routing.available(tables, each, now)]
    engines = [each for each in usable if each.kind is TargetKind.ENGINE]
    pool.resume_reserve = _resume_reserve(
        pool, engines, pool.profile.objectives.resume_s
    )
    pool.in_flight = sum(each.in_flight for each in pool.targets)
    known = sum(each.known_in_flight for each in pool.targets)
    pool.peer_in_flight = known - pool.in_flight
    pool.assigned_targets = _assigned_targets(tables, pool)
    pool.slots = pool.free = pool.free_over_share = 0
    for each in usable:
        slots = max(0, estimates.slots_of(each) - pool.resume_reserve)
        free = slots - estimates.estimated_in_flight(each, now)
        pool.slots += slots
        pool.free += max(0, free)
        if pool.assigned_targets is None or each.name in pool.assigned_targets:
            pool.free_over_share += max(0, free - pool.share_reserve)


def _mean_hold_s(pool: Pool) -> float:
    """Return the mean time that a request holds a slot, averaged over routers."""
    reported = [pool.hold_s, *(each.hold_s for each in pool.peer_demands.values())]
    known = [each for each in reported if each]
    return sum(known) / len(known) if known else estimates.DEFAULT_HOLD_S


def refresh(tables: Tables, pool: Pool, now: float) -> None:
    """Refresh the targets, slots and rates of a pool; called on each tick."""
    pool.busy_slot_s += pool.in_flight * max(0.0, now - pool.refreshed_at)
    pool.refreshed_at = now
    _update_slots(tables, pool, now)
    if not fairness.queue_length(pool):
        pool.last_empty_at = now
    admission.expire_admitted(pool, now)
    elapsed = now - pool.measured_at
    if elapsed >= fairness.SHARE_UPDATE_S:
        fairness.update_rates(pool, elapsed)
        routers = tables.load.live_routers
        total_per_s = pool.slots / _mean_hold_s(pool)
        weight_of = partial(admission.weight_of, tables)
        fairness.update_shares(pool, weight_of, total_per_s, routers)
        rates.update(pool.released, elapsed, RATE_GAIN)
        pool.measured_at = now
        tables.load.live_routers = limits.live_routers(tables)
        peer_sends_per_s = pool.released.per_s * (tables.load.live_routers - 1)
        complete = len(tables.load.counts_received_at) >= tables.load.live_routers - 1
        for target in pool.targets:
            target.peer_sends_per_s = peer_sends_per_s / len(pool.targets)
            target.counts_complete = complete


def enqueue(tables: Tables, pool: Pool, work: Work, expires_at: float) -> QueueEntry:
    """Add work to its pool's queue.

    The first attempt of a request also earns budget tokens and is counted as an
    arrival.
    """
    if pool.admitted.pop(work.request_id, None) is not None:
        budgets.earn(tables.load)
        length_class = estimates.length_class(work.expected_tokens)
        tables.load.arrivals[length_class] += 1
        tables.load.arrived_tokens[length_class] += work.expected_tokens
    weight = admission.weight_of(tables, work.request_id.customer)
    return fairness.push(tables.load, pool, work, weight, expires_at)


def _record_sent(
    tables: Tables, pool: Pool, target: Target, work: Work, now: float
) -> None:
    load = tables.load
    prompt = estimates.uncached_tokens(load, target, work, now)
    backlog = estimates.prefill_backlog_tokens(target, now) + prompt
    target.prefill_backlog_tokens, target.prefill_backlog_at = backlog, now
    ready_at = now + backlog / estimates.prefill_rate(target)
    prefixes.expect_blocks(load, target.name, work.blocks, ready_at)
    estimates.change_in_flight(target, 1, now)
    target.sent_since_report += 1
    target.in_flight_by_class[estimates.length_class(work.expected_tokens)] += 1
    target.work_tokens += work.expected_tokens
    breakers.on_sent(target, now)
    fairness.charge(pool, work)
    pool.freed_targets.discard(target.name)
    pool.free -= 1
    pool.free_over_share -= 1
    pool.in_flight += 1


def _assigned_targets(tables: Tables, pool: Pool) -> set[str] | None:
    """Return the targets on which this host may start work beyond its share.

    The routers divide the targets among themselves in proportion to their queue
    lengths, so that several routers don't take the same released slot at once.
    None means that there is no restriction.
    """
    hosts = tables.load.counts_received_at
    if not pool.share_reserve or not hosts:
        return None
    demands = {host: pool.peer_demands.get(host, PoolDemand()) for host in hosts}
    weights = [(host, 1 + each.waiting) for host, each in demands.items()]
    weights = sorted([*weights, (tables.host, 1 + fairness.queue_length(pool))])
    total = sum(weight for _, weight in weights)
    names = sorted(each.name for each in pool.targets)
    assigned, preceding = set(), 0
    for host, weight in weights:
        if host == tables.host:
            low, high = preceding / total, (preceding + weight) / total
            for index, name in enumerate(names):
                if low <= (index + 0.5) / len(names) < high:
                    assigned.add(name)
        preceding += weight
    return assigned


def _set_keep_free(pool: Pool, entry: QueueEntry) -> bool:
    """Set how many slots an entry must leave free; return whether it must leave any."""
    if entry.work.resume or fairness.within_share(pool, entry.work):
        entry.work.keep_free = 0
        return False
    entry.work.keep_free = pool.share_reserve
    return True


def _serve_near_expiry(
    tables: Tables, pool: Pool, policy: policies.Policy, now: float, rng: Random
) -> list[Outcome]:
    """Start work that is close to expiry, ahead of the fair order.

    Accepted work must be answered in time.  Customers' shares are enforced at
    admission instead.  In the last ``LAST_WAIT_SHARE`` of its wait, work may also
    take the slots reserved for flows within their share.
    """
    outcomes: list[Outcome] = []
    while (entry := fairness.near_expiry(pool, now)) is not None:
        if entry.expires_at - now <= LAST_WAIT_SHARE * entry.work.profile.wait_s:
            entry.work.keep_free = 0
        target = routing.choose(tables, pool, policy, entry.work, now, rng)
        if target is None:
            break
        fairness.remove(pool, entry)
        _record_sent(tables, pool, target, entry.work, now)
        outcomes.append(Placed(entry, target))
    return outcomes


def dispatch(
    tables: Tables, pool: Pool, policy: policies.Policy, now: float, rng: Random
) -> list[Outcome]:
    """Start queued work in fair order while targets have free slots.

    Work that may not use every target or every free slot does not block the
    entries behind it.  A host whose configuration is too old starts no work, for a
    target may be marked as leaving without this host knowing.
    """
    outcomes: list[Outcome] = []
    if not freshness.may_dispatch(tables, now):
        return outcomes
    outcomes.extend(_serve_near_expiry(tables, pool, policy, now, rng))
    skipped: list[QueueEntry] = []
    while (entry := fairness.head(pool)) is not None:
        if now >= entry.expires_at:
            fairness.remove(pool, entry)
            outcomes.append(Expired(entry))
            continue
        restricted = _set_keep_free(pool, entry)
        target = routing.choose(tables, pool, policy, entry.work, now, rng)
        if target is not None:
            fairness.serve(pool, entry)
            _record_sent(tables, pool, target, entry.work, now)
            outcomes.append(Placed(entry, target))
        elif restricted or entry.work.exclude:
            skipped.append(fairness.pop_head(pool))
        else:
            break
    for entry in skipped:
        fairness.reinsert(tables.load, pool, entry)
    return outcomes


def expire(pool: Pool, now: float) -> list[Outcome]:
    """Remove and return all expired entries of a pool's queue."""
    expired = [
        each[3]
        for each in pool.heap
        if not each[3].removed and now >= each[3].expires_at
    ]
    for entry in expired:
        fairness.remove(pool, entry)
    return [Expired(entry) for entry in expired]


def release(
    tables: Tables,
    pool: Pool,
    work: Work,
    target: Target,
    sent_at: float,
    lost: bool,
    now: float,
) -> None:
    """Release the slot of an ended attempt; ``lost`` says that the target failed it."""
    estimates.change_in_flight(target, -1, now)
    target.in_flight_by_class[estimates.length_class(work.expected_tokens)] -= 1
    target.work_tokens = max(0.0, target.work_tokens - work.expected_tokens)
    pool.free += 1
    pool.free_over_share += 1
    pool.in_flight -= 1
    pool.released.count += 1
    pool.freed_targets.add(target.name)
    if lost:
        breakers.on_lost(target, now)
        return
    breakers.on_success(target, sent_at, now)
    pool.hold_samples += 1
    if pool.hold_samples <= MIN_HOLD_SAMPLES and pool.busy_slot_s:
        # The first requests to end are the shortest, so the slot time of running
        # requests counts as well.
        pool.hold_s = pool.busy_slot_s / pool.hold_samples
        return
    gain = max(HOLD_GAIN, 1.0 / pool.hold_samples)
    pool.hold_s += gain * (now - sent_at - pool.hold_s)
