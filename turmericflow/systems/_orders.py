"""Placement of models on engines, adapted slowly to demand."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from turmericflow.profile import Profile, ProfileKind
from turmericflow.tables import PendingOrder, Tables, Target, TargetKind

ORDER_TIMEOUT_S = 15.0
MIN_MOVE_INTERVAL_S = 30.0
MIN_PRESSURE_RATIO = 2.0
ROUTED_HOLD_S = 5.0


@dataclass(slots=True, frozen=True)
class Order:
    """The models that one engine must have loaded, and whether any is new there."""

    target: Target
    models: frozenset[str]
    loads_weights: bool


def spec_of(profile: Profile) -> str:
    """Return what a profile needs loaded, as ``model/adapter/version``."""
    return f"{profile.model}/{profile.adapter}/{profile.version}"


def _specs(profiles: dict[str, Profile], service: str) -> set[str]:
    return {
        spec_of(profile)
        for profile in profiles.values()
        if profile.service == service
        and profile.kind is ProfileKind.GENERATION
        and not profile.retired
    }


def _engines(tables: Tables, service: str, now: float) -> list[Target]:
    """Return the usable engines of this data centre that report loaded models."""
    return [
        target
        for target in tables.targets.rows.values()
        if target.kind is TargetKind.ENGINE
        and target.service == service
        and target.data_centre == tables.data_centre
        and target.models
        and not target.leaving
        and target.suspect_until <= now
    ]


def _with_spec(engines: list[Target], spec: str) -> list[Target]:
    return [target for target in engines if spec in target.models]


def _load(target: Target) -> int:
    return target.load.running + target.load.queued


def drop_settled(tables: Tables, now: float) -> None:
    """Drop pending orders that engines have carried out, or that timed out."""
    rows = tables.targets.rows
    for name, pending in list(tables.orders.pending.items()):
        target = rows.get(name)
        done = target is not None and target.models == pending.models
        if target is None or done or now - pending.sent_at >= ORDER_TIMEOUT_S:
            del tables.orders.pending[name]


def record_sent(tables: Tables, order: Order, now: float) -> None:
    """Record that an order was sent to its engine."""
    pending = PendingOrder(order.models, now)
    tables.orders.pending[order.target.name] = pending


def _is_spare(engine: Target, engines: list[Target], needed: set[str]) -> bool:
    """Return whether other engines have all needed specs that this engine has."""
    others = [target for target in engines if target is not engine]
    return all(_with_spec(others, spec) for spec in engine.models & needed)


def _load_missing(
    spec: str, engines: list[Target], declared: set[str], needed: set[str]
) -> Order:
    """Return the order that loads a missing spec on the engine where it costs least."""

    def cost(engine: Target) -> tuple:
        spare = _is_spare(engine, engines, needed)
        return (not spare, len(engine.models & declared), _load(engine), engine.name)

    engine = min(engines, key=cost)
    keep = frozenset() if _is_spare(engine, engines, needed) else engine.models & needed
    return Order(engine, frozenset(keep | {spec}), True)


def _replace_obsolete(
    engines: list[Target], declared: set[str], needed: set[str]
) -> Order | None:
    """Return an order that replaces obsolete specs on an engine by declared ones."""
    for engine in sorted(engines, key=lambda each: (_load(each), each.name)):
        if not engine.models - needed and engine.models & declared:
            continue
        if engine.models <= declared or not _is_spare(
            engine, engines, needed - declared
        ):
            continue
        remaining = engine.models & declared
        if remaining:
            return Order(engine, frozenset(remaining), False)
        spec = max(
            sorted(declared),
            key=lambda each: _pressure(each, engines),
        )
        return Order(engine, frozenset({spec}), True)
    return None


def _pressure(spec: str, engines: list[Target]) -> float:
    """Return the mean number of requests on the engines that have a spec loaded."""
    holders = _with_spec(engines, spec)
    return sum(_load(each) for each in holders) / max(1, len(holders))


def _follow_demand(
    tables: Tables, service: str, engines: list[Target], declared: set[str], now: float
) -> Order | None:
    """Return an order that moves an engine from a less loaded spec to a queued one."""
    if now - tables.orders.moved_at.get(service, float("-inf")) < MIN_MOVE_INTERVAL_S:
        return None
    queued = {
        spec: sum(each.load.queued for each in _with_spec(engines, spec))
        for spec in declared
    }
    busy = max(sorted(declared), key=lambda spec: _pressure(spec, engines))
    if not queued[busy]:
        return None
    for engine in sorted(engines, key=lambda each: (_load(each), each.name)):
        if busy in engine.models or not _is_spare(engine, engines, declared):
            continue
        own = max(_pressure(spec, engines) for spec in engine.models & declared)
        if _pressure(busy, engines) >= MIN_PRESSURE_RATIO * max(own, 1.0):
            tables.orders.moved_at[service] = now
            return Order(engine, frozenset({busy}), True)
    return None


def _in_use(tables: Tables, service: str, now: float) -> set[str]:
    """Return the specs that this host routes to, or that others may still route to."""
    routed_at = tables.orders.routed_at.setdefault(service, {})
    routed_at.update(dict.fromkeys(_specs(tables.config.profiles, service), now))
    for spec in [each for each, at in routed_at.items() if now - at >= ROUTED_HOLD_S]:
        del routed_at[spec]
    return set(routed_at)


def _plan_service(tables: Tables, service: str, now: float) -> Order | None:
    engines = _engines(tables, service, now)
    declared = _specs(tables.config.declared, service)
    if not engines or not declared:
        return None
    if any(each.name in tables.orders.pending for each in engines):
        return None
    needed = declared | _in_use(tables, service, now)
    for spec in sorted(declared):
        if not _with_spec(engines, spec):
            return _load_missing(spec, engines, declared, needed)
    order = _replace_obsolete(engines, declared, needed)
    return order or _follow_demand(tables, service, engines, declared, now)


def plan(tables: Tables, now: float) -> list[Order]:
    """Return the orders to send now, at most one for each service.

    A service gets its next order only after its engines report the result of the
    last one, so that a new lease holder does not flood the engines with orders.  The
    spec of every profile stays loaded on some engine at all times.
    """
    drop_settled(tables, now)
    services = {
        profile.service
        for profile in tables.config.declared.values()
        if profile.kind is ProfileKind.GENERATION
    }
    found = [_plan_service(tables, service, now) for service in sorted(services)]
    return [order for order in found if order is not None]


def effective_profile(
    declared: Profile, current: Profile | None, tables: Tables
) -> Profile:
    """Return a profile with the model, adapter and version to route to now.

    After a change of these, the old ones are used until as many engines report
    the new spec as the old, so that the profile always has a target.
    """
    if current is None or declared.kind is not ProfileKind.GENERATION:
        return declared
    old, new = spec_of(current), spec_of(declared)
    if old == new or current.service != declared.service:
        return declared
    engines = [
        target
        for target in tables.targets.rows.values()
        if target.service == declared.service and not target.leaving
    ]
    has_old, has_new = len(_with_spec(engines, old)), len(_with_spec(engines, new))
    if has_new >= has_old or has_old == 0:
        return declared
    return dataclasses.replace(
        declared,
        model=current.model,
        adapter=current.adapter,
        version=current.version,
    )
