"""Failure detection for streams, from the silence of all streams of a target."""

from __future__ import annotations

import enum
from collections.abc import Set
from dataclasses import dataclass, replace
from random import Random

from turmericflow.relay import (
    _limited_targets as limited_targets,
    _membership as membership,
    _placement as placement,
)
from turmericflow.relay._call import Call, KvCopy
from turmericflow.relay._tables import Run, Tables
from turmericflow.relay._target_tables import Target

MIN_SILENCE_S = 0.25  # several events of a fast stream, and one prefill
SILENT_EVENT_GAPS = 6.0  # average gaps without an event
TARGET_ALIVE_WITHIN_S = 0.1  # since the last event of any stream of the target
LIVE_TARGET_SILENCE_S = 0.45  # if other streams of the target are active
NO_COPY_SILENCE_S = 1.0  # resuming without a copy repeats the whole prefill
# After an attempt ended for silence: two silent targets suggest a fault of the path.
SECOND_SILENCE_S = 2.0
MAX_DESTINATION_SILENCE_SHARE = 0.5  # of the silence after which it is suspected
PREFILL_ALLOWANCE_S = 0.15
FIRST_EVENT_DUE_FACTOR = 1.5
FIRST_EVENT_DUE_MARGIN_S = 0.4
MAX_FIRST_EVENT_OVERDUE_S = 3.0  # for a target that answers probes but sends no event
PROBE_INTERVAL_S = 0.3
MIN_PROBE_SILENCE_S = 0.2
EVENT_GAP_EWMA_WEIGHT = 0.1
DEFAULT_PREFILL_TOKENS_PER_S = 8000.0  # until a prefill has been measured
PREFILL_RATE_EWMA_WEIGHT = 0.2
MAX_PREFILL_RATE_RATIO = 3.0  # limits the effect of cached or queued prompts
FIRST_EVENT_OVERHEAD_S = 0.15  # connection set-up and decoding of the first tokens


class Action(enum.StrEnum):
    """Action to take on a silent stream.

    ``END`` ends the attempt if its stream can resume elsewhere at once.
    """

    PROBE = "probe"
    END = "end"


@dataclass(slots=True, frozen=True)
class SilentStream:
    """A silent stream, the action to take, and how long it has been silent."""

    run: Run
    action: Action
    silent_s: float


def first_event_due_s(tables: Tables, run: Run, prefill_tokens_ahead: int) -> float:
    """Return the expected time to a run's first event, in seconds.

    Parameters
    ----------
    tables
        The tables.
    run
        The run.
    prefill_tokens_ahead
        Prompt tokens that its target prefills first.
    """
    service = run.target.entry.service
    rate = tables.targets.prefill_rates.get(service, DEFAULT_PREFILL_TOKENS_PER_S)
    return (
        prefill_tokens_ahead + run.call.prompt_tokens
    ) / rate + FIRST_EVENT_OVERHEAD_S


def prefill_s(tables: Tables, service: str, call: Call) -> float:
    """Return the time to a stream's first event without a queue, in seconds."""
    rate = tables.targets.prefill_rates.get(service, DEFAULT_PREFILL_TOKENS_PER_S)
    return call.prompt_tokens / rate + FIRST_EVENT_OVERHEAD_S


def expected_stream_s(tables: Tables, service: str, call: Call) -> float | None:
    """Return how long a stream takes at an engine without a queue, in seconds.

    Returns None if the request does not say how long its output may be, or if the
    service's engines have sent no streams yet.
    """
    spec = tables.deployment.services.get(service)
    engine = spec and spec.engine
    rows = tables.targets.by_service.get(service, ())
    gaps_s = [row.event_gap_s for row in rows if row.event_gap_s]
    if engine is None or not call.output_tokens or not gaps_s:
        return None
    first_event_s = prefill_s(tables, service, call)
    events = call.output_tokens / engine.tokens_per_event - (call.last_event_id or 0)
    return first_event_s + max(0.0, events) * sum(gaps_s) / len(gaps_s)


def _update_prefill_rate(tables: Tables, run: Run, now: float) -> None:
    rates, service = tables.targets.prefill_rates, run.target.entry.service
    rate = rates.get(service, DEFAULT_PREFILL_TOKENS_PER_S)
    measured = run.call.prompt_tokens / max(
        0.001, now - run.started_at - FIRST_EVENT_OVERHEAD_S
    )
    measured = min(
        max(measured, rate / MAX_PREFILL_RATE_RATIO), rate * MAX_PREFILL_RATE_RATIO
    )
    rates[service] = rate + PREFILL_RATE_EWMA_WEIGHT * (measured - rate)


def record_event(tables: Tables, run: Run, now: float) -> None:
    """Record an event of a stream and update the averages of its target."""
    target = run.target
    if run.events:
        gap_s = min(now - run.last_event_at, 1.0)
        if target.event_gap_s:
            target.event_gap_s += EVENT_GAP_EWMA_WEIGHT * (gap_s - target.event_gap_s)
        else:
            target.event_gap_s = gap_s
    elif run.prefills_alone and run.call.prompt_tokens:
        _update_prefill_rate(tables, run, now)
    run.events += 1
    run.held = False
    run.last_event_at = target.last_event_at = now
    placement.record_end_of_silence(target)


