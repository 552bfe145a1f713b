"""Following of a request through another router than its runner."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable

from turmericflow import wire
from turmericflow.services._peers import Peers, PeerUnreachable, Reply
from turmericflow.systems import (
    to_attempts,
    to_failure,
    to_wire_attempts,
    to_wire_failure,
)
from turmericflow.tables import RequestId, RequestRow, Tables
from turmericflow.verdict import ErrorCode, Failure, Verdict

FOLLOW_TIMEOUT_S = 1.0


class Following(enum.Enum):
    """What came of an attempt to follow a runner."""

    YES = enum.auto()
    UNREACHABLE = enum.auto()
    GONE = enum.auto()


class _RemoteListener:
    """Sends a row's committed tokens to a router that follows it."""

    __slots__ = ("_msg", "_reply", "_row", "_sent")

    def __init__(self, row: RequestRow, msg: wire.Follow, reply: Reply) -> None:
        self._row = row
        self._msg = msg
        self._reply = reply
        self._sent = msg.start

    def wake(self) -> None:
        row = self._row
        texts = row.tokens[self._sent : row.committed]
        failure = None if row.failure is None else to_wire_failure(row.failure)
        attempts = to_wire_attempts(row.attempts)
        self._reply(
            wire.Followed(
                self._msg.rid,
                row.generation,
                attempts,
                self._sent,
                texts,
                row.ended,
                failure,
            )
        )
        self._sent += len(texts)


def _take_followed(row: RequestRow, reply: wire.Followed | None) -> None:
    if row.ended:
        return
    if reply is None:
        message = "the router that ran this request was lost"
        row.failure = Failure(ErrorCode.REPLACED, Verdict.MAY_HAVE_RUN, message, 0.0)
        row.ended = True
    else:
        row.tokens[reply.start :] = reply.texts
        row.attempts = to_attempts(reply.attempts)
        row.committed = len(row.tokens)
        row.ended = row.complete = reply.complete
        if reply.failure is not None:
            row.failure = to_failure(reply.failure)
    row.wake()


class Followers:
    """Both sides of following: at the runner, and at the other router.

    Parameters
    ----------
    settled
        Waits until this host's open claims of a request are answered.
    """

    __slots__ = ("_peers", "_settled", "_tables")

    def __init__(
        self,
        tables: Tables,
        peers: Peers,
        settled: Callable[[RequestId], Awaitable[None]],
    ) -> None:
        self._tables = tables
        self._peers = peers
        self._settled = settled
        peers.handle(wire.Follow, self._on_follow)

    async def follow(self, row: RequestRow, runner: str) -> Following:
        """Take the tokens of a request that another router runs."""
        first = asyncio.get_running_loop().create_future()
        msg = wire.Follow(
            self._peers.next_rid(), row.request_id.customer, row.request_id.key, 0
        )

        def on_reply(reply: wire.Followed | None) -> None:
            if reply is not None and reply.generation != row.generation:
                outcome = Following.GONE
            else:
                lost = reply is None
                outcome = Following.UNREACHABLE if lost else Following.YES
            if not first.done():
                first.set_result(outcome)
            if outcome is not Following.GONE:
                _take_followed(row, reply)

        try:
            await self._peers.send(runner, msg, on_reply)
            return await asyncio.wait_for(first, FOLLOW_TIMEOUT_S)
        except (PeerUnreachable, TimeoutError):
            self._peers.forget(runner, msg.rid)
            return Following.UNREACHABLE

    async def _on_follow(self, msg: wire.Follow, reply: Reply) -> None:
        request_id = RequestId(msg.customer, msg.key)
        if request_id not in self._tables.requests.rows:
            await self._settled(request_id)
        row = self._tables.requests.rows.get(request_id)
        if row is None:
            message = "this router does not run the request"
            lost = Failure(ErrorCode.REPLACED, Verdict.MAY_HAVE_RUN, message, 0.0)
            reply(wire.Followed(msg.rid, "", [], 0, [], True, to_wire_failure(lost)))
            return
        follower = _RemoteListener(row, msg, reply)
        row.listeners.append(follower)
        follower.wake()
