"""Streams whose target has fallen silent, judged by all streams of the target."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from turmericflow.relay import _placement as placement
from turmericflow.relay._tables import Run, Tables

MIN_SILENCE_S = 0.25  # several events of a fast stream, and one read of a prompt
GAPS_OF_SILENCE = 6.0
ALIVE_WITHIN_S = 0.1  # another stream heard from within this time speaks for a target
LONE_SILENCE_S = 0.45  # one silent stream beside live ones
NO_COPY_SILENCE_S = 1.0  # without a copy going on costs the whole prompt again
UNREAD_ALLOWANCE_S = 0.15
DUE_FACTOR = 1.5
DUE_MARGIN_S = 0.4
FIRST_SILENCE_S = 3.0  # a target that answers probes and never begins
PROBE_EVERY_S = 0.3
PROBE_SILENCE_S = 0.2
GAP_WEIGHT = 0.1
DEFAULT_READ_RATE = 8000.0  # prompt tokens a second, until one was seen
RATE_WEIGHT = 0.2
RATE_CLIP = 3.0  # a prompt that was cached, or waited, says little of the rate
FIRST_EVENT_S = 0.15  # set-up and the first tokens


class Step(enum.StrEnum):
    """What to do about a silent stream."""

    PROBE = "probe"
    END = "end"


@dataclass(slots=True, frozen=True)
class Suspicion:
    """A silent stream, how long it has been silent, and what to do."""

    run: Run
    step: Step
    silent_s: float


def first_event_due_s(tables: Tables, run: Run, unread_before: int) -> float:
    """Return the expected time to a run's first event, in seconds.

    Parameters
    ----------
    tables
        The tables.
    run
        The run.
    unread_before
        Prompt tokens that its target reads first.
    """
    service = run.target.entry.service
    rate = tables.targets.read_rates.get(service, DEFAULT_READ_RATE)
    return (unread_before + run.call.prompt_tokens) / rate + FIRST_EVENT_S


def _learn_read_rate(tables: Tables, run: Run, now: float) -> None:
    rates, service = tables.targets.read_rates, run.target.entry.service
    rate = rates.get(service, DEFAULT_READ_RATE)
    seen = run.call.prompt_tokens / max(0.001, now - run.started_at - FIRST_EVENT_S)
    seen = min(max(seen, rate / RATE_CLIP), rate * RATE_CLIP)
    rates[service] = rate + RATE_WEIGHT * (seen - rate)


def heard(tables: Tables, run: Run, now: float) -> None:
    """Take in that an event came on a stream."""
    target = run.target
    if run.events:
        gap = min(now - run.heard_at, 1.0)
        if target.event_gap_s:
            target.event_gap_s += GAP_WEIGHT * (gap - target.event_gap_s)
        else:
            target.event_gap_s = gap
    elif run.reads_alone and run.call.prompt_tokens:
        _learn_read_rate(tables, run, now)
    run.events += 1
    run.heard_at = target.heard_at = now


def _decoding_limit(run: Run, now: float) -> float:
    target = run.target
    limit = max(MIN_SILENCE_S, GAPS_OF_SILENCE * target.event_gap_s)
    if target.unread_tokens:
        limit += UNREAD_ALLOWANCE_S
    if now - target.heard_at < ALIVE_WITHIN_S:
        limit = max(limit, LONE_SILENCE_S)
    if run.backup is None:
        limit = max(limit, NO_COPY_SILENCE_S)
    return limit


def _step(tables: Tables, run: Run, now: float) -> Step | None:
    silent_s = now - run.heard_at
    target = run.target
    can_probe = now - run.probed_at >= PROBE_EVERY_S
    if run.events:
        if silent_s >= _decoding_limit(run, now):
            return Step.END
        return None
    entry = target.entry
    others_lost = placement.centre_lost(
        tables.targets, entry.data_centre, entry.service, now
    )
    # What came later to the target may be read first: prompts share its time.
    rate = tables.targets.read_rates.get(entry.service, DEFAULT_READ_RATE)
    run.due_s = max(run.due_s, target.unread_tokens / rate + FIRST_EVENT_S)
    overdue = silent_s > DUE_FACTOR * run.due_s + DUE_MARGIN_S
    if silent_s > FIRST_SILENCE_S + DUE_FACTOR * run.due_s:
        return Step.END
    if can_probe and (overdue or others_lost) and silent_s > PROBE_SILENCE_S:
        return Step.PROBE
    return None


def scan(tables: Tables, now: float) -> list[Suspicion]:
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
        if run.waiting_on_caller or run.fault is not None:
            continue
        step = _step(tables, run, now)
        if step is not None:
            found.append(Suspicion(run, step, now - run.heard_at))
    return found
