"""What each engine is to have loaded, changed slowly against demand."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

from turmericflow.profile import Profile, ProfileKind
from turmericflow.tables import PendingOrder, Tables, Target, TargetKind

ORDER_TIMEOUT_S = 15.0
MIN_MOVE_INTERVAL_S = 30.0
BUSY_RATIO = 2.0
ROUTED_HOLD_S = 5.0


@dataclass(slots=True, frozen=True)
class Order:
    """The wanted end for one engine: what it is to have loaded."""

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
    """Return the engines of this data centre that report what they have."""
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


def _holders(engines: list[Target], spec: str) -> list[Target]:
    return [target for target in engines if spec in target.models]


def _load(target: Target) -> int:
    return target.load.running + target.load.queued


def drop_settled(tables: Tables, now: float) -> None:
    """Drop the orders that are obeyed, or too old to wait for."""
    rows = tables.targets.rows
    for name, pending in list(tables.orders.pending.items()):
        target = rows.get(name)
        obeyed = target is not None and target.models == pending.models
        if target is None or obeyed or now - pending.sent_at >= ORDER_TIMEOUT_S:
            del tables.orders.pending[name]


def record_sent(tables: Tables, order: Order, now: float) -> None:
    """Record that an order was sent."""
    pending = PendingOrder(order.models, now)
    tables.orders.pending[order.target.name] = pending


def _spare(engine: Target, engines: list[Target], needed: set[str]) -> bool:
    """Whether every needed spec stays loaded elsewhere without this engine."""
    others = [target for target in engines if target is not engine]
    return all(_holders(others, spec) for spec in engine.models & needed)


def _give_missing(
    spec: str, engines: list[Target], declared: set[str], needed: set[str]
) -> Order:
    """Load a spec that no engine has, where it costs least."""

    def cost(engine: Target) -> tuple:
        spare = _spare(engine, engines, needed)
        return (not spare, len(engine.models & declared), _load(engine), engine.name)

    engine = min(engines, key=cost)
    keep = frozenset() if _spare(engine, engines, needed) else engine.models & needed
    return Order(engine, frozenset(keep | {spec}), True)


def _replace_obsolete(
    engines: list[Target], declared: set[str], needed: set[str]
) -> Order | None:
    """Give an engine that holds something obsolete what is declared instead."""
    for engine in sorted(engines, key=lambda each: (_load(each), each.name)):
        if not engine.models - needed and engine.models & declared:
            continue
        if engine.models <= declared or not _spare(engine, engines, needed - declared):
            continue
        kept = engine.models & declared
        if kept:
            return Order(engine, frozenset(kept), False)
        spec = max(
            sorted(declared),
            key=lambda each: _pressure(each, engines),
        )
        return Order(engine, frozenset({spec}), True)
    return None


def _pressure(spec: str, engines: list[Target]) -> float:
    holders = _holders(engines, spec)
    return sum(_load(each) for each in holders) / max(1, len(holders))


def _follow_demand(
    tables: Tables, service: str, engines: list[Target], declared: set[str], now: float
) -> Order | None:
    """Move an engine from a spec with little work to one that queues."""
    if now - tables.orders.moved_at.get(service, float("-inf")) < MIN_MOVE_INTERVAL_S:
        return None
    queued = {
        spec: sum(each.load.queued for each in _holders(engines, spec))
        for spec in declared
    }
    busy = max(sorted(declared), key=lambda spec: _pressure(spec, engines))
    if not queued[busy]:
        return None
    for engine in sorted(engines, key=lambda each: (_load(each), each.name)):
        if busy in engine.models or not _spare(engine, engines, declared):
            continue
        own = max(_pressure(spec, engines) for spec in engine.models & declared)
        if _pressure(busy, engines) >= BUSY_RATIO * max(own, 1.0):
            tables.orders.moved_at[service] = now
            return Order(engine, frozenset({busy}), True)
    return None


def _in_use(tables: Tables, service: str, now: float) -> set[str]:
    """Return what this host routes to, or others may still route to."""
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
        if not _holders(engines, spec):
            return _give_missing(spec, engines, declared, needed)
    order = _replace_obsolete(engines, declared, needed)
    return order or _follow_demand(tables, service, engines, declared, now)


def plan(tables: Tables, now: float) -> list[Order]:
    """Return the orders to give now, at most one for each service.

    A service gets its next order only when the last one shows in the reports,
    so that a new holder of the lease does not flood the engines.  What a
    profile needs stays loaded on some engine throughout.
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
    """Return a profile as it is to be routed now.

    A profile whose model, adapter or version has changed goes on with what it
    had until as many engines report the new as the old, so that it never
    stands without a target.
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
    has_old, has_new = len(_holders(engines, old)), len(_holders(engines, new))
    if has_new >= has_old or has_old == 0:
        return declared
    return dataclasses.replace(
        declared,
        model=current.model,
        adapter=current.adapter,
        version=current.version,
    )
