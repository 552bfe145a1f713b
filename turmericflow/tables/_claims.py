"""Claims that an owner holds: one record for each request."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from turmericflow.tables._slots import RequestId
from turmericflow.verdict import Failure


class ClaimState(enum.StrEnum):
    """Life of a claim."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    SEALED = "sealed"


@dataclass(slots=True, frozen=True)
class AttemptStart:
    """The index of the first token that an attempt may have added."""

    attempt: int
    index: int
    target: str


@dataclass(slots=True)
class Claim:
    """What an owner knows of one request.

    Attributes
    ----------
    request_id
        The request's name.
    try_no
        Number of the caller's deliberate try, from 1.
    fingerprint
        Digest of the request's body.
    generation
        Name of the generation, the same over all attempts.
    profile
        Name of the profile.
    idempotent
        Whether the work may run more than once.
    runner
        Host that runs the request.
    runner_epoch
        Number that grows each time another runner is granted the request.
    body
        The caller's request body, so that another runner can go on.
    state
        Where the claim stands.
    attempts
        Attempts so far, in order.
    tokens
        The journal: texts of all committed tokens.
    failure
        Why it failed, when it did.
    touched_at
        Time of the last change, in seconds of the host's clock.
    """

    request_id: RequestId
    try_no: int
    fingerprint: str
    generation: str
    profile: str
    idempotent: bool
    runner: str
    runner_epoch: int
    body: bytes = b""
    state: ClaimState = ClaimState.RUNNING
    attempts: list[AttemptStart] = field(default_factory=list)
    tokens: list[str] = field(default_factory=list)
    failure: Failure | None = None
    touched_at: float = 0.0


@dataclass(slots=True)
class ClaimTable:
    """All claims held by this host, as owner or as backup."""

    rows: dict[RequestId, Claim] = field(default_factory=dict)
