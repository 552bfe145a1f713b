"""Choice of a target for a request."""

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

SAMPLE = 5
WARM_SAMPLE = 3


def matches(target: Target, profile: Profile) -> bool:
    """Return whether a target can run a profile's work at all."""
    if target.service != profile.service:
        return False
    if profile.kind is ProfileKind.CALL:
        return target.kind is TargetKind.SERVICE
    if target.kind is not TargetKind.ENGINE:
        return False
    return not target.models or profile.loaded in target.models


def is_leaving(tables: Tables, target: Target) -> bool:
    """Return whether a target must receive no new work."""
    mark = tables.config.marks.get(target.name)
    return target.leaving or (mark is not None and mark.leaving)


def available(tables: Tables, target: Target, now: float) -> bool:
    """Return whether a target may be given any work now."""
    if target.suspect_until > now or is_leaving(tables, target):
        return False
    return breakers.allows(target, now)


def usable(tables: Tables, target: Target, work: Work, now: float) -> bool:
    """Return whether a target may be given some work now."""
    if target.name in work.exclude or not matches(target, work.profile):
        return False
    return available(tables, target, now)


def candidates(
    targets: TargetTable, profile: Profile, now: float, exclude: frozenset[str]
) -> list[Target]:
    """Return the targets that can run a profile's work now."""
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
    """Return whether a target's places are this host's to fill beyond shares."""
    if pool.assigned_targets is None or target.name in pool.assigned_targets:
        return True
    return target.name in pool.freed_targets


def _free_slots(target: Target, pool: Pool, work: Work, now: float) -> int:
    """Return how many places of a target some work might take."""
    if work.keep_free and not may_exceed_share_on(pool, target):
        return 0
    kept = 0 if work.resume else pool.resume_reserve + work.keep_free
    return estimates.slots_of(target) - kept - estimates.occupied(target, now)


def _with_free_slots(
    tables: Tables, pool: Pool, targets: list[Target], work: Work, now: float
) -> list[Target]:
    """Return the targets that have room, without those on their last place.

    Another router may have taken the last place already; so it is only used
    where no target has more.
    """
    rooms = [
        (each, _free_slots(each, pool, work, now))
        for each in targets
        if usable(tables, each, work, now)
    ]
    least = 1 if all(room <= 1 for _, room in rooms) else 2
    return [each for each, room in rooms if room >= least]


def sample(
    tables: Tables, pool: Pool, work: Work, now: float, rng: Random
) -> list[Target]:
    """Return a few targets with room, among them those that hold the prefix.

    The number looked at does not grow with the fleet unless none of them can
    take the work.
    """
    rows = tables.targets.rows
    if len(pool.targets) <= SAMPLE + WARM_SAMPLE:
        return _with_free_slots(tables, pool, pool.targets, work, now)
    names = prefixes.warm_targets(tables.load, work.blocks, WARM_SAMPLE)
    warm = [rows[name] for name in names if name in rows]
    picked = {each.name: each for each in warm}
    picked.update((each.name, each) for each in rng.sample(pool.targets, SAMPLE))
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
    """Choose a target that has room for some work.

    Returns
    -------
    Target or None
        None if no target can take it now.
    """
    found = sample(tables, pool, work, now, rng)
    if not found:
        return None
    return policies.choose(policy, tables.load, found, work, now, rng)


def profile_for_restart(
    tables: Tables, profile: Profile, now: float, exclude: frozenset[str]
) -> Profile:
    """Return the profile under which a request starts over.

    It goes on under the version that it was accepted under.  Only if no target
    offers that any more, and one offers the version declared now, it goes on
    under the latter.
    """
    declared = tables.config.profiles.get(profile.name)
    if declared is None or declared.loaded == profile.loaded:
        return profile
    if candidates(tables.targets, profile, now, exclude):
        return profile
    newer = profile.with_loaded(declared.loaded)
    return newer if candidates(tables.targets, newer, now, exclude) else profile
