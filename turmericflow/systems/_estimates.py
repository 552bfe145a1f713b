"""Estimates of the load of a target and of the run times of work on a target."""

from __future__ import annotations

import math
from collections import deque

from turmericflow.systems import _prefixes as prefixes
from turmericflow.tables import LoadReport, LoadTable, Target, TargetKind, Work

REPORT_LAG_S = 0.2
MAX_REPORT_AGE_S = 5.0
HISTORY_S = MAX_REPORT_AGE_S + 2 * REPORT_LAG_S
SHARED_COUNTS_LAG_S = 0.1
DEFAULT_SLOPE_RATIO = 0.01
DEFAULT_STEP_S = 0.02
DEFAULT_PREFILL_TOKENS_S = 20_000.0
DEFAULT_HOLD_S = 1.0
SERVICE_SLOTS = 64
SHORT_TOKENS = 64
LENGTH_GAIN = 0.05
LOAD_VARIANCE_FACTOR = 2.0
POSITIVE_PART_FACTOR = 2.0 / math.pi


def length_class(expected_tokens: float) -> int:
    """Return the length class of work: 0 for short, 1 for long."""
    return 0 if expected_tokens <= SHORT_TOKENS else 1


def expected_tokens(load: LoadTable, profile: str, max_tokens: int) -> float:
    """Return the expected number of output tokens of a request."""
    return min(
        float(max_tokens), load.mean_output_tokens.get(profile, float(max_tokens))
    )


def learn_length(load: LoadTable, profile: str, tokens: int) -> None:
    """Update the mean output length of a profile with a finished output."""
    mean = load.mean_output_tokens.get(profile, float(tokens))
    load.mean_output_tokens[profile] = mean + LENGTH_GAIN * (tokens - mean)


def change_known_in_flight(target: Target, change: int, now: float) -> None:
    """Add to the number of requests that are known to be on a target."""
    target.known_in_flight += change
    target.in_flight_history.append((now, target.known_in_flight))
    while (
        len(target.in_flight_history) > 1
        and target.in_flight_history[1][0] <= now - HISTORY_S
    ):
        target.in_flight_history.popleft()


def change_in_flight(target: Target, change: int, now: float) -> None:
    """Add to the number of this host's requests on a target."""
    target.in_flight += change
    change_known_in_flight(target, change, now)


def shift_known_in_flight(target: Target, change: int) -> None:
    """Add to the known requests, now and in the past, without recording a change."""
    if not change:
        return
    target.known_in_flight += change
    target.load.known_in_flight += change
    changed = [(at, number + change) for at, number in target.in_flight_history]
    target.in_flight_history = deque(changed)


def _known_in_flight_at(target: Target, at: float) -> int:
    number = 0 if target.in_flight_history else target.known_in_flight
    for changed_at, known in target.in_flight_history:
        if changed_at > at:
            break
        number = known
    return number


def learn_report(target: Target, report: LoadReport) -> None:
    """Store a load report, which shows the target's state ``REPORT_LAG_S`` earlier."""
    report.known_in_flight = _known_in_flight_at(
        target, report.reported_at - REPORT_LAG_S
    )
    target.load = report
    target.sent_since_report = 0
    if report.step_ms <= 0:
        return
    # The smallest batch reported is one point of the line, a larger one the other.
    fit, streams, step = target.fit, max(1, report.running), report.step_ms / 1000
    if not fit.streams or streams <= fit.streams:
        if fit.streams > streams and not fit.slope_s:
            fit.slope_s = max(0.0, (fit.step_s - step) / (fit.streams - streams))
        fit.streams, fit.step_s = streams, step
    else:
        fit.slope_s = max(0.0, (step - fit.step_s) / (streams - fit.streams))


def estimated_in_flight(target: Target, now: float) -> int:
    """Return the estimated number of requests on a target now.

    The report's age is corrected with the requests that this host and the hosts
    that share their counts have started and ended since.
    """
    report = target.load
    if now - report.reported_at > MAX_REPORT_AGE_S:
        return target.known_in_flight
    estimate = (
        report.running + report.queued + target.known_in_flight - report.known_in_flight
    )
    return max(target.known_in_flight, estimate)


