"""Streams whose target has fallen silent, judged by all streams of the target."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from turmericflow.relay import _placement as placement
from turmericflow.relay._tables import Run, Tables

MIN_SILENCE_S = 0.25  # several events of a fast stream, and one read of a prompt
SILENT_EVENT_GAPS = 6.0
TARGET_ALIVE_WITHIN_S = (
    0.1  # another stream heard from within this time speaks for a target
)
LIVE_TARGET_SILENCE_S = 0.45  # one silent stream beside live ones
NO_COPY_SILENCE_S = 1.0  # without a copy going on costs the whole prompt again
PREFILL_ALLOWANCE_S = 0.15
FIRST_EVENT_DUE_FACTOR = 1.5
FIRST_EVENT_DUE_MARGIN_S = 0.4
MAX_FIRST_EVENT_DELAY_S = 3.0  # a target that answers probes and never begins
PROBE_INTERVAL_S = 0.3
MIN_PROBE_SILENCE_S = 0.2
EVENT_GAP_EWMA_WEIGHT = 0.1
DEFAULT_PREFILL_TOKENS_PER_S = 8000.0  # prompt tokens a second, until one was seen
PREFILL_RATE_EWMA_WEIGHT = 0.2
MAX_PREFILL_RATE_RATIO = (
    3.0  # a prompt that was cached, or waited, says little of the rate
)
FIRST_EVENT_OVERHEAD_S = 0.15  # set-up and the first tokens


class Action(enum.StrEnum):
    """What to do about a silent stream."""

    PROBE = "probe"
    END = "end"


@dataclass(slots=True, frozen=True)
class SilentStream:
    """A silent stream, how long it has been silent, and what to do."""

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
        Prompt tokens that its target reads first.
    """
    service = run.target.entry.service
    rate = tables.targets.prefill_rates.get(service, DEFAULT_PREFILL_TOKENS_PER_S)
    return (
        prefill_tokens_ahead + run.call.prompt_tokens
    ) / rate + FIRST_EVENT_OVERHEAD_S


def _update_prefill_rate(tables: Tables, run: Run, now: float) -> None:
    rates, service = tables.targets.prefill_rates, run.target.entry.service
    rate = rates.get(service, DEFAULT_PREFILL_TOKENS_PER_S)
    seen = run.call.prompt_tokens / max(
        0.001, now - run.started_at - FIRST_EVENT_OVERHEAD_S
    )
    seen = min(max(seen, rate / MAX_PREFILL_RATE_RATIO), rate * MAX_PREFILL_RATE_RATIO)
    rates[service] = rate + PREFILL_RATE_EWMA_WEIGHT * (seen - rate)


def record_event(tables: Tables, run: Run, now: float) -> None:
    """Take in that an event came on a stream."""
    target = run.target
    if run.events:
        gap = min(now - run.last_event_at, 1.0)
        if target.event_gap_s:
            target.event_gap_s += EVENT_GAP_EWMA_WEIGHT * (gap - target.event_gap_s)
        else:
            target.event_gap_s = gap
    elif run.prefills_alone and run.call.prompt_tokens:
        _update_prefill_rate(tables, run, now)
    run.events += 1
    run.last_event_at = target.last_event_at = now


def _decoding_limit(run: Run, now: float) -> float:
    target = run.target
    limit = max(MIN_SILENCE_S, SILENT_EVENT_GAPS * target.event_gap_s)
    if target.pending_prefill_tokens:
        limit += PREFILL_ALLOWANCE_S
    if now - target.last_event_at < TARGET_ALIVE_WITHIN_S:
        limit = max(limit, LIVE_TARGET_SILENCE_S)
    if run.backup is None:
        limit = max(limit, NO_COPY_SILENCE_S)
    return limit


def _next_action(tables: Tables, run: Run, now: float) -> Action | None:
    silent_s = now - run.last_event_at
    target = run.target
    can_probe = now - run.probed_at >= PROBE_INTERVAL_S
    if run.events:
        if silent_s >= _decoding_limit(run, now):
            return Action.END
        return None
    entry = target.entry
    others_lost = placement.data_centre_lost(
        tables.targets, entry.data_centre, entry.service, now
    )
    # What came later to the target may be read first: prompts share its time.
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
        > MAX_FIRST_EVENT_DELAY_S + FIRST_EVENT_DUE_FACTOR * run.first_event_due_s
    ):
        return Action.END
    if can_probe and (overdue or others_lost) and silent_s > MIN_PROBE_SILENCE_S:
        return Action.PROBE
    return None


def find_silent_streams(tables: Tables, now: float) -> list[SilentStream]:
    """Return what to do about the streams that are silent now.

    Parameters
    ----------
    tables
        The tables.
    now
        Time of a clock that does not run while this host itself stands still.
    """
    found = []
    for run in tables.runs:
        if run.waiting_on_caller or run.abort_reason is not None:
            continue
        action = _next_action(tables, run, now)
        if action is not None:
            found.append(SilentStream(run, action, now - run.last_event_at))
    return found
