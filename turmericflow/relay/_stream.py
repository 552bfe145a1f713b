"""One stream of an engine: it goes on at another when its engine is lost."""

from __future__ import annotations

import asyncio
from typing import Protocol

import structlog
from multidict import CIMultiDict

from turmericflow.relay import (
    _membership as membership,
    _placement as placement,
    _silence as silence,
)
from turmericflow.relay._attempts import Attempts, BudgetUsedUp, Ending
from turmericflow.relay._call import KvCopy, Reply
from turmericflow.relay._events import EventReader, EventsInvalid
from turmericflow.relay._tables import AbortReason, Run
from turmericflow.relay._target_tables import Target
from turmericflow.verdict import TargetFailed, Verdict

NOT_EVENTS = 300  # answers with this status or a higher one are no streams
SERVER_FAILED = 500
BUDGET_WAIT_S = 0.5  # a pause that most routes still allow
BUDGET_PAUSE_S = 0.05  # half of the shortest time in which spending is known

log = structlog.get_logger()


class Outlet(Protocol):
    """Where a stream goes to its caller."""

    async def begin(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the head of the answer."""
        ...

    async def write(self, data: bytes) -> None:
        """Send some events; waits while the caller does not take them."""
        ...

    async def end(self) -> None:
        """End the answer as complete."""
        ...


class Stream:
    """One stream to a caller, over as many engines as it takes.

    Attributes
    ----------
    begun
        Whether the caller has had the head of the answer.
    """

    __slots__ = (
        "_attempts",
        "_outlet",
        "_kv_copy",
        "_last_event_id",
        "_paused_at",
        "begun",
    )

    def __init__(self, attempts: Attempts, outlet: Outlet) -> None:
        self._attempts = attempts
        self._outlet = outlet
        self._kv_copy: KvCopy | None = None
        self._last_event_id = attempts.call.last_event_id
        self._paused_at: float | None = None
        self.begun = False

    async def run(self) -> None:
        """Serve the stream to its end.

        Raises
        ------
        RequestFailed
            If it cannot be finished; when the stream has begun, the caller's
            connection is to be cut.
        """
        attempts = self._attempts
        while True:
            if attempts.remaining_s <= 0:
                raise attempts.timeout()
            try:
                target = self._choose()
            except BudgetUsedUp:
                if not self._may_wait():
                    raise
                await asyncio.sleep(BUDGET_PAUSE_S)
                continue
            ending = await self._attempt(target)
            if ending is Ending.DONE:
                return
            if ending is Ending.TIMEOUT:
                raise attempts.timeout()
            self._paused_at = self._paused_at or attempts.ctx.clock.now()

    def _may_wait(self) -> bool:
        """Return whether the budget of all hosts may have something left in time."""
        paused_at, now = self._paused_at, self._attempts.ctx.clock.now()
        return paused_at is not None and now - paused_at < BUDGET_WAIT_S

    def _choose(self) -> Target:
        """Return the engine that holds a copy of the run's memory, or another."""
        attempts, copy = self._attempts, self._kv_copy
        if copy is not None:
            table = attempts.ctx.tables.targets
            service = attempts.match.service
            holder = placement.find_at_address(table, service, copy.holder)
            now = attempts.ctx.clock.now()
            if holder is not None and now >= holder.backoff_until:
                attempts.check_budget()
                return holder
        self._kv_copy = None
        return attempts.choose()

    def _choose_backup(self, target: Target) -> Target | None:
        attempts = self._attempts
        ctx = attempts.ctx
        service = ctx.tables.deployment.services.get(attempts.match.service)
        if not (service and service.engine and service.engine.keeps_copies):
            return None
        if not attempts.match.route.resumable:
            return None
        demand = attempts.demand(excluded_data_centre=target.entry.data_centre)
        now = ctx.clock.now()
        hosts = membership.live_hosts(ctx.tables, now)
        return placement.choose_backup(ctx.tables.targets, demand, now, ctx.rng, hosts)

    async def _attempt(self, target: Target) -> Ending:
        attempts = self._attempts
        tables = attempts.ctx.tables
        unread = attempts.call.prompt_tokens
        run = attempts.begin(target)
        dispatch = attempts.dispatch(target)
        dispatch.kv_copy, self._kv_copy = self._kv_copy, None
        run.prefills_alone = (
            dispatch.kv_copy is None and target.pending_prefill_tokens == unread
        )
        dispatch.last_event_id = self._last_event_id
        backup = self._choose_backup(target)
        if backup is not None:
            run.set_backup(backup)
            dispatch.backup = backup.entry.address
        log.info(
            "stream_sent",
            request=attempts.call.id,
            target=target.entry.key,
            address=target.entry.address,
            backup=dispatch.backup,
            copy=dispatch.kv_copy is not None,
            last_event=dispatch.last_event_id,
            due_s=round(run.first_event_due_s, 3),
            view=tables.targets.revision,
        )
        if self._paused_at is not None:
            how = "copy" if dispatch.kv_copy is not None else "prompt"
            attempts.ctx.metrics.resumes.labels(how).inc()
        reply = None
        tables.runs.add(run)
        attempts.ctx.announce_load()
        try:
            async with asyncio.timeout_at(attempts.deadline) as run.timeout:
                reply = await attempts.ctx.target_client.send(attempts.call, dispatch)
                if reply.not_run:
                    return attempts.note_refused(target, reply)
                if not reply.genuine or reply.status >= SERVER_FAILED:
                    return attempts.note_failed(target, f"status {reply.status}")
                if reply.status >= NOT_EVENTS:
                    await self._pass_on(run, reply)
                else:
                    await self._forward(run, reply)
                attempts.note_done(target)
                return Ending.DONE
        except TimeoutError:
            return self._interrupted(run)
        except EventsInvalid as exc:
            self._keep_copy(run)
            return attempts.note_failed(target, str(exc))
        except TargetFailed as exc:
            self._keep_copy(run)
            return attempts.note_lost(target, exc, began=True)
        finally:
            tables.runs.discard(run)
            attempts.end(run)
            if reply is not None:
                reply.close()

    def _interrupted(self, run: Run) -> Ending:
        attempts = self._attempts
        if run.abort_reason is None:
            attempts.may_have_run += 1
            return Ending.TIMEOUT
        self._keep_copy(run)
        now = attempts.ctx.clock.unstalled_now()
        message = f"{run.abort_reason}: no event for {now - run.last_event_at:.3f} s"
        lost = now - run.target.last_event_at >= silence.MIN_SILENCE_S
        failed = TargetFailed(Verdict.MAY_HAVE_RUN, message, lost)
        return attempts.note_lost(run.target, failed, began=False, evidence="silence")

    def _keep_copy(self, run: Run) -> None:
        """Go on from the copy of the run's memory, kept from its first event on."""
        if run.events:
            self._kv_copy = run.kv_copy

    async def _forward(self, run: Run, reply: Reply) -> None:
        reader = EventReader()
        async for chunk in reply.chunks():
            events = reader.feed(chunk)
            data = []
            for event in events:
                if self._is_new(event.id):
                    data.append(event.data)
            if events:
                self._note_heard(run)
            if data:
                await self._write(run, reply, b"".join(data))
        if reader.rest.strip():
            raise EventsInvalid("got a stream that ends within an event")
        await self._begin(reply)
        await self._outlet.end()

    async def _pass_on(self, run: Run, reply: Reply) -> None:
        """Give the caller an answer that is no stream, as it is."""
        if self.begun:
            raise EventsInvalid(f"got status {reply.status} for a stream that goes on")
        async for chunk in reply.chunks():
            await self._write(run, reply, chunk)
        await self._begin(reply)
        await self._outlet.end()

    def _is_new(self, id: int | None) -> bool:
        """Return whether an event follows on the last one; false for a repeated one."""
        if id is None:
            return True
        last = self._last_event_id
        if last is not None and id <= last:
            return False
        if last is not None and id != last + 1:
            raise EventsInvalid(f"got event {id}, expected {last + 1}")
        self._last_event_id = id
        return True

    def _note_heard(self, run: Run) -> None:
        attempts = self._attempts
        ctx = attempts.ctx
        if not run.events:
            run.target.own_load.pending_prefill_tokens -= attempts.call.prompt_tokens
            if not self.begun:
                elapsed_s = ctx.clock.now() - attempts.call.arrived_at
                ctx.metrics.first_event_seconds.observe(elapsed_s)
        silence.record_event(ctx.tables, run, ctx.clock.unstalled_now())
        if self._paused_at is not None:
            pause_s = ctx.clock.now() - self._paused_at
            self._paused_at = None
            ctx.metrics.resume_seconds.observe(pause_s)
            log.info(
                "stream_resumed",
                request=attempts.call.id,
                target=run.target.entry.key,
                pause_s=round(pause_s, 3),
            )
        if run.events == 1:
            placement.note_success(run.target)
            log.info(
                "stream_begun",
                request=attempts.call.id,
                target=run.target.entry.key,
                event_id=self._last_event_id,
                after_s=round(ctx.clock.unstalled_now() - run.started_at, 3),
                due_s=round(run.first_event_due_s, 3),
            )

    async def _begin(self, reply: Reply) -> None:
        if not self.begun:
            self.begun = True
            await self._outlet.begin(reply.status, reply.headers)

    async def _write(self, run: Run, reply: Reply, data: bytes) -> None:
        run.waiting_on_caller = True
        try:
            await self._begin(reply)
            await self._outlet.write(data)
        finally:
            run.waiting_on_caller = False


def interrupt(run: Run, fault: AbortReason, now: float) -> None:
    """End an attempt from this side, so that its stream goes on elsewhere."""
    run.abort_reason = fault
    if run.timeout is not None:
        run.timeout.reschedule(now)
