"""Answers of targets that are held until they are complete."""

from __future__ import annotations

from multidict import CIMultiDict

from turmericflow._body_memory import MAX_ANSWER_BYTES, BodyMemory, BodyTooLong
from turmericflow.relay._call import Reply
from turmericflow.relay.caller_limits import Body, BodyBuilder, Hold
from turmericflow.verdict import (
    ErrorCode,
    Failure,
    RequestFailed,
    TargetFailed,
    Verdict,
)


class Answer:
    """A target's complete response."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: CIMultiDict[str], body: Body) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class AnswerMemory:
    """Bounds the bytes that this host holds of answers that are not complete."""

    __slots__ = ("_memory",)

    def __init__(self) -> None:
        self._memory = BodyMemory()

    async def read(self, reply: Reply, hold: Hold) -> Answer:
        """Return a reply with its whole body, which stays charged to `hold`.

        Raises
        ------
        RequestFailed
            If this host has no memory for the body.
        TargetFailed
            If the connection fails, or the body is too long: over 16 MB, or over
            its share of the memory while that is used up.
        """
        body, charged, complete = BodyBuilder(), 0, False
        try:
            with self._memory.open() as held:
                # Room for a whole answer, so that not all of many wait for their rest.
                charged += await self._charge(reply.length or 0, hold)
                async for chunk in reply.chunks():
                    body.append(chunk)
                    held.add(len(chunk))
                    charged += await self._charge(len(body) - charged, hold)
                    held.check()
            complete = True
        except BodyTooLong as exc:
            raise TargetFailed(Verdict.MAY_HAVE_RUN, str(exc)) from exc
        finally:
            if not complete:
                body.clear()  # an error's traceback keeps this frame
                hold.release(charged)
        return Answer(reply.status, reply.headers, body.build())

    @staticmethod
    async def _charge(size: int, hold: Hold) -> int:
        size = max(0, min(size, MAX_ANSWER_BYTES))
        if size and not await hold.charge_answer(size):
            raise RequestFailed(
                Failure(
                    ErrorCode.TARGET_FAILED,
                    Verdict.MAY_HAVE_RUN,
                    "this host has no memory for the answer",
                )
            )
        return size
