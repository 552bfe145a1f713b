"""KV cache copies of running streams: replacement of lost ones, and late ones."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from turmericflow.relay import (
    _limited_targets as limited_targets,
    _membership as membership,
    _placement as placement,
)
from turmericflow.relay._stream_versions import version_of
from turmericflow.relay._tables import Run, Tables
from turmericflow.relay._target_tables import Target

NEARLY_DONE_SHARE = 0.85  # of the maximum output; a run beyond it ends soon
# Time between two tries to copy a run that has no copy. Streams last some seconds, so
# that memory for copies may become free within one.
COPY_RETRY_S = 1.0


def _is_lost(tables: Tables, holder: Target) -> bool:
    row = tables.targets.rows.get(holder.entry.key)
    return row is not holder or not placement.usable(holder) or holder.failures > 0


def find_lost_copies(tables: Tables) -> list[Run]:
    """Return the runs whose KV cache copy is lost or at a leaving engine.

    Not included are cancelled runs, runs without a copy, before their first event or
    near the end of their output, and runs whose copy is being replaced.
    """
    return [
        run
        for run in tables.runs
        if run.backup is not None
        and _may_copy(tables, run)
        and _is_lost(tables, run.backup)
    ]


def find_uncopied(tables: Tables, now: float) -> list[Run]:
    """Return the runs without a KV cache copy that are to get one now.

    A stream that is sent while memory is scarce, as after a crash of many engines, has
    none. If its engine is lost too, its whole prompt is read again and its caller waits
    for longer than a pause may last.
    """
    found = []
    for run in tables.runs:
        if run.backup is not None or now < run.copy_due_at or not run.route.resumable:
            continue
        if not _may_copy(tables, run):
            continue
        if tables.deployment.services[run.target.entry.service].engine.keeps_copies:
            found.append(run)
    return found


def _may_copy(tables: Tables, run: Run) -> bool:
    if run.copying or not run.events or run.abort_reason is not None:
        return False
    service = tables.deployment.services.get(run.target.entry.service)
    if service is None or service.engine is None:
        return False
    sent_tokens = run.events * service.engine.tokens_per_event
    return sent_tokens < NEARLY_DONE_SHARE * run.call.output_tokens


def choose_holder(
    tables: Tables,
    run: Run,
    now: float,
    rng: Random,
    constrain: Callable[[placement.Demand], placement.Demand | None] | None = None,
) -> Target | None:
    """Return an engine in another data centre for a new KV cache copy, or None.

    It has the version of the run's engine, as no other can use the copy, and is not
    the engine that held a lost copy. `constrain` may exclude further engines, or
    return None if there is no memory for copies.
    """
    entry = run.target.entry
    service = tables.deployment.services.get(entry.service)
    if service is None or service.engine is None:
        return None
    demand = placement.Demand(
        service=entry.service,
        data_centre=entry.data_centre,
        excluded_targets=(
            frozenset() if run.backup is None else frozenset([run.backup.entry.key])
        ),
        excluded_data_centre=entry.data_centre,
        tokens=run.memory_tokens,
        capacity=service.engine.memory_tokens,
        version=version_of(entry),
    )
    demand = limited_targets.constrain(tables, demand, now)
    if constrain is not None:
        demand = constrain(demand)
        if demand is None:
            return None
    hosts = membership.count_live_hosts(tables, now)
    # A holder that counts as lost would have its copy replaced at once, and again.
    rows = tables.targets.by_service.get(entry.service, ())
    lost = {row.entry.key for row in rows if _is_lost(tables, row)}
    demand = replace(demand, excluded_targets=demand.excluded_targets | lost)
    return placement.choose_backup(tables.targets, demand, now, rng, hosts)
