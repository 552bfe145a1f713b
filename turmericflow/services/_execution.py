"""Execution of a request on this host: its attempts and their events."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from turmericflow.services._engine import TargetFailed
from turmericflow.tables import AttemptStart, RequestRow, StreamRow, Target
from turmericflow.verdict import ErrorCode, Failure, Verdict

ATTEMPTS_PER_EPOCH = 1000


class Attempt:
    """An attempt to run a request on a target.

    Attributes
    ----------
    number
        Number that is unique among the request's attempts on all routers.
    target
        Target that the attempt is sent to.
    next_index
        Index of the next token that the attempt may add.
    stream
        Stream row that the failure detector watches.
    live
        Whether the attempt's output is still used.
    target_lost
        Whether the target was lost during the attempt.
    placed
        Whether the attempt holds a dispatch placement that must be released.
    task
        Task that reads the attempt's output.
    """

    __slots__ = (
        "live",
        "target_lost",
        "next_index",
        "number",
        "placed",
        "stream",
        "target",
        "task",
    )

    def __init__(
        self, number: int, target: Target, next_index: int, stream: StreamRow
    ) -> None:
        self.number = number
        self.target = target
        self.next_index = next_index
        self.stream = stream
        self.live = True
        self.target_lost = False
        self.placed = True
        self.task: asyncio.Task | None = None


@dataclass(slots=True, frozen=True)
class AttemptFailed:
    """Event: an attempt failed."""

    attempt: Attempt
    failure: TargetFailed


@dataclass(slots=True, frozen=True)
class StreamSilent:
    """Event: an attempt's stream has been silent for too long."""

    stream: StreamRow


@dataclass(slots=True, frozen=True)
class OutputDone:
    """Event: the output has ended."""


class Execution:
    """A request's attempts, and the queue of events that its runner handles.

    Attributes
    ----------
    row
        The request.
    content
        Fingerprint of the prompt and the model.
    attempts
        Live attempts, oldest first.
    may_have_run
        Whether any earlier attempt may have run.
    failed_targets
        Targets whose attempts failed since the last output.
    failing_since
        Time of the first failed attempt since the last output, or None.
    ending
        Whether the runner is ending the request with a failure.
    stop_failure
        Failure that an external stop ends the request with, or None.
    no_listener_since
        Time since which the request has had no listener, or None.
    task
        Task that runs the request.
    """

    __slots__ = (
        "_events",
        "_started",
        "attempts",
        "content",
        "ending",
        "failing_since",
        "may_have_run",
        "failed_targets",
        "row",
        "stop_failure",
        "task",
        "no_listener_since",
    )

    def __init__(self, row: RequestRow, content: str) -> None:
        self.row = row
        self.content = content
        self.attempts: list[Attempt] = []
        self.may_have_run = row.dispatched or bool(row.attempts)
        self.failed_targets: set[str] = set()
        self.ending = False
        self.failing_since: float | None = None
        self.stop_failure: Failure | None = None
        self.task: asyncio.Task | None = None
        self.no_listener_since: float | None = None
        self._events: asyncio.Queue[AttemptFailed | StreamSilent | OutputDone] = (
            asyncio.Queue()
        )
        self._started = 0

    @property
    def finished(self) -> bool:
        """Whether the request needs no further output from targets."""
        return self.row.complete or self.row.ended

    def post(self, event: AttemptFailed | StreamSilent | OutputDone) -> None:
        """Queue an event for the request's runner."""
        self._events.put_nowait(event)

    async def next_event(self) -> AttemptFailed | StreamSilent | OutputDone:
        """Wait for the next event."""
        return await self._events.get()

    def next_attempt_number(self) -> int:
        """Return the number of a new attempt, higher than in any earlier epoch."""
        self._started += 1
        return self.row.runner_epoch * ATTEMPTS_PER_EPOCH + self._started

    def add(self, attempt: Attempt) -> None:
        """Add a live attempt; without other live attempts it becomes current."""
        if not self.attempts:
            self.set_current(attempt)
        self.attempts.append(attempt)

    def set_current(self, attempt: Attempt) -> None:
        """Record that the following tokens come from an attempt."""
        row = self.row
        row.target = attempt.target.name
        if row.attempt != attempt.number:
            spec = row.profile.model_spec
            start = AttemptStart(attempt.number, len(row.tokens), row.target, spec)
            row.attempts.append(start)

    def add_tokens(self, attempt: Attempt, texts: list[str]) -> list[Attempt]:
        """Add an attempt's next tokens, and return the other live attempts.

        The attempt is made current before its tokens are added, so that its
        `AttemptStart` has the index of the first of them.
        """
        superseded = [each for each in self.attempts if each is not attempt]
        if self.row.attempt != attempt.number:
            self.set_current(attempt)
        self.row.tokens.extend(texts)
        attempt.next_index += len(texts)
        return superseded

    def drop(self, attempt: Attempt) -> None:
        """Remove an attempt; its output is ignored from now on."""
        attempt.live = False
        if attempt in self.attempts:
            self.attempts.remove(attempt)

    def clear_suspicions(self) -> None:
        """Let silent streams be reported again if all live attempts are silent.

        A silent stream is reported once.  If its hedged attempt is then lost,
        nothing else would start another attempt.
        """
        if all(each.stream.suspected for each in self.attempts):
            for each in self.attempts:
                each.stream.suspected = False

    def find(self, stream: StreamRow) -> Attempt | None:
        """Return the live attempt that a stream belongs to, or None."""
        for attempt in self.attempts:
            if attempt.stream is stream:
                return attempt
        return None

    def make_failure(self, code: ErrorCode, message: str) -> Failure:
        """Return a failure with the verdict that applies to the attempts so far."""
        if self.row.tokens:
            verdict = Verdict.RAN
        elif self.may_have_run or self.attempts:
            verdict = Verdict.MAY_HAVE_RUN
        else:
            verdict = Verdict.NOT_RUN
        return Failure(code, verdict, message)
