"""Adopts engines that restarted under a new name while the store is unreachable.

The new store entry of such an engine cannot be read, but its answer at the old
address names the new incarnation, and its own report says what it serves.  An
adopted engine is used until the store is reachable again and has had time to list
the engine.
"""

from __future__ import annotations

import math

from turmericflow.relay import (
    _discovery as discovery,
    _membership as membership,
    _placement as placement,
)
from turmericflow.relay._model import EngineReport, Service, TargetEntry
from turmericflow.relay._tables import Tables


def store_unreachable(tables: Tables, now: float) -> bool:
    """Return whether no live host can read the store, this host included."""
    unanswered = bool(tables.hosts.unanswered_kinds)
    return unanswered and not membership.peer_reads_store(tables, now)


def _matches(service: Service, report: EngineReport) -> bool:
    engine = service.engine
    return (
        engine is not None
        and engine.memory_tokens == report.memory_tokens
        and set(engine.models) == set(report.models)
    )


def engines_to_probe(tables: Tables, now: float) -> list[TargetEntry]:
    """Return the lost engines whose addresses this host should probe.

    Only the live host whose name sorts first probes; the others get an empty list.
    """
    if not store_unreachable(tables, now) or not membership.is_first_by_name(
        tables, now
    ):
        return []
    rows = tables.targets.rows.values()
    used_addresses = {row.entry.address for row in rows if placement.usable(row)}
    found = []
    for row in rows:
        service = tables.deployment.services.get(row.entry.service)
        if service is None or service.engine is None or row.leaving:
            continue
        if row.failures > 0 or (row.gone and row.entry.address not in used_addresses):
            found.append(row.entry)
    return found


def entry_from_report(
    tables: Tables, earlier: TargetEntry, report: EngineReport
) -> TargetEntry | None:
    """Return the entry of the engine that replaced an earlier one at its address.

    Returns
    -------
    TargetEntry or None
        None if the engine's report is without an id, has the id of the earlier
        engine, or matches any other set of services than just that engine's: the
        address may have been reassigned to another service.
    """
    services = tables.deployment.services.values()
    matching = [service.name for service in services if _matches(service, report)]
    if matching != [earlier.service] or report.id in ("", earlier.id):
        return None
    return TargetEntry(
        id=report.id,
        born_ms=report.born_ms,
        service=earlier.service,
        address=earlier.address,
        data_centre=earlier.data_centre,
        slots=earlier.slots,
    )


def _add(tables: Tables, entry: TargetEntry, now: float) -> None:
    discovery.put(tables.targets, entry, now)
    tables.targets.lapsed[entry.key] = math.inf
    tables.targets.adopted[entry.key] = entry


def adopt(tables: Tables, entry: TargetEntry, now: float) -> None:
    """Add an engine that this host found without reading its store entry."""
    _add(tables, entry, now)
    tables.targets.own_adoptions.append((now, entry))


def adopt_from_peer(tables: Tables, entries: list[TargetEntry], now: float) -> None:
    """Add the unknown engines that another host has adopted.

    Nothing is added while this host or a live peer can read the store.
    """
    for entry in entries:
        if entry.key not in tables.targets.rows and store_unreachable(tables, now):
            _add(tables, entry, now)


def start_expiry(tables: Tables, until: float) -> None:
    """Expire adopted engines at ``until`` unless the store lists them by then."""
    targets = tables.targets
    for key in targets.adopted:
        if key in targets.lapsed:
            targets.lapsed[key] = until
    targets.adopted.clear()
