"""Runner: executes claimed requests on targets until they end."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

from turmericflow import wire
from turmericflow.profile import Profile, ProfileKind
from turmericflow.services._claimant import Claimant, NewRequest
from turmericflow.services._crash_suspects import CrashSuspects
from turmericflow.services._dispatch import Dispatch
from turmericflow.services._engine import EngineClient, EngineOutput, TargetFailed
from turmericflow.services._execution import (
    Attempt,
    AttemptFailed,
    Execution,
    OutputDone,
    StreamSilent,
)
from turmericflow.services._journal import Journal
from turmericflow.services._plain import PlainClient
from turmericflow.services._quarantine import Quarantine
from turmericflow.services._restore import restore
from turmericflow.services._stats import Stats
from turmericflow.services._sweeper import Sweeper
from turmericflow.services._target_work import ReadOutput, TargetWork
from turmericflow.services._watchdog import UnstalledClock
from turmericflow.systems import crashers, detection, hedging, to_failure
from turmericflow.tables import RequestId, RequestRow, StreamRow, Tables, Target
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict

MAX_CONCURRENT_ATTEMPTS = 3
REFUSED_RETRY_S = 0.05


def _placeholder_request(request_id: RequestId) -> NewRequest:
    """Return a placeholder for a request of which only the key is given."""
    profile = Profile("unknown", "unknown", idempotent=False)
    return NewRequest(request_id, profile, "", 1, b"", "", 1, True)


def _check_length(row: RequestRow, output: EngineOutput) -> None:
    """Raise `TargetFailed` if an engine sends more tokens than it was asked for."""
    tokens = output.start + len(output.texts)
    if row.profile.kind is ProfileKind.GENERATION and tokens > row.max_tokens:
        message = f"got {tokens} tokens, expected at most {row.max_tokens}"
        raise TargetFailed(Verdict.MAY_HAVE_RUN, message)


class Runner:
    """Run requests on targets, and resume them when a target is lost."""

    def __init__(
        self,
        tables: Tables,
        claimant: Claimant,
        engines: EngineClient,
        plain: PlainClient,
        crash_suspects: CrashSuspects,
        journal: Journal,
        dispatch: Dispatch,
        clock: UnstalledClock,
        stats: Stats,
    ) -> None:
        self._tables = tables
        self._claimant = claimant
        self._work = TargetWork(tables, engines, plain, clock)
        self._crash_suspects = crash_suspects
        self._journal = journal
        self._dispatch = dispatch
        self._stats = stats
        self._tasks: set[asyncio.Task] = set()
        self._executions: dict[RequestId, Execution] = {}
        self._quarantine = Quarantine(tables, dispatch, self._executions)
        self._sweeper = Sweeper(tables, self._executions, self.stop, stats)

    async def submit(
        self, new: NewRequest, refusal: Failure | None = None
    ) -> RequestRow:
        """Claim a request and run it here, or follow it at its runner.

        The claim continues if the caller disconnects.

        Parameters
        ----------
        new
            The request.
        refusal
            Reason to refuse the request if it is new, or None.

        Returns
        -------
        RequestRow
            The row to which the request's output is added.

        Raises
        ------
        RequestFailed
            If the claim is refused.
        """
        task = self._spawn(self._submit(new, refusal))
        return await asyncio.shield(task)

    async def _submit(self, new: NewRequest, refusal: Failure | None) -> RequestRow:
        content = crashers.fingerprint(new.profile, new.prompt)
        refusal = refusal or await self._quarantine.wait_while_held(new, content)
        refusal = refusal or self._dispatch.admit(new)
        if refusal is not None:
            row = await self._claimant.seal(new, refusal)
        else:
            row = await self._claim_admitted(new)
        self._start_execution(row, content)
        return row

    async def _claim_admitted(self, new: NewRequest) -> RequestRow:
        """Claim an admitted request; withdraw it if another host runs it.

        Otherwise duplicates of running requests would count as queued work,
        and new requests would be refused for a wait that does not exist.
        """
        granted = False
        try:
            row = await self._claimant.claim(new)
            granted = self._tables.requests.rows.get(row.request_id) is row
            return row
        finally:
            if not granted:
                self._dispatch.withdraw(new)

    def _start_execution(self, row: RequestRow, content: str) -> None:
        """Execute a row if this host holds its grant and does not run it yet."""
        current_row = self._tables.requests.rows.get(row.request_id)
        execution = self._executions.get(row.request_id)
        if current_row is row and (execution is None or execution.row is not row):
            execution = Execution(row, content)
            self._executions[row.request_id] = execution
            execution.task = self._spawn(self._run(execution))

    async def attach(self, request_id: RequestId) -> RequestRow:
        """Follow an existing request, or resume it here if its runner was lost.

        Raises
        ------
        RequestFailed
            If there is no such request, or it cannot be resumed.
        """
        return await asyncio.shield(self._spawn(self._attach(request_id)))

    async def _attach(self, request_id: RequestId) -> RequestRow:
        row = await self._claimant.claim(_placeholder_request(request_id))
        if self._tables.requests.rows.get(request_id) is row and row.body:
            restore(row, self._tables.config.profiles)
            self._start_execution(row, crashers.fingerprint(row.profile, row.prompt))
        return row

    async def runner_of(self, request_id: RequestId) -> str | None:
        """Return the host that runs a request, or None if the request has ended.

        Raises
        ------
        RequestFailed
            If there is no such request.
        """
        if request_id in self._executions:
            return self._tables.host
        match await self._claimant.look_up(_placeholder_request(request_id)):
            case wire.Attached(runner=runner):
                return runner
            case wire.Refused(failure=failure):
                failure = to_failure(failure)
                if failure.code in (ErrorCode.NOT_FOUND, ErrorCode.RETENTION):
                    raise RequestFailed(failure)
        return None

    def _spawn(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def on_silent_stream(self, stream: StreamRow) -> None:
        """Queue a check whether to hedge the request of a silent stream."""
        execution = self._executions.get(stream.request_id)
        if execution is not None:
            execution.post(StreamSilent(stream))

    def stop(self, request_id: RequestId, code: ErrorCode, message: str) -> bool:
        """End a request that runs here; return whether it was running."""
        execution = self._executions.get(request_id)
        if execution is None or execution.finished or execution.ending:
            return False
        execution.stop_failure = execution.make_failure(code, message)
        execution.task.cancel()
        return True

    def sweep(self, now: float) -> None:
        """End replaced and abandoned requests, and remove ended ones."""
        self._claimant.sweep(now)
        self._sweeper.sweep(now)
        self._crash_suspects.expire()

    async def _run(self, execution: Execution) -> None:
        row = execution.row
        deadline = asyncio.get_running_loop().time() + row.profile.deadline_s
        try:
            async with asyncio.timeout_at(deadline):
                await self._attach_or_resume(execution)
                while not execution.finished:
                    await self._handle(execution, await execution.next_event())
            if row.complete:
                await self._crash_suspects.clear(execution.content)
        except TimeoutError:
            message = f"no complete answer within {row.profile.deadline_s} s"
            failure = execution.make_failure(ErrorCode.DEADLINE, message)
            await self._fail(execution, failure)
        except RequestFailed as exc:
            await self._fail(execution, exc.failure)
        except asyncio.CancelledError:
            if execution.stop_failure is not None:
                await self._fail(execution, execution.stop_failure)
        finally:
            self._cleanup(execution)

    def _cleanup(self, execution: Execution) -> None:
        for attempt in list(execution.attempts):
            execution.drop(attempt)
            attempt.task.cancel()
        if self._executions.get(execution.row.request_id) is execution:
            del self._executions[execution.row.request_id]

    async def _fail(self, execution: Execution, failure: Failure) -> None:
        row = execution.row
        if execution.finished:
            return
        execution.ending = True
        for attempt in list(execution.attempts):
            self._cancel_attempt(execution, attempt)
        self._stats.count(f"runner.failed.{failure.code}")
        # A caller may get NOT_RUN only after the owner has recorded the failure.
        if failure.verdict is not Verdict.NOT_RUN:
            row.failure = failure
            row.ended = True
            row.wake()
        await self._claimant.fail(row, failure)

    async def _attach_or_resume(self, execution: Execution) -> None:
        """Attach to the last attempt's stream if possible, else start or resume."""
        row = execution.row
        last_target = row.attempts[-1].target if row.attempts else ""
        target = self._tables.targets.rows.get(last_target)
        if target is None or row.profile.kind is ProfileKind.CALL:
            await self._resume(execution)
            return
        self._stats.count("runner.attached")
        attempt = self._work.new_attempt(row, row.attempt, target)
        attempt.placed = False
        self._launch(execution, attempt, self._work.attach(row, target))

    async def _resume(self, execution: Execution) -> None:
        """Start an attempt that continues after the tokens received so far."""
        self._check_may_run(execution)
        self._quarantine.refresh_profile(execution)
        target = await self._quarantine.place(execution)
        if execution.row.attempts:
            self._stats.count("runner.resumed")
        self._start_attempt(execution, target)

    def _check_may_run(self, execution: Execution) -> None:
        """Raise if another attempt could execute non-idempotent work twice.

        Work that is not idempotent is resumed only after its first tokens: the
        engine that started it is lost, and its tokens are kept as the prefix.
        """
        row = execution.row
        if row.profile.idempotent or not execution.may_have_run or row.tokens:
            return
        message = (
            "the target was lost before its first output and may have run the request"
        )
        raise RequestFailed(execution.make_failure(ErrorCode.TARGET_FAILED, message))

    def _start_attempt(self, execution: Execution, target: Target) -> None:
        row = execution.row
        row.dispatched = True
        self._stats.count("runner.attempts")
        attempt = self._work.new_attempt(row, execution.next_attempt_number(), target)
        self._launch(execution, attempt, self._work.start(row, attempt))

    def _launch(self, execution: Execution, attempt: Attempt, read: ReadOutput) -> None:
        execution.add(attempt)
        self._journal.schedule(execution.row)
        detection.open_stream(self._tables.streams, attempt.stream)
        attempt.task = self._spawn(self._read_output(execution, attempt, read))
        attempt.task.add_done_callback(
            lambda _: self._on_attempt_done(execution, attempt)
        )

    def _on_attempt_done(self, execution: Execution, attempt: Attempt) -> None:
        hedging.release(self._tables.streams, attempt.stream)
        detection.close_stream(self._tables.streams, attempt.stream)
        if attempt.placed:
            self._dispatch.release(execution.row, attempt.target, attempt.target_lost)

    async def _read_output(
        self,
        execution: Execution,
        attempt: Attempt,
        read: ReadOutput,
    ) -> None:
        """Read an attempt's output until it ends, fails or is superseded."""

        def on_output(output: EngineOutput) -> bool:
            if attempt.live:
                _check_length(execution.row, output)
                self._work.on_output(execution.row, attempt, len(output.texts))
                self._on_output(execution, attempt, output)
            return attempt.live

        try:
            await read(on_output)
        except TargetFailed as exc:
            attempt.target_lost = exc.lost
            if exc.lost and exc.verdict is Verdict.MAY_HAVE_RUN:
                await self._report_loss(execution, attempt)
            if attempt.live:
                self._stats.count("runner.target_failed")
                execution.post(AttemptFailed(attempt, exc))

    async def _report_loss(self, execution: Execution, attempt: Attempt) -> None:
        """Report a lost target with all contents that were running there."""
        target_name = attempt.target.name
        if execution.row.profile.kind is ProfileKind.GENERATION:
            contents = {execution.content, *self._quarantine.contents_on(target_name)}
            await self._crash_suspects.report_loss(target_name, sorted(contents))

    def _on_output(
        self, execution: Execution, attempt: Attempt, output: EngineOutput
    ) -> None:
        row = execution.row
        if row.attempt != attempt.number:
            self._stats.count("runner.hedge_won")
        superseded = execution.add_tokens(attempt, output.texts)
        if superseded:
            self._settle_hedge(execution, attempt, superseded)
        if execution.failing_since is not None:
            execution.failing_since = None
            execution.failed_targets.clear()
        if output.done:
            row.complete = True
            execution.post(OutputDone())
        self._journal.schedule(row)

    def _settle_hedge(
        self, execution: Execution, winner: Attempt, superseded: list[Attempt]
    ) -> None:
        """Keep the attempt that sent output first, and cancel the others."""
        # Each call has an effect only if its stream was silent and hedged.
        tables = self._tables
        hedging.on_wasted(tables.streams, tables.load.wasted_hedges, winner.stream)
        for attempt in superseded:
            hedging.on_won(tables.streams, attempt.stream)
            self._cancel_attempt(execution, attempt)

    def _cancel_attempt(self, execution: Execution, attempt: Attempt) -> None:
        """Drop an attempt and cancel it on its target."""
        execution.drop(attempt)
        execution.may_have_run = True
        attempt.task.cancel()
        self._spawn(self._work.cancel(execution.row, attempt))

    async def _handle(
        self, execution: Execution, event: AttemptFailed | StreamSilent | OutputDone
    ) -> None:
        match event:
            case AttemptFailed(attempt=attempt, failure=failure):
                await self._on_attempt_failed(execution, attempt, failure)
            case StreamSilent(stream=stream):
                await self._hedge(execution, stream)
            case OutputDone():
                pass

    async def _on_attempt_failed(
        self, execution: Execution, attempt: Attempt, failure: TargetFailed
    ) -> None:
        execution.drop(attempt)
        row = execution.row
        if failure.verdict is Verdict.RAN:
            answer = Failure(ErrorCode.TARGET_REFUSED, Verdict.RAN, str(failure))
            raise RequestFailed(answer)
        if failure.verdict is not Verdict.NOT_RUN:
            execution.may_have_run = True
        if failure.verdict is not Verdict.NOT_RUN:
            self._spawn(self._work.cancel(row, attempt))
        if execution.attempts:
            execution.clear_suspicions()
            return
        row.dispatched = execution.may_have_run
        self._check_failing_time(execution, failure)
        if attempt.target.name in execution.failed_targets:
            await asyncio.sleep(REFUSED_RETRY_S)
        execution.failed_targets.add(attempt.target.name)
        await self._resume(execution)

    def _check_failing_time(self, execution: Execution, failure: TargetFailed) -> None:
        """Raise if attempts have been failing for the profile's whole ``wait_s``."""
        now = time.monotonic()
        if execution.failing_since is None:
            execution.failing_since = now
        if now - execution.failing_since > execution.row.profile.wait_s:
            message = f"no target sent output; the last failure was: {failure}"
            raise RequestFailed(
                execution.make_failure(ErrorCode.TARGET_FAILED, message)
            )

    async def _hedge(self, execution: Execution, stream: StreamRow) -> None:
        """Start a hedged attempt while still reading the silent stream."""
        attempt = execution.find(stream)
        if attempt is None:
            return
        target = await self._place_hedge(execution, attempt)
        if target is None:
            hedging.release(self._tables.streams, stream)
            return
        self._stats.count("runner.hedged")
        self._start_attempt(execution, target)

    async def _place_hedge(
        self, execution: Execution, silent: Attempt
    ) -> Target | None:
        """Return a target for a hedged attempt, or None if none is allowed or free.

        If none is free, the silence may be reported again.
        """
        row, stream = execution.row, silent.stream
        if not stream.suspected or not row.profile.idempotent:
            return None
        if len(execution.attempts) >= MAX_CONCURRENT_ATTEMPTS:
            return None
        if (
            crashers.loss_count(self._tables.suspects, execution.content, time.time())
            > 1
        ):
            return None
        exclude = frozenset(each.target.name for each in execution.attempts)
        if not self._quarantine.has_other_target(row, exclude):
            stream.suspected = False
            return None
        try:
            target = await self._dispatch.place(row, exclude)
        except RequestFailed:
            stream.suspected = False
            return None
        if execution.finished or not (silent.live and stream.suspected):
            self._dispatch.release(row, target, False)
            return None
        return target
