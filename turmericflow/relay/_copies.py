"""Copies of running streams' memory that were lost, to be made again elsewhere."""

from __future__ import annotations

from random import Random

from turmericflow.relay import _membership as membership, _placement as placement
from turmericflow.relay._tables import Run, Tables
from turmericflow.relay._target_tables import Target

DONE_SHARE = 0.85  # of its largest output: a run beyond this ends soon


def _is_lost(tables: Tables, holder: Target) -> bool:
    row = tables.targets.rows.get(holder.entry.key)
    return row is not holder or not placement.usable(holder) or holder.failures > 0


def scan(tables: Tables) -> list[Run]:
    """Return the runs whose copy is lost, or its holder is to leave.

    A run that has had no copy from its start is not among them.
    """
    found = []
    for run in tables.runs:
        if run.backup is None or run.copying or not run.events:
            continue
        service = tables.deployment.services.get(run.target.entry.service)
        if service is None or service.engine is None or run.fault is not None:
            continue
        made = run.events * service.engine.tokens_per_event
        if made < DONE_SHARE * run.call.output_tokens and _is_lost(tables, run.backup):
            found.append(run)
    return found


def choose_holder(tables: Tables, run: Run, now: float, rng: Random) -> Target | None:
    """Return the engine for a new copy of a run's memory, in another data centre."""
    entry = run.target.entry
    engine = tables.deployment.services[entry.service].engine
    demand = placement.Demand(
        service=entry.service,
        data_centre=entry.data_centre,
        avoid=frozenset() if run.backup is None else frozenset([run.backup.entry.key]),
        not_in=entry.data_centre,
        tokens=run.memory_tokens,
        capacity=engine.memory_tokens,
    )
    hosts = membership.count_live_hosts(tables, now)
    return placement.choose_backup(tables.targets, demand, now, rng, hosts)
