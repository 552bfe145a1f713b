"""Streams from engines, resumed at another engine when one is lost."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Set
from dataclasses import replace
from typing import Protocol

import structlog
from multidict import CIMultiDict

from turmericflow.relay import (
    _limited_targets as limited_targets,
    _membership as membership,
    _placement as placement,
    _silence as silence,
)
from turmericflow.relay._attempts import (
    AttemptOutcome,
    Attempts,
    NotAllowedYet,
)
from turmericflow.relay._call import KvCopy, Reply
from turmericflow.relay._events import Event, EventReader, EventsInvalid
from turmericflow.relay._stream_versions import version_of
from turmericflow.relay._tables import AbortReason, Run
from turmericflow.relay._target_tables import Target
from turmericflow.relay.version_binding import ShowAtOnce, ShowEvents, VersionBinding
from turmericflow.verdict import TargetFailed, Verdict

MIN_NON_STREAM_STATUS = 300  # responses from this status on carry no events
MIN_SERVER_ERROR_STATUS = 500
MAX_BUDGET_WAIT_S = 0.5  # most routes allow a pause this long
BUDGET_RETRY_INTERVAL_S = 0.05  # half of the least time for usage to reach all hosts
MAX_IDLE_BYTES = 65_536  # of complete events, none of them new
MAX_HELD_BYTES = 65_536  # of events that are not shown yet
SHOW_CHECK_INTERVAL_S = 0.02  # a small part of the time that a record takes
READ_RECORDS_AFTER_S = 1.5  # of waiting for a record
PIECE_BYTES = 4096  # events that are handled before other requests have their turn

log = structlog.get_logger()


class ResponseWriter(Protocol):
    """Writes a response to a caller."""

    async def begin(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the status and headers."""
        ...

    async def write(self, data: bytes) -> None:
        """Send body bytes; waits while the caller reads too slowly."""
        ...

    async def end(self) -> None:
        """Complete the response."""
        ...


