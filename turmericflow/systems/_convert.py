"""Conversions between entities and their wire forms."""

from __future__ import annotations

from turmericflow import wire
from turmericflow.tables import AttemptStart
from turmericflow.verdict import ErrorCode, Failure, Verdict


def to_wire_failure(failure: Failure) -> wire.WireFailure:
    """Return a failure's wire form."""
    return wire.WireFailure(
        failure.code, failure.verdict, failure.message, failure.retry_after_s
    )


def to_failure(raw: wire.WireFailure) -> Failure:
    """Return the failure that a wire form stands for."""
    return Failure(
        ErrorCode(raw.code), Verdict(raw.verdict), raw.message, raw.retry_after_s
    )


def to_wire_attempts(attempts: list[AttemptStart]) -> list[wire.WireAttempt]:
    """Return attempts in their wire form."""
    return [
        wire.WireAttempt(each.attempt, each.index, each.target, each.loaded)
        for each in attempts
    ]


def to_attempts(raw: list[wire.WireAttempt]) -> list[AttemptStart]:
    """Return the attempts that a wire form stands for."""
    return [
        AttemptStart(each.attempt, each.index, each.target, each.loaded) for each in raw
    ]
