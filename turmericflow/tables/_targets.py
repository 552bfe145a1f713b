"""Targets: engines and plain services that run the work."""

from __future__ import annotations

import enum
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
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    step_ms: float = 0.0
    prefill_tokens_s: float = 0.0
    reported_at: float = float("-inf")


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


@dataclass(slots=True)
class TargetTable:
    """All targets that this host knows."""

    rows: dict[str, Target] = field(default_factory=dict)