def slots_of(target: Target) -> int:
    """Return how many requests a target may run at once.

    A plain service that reports at most one slot is given up to ``SERVICE_SLOTS``.
    """
    if target.kind is TargetKind.SERVICE and target.load.slots <= 1:
        return SERVICE_SLOTS
    return max(1, target.load.slots)


def slope_s(target: Target) -> float:
    """Return the increase of the step time for each further stream, in seconds."""
    fit = target.fit
    return fit.slope_s or DEFAULT_SLOPE_RATIO * (fit.step_s or DEFAULT_STEP_S)


def step_s(target: Target, streams: int) -> float:
    """Return the decode step time for a batch of ``streams``, in seconds."""
    fit = target.fit
    if not fit.streams:
        return DEFAULT_STEP_S * (1 + DEFAULT_SLOPE_RATIO * max(0, streams - 1))
    return max(0.0, fit.step_s + slope_s(target) * (streams - fit.streams))


def prefill_rate(target: Target) -> float:
    """Return the prefill rate of a target, in tokens per second."""
    return target.load.prefill_tokens_s or DEFAULT_PREFILL_TOKENS_S


def prefill_backlog_tokens(target: Target, now: float) -> float:
    """Return the prompt tokens that were sent to a target and not yet prefilled."""
    done = max(0.0, now - target.prefill_backlog_at) * prefill_rate(target)
    return max(0.0, target.prefill_backlog_tokens - done)


def uncached_tokens(load: LoadTable, target: Target, work: Work, now: float) -> float:
    """Return the prompt tokens that a target would have to prefill for some work."""
    cached = prefixes.cached_tokens(load, target.name, work.blocks, now)
    return max(1.0, work.prompt_tokens - cached)


def unreported_s(target: Target, now: float) -> float:
    """Return the time during which peers may have sent unreported requests."""
    if target.counts_complete:
        return SHARED_COUNTS_LAG_S
    age = max(0.0, now - target.load.reported_at)
    return min(MAX_REPORT_AGE_S, age + REPORT_LAG_S)


def _load_variance(target: Target, now: float) -> float:
    """Return the variance of the load estimate due to unreported requests."""
    return LOAD_VARIANCE_FACTOR * target.peer_sends_per_s * unreported_s(target, now)


def queue_s(target: Target, streams: int, tokens: float, now: float) -> float:
    """Return the expected wait for a slot behind ``streams``, in seconds.

    The load is only an estimate.  So the number of streams beyond the slots is
    the mean of the positive part of a normal variable, approximated by
    ``(d + sqrt(d² + c·variance)) / 2``.
    """
    slots = slots_of(target)
    excess = streams - slots + 0.5
    queued = (
        excess
        + math.sqrt(
            excess * excess + POSITIVE_PART_FACTOR * _load_variance(target, now)
        )
    ) / 2
    return queued * tokens * step_s(target, slots) / slots


def first_token_s(load: LoadTable, target: Target, work: Work, now: float) -> float:
    """Return the estimated time to the first token on an engine, in seconds.

    It is 0 for a plain service, whose times are not estimated.
    """
    if target.kind is TargetKind.SERVICE:
        return 0.0
    streams = estimated_in_flight(target, now)
    prompt = prefill_backlog_tokens(target, now) + uncached_tokens(
        load, target, work, now
    )
    batch = min(streams + 1, slots_of(target))
    wait = queue_s(target, streams, max(1.0, work.expected_tokens), now)
    return wait + prompt / prefill_rate(target) + step_s(target, batch)


def last_token_s(
    load: LoadTable, target: Target, work: Work, tokens: float, now: float
) -> float:
    """Return the estimated time until ``tokens`` tokens are generated, in seconds.

    It is 0 for a plain service, whose times are not estimated.
    """
    if target.kind is TargetKind.SERVICE:
        return 0.0
    batch = min(estimated_in_flight(target, now) + 1, slots_of(target))
    return first_token_s(load, target, work, now) + tokens * step_s(target, batch)
