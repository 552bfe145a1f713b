"""Requests that this host runs as their runner."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from turmericflow.profile import Profile
from turmericflow.tables._claims import AttemptStart
from turmericflow.tables._slots import RequestId
from turmericflow.verdict import Failure


class Listener(Protocol):
    """Receiver of a request's committed tokens."""

    def wake(self) -> None:
        """Notify the receiver of more committed tokens or of the request's end."""


@dataclass(slots=True)
class RequestRow:
    """A request that this host runs.

    Attributes
    ----------
    request_id
        Identifier of the request.
    profile
        The profile in force when the request was accepted.
    generation
        Identifier of the generation.
    runner_epoch
        Epoch under which this host was granted the request.
    body
        The validated request body, as JSON bytes.
    prompt
        The prompt's text.
    max_tokens
        Maximum number of tokens to generate.
    accepted_at
        Time of acceptance, in seconds of the host's clock.
    attempts
        Attempts so far; the last one is current.
    tokens
        Texts of all tokens received from targets.
    committed
        Number of tokens that the journal's holder has acknowledged.
    sent_tokens, sent_attempt, sent_complete
        What was sent to the journal's holder, acknowledged or not: number of
        tokens, newest attempt, and whether the end was sent.
    send_epoch
        Number that grows whenever appends in flight to the holder become void.
    stalled_since
        Time since which the holder has not answered, or None.
    target
        Name of the current target, or empty.
    dispatched
        Whether a byte of any attempt may have left for a target.
    complete
        Whether the target's output has ended.
    ended
        Whether the request has ended; ``failure`` is None on success.
    failure
        Why the request failed.
    listeners
        Receivers of the committed tokens.
    ended_at
        Time at which this host noticed the end of the request, in seconds of
        the host's clock.
    try_no, fingerprint
        Number of the caller's try and digest of its body.
    keyed
        Whether the caller chose the key and so can send the request again.
    slot
        Slot that the request hashes to.
    journal_host, journal_epoch
        Host that holds the journal, and the slot epoch in which it received
        the journal.
    first_committed_at, committed_at
        Times of the first and the last commit by this host, 0 before the first.
    committed_attempt
        Current attempt at the last commit, 0 before the first.
    resumes_s
        For each loss of a target or runner, the time from the last token before
        the loss to the first after it, in seconds.
    taken_over
        Whether another router had committed tokens before this one.
    counted_at
        Time at which the request was counted for the service levels, or 0.
    """

    request_id: RequestId
    profile: Profile
    generation: str
    runner_epoch: int
    body: bytes
    prompt: str
    max_tokens: int
    accepted_at: float
    attempts: list[AttemptStart] = field(default_factory=list)
    tokens: list[str] = field(default_factory=list)
    committed: int = 0
    sent_tokens: int = 0
    sent_attempt: int = 0
    sent_complete: bool = False
    send_epoch: int = 0
    stalled_since: float | None = None
    target: str = ""
    dispatched: bool = False
    complete: bool = False
    ended: bool = False
    failure: Failure | None = None
    listeners: list[Listener] = field(default_factory=list)
    ended_at: float | None = None
    try_no: int = 1
    fingerprint: str = ""
    keyed: bool = True
    slot: int = -1
    journal_host: str = ""
    journal_epoch: int = 0
    first_committed_at: float = 0.0
    committed_at: float = 0.0
    committed_attempt: int = 0
    resumes_s: list[float] = field(default_factory=list)
    counted_at: float = 0.0
    taken_over: bool = field(init=False)

    def __post_init__(self) -> None:
        self.taken_over = self.committed > 0

    @property
    def attempt(self) -> int:
        """Number of the current attempt, 0 before the first."""
        return self.attempts[-1].attempt if self.attempts else 0

    def record_commit(self, now: float) -> None:
        """Record the time of a commit, for the service levels."""
        attempt = self.attempt
        if self.committed_attempt == 0:
            if self.taken_over:
                self.resumes_s.append(now - self.accepted_at)
            else:
                self.first_committed_at = now
        elif attempt != self.committed_attempt:
            self.resumes_s.append(now - self.committed_at)
        self.committed_attempt = attempt
        self.committed_at = now

    def wake(self) -> None:
        """Notify every listener."""
        for listener in self.listeners:
            listener.wake()


@dataclass(slots=True)
class RequestTable:
    """All requests that this host runs or ran recently."""

    rows: dict[RequestId, RequestRow] = field(default_factory=dict)
