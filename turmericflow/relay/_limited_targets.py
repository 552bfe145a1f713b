"""Choice among targets that name limits, and what is refused when all are used."""

from __future__ import annotations

from dataclasses import replace

from turmericflow.relay import _membership as membership
from turmericflow.relay._placement import Demand, candidates, usable
from turmericflow.relay._rate_limits import TargetLimit, share_per_s
from turmericflow.relay._tables import Tables
from turmericflow.relay._target_tables import Target

SHARE_MAX_AGE_S = 0.1  # a share is not computed anew for each request
RESUMED_RANK = -1  # before all priorities


def _find(tables: Tables, target: Target, now: float) -> TargetLimit | None:
    """Return the limit in force for a target, with this host's current share."""
    key = target.entry.key
    limit = tables.rate_limits.find(key)
    if limit is not None and now - limit.shared_at >= SHARE_MAX_AGE_S:
        hosts = tables.hosts
        live = [row.entry.name for row in membership.live_peers(tables, now)]
        live.append(hosts.own.name)
        known = 1 + len(hosts.rows)
        share = share_per_s(key, limit.rate, hosts.own.name, live, known)
        limit.set_share(share, now)
    return limit


def constrain(tables: Tables, demand: Demand, now: float) -> Demand:
    """Return a demand that excludes the targets whose limit is used up.

    The other targets that name a limit are marked in it, so that they cost more.
    """
    if not tables.rate_limits:
        return demand
    limited, used_up = set(), set()
    for target in tables.targets.by_service.get(demand.service, ()):
        limit = _find(tables, target, now)
        if limit is not None:
            found = limited if limit.has_token(now) else used_up
            found.add(target.entry.key)
    return replace(
        demand,
        excluded_targets=demand.excluded_targets | used_up,
        limited_targets=frozenset(limited),
    )


def has_token(tables: Tables, target: Target, now: float) -> bool:
    """Return whether a target's limit allows a request of this host now."""
    limit = _find(tables, target, now)
    return limit is None or limit.has_token(now)


def take_token(tables: Tables, target: Target, now: float) -> bool:
    """Count a request that is sent; return whether its target names a limit."""
    limit = _find(tables, target, now)
    if limit is None:
        return False
    limit.take_token(now)
    return True


def only_limited_left(tables: Tables, demand: Demand) -> bool:
    """Return whether there are candidates for a demand, and all name a limit."""
    if not tables.rate_limits:
        return False
    found = candidates(tables.targets, demand)
    find = tables.rate_limits.find
    return bool(found) and all(find(each.entry.key) is not None for each in found)


def total_share(tables: Tables, service: str, now: float) -> float:
    """Return this host's shares of all limits of a service, in requests per second."""
    targets = tables.targets.by_service.get(service, ())
    limits = [_find(tables, target, now) for target in targets if usable(target)]
    return sum(limit.share_per_s for limit in limits if limit is not None)
