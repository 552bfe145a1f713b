"""The runner's side: takes a claimed request to its end."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

from turmericflow import wire
from turmericflow.profile import Profile, ProfileKind
from turmericflow.services._claimant import Claimant, NewRequest
from turmericflow.services._course import Attempt, Course, Done, Lost, Suspected
from turmericflow.services._dispatch import Dispatch
from turmericflow.services._engine import EngineClient, EngineOutput, TargetFailed
from turmericflow.services._journal import Journal
from turmericflow.services._plain import PlainClient
from turmericflow.services._quarantine import Quarantine
from turmericflow.services._restore import restore
from turmericflow.services._stats import Stats
from turmericflow.services._suspects import Suspects
from turmericflow.services._sweeper import Sweeper
from turmericflow.services._target_work import TargetWork, Work
from turmericflow.services._watch import ListeningClock
from turmericflow.systems import crashers, detection, hedging, to_failure
from turmericflow.tables import RequestId, RequestRow, StreamRow, Tables, Target
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict

MAX_ATTEMPTS_AT_ONCE = 3
REFUSED_WAIT_S = 0.05


def _unnamed(request_id: RequestId) -> NewRequest:
    """Return a request of which only the key is known."""
    profile = Profile("unknown", "unknown", idempotent=False)
    return NewRequest(request_id, profile, "", 1, b"", "", 1, True)


class Runner:
    """Runs requests on targets, and resumes them when a target is lost."""

    def __init__(
        self,
        tables: Tables,
        claimant: Claimant,
        engines: EngineClient,
        plain: PlainClient,
        suspects: Suspects,
        journal: Journal,
        dispatch: Dispatch,
        clock: ListeningClock,
        stats: Stats,
    ) -> None:
        self._tables = tables
        self._claimant = claimant
        self._work = TargetWork(tables, engines, plain, clock)
        self._suspects = suspects
        self._journal = journal
        self._dispatch = dispatch
        self._stats = stats
        self._tasks: set[asyncio.Task] = set()
        self._courses: dict[RequestId, Course] = {}
        self._quarantine = Quarantine(tables, dispatch, self._courses)
        self._sweeper = Sweeper(tables, self._courses, self.stop, stats)

    async def submit(
        self, new: NewRequest, refusal: Failure | None = None
    ) -> RequestRow:
        """Claim a request and start to run it, or follow its runner.

        ``refusal`` says why it is not to be run if it is new.
        The claim goes on when its caller leaves.

        Raises
        ------
        RequestFailed
            If the claim is refused.
        """
        task = self._spawn(self._submit(new, refusal))
        return await asyncio.shield(task)

    async def _submit(self, new: NewRequest, refusal: Failure | None) -> RequestRow:
        content = crashers.fingerprint(new.profile, new.prompt)
        refusal = refusal or await self._quarantine.held(new, content)
        refusal = refusal or self._dispatch.admit(new)
        if refusal is not None:
            row = await self._claimant.seal(new, refusal)
        else:
            row = await self._claim_admitted(new)
        self._take_up(row, content)
        return row

    async def _claim_admitted(self, new: NewRequest) -> RequestRow:
        """Claim what admission counts, and uncount what another host runs.

        Copies of running requests would else count as work ahead of new
        requests, which would be refused for a wait that nobody has.
        """
        granted = False
        try:
            row = await self._claimant.claim(new)
            granted = self._tables.requests.rows.get(row.request_id) is row
            return row
        finally:
            if not granted:
                self._dispatch.withdraw(new)

    def _take_up(self, row: RequestRow, content: str) -> None:
        """Run a row if it was granted to this host and does not run yet."""
        present = self._tables.requests.rows.get(row.request_id)
        course = self._courses.get(row.request_id)
        if present is row and (course is None or course.row is not row):
            course = Course(row, content)
            self._courses[row.request_id] = course
            course.task = self._spawn(self._run(course))

    async def attach(self, request_id: RequestId) -> RequestRow:
        """Follow a known request, or run it on if its runner was lost.

        Raises
        ------
        RequestFailed
            If no such request is known, or it cannot go on.
        """
        return await asyncio.shield(self._spawn(self._attach(request_id)))

    async def _attach(self, request_id: RequestId) -> RequestRow:
        row = await self._claimant.claim(_unnamed(request_id))
        if self._tables.requests.rows.get(request_id) is row and row.body:
            restore(row, self._tables.config.profiles)
            self._take_up(row, crashers.fingerprint(row.profile, row.prompt))
        return row

    async def runner_of(self, request_id: RequestId) -> str | None:
        """Return the host that runs a request, or None if it has ended.

        Raises
        ------
        RequestFailed
            If no such request is known.
        """
        if request_id in self._courses:
            return self._tables.host
        match await self._claimant.look_up(_unnamed(request_id)):
            case wire.Attached(runner=runner):
                return runner
            case wire.Refused(failure=failure):
                failure = to_failure(failure)
                if failure.code in (ErrorCode.NOT_FOUND, ErrorCode.RETENTION):
                    raise RequestFailed(failure)
        return None

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def suspect(self, stream: StreamRow) -> None:
        """Take in that a stream has been silent for too long."""
        course = self._courses.get(stream.request_id)
        if course is not None:
            course.post(Suspected(stream))

    def stop(self, request_id: RequestId, code: ErrorCode, message: str) -> bool:
        """End a request that runs here; return whether there was one."""
        course = self._courses.get(request_id)
        if course is None or course.over or course.ending:
            return False
        course.stopped_by = course.failure(code, message)
        course.task.cancel()
        return True

    def sweep(self, now: float) -> None:
        """End what was replaced or left, and forget requests that ended."""
        self._claimant.sweep(now)
        self._sweeper.sweep(now)
        self._suspects.sweep()

    async def _run(self, course: Course) -> None:
        row = course.row
        deadline = asyncio.get_running_loop().time() + row.profile.deadline_s
        try:
            async with asyncio.timeout_at(deadline):
                await self._start(course)
                while not course.over:
                    await self._react(course, await course.next_event())
            if row.complete:
                await self._suspects.answered(course.content)
        except TimeoutError:
            message = f"no whole answer within {row.profile.deadline_s} s"
            failure = course.failure(ErrorCode.DEADLINE, message)
            await self._fail(course, failure)
        except RequestFailed as exc:
            await self._fail(course, exc.failure)
        except asyncio.CancelledError:
            if course.stopped_by is not None:
                await self._fail(course, course.stopped_by)
        finally:
            self._close(course)

    def _close(self, course: Course) -> None:
        for attempt in list(course.attempts):
            course.drop(attempt)
            attempt.task.cancel()
        if self._courses.get(course.row.request_id) is course:
            del self._courses[course.row.request_id]

    async def _fail(self, course: Course, failure: Failure) -> None:
        row = course.row
        if course.over:
            return
        course.ending = True
        for attempt in list(course.attempts):
            self._abandon(course, attempt)
        self._stats.count(f"runner.failed.{failure.code}")
        if failure.verdict is not Verdict.NOT_RUN:
            row.failure = failure
            row.ended = True
            row.wake()
        await self._claimant.fail(row, failure)

    async def _start(self, course: Course) -> None:
        """Go on with a running stream if there is one, else start or resume."""
        row = course.row
        last = row.attempts[-1].target if row.attempts else ""
        target = self._tables.targets.rows.get(last)
        if target is None or row.profile.kind is ProfileKind.CALL:
            await self._resume(course)
            return
        self._stats.count("runner.attached")
        attempt = self._work.attempt(row, row.attempt, target)
        attempt.placed = False
        self._launch(course, attempt, self._work.attach(row, target))

    async def _resume(self, course: Course) -> None:
        """Start an attempt with all tokens so far as its prefix."""
        self._check_may_run(course)
        self._quarantine.renew_profile(course)
        target = await self._quarantine.place(course)
        if course.row.attempts:
            self._stats.count("runner.resumed")
        self._begin(course, target)

    def _check_may_run(self, course: Course) -> None:
        """Raise unless another attempt is the same run or cannot be a second.

        Work that is not idempotent is resumed only with a prefix: the engine
        that began it is gone, and what it gave is kept.
        """
        row = course.row
        if row.profile.idempotent or not course.may_have_run or row.tokens:
            return
        message = "the target was lost before its first output, and may have run this"
        raise RequestFailed(course.failure(ErrorCode.TARGET_FAILED, message))

    def _begin(self, course: Course, target: Target) -> None:
        row = course.row
        row.dispatched = True
        self._stats.count("runner.attempts")
        attempt = self._work.attempt(row, course.next_number(), target)
        self._launch(course, attempt, self._work.start(row, attempt))

    def _launch(self, course: Course, attempt: Attempt, work: Work) -> None:
        course.add(attempt)
        self._journal.changed(course.row)
        detection.open_stream(self._tables.streams, attempt.stream)
        attempt.task = self._spawn(self._listen(course, attempt, work))
        attempt.task.add_done_callback(lambda _: self._left(course, attempt))

    def _left(self, course: Course, attempt: Attempt) -> None:
        hedging.release(self._tables.streams, attempt.stream)
        detection.close_stream(self._tables.streams, attempt.stream)
        if attempt.placed:
            self._dispatch.release(course.row, attempt.target, attempt.lost)

    async def _listen(
        self,
        course: Course,
        attempt: Attempt,
        work: Work,
    ) -> None:
        """Take an attempt's output until it ends, fails or counts no more."""

        def take(output: EngineOutput) -> bool:
            if attempt.live:
                self._work.heard(course.row, attempt, len(output.texts))
                self._take(course, attempt, output)
            return attempt.live

        try:
            await work(take)
        except TargetFailed as exc:
            attempt.lost = exc.lost
            if exc.lost and exc.verdict is Verdict.MAY_HAVE_RUN:
                await self._suspect_contents(course, attempt)
            if attempt.live:
                self._stats.count("runner.target_failed")
                course.post(Lost(attempt, exc))

    async def _suspect_contents(self, course: Course, attempt: Attempt) -> None:
        """Put suspicion on all that ran on a target when its connections broke."""
        name = attempt.target.name
        if course.row.profile.kind is ProfileKind.GENERATION:
            contents = {course.content, *self._quarantine.contents_on(name)}
            await self._suspects.lost(name, sorted(contents))

    def _take(self, course: Course, attempt: Attempt, output: EngineOutput) -> None:
        row = course.row
        if row.attempt != attempt.number:
            self._stats.count("runner.hedge_won")
        beaten = course.take(attempt, output.texts)
        if beaten:
            self._decide(course, attempt, beaten)
        if course.failing_since is not None:
            course.failing_since = None
            course.refused_by.clear()
        if output.done:
            row.complete = True
            course.post(Done())
        self._journal.changed(row)

    def _decide(self, course: Course, first: Attempt, beaten: list[Attempt]) -> None:
        """Keep the first attempt that gave output, and drop the others."""
        tables = self._tables
        hedging.on_wasted(tables.streams, tables.load.wasted_hedges, first.stream)
        for attempt in beaten:
            hedging.on_won(tables.streams, attempt.stream)
            self._abandon(course, attempt)

    def _abandon(self, course: Course, attempt: Attempt) -> None:
        """Drop an attempt and free its place on the target."""
        course.drop(attempt)
        course.may_have_run = True
        attempt.task.cancel()
        self._spawn(self._work.cancel(course.row, attempt))

    async def _react(self, course: Course, event: Lost | Suspected | Done) -> None:
        match event:
            case Lost(attempt=attempt, failure=failure):
                await self._on_lost(course, attempt, failure)
            case Suspected(stream=stream):
                await self._hedge(course, stream)
            case Done():
                pass

    async def _on_lost(
        self, course: Course, attempt: Attempt, failure: TargetFailed
    ) -> None:
        course.drop(attempt)
        row = course.row
        if failure.verdict is Verdict.RAN:
            answer = Failure(ErrorCode.TARGET_REFUSED, Verdict.RAN, str(failure))
            raise RequestFailed(answer)
        if failure.verdict is not Verdict.NOT_RUN:
            course.may_have_run = True
        if failure.verdict is not Verdict.NOT_RUN:
            self._spawn(self._work.cancel(row, attempt))
        if course.attempts:
            course.report_again()
            return
        row.dispatched = course.may_have_run
        self._check_time_left(course, failure)
        if attempt.target.name in course.refused_by:
            await asyncio.sleep(REFUSED_WAIT_S)
        course.refused_by.add(attempt.target.name)
        await self._resume(course)

    def _check_time_left(self, course: Course, failure: TargetFailed) -> None:
        """Raise if all attempts failed for as long as a caller waits."""
        now = time.monotonic()
        if course.failing_since is None:
            course.failing_since = now
        if now - course.failing_since > course.row.profile.wait_s:
            message = f"no target gave output, the last one said: {failure}"
            raise RequestFailed(course.failure(ErrorCode.TARGET_FAILED, message))

    async def _hedge(self, course: Course, stream: StreamRow) -> None:
        """Start a second attempt while still listening to the silent one."""
        attempt = course.find(stream)
        if attempt is None:
            return
        target = await self._place_hedge(course, attempt)
        if target is None:
            hedging.release(self._tables.streams, stream)
            return
        self._stats.count("runner.hedged")
        self._begin(course, target)

    async def _place_hedge(self, course: Course, silent: Attempt) -> Target | None:
        """Return a place for a second attempt, or None if there is to be none."""
        row, stream = course.row, silent.stream
        if not stream.suspected or not row.profile.idempotent:
            return None
        if len(course.attempts) >= MAX_ATTEMPTS_AT_ONCE:
            return None
        if crashers.loss_count(self._tables.suspects, course.content, time.time()) > 1:
            return None
        exclude = frozenset(each.target.name for each in course.attempts)
        if not self._quarantine.has_other(row, exclude):
            stream.suspected = False
            return None
        try:
            target = await self._dispatch.place(row, exclude)
        except RequestFailed:
            stream.suspected = False
            return None
        if course.over or not (silent.live and stream.suspected):
            self._dispatch.release(row, target, False)
            return None
        return target
