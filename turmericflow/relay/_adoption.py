"""Engines that came back under another name while no host can read the store.

Their new entries cannot be read, but the answer at the old address names the new
life, and the engine's own report says what it serves.  It is used until the store
answers again and has had time to list it.
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
    """Return whether no live host can read the store."""
    lost = bool(tables.hosts.unanswered_kinds)
    return lost and not membership.peer_reads_store(tables, now)


def _fits(service: Service, report: EngineReport) -> bool:
    engine = service.engine
    return (
        engine is not None
        and engine.memory_tokens == report.memory_tokens
        and set(engine.models) == set(report.models)
    )


def engines_to_probe(tables: Tables, now: float) -> list[TargetEntry]:
    """Return the lost engines at whose addresses this host is to look.

    One host looks: the live one that comes first.
    """
    if not store_unreachable(tables, now) or not membership.is_first_by_name(
        tables, now
    ):
        return []
    rows = tables.targets.rows.values()
    used = {row.entry.address for row in rows if placement.usable(row)}
    found = []
    for row in rows:
        service = tables.deployment.services.get(row.entry.service)
        if service is None or service.engine is None or row.entry.leaving:
            continue
        if row.failures > 0 or (row.gone and row.entry.address not in used):
            found.append(row.entry)
    return found


def entry_from_report(
    tables: Tables, earlier: TargetEntry, report: EngineReport
) -> TargetEntry | None:
    """Return the entry of an engine found at the address of an earlier one.

    None if its report fits no service, or several, or another than the earlier
    one's: an address may have gone to another service.
    """
    services = tables.deployment.services.values()
    found = [service.name for service in services if _fits(service, report)]
    if found != [earlier.service] or report.id in ("", earlier.id):
        return None
    return TargetEntry(
        id=report.id,
        born_ms=report.born_ms,
        service=earlier.service,
        address=earlier.address,
        data_centre=earlier.data_centre,
        slots=earlier.slots,
    )


def _add(tables: Tables, entry: TargetEntry) -> None:
    discovery.put(tables.targets, entry)
    tables.targets.lapsed[entry.key] = math.inf
    tables.targets.adopted[entry.key] = entry


def adopt(tables: Tables, entry: TargetEntry, now: float) -> None:
    """Use an engine without an entry in the store, found by this host."""
    _add(tables, entry)
    tables.targets.adopted_here.append((now, entry))


def adopt_from_peer(tables: Tables, entries: list[TargetEntry], now: float) -> None:
    """Use the engines that another host has adopted."""
    for entry in entries:
        if entry.key not in tables.targets.rows and store_unreachable(tables, now):
            _add(tables, entry)


def start_expiry(tables: Tables, until: float) -> None:
    """Take in that the store answers: what it does not list by a time is gone."""
    targets = tables.targets
    for key in targets.adopted:
        if key in targets.lapsed:
            targets.lapsed[key] = until
    targets.adopted.clear()
