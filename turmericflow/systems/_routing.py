"""Routing: the choice of a target for a request."""

from __future__ import annotations

from random import Random

from turmericflow.profile import Profile, ProfileKind
from turmericflow.systems import (
    _breakers as breakers,
    _estimates as estimates,
    _policies as policies,
    _prefixes as prefixes,
)
from turmericflow.tables import Pool, Tables, Target, TargetKind, TargetTable, Work

SAMPLE_TARGETS = 5
WARM_TARGETS = 3


def matches(target: Target, profile: Profile) -> bool:
    """Return whether a target has the service and the model of a profile.

    An engine that has reported no models yet is taken to have the model.
    """
    if target.service != profile.service:
        return False
    if profile.kind is ProfileKind.CALL:
        return target.kind is TargetKind.SERVICE
    if target.kind is not TargetKind.ENGINE:
        return False
    return not target.models or profile.model_spec in target.models


def is_leaving(tables: Tables, target: Target) -> bool:
    """Return whether a target is leaving, by the host list or by an operator's mark."""
    mark = tables.config.marks.get(target.name)
    return target.leaving or (mark is not None and mark.leaving)


def available(tables: Tables, target: Target, now: float) -> bool:
    """Return whether a target may receive new work now."""
    if target.suspect_until > now or is_leaving(tables, target):
        return False
    return breakers.allows(target, now)


def usable(tables: Tables, target: Target, work: Work, now: float) -> bool:
    """Return whether a target may run some work now."""
    if target.name in work.exclude or not matches(target, work.profile):
        return False
    return available(tables, target, now)


def candidates(
    targets: TargetTable, profile: Profile, now: float, exclude: frozenset[str]
) -> list[Target]:
    """Return the targets that can run work of a profile now.

    Operators' marks are not considered.
    """
    return [
        target
        for target in targets.rows.values()
        if target.name not in exclude
        and not target.leaving
        and target.suspect_until <= now
        and breakers.allows(target, now)
        and matches(target, profile)
    ]


def may_exceed_share_on(pool: Pool, target: Target) -> bool:
    """Return whether work beyond its customer's share may start on a target."""
    if pool.assigned_targets is None or target.name in pool.assigned_targets:
        return True
    return target.name in pool.freed_targets


def _free_slots(target: Target, pool: Pool, work: Work, now: float) -> int:
    """Return how many slots of a target are free for some work."""
    if work.keep_free and not may_exceed_share_on(pool, target):
        return 0
    reserved = 0 if work.resume else pool.resume_reserve + work.keep_free
    return (
        estimates.slots_of(target)
        - reserved
        - estimates.estimated_in_flight(target, now)
    )


def _with_free_slots(
    tables: Tables, pool: Pool, targets: list[Target], work: Work, now: float
) -> list[Target]:
    """Return the targets with at least two free slots, or with one if none has two.

    Another router may have taken the last slot already, so it is used only if
    no target has more free slots.
    """
    free_slots = [
        (each, _free_slots(each, pool, work, now))
        for each in targets
        if usable(tables, each, work, now)
    ]
    min_free = 1 if all(free <= 1 for _, free in free_slots) else 2
    return [each for each, free in free_slots if free >= min_free]


def sample(
    tables: Tables, pool: Pool, work: Work, now: float, rng: Random
) -> list[Target]:
    """Return a sample of targets with free slots, with those that hold the prefix.

    The number of targets examined does not grow with the fleet, unless no
    target of the sample can run the work.
    """
    rows = tables.targets.rows
    if len(pool.targets) <= SAMPLE_TARGETS + WARM_TARGETS:
        return _with_free_slots(tables, pool, pool.targets, work, now)
    names = prefixes.warm_targets(tables.load, work.blocks, WARM_TARGETS)
    warm = [rows[name] for name in names if name in rows]
    picked = {each.name: each for each in warm}
    picked.update(
        (each.name, each) for each in rng.sample(pool.targets, SAMPLE_TARGETS)
    )
    found = _with_free_slots(tables, pool, list(picked.values()), work, now)
    return found or _with_free_slots(tables, pool, pool.targets, work, now)


def choose(
    tables: Tables,
    pool: Pool,
    policy: policies.Policy,
    work: Work,
    now: float,
    rng: Random,
) -> Target | None:
    """Choose a target with a free slot for some work.

    Returns
    -------
    Target or None
        None if no target can run the work now.
    """
    found = sample(tables, pool, work, now, rng)
    if not found:
        return None
    return policies.choose(policy, tables.load, found, work, now, rng)


def profile_for_restart(
    tables: Tables, profile: Profile, now: float, exclude: frozenset[str]
) -> Profile:
    """Return the profile with which a request is started again.

    The request keeps the model version with which it was accepted.  If no target
    offers that version any more and some target offers the version that is
    declared now, the request uses the declared version.
    """
    declared = tables.config.profiles.get(profile.name)
    if declared is None or declared.model_spec == profile.model_spec:
        return profile
    if candidates(tables.targets, profile, now, exclude):
        return profile
    newer = profile.with_model_spec(declared.model_spec)
    return newer if candidates(tables.targets, newer, now, exclude) else profile
