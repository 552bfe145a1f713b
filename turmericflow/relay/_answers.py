"""Answers of targets that are held until they are complete."""

from __future__ import annotations

from multidict import CIMultiDict

from turmericflow.relay._call import Reply
from turmericflow.verdict import TargetFailed, Verdict

MAX_ANSWER_BYTES = 16_000_000


class Answer:
    """A target's complete response."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: CIMultiDict[str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def read_answer(reply: Reply) -> Answer:
    """Return a reply with its whole body.

    Raises
    ------
    TargetFailed
        If the connection fails or the body is too long.
    """
    chunks, size = [], 0
    async for chunk in reply.chunks():
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise TargetFailed(
                Verdict.MAY_HAVE_RUN, f"got an answer over {MAX_ANSWER_BYTES} bytes"
            )
    return Answer(reply.status, reply.headers, b"".join(chunks))
