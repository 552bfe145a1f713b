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
from turmericflow.relay._call import Copy, Reply
from turmericflow.relay._events import EventReader, EventsInvalid
from turmericflow.relay._tables import Fault, Run
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
        "_copy",
        "_last_event",
        "_paused_at",
        "begun",
    )

    def __init__(self, attempts: Attempts, outlet: Outlet) -> None:
        self._attempts = attempts
        self._outlet = outlet
        self._copy: Copy | None = None
        self._last_event = attempts.call.last_event
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
            self._paused_at = self._paused_at or attempts.parts.clock.now()

    def _may_wait(self) -> bool:
        """Return whether the budget of all hosts may have something left in time."""
        paused_at, now = self._paused_at, self._attempts.parts.clock.now()
        return paused_at is not None and now - paused_at < BUDGET_WAIT_S

    def _choose(self) -> Target:
        """Return the engine that holds a copy of the run's memory, or another."""
        attempts, copy = self._attempts, self._copy
        if copy is not None:
            table = attempts.parts.tables.targets
            service = attempts.match.service
            holder = placement.at_address(table, service, copy.holder)
            now = attempts.parts.clock.now()
            if holder is not None and now >= holder.out_until:
                attempts.check_budget()
                return holder
        self._copy = None
        return attempts.choose()

    def _choose_backup(self, target: Target) -> Target | None:
        attempts = self._attempts
        parts = attempts.parts
        service = parts.tables.deployment.services.get(attempts.match.service)
        if not (service and service.engine and service.engine.keeps_copies):
            return None
        if not attempts.match.route.resumable:
            return None
        demand = attempts.demand(not_in=target.entry.data_centre)
        now = parts.clock.now()
        hosts = membership.count_live_hosts(parts.tables, now)
        return placement.choose_backup(
            parts.tables.targets, demand, now, parts.rng, hosts
        )

    async def _attempt(self, target: Target) -> Ending:
        attempts = self._attempts
        tables = attempts.parts.tables
        unread = attempts.call.prompt_tokens
        run = attempts.begin(target)
        dispatch = attempts.dispatch(target)
        dispatch.copy, self._copy = self._copy, None
        run.reads_alone = dispatch.copy is None and target.unread_tokens == unread
        dispatch.last_event = self._last_event
        backup = self._choose_backup(target)
        if backup is not None:
            run.keep_backup(backup)
            dispatch.backup = backup.entry.address
        log.info(
            "stream_sent",
            request=attempts.call.id,
            target=target.entry.key,
            address=target.entry.address,
            backup=dispatch.backup,
            copy=dispatch.copy is not None,
            last_event=dispatch.last_event,
            due_s=round(run.due_s, 3),
            view=tables.targets.revision,
        )
        if self._paused_at is not None:
            how = "copy" if dispatch.copy is not None else "prompt"
            attempts.parts.metrics.resumes.labels(how).inc()
        reply = None
        tables.runs.add(run)
        attempts.parts.announce_load()
        try:
            async with asyncio.timeout_at(attempts.deadline) as run.scope:
                reply = await attempts.parts.targets.send(attempts.call, dispatch)
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
        if run.fault is None:
            attempts.may_have_run += 1
            return Ending.TIMEOUT
        self._keep_copy(run)
        now = attempts.parts.clock.listening()
        message = f"{run.fault}: no event for {now - run.heard_at:.3f} s"
        lost = now - run.target.heard_at >= silence.MIN_SILENCE_S
        failed = TargetFailed(Verdict.MAY_HAVE_RUN, message, lost)
        return attempts.note_lost(run.target, failed, began=False, evidence="silence")

    def _keep_copy(self, run: Run) -> None:
        """Go on from the copy of the run's memory, kept from its first event on."""
        if run.events:
            self._copy = run.copy

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
        last = self._last_event
        if last is not None and id <= last:
            return False
        if last is not None and id != last + 1:
            raise EventsInvalid(f"got event {id}, expected {last + 1}")
        self._last_event = id
        return True

    def _note_heard(self, run: Run) -> None:
        attempts = self._attempts
        parts = attempts.parts
        if not run.events:
            run.target.own.unread_tokens -= attempts.call.prompt_tokens
            if not self.begun:
                elapsed_s = parts.clock.now() - attempts.call.arrived_at
                parts.metrics.first_event_seconds.observe(elapsed_s)
        silence.heard(parts.tables, run, parts.clock.listening())
        if self._paused_at is not None:
            pause_s = parts.clock.now() - self._paused_at
            self._paused_at = None
            parts.metrics.resume_seconds.observe(pause_s)
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
                event_id=self._last_event,
                after_s=round(parts.clock.listening() - run.started_at, 3),
                due_s=round(run.due_s, 3),
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


def interrupt(run: Run, fault: Fault, now: float) -> None:
    """End an attempt from this side, so that its stream goes on elsewhere."""
    run.fault = fault
    if run.scope is not None:
        run.scope.reschedule(now)
