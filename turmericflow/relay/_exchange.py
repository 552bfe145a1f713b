"""Requests to plain services, which answer with one response body."""

from __future__ import annotations

import asyncio

from turmericflow.relay._answers import Answer
from turmericflow.relay._attempts import AttemptOutcome, Attempts
from turmericflow.relay._target_tables import Target
from turmericflow.verdict import RequestFailed, TargetFailed

MIN_SERVER_ERROR_STATUS = 500


class Exchange:
    """Send one request to targets until one answers without a server error."""

    __slots__ = ("_attempts", "answer")

    def __init__(self, attempts: Attempts) -> None:
        self._attempts = attempts
        self.answer: Answer | None = None

    async def run(self) -> Answer:
        """Return the first successful response, or the last error response.

        Raises
        ------
        RequestFailed
            If no target answered; the verdict says whether the request may have run.
        """
        attempts = self._attempts
        while True:
            if attempts.remaining_s <= 0:
                raise attempts.build_timeout()
            if self.answer is not None and not self._may_retry():
                return self.answer
            try:
                target = attempts.choose()
            except RequestFailed:
                if self.answer is None:
                    raise
                return self.answer
            outcome = await self._attempt(target)
            if outcome is AttemptOutcome.DONE:
                return self.answer
            if outcome is AttemptOutcome.TIMEOUT:
                raise attempts.build_timeout()

    def _may_retry(self) -> bool:
        attempts = self._attempts
        route = attempts.match.route
        return route.repeatable and attempts.may_have_run < route.max_attempts

    async def _attempt(self, target: Target) -> AttemptOutcome:
        attempts = self._attempts
        dispatch = attempts.build_dispatch(target)
        run = attempts.begin_run(target)
        reply = None
        try:
            async with asyncio.timeout_at(attempts.deadline):
                sent_at = attempts.ctx.clock.now()
                reply = await attempts.ctx.target_client.send(attempts.call, dispatch)
                attempts.record_head(target, reply, sent_at, dispatch.via is not None)
                if reply.not_run:
                    return attempts.record_refused(target, reply)
                answer = await attempts.ctx.answer_memory.read(
                    reply, attempts.call.hold
                )
        except TimeoutError:
            return attempts.record_timeout(target)
        except TargetFailed as exc:
            return attempts.record_lost(
                target, exc, may_be_crash=True, via=dispatch.via
            )
        finally:
            attempts.end_run(run)
            if reply is not None:
                reply.close()
        if not reply.genuine:
            return attempts.record_failed(
                target, "the answer is to another request or has no receipt"
            )
        self.answer = answer
        if reply.status >= MIN_SERVER_ERROR_STATUS:
            return attempts.record_failed(target, f"status {reply.status}")
        attempts.record_done(target)
        return AttemptOutcome.DONE
