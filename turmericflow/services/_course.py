"""State of a request that runs here: its attempts and what befell them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from turmericflow.services._engine import TargetFailed
from turmericflow.tables import AttemptStart, RequestRow, StreamRow, Target
from turmericflow.verdict import ErrorCode, Failure, Verdict

ATTEMPTS_PER_EPOCH = 1000


class Attempt:
    """One attempt under way on a target.

    Attributes
    ----------
    number
        Its number, unique over the request's attempts on all routers.
    target
        Where it runs.
    next_index
        Index of the next token that it may add.
    stream
        Its row among the streams.
    live
        Whether its output still counts.
    lost
        Whether its target failed it.
    placed
        Whether it holds a place that is to be given back.
    """

    __slots__ = (
        "live",
        "lost",
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
        self.lost = False
        self.placed = True
        self.task: asyncio.Task | None = None


@dataclass(slots=True, frozen=True)
class Lost:
    """An attempt failed."""

    attempt: Attempt
    failure: TargetFailed


@dataclass(slots=True, frozen=True)
class Suspected:
    """An attempt's stream has been silent for too long."""

    stream: StreamRow


@dataclass(slots=True, frozen=True)
class Done:
    """The output has ended."""


class Course:
    """A request's attempts, and the events that its runner reacts to.

    Attributes
    ----------
    row
        The request.
    content
        Fingerprint of its content.
    attempts
        Attempts whose output still counts, oldest first.
    may_have_run
        Whether any attempt that is over may have run.
    refused_by
        Targets that refused or could not be reached since the last output.
    failing_since
        Time of the first loss since the last output, or None.
    ending
        Whether its runner is ending it with a failure.
    stopped_by
        Failure with which the request is to be ended from outside, or None.
    unheard_since
        Time since which nobody has listened, or None.
    """

    __slots__ = (
        "_events",
        "_started",
        "attempts",
        "content",
        "ending",
        "failing_since",
        "may_have_run",
        "refused_by",
        "row",
        "stopped_by",
        "task",
        "unheard_since",
    )

    def __init__(self, row: RequestRow, content: str) -> None:
        self.row = row
        self.content = content
        self.attempts: list[Attempt] = []
        self.may_have_run = row.dispatched or bool(row.attempts)
        self.refused_by: set[str] = set()
        self.ending = False
        self.failing_since: float | None = None
        self.stopped_by: Failure | None = None
        self.task: asyncio.Task | None = None
        self.unheard_since: float | None = None
        self._events: asyncio.Queue[Lost | Suspected | Done] = asyncio.Queue()
        self._started = 0

    @property
    def over(self) -> bool:
        """Whether the request needs no more from targets."""
        return self.row.complete or self.row.ended

    def post(self, event: Lost | Suspected | Done) -> None:
        """Tell the request's runner of an event."""
        self._events.put_nowait(event)

    async def next_event(self) -> Lost | Suspected | Done:
        """Wait for the next event."""
        return await self._events.get()

    def next_number(self) -> int:
        """Return a number for a new attempt, above all of earlier epochs."""
        self._started += 1
        return self.row.runner_epoch * ATTEMPTS_PER_EPOCH + self._started

    def add(self, attempt: Attempt) -> None:
        """Let an attempt's output count; the first one is put in force."""
        if not self.attempts:
            self.put_in_force(attempt)
        self.attempts.append(attempt)

    def put_in_force(self, attempt: Attempt) -> None:
        """Record that tokens from now on come from an attempt."""
        row = self.row
        row.target = attempt.target.name
        if row.attempt != attempt.number:
            loaded = row.profile.model_spec
            start = AttemptStart(attempt.number, len(row.tokens), row.target, loaded)
            row.attempts.append(start)

    def take(self, attempt: Attempt, texts: list[str]) -> list[Attempt]:
        """Add an attempt's next tokens, and return the attempts that it has beaten.

        It is put in force before its tokens are added, so that their record
        starts with the first of them.
        """
        beaten = [each for each in self.attempts if each is not attempt]
        if self.row.attempt != attempt.number:
            self.put_in_force(attempt)
        self.row.tokens.extend(texts)
        attempt.next_index += len(texts)
        return beaten

    def drop(self, attempt: Attempt) -> None:
        """Let an attempt's output count no more."""
        attempt.live = False
        if attempt in self.attempts:
            self.attempts.remove(attempt)

    def report_again(self) -> None:
        """Let silent attempts be reported once more if no other is left.

        A silence is reported once; if the attempt that answered it is lost,
        nothing else would start another.
        """
        if all(each.stream.suspected for each in self.attempts):
            for each in self.attempts:
                each.stream.suspected = False

    def find(self, stream: StreamRow) -> Attempt | None:
        """Return the live attempt that a stream belongs to."""
        for attempt in self.attempts:
            if attempt.stream is stream:
                return attempt
        return None

    def failure(self, code: ErrorCode, message: str) -> Failure:
        """Return a failure with the verdict that is true by now."""
        if self.row.tokens:
            verdict = Verdict.RAN
        elif self.may_have_run or self.attempts:
            verdict = Verdict.MAY_HAVE_RUN
        else:
            verdict = Verdict.NOT_RUN
        return Failure(code, verdict, message)