class Stream:
    """Serve one stream to a caller, resuming it at other engines after failures.

    Attributes
    ----------
    begun
        Whether the response headers were sent to the caller.
    """

    __slots__ = (
        "_attempts",
        "_binding",
        "_writer",
        "_kv_copy",
        "_last_event_id",
        "_paused_at",
        "_interrupted",
        "_show",
        "_held",
        "_showing",
        "begun",
    )

    def __init__(self, attempts: Attempts, writer: ResponseWriter) -> None:
        self._attempts = attempts
        self._binding = VersionBinding(attempts)
        self._writer = writer
        self._kv_copy: KvCopy | None = None
        self._last_event_id = attempts.call.last_event_id
        self._paused_at: float | None = None
        self._interrupted: Run | None = None
        self._show: ShowEvents = ShowAtOnce()
        self._held = bytearray()  # events that are not shown yet
        self._showing: asyncio.Task[None] | None = None
        self.begun = False

    async def run(self) -> None:
        """Forward the stream until it is complete.

        Raises
        ------
        RequestFailed
            If the stream cannot be completed. If it has begun, the connection to
            the caller must be aborted.
        """
        try:
            await self._run()
        finally:
            if self._showing is not None and not self._showing.cancel():
                self._showing.exception()  # a caller that has left; not logged

    async def _run(self) -> None:
        attempts = self._attempts
        await self._binding.bind_resumed()
        self._binding.bind_new()
        if attempts.ctx.admission is not None:
            await attempts.ctx.admission.enter(attempts)
        while True:
            if attempts.remaining_s <= 0:
                raise attempts.build_timeout()
            try:
                target = self._choose()
            except NotAllowedYet:
                if not self._may_wait():
                    raise
                await asyncio.sleep(BUDGET_RETRY_INTERVAL_S)
                continue
            outcome = await self._attempt(target)
            if outcome is AttemptOutcome.DONE:
                return
            if outcome is AttemptOutcome.TIMEOUT:
                raise attempts.build_timeout()
            self._paused_at = self._paused_at or attempts.ctx.clock.now()

    def _may_wait(self) -> bool:
        """Return whether a paused stream may still wait for budgets and limits."""
        paused_at, now = self._paused_at, self._attempts.ctx.clock.now()
        return paused_at is not None and now - paused_at < MAX_BUDGET_WAIT_S

    def _choose(self) -> Target:
        """Return the engine that holds the copy of the KV cache, or another one.

        This charges the retry budget, except for the first send, and unless it was
        charged when the last attempt was cancelled.
        """
        attempts, copy = self._attempts, self._kv_copy
        interrupted, self._interrupted = self._interrupted, None
        if interrupted is not None:
            attempts.check_content()
            demand = attempts.placement_demand()
            if attempts.ctx.admission is not None:
                demand = attempts.ctx.admission.prefer_room(demand, resumes=True)
            destination = silence.find_destination(
                attempts.ctx.tables,
                demand,
                copy,
                interrupted.silent_targets,
                attempts.ctx.clock.now(),
                attempts.ctx.rng,
            )
            if destination is not None:
                if copy is not None and copy.holder != destination.entry.address:
                    self._kv_copy = None
                return destination
        if copy is not None:
            now = attempts.ctx.clock.now()
            holder = placement.find_holder(
                attempts.ctx.tables.targets,
                attempts.placement_demand(),
                copy.holder,
                now,
            )
            if holder is not None and now >= holder.backoff_until:
                if limited_targets.has_token(attempts.ctx.tables, holder, now):
                    attempts.check_budget()
                    return holder
                if self._may_wait():
                    raise attempts.build_limit_refusal()
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
        demand = attempts.placement_demand(
            excluded_data_centre=target.entry.data_centre
        )
        demand = replace(
            demand, version=version_of(target.entry), excluded_versions=frozenset()
        )
        now = ctx.clock.now()
        demand = limited_targets.constrain(ctx.tables, demand, now)
        if ctx.admission is not None:
            demand = ctx.admission.constrain_backup(demand)
            if demand is None:
                return None
        hosts = membership.count_live_hosts(ctx.tables, now)
        return placement.choose_backup(ctx.tables.targets, demand, now, ctx.rng, hosts)

    async def _attempt(self, target: Target) -> AttemptOutcome:
        attempts = self._attempts
        tables = attempts.ctx.tables
        prompt_tokens = attempts.call.prompt_tokens
        run = attempts.begin_run(target)
        dispatch = attempts.build_dispatch(target)
        dispatch.kv_copy, self._kv_copy = self._kv_copy, None
        run.prefills_alone = (
            dispatch.kv_copy is None and target.pending_prefill_tokens == prompt_tokens
        )
        run.relayed = dispatch.via is not None
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
            via=dispatch.via and dispatch.via.name,
            resumes=attempts.call.resumes,
            version=target.entry.version,
            due_s=round(run.first_event_due_s, 3),
            view=tables.targets.revision,
        )
        if self._paused_at is not None:
            how = "copy" if dispatch.kv_copy is not None else "prompt"
            attempts.ctx.metrics.resumes.labels(how).inc()
        reply = None
        tables.runs.add(run)
        show = self._binding.announce(target)
        if not self._held:
            self._show = show
        try:
            async with asyncio.timeout_at(attempts.deadline) as run.timeout:
                sent_at = attempts.ctx.clock.now()
                reply = await attempts.ctx.target_client.send(attempts.call, dispatch)
                attempts.record_head(target, reply, sent_at, run.relayed)
                if reply.not_run:
                    had_copy = dispatch.kv_copy is not None
                    return attempts.record_refused(target, reply, had_copy)
                if not reply.genuine or reply.status >= MIN_SERVER_ERROR_STATUS:
                    return attempts.record_failed(target, f"status {reply.status}")
                if reply.status >= MIN_NON_STREAM_STATUS:
                    await self._forward_response(run, reply)
                else:
                    await self._forward_events(run, reply)
                attempts.record_done(target)
                return AttemptOutcome.DONE
        except TimeoutError:
            return self._record_interruption(run)
        except EventsInvalid as exc:
            self._save_kv_copy(run)
            return attempts.record_failed(target, str(exc))
        except TargetFailed as exc:
            self._save_kv_copy(run)
            without_output = not run.events
            return attempts.record_lost(
                target,
                exc,
                may_be_crash=without_output,
                writing=without_output and reply is not None,
                via=dispatch.via,
            )
        finally:
            self._interrupted = run if run.abort_reason is not None else None
            tables.runs.discard(run)
            attempts.end_run(run)
            if attempts.ctx.admission is not None:
                attempts.ctx.admission.record_end(run)
            if reply is not None:
                reply.close()

    def _record_interruption(self, run: Run) -> AttemptOutcome:
        attempts = self._attempts
        if run.abort_reason is None:
            attempts.may_have_run += 1
            attempts.record_answer(ok=False)
            return AttemptOutcome.TIMEOUT
        if run.abort_reason is AbortReason.CRASHING_PART:
            attempts.may_have_run += 1
            attempts.check_content()
        self._save_kv_copy(run)
        now = attempts.ctx.clock.unstalled_now()
        message = f"{run.abort_reason}: no event for {now - run.last_event_at:.3f} s"
        lost = now - run.target.last_event_at >= silence.MIN_SILENCE_S
        failed = TargetFailed(Verdict.MAY_HAVE_RUN, message, lost, silent=True)
        return attempts.record_lost(run.target, failed, may_be_crash=False)

    def _save_kv_copy(self, run: Run) -> None:
        """Use the run's KV cache copy for the next attempt.

        A copy exists only after the first event.
        """
        if run.events:
            self._kv_copy = run.kv_copy

    async def _forward_events(self, run: Run, reply: Reply) -> None:
        reader = EventReader()
        idle_bytes = 0  # of comments and events already seen, since the last new event
        async for piece in _pieces(reply):
            try:
                events = reader.feed(piece)
            except EventsInvalid as exc:
                await self._forward_new(run, reply, exc.preceding)
                raise
            idle_bytes += sum(len(event.data) for event in events)
            if await self._forward_new(run, reply, events):
                idle_bytes = 0
            if idle_bytes > MAX_IDLE_BYTES:
                raise EventsInvalid(f"got {idle_bytes} bytes without a new event")
        if reader.remainder.strip():
            raise EventsInvalid(
                "stream ended within an event, expected a complete event"
            )
        run.waiting_on_caller = True  # the engine has sent all
        await self._end_showing()
        await self._send_headers(reply)
        await self._writer.end()

    async def _forward_new(self, run: Run, reply: Reply, events: list[Event]) -> bool:
        """Forward the events that are new; return whether there were any."""
        last, data = self._last_event_id, []
        try:
            for event in events:
                if self._is_next_event(event.id):
                    data.append(event.data)
        finally:
            # Also events before an invalid one, as the next attempt goes on after them.
            if self._last_event_id != last:
                self._record_event(run)
            if data:
                await self._write(run, reply, b"".join(data))
        return self._last_event_id != last

    async def _forward_response(self, run: Run, reply: Reply) -> None:
        """Forward a response that is not an event stream unchanged."""
        if self.begun or self._held:
            raise EventsInvalid(
                f"got status {reply.status} for a resumed stream, expected events"
            )
        attempts = self._attempts
        answer = await attempts.ctx.answer_memory.read(reply, attempts.call.hold)
        await self._send_headers(reply)
        for block in answer.body.blocks:
            await self._write(run, reply, block)
        await self._writer.end()

    def _is_next_event(self, id: int | None) -> bool:
        """Return whether to forward an event: the next one, not a duplicate.

        Comments are forwarded once the response has begun.

        Raises
        ------
        EventsInvalid
            If events are missing in between.
        """
        if id is None:
            return self.begun
        last = self._last_event_id
        if last is not None and id <= last:
            return False
        if last is not None and id != last + 1:
            raise EventsInvalid(f"got event {id}, expected {last + 1}")
        self._last_event_id = id
        return True

    def _record_event(self, run: Run) -> None:
        attempts = self._attempts
        ctx = attempts.ctx
        if not run.events:
            run.target.own_load.pending_prefill_tokens -= attempts.call.prompt_tokens
            if not self.begun:
                elapsed_s = ctx.clock.now() - attempts.call.arrived_at
                ctx.metrics.first_event_seconds.observe(elapsed_s)
        now = ctx.clock.unstalled_now()
        if run.held:
            log.info(
                "stream_continued",
                request=attempts.call.id,
                target=run.target.entry.key,
                silent_s=round(now - run.last_event_at, 3),
            )
        silence.record_event(ctx.tables, run, now)
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
            self._bind(run)
            placement.record_success(run.target)
            attempts.record_output()
            log.info(
                "stream_begun",
                request=attempts.call.id,
                target=run.target.entry.key,
                event_id=self._last_event_id,
                after_s=round(ctx.clock.unstalled_now() - run.started_at, 3),
                due_s=round(run.first_event_due_s, 3),
            )

    def _bind(self, run: Run) -> None:
        """Bind the stream to the version that sent its first event."""
        attempts = self._attempts
        if attempts.version is None:
            attempts.version = version_of(run.target.entry)
            run.demand = replace(run.demand, version=attempts.version)

    async def _send_headers(self, reply: Reply) -> None:
        if not self.begun:
            self.begun = True
            await self._writer.begin(reply.status, reply.headers)

    def _hold(self, reply: Reply, data: bytes) -> bool:
        """Hold data back if its version is not known everywhere; return whether."""
        if (
            self.begun
            or self._binding.may_show(self._show)
            or len(self._held) > MAX_HELD_BYTES
        ):
            return False
        self._held += data
        if self._showing is None:
            self._showing = asyncio.create_task(self._show_later(reply))
        return True

    async def _show_later(self, reply: Reply) -> None:
        ctx = self._attempts.ctx
        read_at = ctx.clock.now() + READ_RECORDS_AFTER_S
        while not self._binding.may_show(self._show):
            await asyncio.sleep(SHOW_CHECK_INTERVAL_S)
            if ctx.clock.now() >= read_at:
                # The host that writes them may not have been heard.
                await ctx.read_versions()
                read_at = ctx.clock.now() + READ_RECORDS_AFTER_S
        await self._send_headers(reply)
        data, self._held = bytes(self._held), bytearray()
        await self._writer.write(data)

    async def _end_showing(self) -> None:
        """Wait until the events that were held back are shown."""
        if self._showing is not None:
            await asyncio.shield(self._showing)
            self._showing = None

    async def _write(self, run: Run, reply: Reply, data: bytes) -> None:
        if run.events and self._hold(reply, data):
            return
        run.waiting_on_caller = True
        try:
            await self._end_showing()
            await self._send_headers(reply)
            await self._writer.write(data)
        finally:
            run.waiting_on_caller = False


async def _pieces(reply: Reply) -> AsyncIterator[bytes]:
    """Yield the body; other tasks run between the pieces of a large chunk."""
    async for chunk in reply.chunks():
        for start in range(0, len(chunk), PIECE_BYTES):
            if start:
                await asyncio.sleep(0)
            yield chunk[start : start + PIECE_BYTES]


def interrupt(
    run: Run, reason: AbortReason, silent_targets: Set[str], now: float
) -> None:
    """Cancel a running attempt so that its stream resumes at another target.

    The retry budget must have been charged for the next attempt.
    """
    run.abort_reason = reason
    run.silent_targets = silent_targets
    if run.timeout is not None and not run.timeout.expired():
        run.timeout.reschedule(now)
