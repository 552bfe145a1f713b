"""Claims: an owner's record of each request."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any

from turmericflow.tables._slots import RequestId
from turmericflow.verdict import Failure


class ClaimState(enum.StrEnum):
    """State of a claim.

    ``SEALED`` claims were refused by a router, so that their try can never run.
    """

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    SEALED = "sealed"


@dataclass(slots=True, frozen=True)
class AttemptStart:
    """Start of an attempt: the index of the first token that it may have added.

    ``loaded`` names the weights that the target had loaded, as
    ``model/adapter/version``.
    """

    attempt: int
    index: int
    target: str
    loaded: str = ""


@dataclass(slots=True)
class Claim:
    """An owner's record of one request, with its journal.

    Attributes
    ----------
    request_id
        Identifier of the request.
    try_no
        Number of the caller's deliberate try, from 1.
    fingerprint
        Digest of the request's body.
    generation
        Identifier of the generation, the same over all attempts.
    profile
        Name of the profile.
    idempotent
        Whether the work may run more than once.
    runner
        Host that runs the request.
    runner_epoch
        Number that grows each time another runner is granted the request.
    body
        The caller's request body, for a runner that takes over.
    state
        State of the claim.
    attempts
        Attempts so far, in order.
    tokens
        The journal: texts of all committed tokens.
    failure
        Why the request failed, or None.
    updated_at
        Time of the last change, in seconds of the host's clock.
    slot
        Slot that the request hashes to.
    claim_id
        Identifier of the granted claim message, to recognise its repeats.
    journal_host
        Host that holds the journal.
    seq
        Sequence number of the owner's last change, which orders changes at the
        backup.
    regranted
        Whether an earlier runner was replaced that may have dispatched.
    refused_before
        Why an earlier try was refused, or None.
    size_bytes
        Size of an ended claim's tokens and body, or -1 if not computed yet.
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
        """Whether only another try can still change the claim."""
        return self.state is not ClaimState.RUNNING


@dataclass(slots=True)
class PendingClaim:
    """A change of a claim that waits for the backup's acknowledgement.

    Attributes
    ----------
    row
        The changed claim.
    epoch
        Slot epoch in which the owner sent the change.
    reply
        Message to send once the change is acknowledged.
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
        Changes that wait for a backup's acknowledgement, at most one for each
        request.
    seq
        Number of changes made by this host as owner.
    """

    rows: dict[RequestId, Claim] = field(default_factory=dict)
    pending: dict[RequestId, PendingClaim] = field(default_factory=dict)
    seq: int = 0
