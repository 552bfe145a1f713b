"""Choice of a target for a request."""

from __future__ import annotations

from random import Random

from turmericflow.profile import Profile, ProfileKind
from turmericflow.tables import Target, TargetKind, TargetTable


def _matches(target: Target, profile: Profile, now: float) -> bool:
    if target.service != profile.service or target.leaving:
        return False
    if target.suspect_until > now:
        return False
    if profile.kind is ProfileKind.CALL:
        return target.kind is TargetKind.SERVICE
    if target.kind is not TargetKind.ENGINE:
        return False
    wanted = f"{profile.model}/{profile.adapter}/{profile.version}"
    return not target.models or wanted in target.models


def candidates(
    targets: TargetTable, profile: Profile, now: float, exclude: frozenset[str]
) -> list[Target]:
    """Return the targets that can run a profile's work now."""
    return [
        target
        for target in targets.rows.values()
        if target.name not in exclude and _matches(target, profile, now)
    ]


def choose(
    targets: TargetTable,
    profile: Profile,
    now: float,
    rng: Random,
    exclude: frozenset[str] = frozenset(),
) -> Target | None:
    """Choose the target with the fewest requests of this host.

    Returns
    -------
    Target or None
        None if no target matches.
    """
    found = candidates(targets, profile, now, exclude)
    if not found:
        return None
    return min(found, key=lambda target: (target.in_flight, rng.random()))
