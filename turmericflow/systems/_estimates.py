"""Estimates of a target's load and of the times that work would take on it."""

from __future__ import annotations

import math
from collections import deque

from turmericflow.systems import _prefixes as prefixes
from turmericflow.tables import LoadReport, LoadTable, Target, TargetKind, Work

REPORT_LAG_S = 0.2
REPORT_TRUST_S = 5.0
HISTORY_S = REPORT_TRUST_S + 2 * REPORT_LAG_S
SHARED_COUNTS_LAG_S = 0.1
DEFAULT_SLOW_DOWN = 0.01
DEFAULT_STEP_S = 0.02
DEFAULT_PREFILL_TOKENS_S = 20_000.0
DEFAULT_HOLD_S = 1.0
SERVICE_SLOTS = 64
SHORT_TOKENS = 64
LENGTH_GAIN = 0.05
LOAD_VARIANCE_FACTOR = 2.0
POSITIVE_PART_FACTOR = 2.0 / math.pi


def length_class(expected_tokens: float) -> int:
    """Return 0 for short work and 1 for long."""
    return 0 if expected_tokens <= SHORT_TOKENS else 1


def expected_tokens(load: LoadTable, profile: str, max_tokens: int) -> float:
    """Return how many tokens a request is expected to have."""
    return min(
        float(max_tokens), load.mean_output_tokens.get(profile, float(max_tokens))
    )


def learn_length(load: LoadTable, profile: str, tokens: int) -> None:
    """Take the length of a finished output into its profile's mean."""
    mean = load.mean_output_tokens.get(profile, float(tokens))
    load.mean_output_tokens[profile] = mean + LENGTH_GAIN * (tokens - mean)


def change_known_in_flight(target: Target, change: int, now: float) -> None:
    """Change the number of requests known to be on a target."""
    target.known_in_flight += change
    target.in_flight_history.append((now, target.known_in_flight))
    while (
        len(target.in_flight_history) > 1
        and target.in_flight_history[1][0] <= now - HISTORY_S
    ):
        target.in_flight_history.popleft()


def change_in_flight(target: Target, change: int, now: float) -> None:
    """Change the number of this host's requests on a target."""
    target.in_flight += change
    change_known_in_flight(target, change, now)


def shift_known_in_flight(target: Target, change: int) -> None:
    """Count requests as known, or no longer known, that were there before."""
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
    """Take in a load report, which shows the target a while ago."""
    report.known_in_flight = _known_in_flight_at(
        target, report.reported_at - REPORT_LAG_S
    )
    target.load = report
    target.sent_since_report = 0
    if report.step_ms <= 0:
        return
    fit, streams, step = target.fit, max(1, report.running), report.step_ms / 1000
    if not fit.streams or streams <= fit.streams:
        if fit.streams > streams and not fit.slope_s:
            fit.slope_s = max(0.0, (fit.step_s - step) / (fit.streams - streams))
        fit.streams, fit.step_s = streams, step
    else:
        fit.slope_s = max(0.0, (step - fit.step_s) / (streams - fit.streams))


def occupied(target: Target, now: float) -> int:
    """Return how many requests are thought to be on a target now.

    A late report is corrected by what this host and those that tell it their
    counts have sent and got back since.
    """
    report = target.load
    if now - report.reported_at > REPORT_TRUST_S:
        return target.known_in_flight
    there = (
        report.running + report.queued + target.known_in_flight - report.known_in_flight
    )
    return max(target.known_in_flight, there)


def slots_of(target: Target) -> int:
    """Return how many requests a target runs at once, or is given at most."""
    if target.kind is TargetKind.SERVICE and target.load.slots <= 1:
        return SERVICE_SLOTS
    return max(1, target.load.slots)


def slope_s(target: Target) -> float:
    """Return the growth of a step's time with each further stream."""
    fit = target.fit
    return fit.slope_s or DEFAULT_SLOW_DOWN * (fit.step_s or DEFAULT_STEP_S)


def step_s(target: Target, streams: int) -> float:
    """Return the time for one token with a batch of a size."""
    fit = target.fit
    if not fit.streams:
        return DEFAULT_STEP_S * (1 + DEFAULT_SLOW_DOWN * max(0, streams - 1))
    return max(0.0, fit.step_s + slope_s(target) * (streams - fit.streams))


def prefill_rate(target: Target) -> float:
    """Return the rate at which a target takes prompt in, in tokens per second."""
    return target.load.prefill_tokens_s or DEFAULT_PREFILL_TOKENS_S


def prefill_backlog_tokens(target: Target, now: float) -> float:
    """Return the prompt sent to a target that it has yet to take in."""
    done = max(0.0, now - target.prefill_backlog_at) * prefill_rate(target)
    return max(0.0, target.prefill_backlog_tokens - done)


def uncached_tokens(load: LoadTable, target: Target, work: Work, now: float) -> float:
    """Return how much prompt a target would have to take in for some work."""
    cached = prefixes.cached_tokens(load, target.name, work.blocks, now)
    return max(1.0, work.prompt_tokens - cached)


def unreported_s(target: Target, now: float) -> float:
    """Return for how long others may have sent what is not yet known of."""
    if target.counts_complete:
        return SHARED_COUNTS_LAG_S
    age = max(0.0, now - target.load.reported_at)
    return min(REPORT_TRUST_S, age + REPORT_LAG_S)


def _load_variance(target: Target, now: float) -> float:
    """Return the variance of the load, from what others may have sent since."""
    return LOAD_VARIANCE_FACTOR * target.peer_sends_per_s * unreported_s(target, now)


def queue_s(target: Target, streams: int, tokens: float, now: float) -> float:
    """Return the expected wait for a place behind ``streams`` that run or wait.

    The mean of a normal variable's positive part is taken, for the load is
    known but roughly, by ``(d + sqrt(d² + c·variance)) / 2``.
    """
    slots = slots_of(target)
    over = streams - slots + 0.5
    waiting = (
        over
        + math.sqrt(over * over + POSITIVE_PART_FACTOR * _load_variance(target, now))
    ) / 2
    return waiting * tokens * step_s(target, slots) / slots


def first_token_s(load: LoadTable, target: Target, work: Work, now: float) -> float:
    """Return the estimated time to the first token on a target."""
    if target.kind is TargetKind.SERVICE:
        return 0.0
    streams = occupied(target, now)
    prompt = prefill_backlog_tokens(target, now) + uncached_tokens(
        load, target, work, now
    )
    batch = min(streams + 1, slots_of(target))
    wait = queue_s(target, streams, max(1.0, work.expected_tokens), now)
    return wait + prompt / prefill_rate(target) + step_s(target, batch)


def last_token_s(
    load: LoadTable, target: Target, work: Work, tokens: float, now: float
) -> float:
    """Return the estimated time until a number of tokens have come."""
    if target.kind is TargetKind.SERVICE:
        return 0.0
    batch = min(occupied(target, now) + 1, slots_of(target))
    return first_token_s(load, target, work, now) + tokens * step_s(target, batch)
