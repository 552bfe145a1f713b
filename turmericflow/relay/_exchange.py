"""One request to a plain service: a whole answer, or a typed failure."""

from __future__ import annotations

import asyncio

from multidict import CIMultiDict

from turmericflow.relay._attempts import Attempts, Ending
from turmericflow.relay._call import Reply
from turmericflow.relay._target_tables import Target
from turmericflow.verdict import RequestFailed, TargetFailed, Verdict

MAX_ANSWER_BYTES = 16_000_000
SERVER_FAILED = 500


class Answer:
    """A target's whole answer."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: CIMultiDict[str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def _read(reply: Reply) -> bytes:
    parts, size = [], 0
    async for chunk in reply.chunks():
        parts.append(chunk)
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise TargetFailed(
                Verdict.MAY_HAVE_RUN, f"got an answer over {MAX_ANSWER_BYTES} bytes"
            )
    return b"".join(parts)


class Exchange:
    """Tries targets until one answers."""

    __slots__ = ("_attempts", "answer")

    def __init__(self, attempts: Attempts) -> None:
        self._attempts = attempts
        self.answer: Answer | None = None

    async def run(self) -> Answer:
        """Return the answer.

        Raises
        ------
        RequestFailed
            If there is none; the verdict says whether the request may have run.
        """
        attempts = self._attempts
        while True:
            if attempts.remaining_s <= 0:
                raise attempts.timeout()
            if self.answer is not None and not self._may_repeat():
                return self.answer
            try:
                target = attempts.choose()
            except RequestFailed:
                if self.answer is None:
                    raise
                return self.answer
            ending = await self._attempt(target)
            if ending is Ending.DONE:
                return self.answer
            if ending is Ending.TIMEOUT:
                raise attempts.timeout()

    def _may_repeat(self) -> bool:
        attempts = self._attempts
        route = attempts.match.route
        return route.repeatable and attempts.may_have_run < route.max_attempts

    async def _attempt(self, target: Target) -> Ending:
        attempts = self._attempts
        dispatch = attempts.dispatch(target)
        run = attempts.begin(target)
        reply = None
        try:
            async with asyncio.timeout_at(attempts.deadline):
                reply = await attempts.ctx.target_client.send(attempts.call, dispatch)
                if reply.not_run:
                    return attempts.note_refused(target, reply)
                body = await _read(reply)
        except TimeoutError:
            return attempts.note_timeout(target)
        except TargetFailed as exc:
            return attempts.note_lost(target, exc, began=True)
        finally:
            attempts.end(run)
            if reply is not None:
                reply.close()
        if not reply.genuine:
            return attempts.note_failed(target, "the answer is to another request")
        self.answer = Answer(reply.status, reply.headers, body)
        if reply.status >= SERVER_FAILED:
            return attempts.note_failed(target, f"status {reply.status}")
        attempts.note_done(target)
        return Ending.DONE
