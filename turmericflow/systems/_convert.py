"""Conversions between failures or attempts and their wire forms."""

from __future__ import annotations

from turmericflow import wire
from turmericflow.tables import AttemptStart
from turmericflow.verdict import ErrorCode, Failure, Verdict


def to_wire_failure(failure: Failure) -> wire.WireFailure:
    """Return the wire form of a failure."""
    return wire.WireFailure(
        failure.code, failure.verdict, failure.message, failure.retry_after_s
    )


def to_failure(raw: wire.WireFailure) -> Failure:
    """Return the failure of a wire form."""
    return Failure(
        ErrorCode(raw.code), Verdict(raw.verdict), raw.message, raw.retry_after_s
    )


def to_wire_attempts(attempts: list[AttemptStart]) -> list[wire.WireAttempt]:
    """Return the wire forms of attempts."""
    return [
        wire.WireAttempt(each.attempt, each.index, each.target, each.loaded)
        for each in attempts
    ]


def to_attempts(raw: list[wire.WireAttempt]) -> list[AttemptStart]:
    """Return the attempts of wire forms."""
    return [
        AttemptStart(each.attempt, each.index, each.target, each.loaded) for each in raw
    ]
