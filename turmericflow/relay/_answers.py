"""Answers of targets that are held until they are complete."""

from __future__ import annotations

from multidict import CIMultiDict

from turmericflow.relay._call import Reply
from turmericflow.verdict import TargetFailed, Verdict

MAX_ANSWER_BYTES = 16_000_000
MAX_HELD_BYTES = 64_000_000  # of all incomplete answers


class Answer:
    """A target's complete response."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: CIMultiDict[str], body: bytearray) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class AnswerMemory:
    """Bounds the bytes that this host holds of answers that are not complete."""

    __slots__ = ("_held_bytes", "_answers")

    def __init__(self) -> None:
        self._held_bytes = 0
        self._answers = 0

    async def read(self, reply: Reply) -> Answer:
        """Return a reply with its whole body.

        Raises
        ------
        TargetFailed
            If the connection fails, or the body is too long: over 16 MB, or over
            its share of the memory while that is used up.
        """
        body = bytearray()
        self._answers += 1
        try:
            async for chunk in reply.chunks():
                body += chunk
                self._held_bytes += len(chunk)
                if len(body) > self._limit_bytes():
                    raise TargetFailed(
                        Verdict.MAY_HAVE_RUN,
                        f"got {len(body)} bytes of an answer, expected at most "
                        f"{self._limit_bytes()}",
                    )
        finally:
            self._answers -= 1
            self._held_bytes -= len(body)
        return Answer(reply.status, reply.headers, body)

    def _limit_bytes(self) -> int:
        if self._held_bytes <= MAX_HELD_BYTES:
            return MAX_ANSWER_BYTES
        return min(MAX_ANSWER_BYTES, MAX_HELD_BYTES // self._answers)
