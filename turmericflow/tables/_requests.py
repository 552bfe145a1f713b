"""Requests that this host runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from turmericflow.profile import Profile
from turmericflow.tables._claims import AttemptStart
from turmericflow.tables._slots import RequestId
from turmericflow.verdict import Failure


class Listener(Protocol):
    """One who receives the committed tokens of a request."""

    def wake(self) -> None:
        """Say that the row has more committed tokens, or has ended."""


@dataclass(slots=True)
class RequestRow:
    """A request as its runner sees it.

    Attributes
    ----------
    request_id
        The request's name.
    profile
        The profile in force when the request was accepted.
    generation
        Name of the generation.
    runner_epoch
        Epoch under which this host was granted the request.
    body
        The checked request body, as JSON bytes.
    prompt
        The prompt's text.
    max_tokens
        Largest number of tokens asked for.
    accepted_at
        Time of acceptance, in seconds of the host's clock.
    attempts
        Attempts so far, the last one in force.
    tokens
        Texts of all tokens taken from targets.
    committed
        Number of tokens that the journal's holder has acknowledged.
    sent_tokens, sent_attempt, sent_complete
        Number of tokens, newest attempt, and whether the end was sent to the
        journal's holder, acknowledged or not.
    send_epoch
        Number that grows whenever what is under way to the holder is void.
    stalled_since
        Time since which the holder has not answered, or None.
    target
        Name of the target in use, or empty.
    dispatched
        Whether a byte of any attempt may have left for a target.
    complete
        Whether the target's output has ended.
    ended
        Whether the request has ended, with ``failure`` None for success.
    failure
        Why the request failed.
    listeners
        Those who receive the committed tokens.
    ended_at
        Time at which the request was seen to have ended, in seconds of the
        host's clock.
    try_no, fingerprint
        Number of the caller's try and digest of its body.
    keyed
        Whether the caller chose the key, so that it can send a copy.
    slot
        Slot that the request hashes to.
    journal_host, journal_epoch
        Host that holds the journal, and the slot epoch in which it got it.
    first_committed_at, committed_at
        Times of the first and the last commit by this host, 0 before it.
    committed_attempt
        Attempt in force at the last commit, 0 before it.
    resumes_s
        For each loss, the time from the last token before to the first after,
        in seconds.
    taken_over
        Whether another router had committed tokens before.
    counted_at
        Time at which its service levels were counted, 0 before that.
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
        """Number of the attempt in force, 0 before the first."""
        return self.attempts[-1].attempt if self.attempts else 0

    def record_commit(self, now: float) -> None:
        """Note when tokens were committed, for the service levels."""
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
        """Wake every listener."""
        for listener in self.listeners:
            listener.wake()


@dataclass(slots=True)
class RequestTable:
    """All requests that this host runs or ran a short while ago."""

    rows: dict[RequestId, RequestRow] = field(default_factory=dict)
