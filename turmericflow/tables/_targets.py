"""Targets: engines and plain services that run the work."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field

from turmericflow.cfg import Address


class TargetKind(enum.StrEnum):
    """What a target is."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(slots=True)
class LoadReport:
    """Load as a target last reported it.

    Attributes
    ----------
    running, queued
        Streams in the batch, and waiting for it.
    slots
        Largest batch.
    step_ms
        Time for one token with the present batch, in milliseconds.
    prefill_tokens_s
        Rate at which uncached prompt is taken in, in tokens per second.
    reported_at
        Time at which the report arrived, in seconds of the host's clock.
    known_in_flight
        Requests known to this host that the report already counts.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    step_ms: float = 0.0
    prefill_tokens_s: float = 0.0
    reported_at: float = float("-inf")
    known_in_flight: int = 0


class BreakerState(enum.StrEnum):
    """Whether a target is given work, judged by its last outcomes."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(slots=True)
class Breaker:
    """Circuit breaker of one target.

    Attributes
    ----------
    state
        Where it stands.
    open_until
        Time until which an open breaker shuts the target out, in seconds.
    consecutive_opens
        How often it opened in a row.
    probe_in_flight
        Whether a half-open breaker's one probe is under way.
    """

    state: BreakerState = BreakerState.CLOSED
    open_until: float = float("-inf")
    consecutive_opens: int = 0
    probe_in_flight: bool = False


@dataclass(slots=True)
class StepFit:
    """A line through an engine's step times by batch size.

    Attributes
    ----------
    streams, step_s
        The smallest batch reported, and its step time in seconds.
    slope_s
        Growth with each further stream, in seconds.
    """

    streams: int = 0
    step_s: float = 0.0
    slope_s: float = 0.0


@dataclass(slots=True)
class Target:
    """One engine or plain service.

    Attributes
    ----------
    name
        Name of the target.
    kind
        Engine or plain service.
    service
        Service that the target belongs to.
    data_centre
        Where it is.
    address
        Where it listens.
    leaving
        Whether it must receive no new work.
    suspect_until
        Time until which it is shut out, in seconds of the host's clock.
    models
        What it reports as loaded, as ``model/adapter/version``.
    load
        Its last load report.
    in_flight
        Requests that this host has running there.
    sent_since_report
        Requests that this host has sent since the last load report.
    peer_in_flight
        Requests that other hosts have running there, as they say.
    known_in_flight
        Requests of this host and of those others.
    counts_complete
        Whether all live hosts say what they have running.
    in_flight_history
        Times at which ``known`` changed, and what it became.
    in_flight_by_class
        Requests of this host that run there, short ones and long ones.
    work_tokens
        Tokens that this host's requests there are still expected to need.
    prefill_backlog_tokens, prefill_backlog_at
        Uncached prompt sent and not yet taken in, in tokens, and when that
        was so, in seconds of the host's clock.
    peer_sends_per_s
        Requests that other hosts are thought to send there each second.
    fit
        Step time by batch size.
    breaker
        Its circuit breaker.
    cache_seq
        Number of the last cache event that was learned without a gap.
    cache_gaps
        How often in a row the events after it came with a gap.
    """

    name: str
    kind: TargetKind
    service: str
    data_centre: str
    address: Address
    leaving: bool = False
    suspect_until: float = float("-inf")
    models: set[str] = field(default_factory=set)
    load: LoadReport = field(default_factory=LoadReport)
    in_flight: int = 0
    sent_since_report: int = 0
    peer_in_flight: dict[str, int] = field(default_factory=dict)
    known_in_flight: int = 0
    counts_complete: bool = False
    in_flight_history: deque[tuple[float, int]] = field(default_factory=deque)
    in_flight_by_class: list[int] = field(default_factory=lambda: [0, 0])
    work_tokens: float = 0.0
    prefill_backlog_tokens: float = 0.0
    prefill_backlog_at: float = 0.0
    peer_sends_per_s: float = 0.0
    fit: StepFit = field(default_factory=StepFit)
    breaker: Breaker = field(default_factory=Breaker)
    cache_seq: int = 0
    cache_gaps: int = 0


@dataclass(slots=True)
class TargetTable:
    """All targets that this host knows.

    Attributes
    ----------
    rows
        Targets by name.
    host_list_received
        Whether the host list, or a part of it, was learned.
    all_observed
        Whether each target had time to report or to fail since this host started.
    """

    rows: dict[str, Target] = field(default_factory=dict)
    host_list_received: bool = False
    all_observed: bool = False
