"""Following of requests that another router runs."""

from __future__ import annotations

import asyncio
import enum
import time
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
FOLLOW_RENEW_S = 1.0
FOLLOW_LEASE_S = 3.0


OnReply = Callable[[wire.Followed | None], None]


class FollowOutcome(enum.Enum):
    """Outcome of an attempt to follow a runner."""

    FOLLOWING = enum.auto()
    UNREACHABLE = enum.auto()  # the runner did not answer
    GONE = enum.auto()  # the runner answered that it does not run the request


class _RemoteListener:
    """Send a row's committed tokens to a router that follows the request."""

    __slots__ = ("_msg", "_reply", "_sent", "last_renewed_at", "row")

    def __init__(self, row: RequestRow, msg: wire.Follow, reply: Reply) -> None:
        self.row = row
        self.last_renewed_at = time.monotonic()
        self._msg = msg
        self._reply = reply
        self._sent = msg.start

    def wake(self) -> None:
        row = self.row
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


class _FollowedRequest:
    """A request that this router follows for its own callers."""

    __slots__ = ("last_listener_at", "on_reply", "renewed_at", "row", "runner")

    def __init__(
        self, row: RequestRow, runner: str, on_reply: OnReply, now: float
    ) -> None:
        self.row = row
        self.runner = runner
        self.on_reply = on_reply
        self.last_listener_at = now
        self.renewed_at = now


def _apply_reply(row: RequestRow, reply: wire.Followed | None) -> None:
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


def _make_follow(row: RequestRow, rid: int) -> wire.Follow:
    request_id = row.request_id
    return wire.Follow(rid, request_id.customer, request_id.key, len(row.tokens))


class Followers:
    """Both sides of following: the runner's and the following router's.

    A following router renews its `Follow` every `FOLLOW_RENEW_S` while it has
    callers that listen.  A runner that receives no renewal for
    `FOLLOW_LEASE_S` removes the follower.

    Parameters
    ----------
    wait_for_claims
        Wait until this host's open claims of a request are answered.
    """

    __slots__ = (
        "_followed",
        "_listeners",
        "_peers",
        "_wait_for_claims",
        "_tables",
        "_tasks",
    )

    def __init__(
        self,
        tables: Tables,
        peers: Peers,
        wait_for_claims: Callable[[RequestId], Awaitable[None]],
    ) -> None:
        self._tables = tables
        self._peers = peers
        self._wait_for_claims = wait_for_claims
        self._followed: dict[int, _FollowedRequest] = {}
        self._listeners: dict[tuple[Reply, int], _RemoteListener] = {}
        self._tasks: set[asyncio.Task] = set()
        peers.handle(wire.Follow, self._on_follow)

    async def follow(self, row: RequestRow, runner: str) -> FollowOutcome:
        """Start to receive the tokens of a request that another router runs."""
        outcome_fut = asyncio.get_running_loop().create_future()
        msg = _make_follow(row, self._peers.next_rid())

        def on_reply(reply: wire.Followed | None) -> None:
            if reply is not None and reply.generation != row.generation:
                outcome = FollowOutcome.GONE
            else:
                unreachable = reply is None
                outcome = (
                    FollowOutcome.UNREACHABLE
                    if unreachable
                    else FollowOutcome.FOLLOWING
                )
            if not outcome_fut.done():
                outcome_fut.set_result(outcome)
            if outcome is not FollowOutcome.GONE:
                _apply_reply(row, reply)

        try:
            await self._peers.send(runner, msg, on_reply)
            outcome = await asyncio.wait_for(outcome_fut, FOLLOW_TIMEOUT_S)
        except (PeerUnreachable, TimeoutError):
            self._peers.ignore_replies(runner, msg.rid)
            return FollowOutcome.UNREACHABLE
        if outcome is FollowOutcome.FOLLOWING:
            now = time.monotonic()
            self._followed[msg.rid] = _FollowedRequest(row, runner, on_reply, now)
        return outcome

    def sweep(self, now: float) -> None:
        """Renew the requests that callers listen to, and remove expired followers."""
        for rid, followed in list(self._followed.items()):
            if followed.row.listeners:
                followed.last_listener_at = now
            if followed.row.ended or now - followed.last_listener_at > FOLLOW_LEASE_S:
                del self._followed[rid]
                self._peers.ignore_replies(followed.runner, rid)
            elif followed.row.listeners and now - followed.renewed_at >= FOLLOW_RENEW_S:
                followed.renewed_at = now
                task = asyncio.ensure_future(self._renew(rid, followed))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        for listener_key, listener in list(self._listeners.items()):
            if listener.row.ended or now - listener.last_renewed_at > FOLLOW_LEASE_S:
                del self._listeners[listener_key]
                listener.row.listeners.remove(listener)

    async def _renew(self, rid: int, followed: _FollowedRequest) -> None:
        msg = _make_follow(followed.row, rid)
        try:
            await self._peers.send(followed.runner, msg, followed.on_reply)
        except PeerUnreachable:
            followed.on_reply(None)

    async def _on_follow(self, msg: wire.Follow, reply: Reply) -> None:
        request_id = RequestId(msg.customer, msg.key)
        if request_id not in self._tables.requests.rows:
            await self._wait_for_claims(request_id)
        row = self._tables.requests.rows.get(request_id)
        if row is None:
            message = "this router does not run the request"
            failure = Failure(ErrorCode.REPLACED, Verdict.MAY_HAVE_RUN, message, 0.0)
            reply(wire.Followed(msg.rid, "", [], 0, [], True, to_wire_failure(failure)))
            return
        existing = self._listeners.get((reply, msg.rid))
        if existing is not None and existing.row is row:
            existing.last_renewed_at = time.monotonic()
            return
        listener = _RemoteListener(row, msg, reply)
        self._listeners[reply, msg.rid] = listener
        row.listeners.append(listener)
        listener.wake()
