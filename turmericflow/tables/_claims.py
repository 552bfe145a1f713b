"""Claims that an owner holds: one record for each request."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any

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
    """The index of the first token that an attempt may have added.

    ``loaded`` names the weights that it ran with, as ``model/adapter/version``.
    """

    attempt: int
    index: int
    target: str
    loaded: str = ""


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
    updated_at
        Time of the last change, in seconds of the host's clock.
    slot
        Slot that the request hashes to.
    claim_id
        Name of the claim that was granted, to know its repeat by.
    journal_host
        Host that holds the journal.
    seq
        Number of the owner's last change, which orders changes at the backup.
    regranted
        Whether a runner was replaced, which may have dispatched.
    refused_before
        Why an earlier try was refused, when one was.
    size_bytes
        Size of an ended claim's tokens and body, -1 before it was counted.
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
    updated_at: float = 0.0
    slot: int = -1
    claim_id: str = ""
    journal_host: str = ""
    seq: int = 0
    regranted: bool = False
    refused_before: Failure | None = None
    size_bytes: int = -1

    @property
    def ended(self) -> bool:
        """Whether nothing more can change but by another try."""
        return self.state is not ClaimState.RUNNING


@dataclass(slots=True)
class PendingClaim:
    """A change of a claim that waits for the backup.

    Attributes
    ----------
    row
        The claim as it will be.
    epoch
        Slot epoch in which the owner asked.
    reply
        Message to be sent once the change is confirmed.
    """

    row: Claim
    epoch: int
    reply: Any


@dataclass(slots=True)
class ClaimTable:
    """All claims held by this host, as owner or as backup.

    Attributes
    ----------
    rows
        Claims by request.
    pending
        Changes that wait for a backup, at most one for each request.
    seq
        Number of changes made by this host as owner.
    """

    rows: dict[RequestId, Claim] = field(default_factory=dict)
    pending: dict[RequestId, PendingClaim] = field(default_factory=dict)
    seq: int = 0