def _target_silence_timeout_s(target: Target) -> float:
    timeout_s = max(MIN_SILENCE_S, SILENT_EVENT_GAPS * target.event_gap_s)
    if target.pending_prefill_tokens:
        timeout_s += PREFILL_ALLOWANCE_S
    return timeout_s


def find_silent_targets(tables: Tables, now: float) -> set[str]:
    """Return the keys of targets that may be silent, at which no stream resumes.

    Parameters
    ----------
    tables
        The tables.
    now
        Time of a clock that stops while this process is stalled.
    """
    found = set()
    for run in tables.runs:
        target = run.target
        timeout_s = MAX_DESTINATION_SILENCE_SHARE * _target_silence_timeout_s(target)
        silent_s = now - max(run.last_event_at, target.last_event_at)
        expects_event = run.held or (run.events and not run.waiting_on_caller)
        if expects_event and silent_s >= timeout_s:
            found.add(target.entry.key)
    return found


def find_destination(
    tables: Tables,
    demand: placement.Demand,
    copy: KvCopy | None,
    silent: Set[str],
    now: float,
    rng: Random,
) -> Target | None:
    """Return the target at which a silent stream can resume at once, or None.

    It is the engine that holds the copy of the KV cache, or another one. An engine
    that is silent or in backoff, or whose limit is used up, is not returned.

    Parameters
    ----------
    tables
        The tables.
    demand
        Constraints on the target.
    copy
        Copy of the KV cache, or None.
    silent
        Keys of the targets that are silent.
    now
        Time of the event loop's clock.
    rng
        Source of randomness for the choice.
    """
    if copy is not None:
        holder = placement.find_holder(tables.targets, demand, copy.holder, now)
        if (
            holder is not None
            and now >= holder.backoff_until
            and holder.entry.key not in silent
            and limited_targets.has_token(tables, holder, now)
        ):
            return holder
    demand = replace(demand, excluded_targets=demand.excluded_targets | silent)
    demand = limited_targets.constrain(tables, demand, now)
    hosts = membership.count_live_hosts(tables, now)
    return placement.choose_backup(tables.targets, demand, now, rng, hosts)


def _silence_timeout_s(run: Run, silent: Set[str], now: float) -> float:
    target = run.target
    timeout_s = _target_silence_timeout_s(target)
    if now - target.last_event_at < TARGET_ALIVE_WITHIN_S:
        timeout_s = max(timeout_s, LIVE_TARGET_SILENCE_S)
    if run.backup is None or run.backup.entry.key in silent:
        timeout_s = max(timeout_s, NO_COPY_SILENCE_S)
    return timeout_s


def _next_action(
    tables: Tables, run: Run, silent: Set[str], now: float
) -> Action | None:
    silent_s = now - run.last_event_at
    target = run.target
    # A further probe of a stream that cannot resume elsewhere would change nothing.
    can_probe = now - run.probed_at >= PROBE_INTERVAL_S and (
        run.attempts_left > 0 or not run.held
    )
    if run.events:
        if silent_s >= _silence_timeout_s(run, silent, now):
            return Action.END
        return None
    if run.follows_silence and silent_s < SECOND_SILENCE_S:
        return None
    entry = target.entry
    in_lost_data_centre = placement.data_centre_lost(
        tables.targets, entry.data_centre, entry.service, now
    )
    # Later prompts may be prefilled first, so count all of the target's prompts.
    rate = tables.targets.prefill_rates.get(entry.service, DEFAULT_PREFILL_TOKENS_PER_S)
    run.first_event_due_s = max(
        run.first_event_due_s,
        target.pending_prefill_tokens / rate + FIRST_EVENT_OVERHEAD_S,
    )
    overdue = (
        silent_s
        > FIRST_EVENT_DUE_FACTOR * run.first_event_due_s + FIRST_EVENT_DUE_MARGIN_S
    )
    if (
        silent_s
        > MAX_FIRST_EVENT_OVERDUE_S + FIRST_EVENT_DUE_FACTOR * run.first_event_due_s
    ):
        return Action.END
    if (
        can_probe
        and (overdue or in_lost_data_centre)
        and silent_s > MIN_PROBE_SILENCE_S
    ):
        return Action.PROBE
    return None


def find_silent_streams(tables: Tables, now: float) -> list[SilentStream]:
    """Return the silent streams on which an action is due.

    Parameters
    ----------
    tables
        The tables.
    now
        Time of a clock that stops while this process is stalled.
    """
    found = []
    silent = find_silent_targets(tables, now)
    for run in tables.runs:
        if run.waiting_on_caller or run.abort_reason is not None:
            continue
        action = _next_action(tables, run, silent, now)
        if action is not None:
            found.append(SilentStream(run, action, now - run.last_event_at))
    return found
