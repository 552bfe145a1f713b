"""Targets: the engines and plain services that run requests."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field

from turmericflow.cfg import Address


class TargetKind(enum.StrEnum):
    """Kind of a target."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(slots=True)
class LoadReport:
    """Last load report of a target.

    Attributes
    ----------
    running, queued
        Numbers of streams in the running batch and in the target's queue.
    slots
        Maximum batch size.
    step_ms
        Time of one decode step with the running batch, in milliseconds.
    prefill_tokens_s
        Prefill rate for uncached prompt tokens, in tokens per second.
    reported_at
        Time at which the report was received, in seconds of the host's clock.
    known_in_flight
        Value of `Target.known_in_flight` at the time that the report shows.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    step_ms: float = 0.0
    prefill_tokens_s: float = 0.0
    reported_at: float = float("-inf")
    known_in_flight: int = 0


class BreakerState(enum.StrEnum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(slots=True)
class Breaker:
    """Circuit breaker of one target.

    Attributes
    ----------
    state
        Closed, open or half-open.
    open_until
        Time until which an open breaker blocks the target, in seconds of the
        host's clock.
    consecutive_opens
        Number of times in a row that the breaker opened without closing.
    probe_in_flight
        Whether the single probe request of a half-open breaker is in flight.
    """

    state: BreakerState = BreakerState.CLOSED
    open_until: float = float("-inf")
    consecutive_opens: int = 0
    probe_in_flight: bool = False


@dataclass(slots=True)
class StepFit:
    """Linear fit of an engine's decode step time over its batch size.

    Attributes
    ----------
    streams, step_s
        Smallest batch size reported, and its step time in seconds.
    slope_s
        Increase of the step time for each further stream, in seconds.
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
        Whether the target is an engine or a plain service.
    service
        Service that the target belongs to.
    data_centre
        Name of the data centre that the target is in.
    address
        Address that the target listens on.
    leaving
        Whether the target must receive no new work, by the host list.
    suspect_until
        Time until which the target is suspected and gets no work, in seconds
        of the host's clock.
    models
        Loaded models as reported, each as ``model/adapter/version``.
    load
        Last load report.
    in_flight
        Number of this host's requests on the target.
    sent_since_report
        Number of requests that this host sent since the last load report.
    peer_in_flight
        Number of requests on the target as other hosts reported, by host.
    known_in_flight
        Sum of ``in_flight`` and ``peer_in_flight``.
    counts_complete
        Whether all live hosts report their requests in flight to this host.
    in_flight_history
        Changes of ``known_in_flight`` as ``(time, new value)``.
    in_flight_by_class
        Numbers of this host's short and long requests on the target.
    work_tokens
        Expected output tokens of this host's requests on the target.
    prefill_backlog_tokens, prefill_backlog_at
        Uncached prompt tokens that were sent and not yet prefilled, and the
        time of that estimate, in seconds of the host's clock.
    peer_sends_per_s
        Estimated rate at which other hosts send requests to the target.
    fit
        Fit of the decode step time over the batch size.
    breaker
        Circuit breaker of the target.
    cache_seq
        Sequence number of the last cache event received without a gap.
    cache_gaps
        Number of consecutive polls whose events left a gap after it.
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
    """Table of the targets that this host knows.

    Attributes
    ----------
    rows
        Targets by name.
    host_list_received
        Whether the host list, or a part of it, was received.
    all_polled
        Whether each target had time to report or to fail since this host
        started.
    """

    rows: dict[str, Target] = field(default_factory=dict)
    host_list_received: bool = False
    all_polled: bool = False
