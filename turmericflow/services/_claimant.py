"""The claimant's side: gets the right to run a request, or follows its runner."""

from __future__ import annotations

import asyncio
import secrets
import time
from dataclasses import dataclass

from turmericflow import wire
from turmericflow.profile import Profile
from turmericflow.services._peers import Peers, PeerUnreachable, Reply
from turmericflow.services._stats import Stats
from turmericflow.systems import (
    to_attempts,
    to_failure,
    to_wire_attempts,
    to_wire_failure,
)
from turmericflow.tables import RequestId, RequestRow, Tables
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict, not_run

FOLLOW_TIMEOUT_S = 1.0
NO_EPOCH = -1


@dataclass(slots=True, frozen=True)
class NewRequest:
    """A request as its caller sent it."""

    request_id: RequestId
    profile: Profile
    prompt: str
    max_tokens: int
    body: bytes
    fingerprint: str
    try_no: int


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


def _unclaimed_row(new: NewRequest, generation: str, epoch: int) -> RequestRow:
    return RequestRow(
        new.request_id,
        new.profile,
        generation,
        epoch,
        new.body,
        new.prompt,
        new.max_tokens,
        time.monotonic(),
    )


def _follower(answer: wire.Attached, new: NewRequest) -> RequestRow:
    return _unclaimed_row(new, answer.generation, answer.runner_epoch)


def _recorded(answer: wire.Recorded, new: NewRequest) -> RequestRow:
    row = _unclaimed_row(new, answer.generation, 0)
    row.attempts = to_attempts(answer.attempts)
    row.tokens = list(answer.tokens)
    row.committed = len(row.tokens)
    row.complete = row.ended = True
    return row


def _take_followed(row: RequestRow, reply: wire.Followed | None) -> None:
    if row.ended:
        return
    if reply is None:
        message = "the router that ran this request was lost"
        row.failure = Failure(ErrorCode.REPLACED, Verdict.RAN, message, 0.0)
        row.ended = True
    else:
        row.tokens[reply.start :] = reply.texts
        row.attempts = to_attempts(reply.attempts)
        row.committed = len(row.tokens)
        row.ended = row.complete = reply.complete
        if reply.failure is not None:
            row.failure = to_failure(reply.failure)
    row.wake()


class Claimant:
    """Claims requests at their owners and follows those that run elsewhere."""

    def __init__(self, tables: Tables, peers: Peers, stats: Stats) -> None:
        self._tables = tables
        self._peers = peers
        self._stats = stats
        peers.handle(wire.Follow, self._on_follow)

    async def claim(self, new: NewRequest) -> RequestRow:
        """Claim a request.

        Returns
        -------
        RequestRow
            The row to listen to.  It is to be run by this host if
            ``runner_epoch`` is above 0 and it stands in the request table.

        Raises
        ------
        RequestFailed
            If the claim is refused.
        """
        lost_epoch = NO_EPOCH
        while True:
            answer = await self._ask(new, lost_epoch)
            match answer:
                case wire.Granted():
                    row = self._granted(answer, new)
                    return row
                case wire.Recorded():
                    return _recorded(answer, new)
                case wire.Refused(failure=failure):
                    raise RequestFailed(to_failure(failure))
                case wire.Attached(runner=runner) if runner != self._tables.host:
                    row = _follower(answer, new)
                    if await self._follow(row, answer):
                        return row
            lost_epoch = answer.runner_epoch

    async def _ask(self, new: NewRequest, lost_epoch: int) -> wire.AnyMessage:
        request_id = new.request_id
        entry = self._tables.slots.entry_of(request_id)
        if entry is None:
            raise not_run(ErrorCode.NO_OWNER, "no owner map is known yet", 1.0)
        msg = wire.Claim(
            self._peers.next_rid(),
            request_id.customer,
            request_id.key,
            new.try_no,
            new.fingerprint,
            secrets.token_hex(8),
            new.profile.name,
            new.profile.idempotent,
            self._tables.host,
            entry.epoch,
            lost_epoch,
            new.body,
        )
        try:
            return await self._peers.call(entry.owner, msg)
        except PeerUnreachable as exc:
            raise not_run(ErrorCode.NO_OWNER, str(exc), 1.0) from exc

    async def _follow(self, row: RequestRow, answer: wire.Attached) -> bool:
        """Take the tokens of a request that another router runs.

        Returns False if that router cannot be reached.
        """
        first = asyncio.get_running_loop().create_future()
        msg = wire.Follow(
            self._peers.next_rid(), row.request_id.customer, row.request_id.key, 0
        )

        def on_reply(reply: wire.AnyMessage | None) -> None:
            if not first.done():
                first.set_result(reply is not None)
            _take_followed(row, reply)

        try:
            await self._peers.send(answer.runner, msg, on_reply)
            return await asyncio.wait_for(first, FOLLOW_TIMEOUT_S)
        except (PeerUnreachable, TimeoutError):
            self._peers.forget(answer.runner, msg.rid)
            return False

    def _on_follow(self, msg: wire.Follow, reply: Reply) -> None:
        row = self._tables.requests.rows.get(RequestId(msg.customer, msg.key))
        if row is None:
            lost = Failure(ErrorCode.REPLACED, Verdict.RAN, "runs elsewhere", 0.0)
            reply(wire.Followed(msg.rid, "", [], 0, [], True, to_wire_failure(lost)))
            return
        follower = _RemoteListener(row, msg, reply)
        row.listeners.append(follower)
        follower.wake()

    def _granted(self, answer: wire.Granted, new: NewRequest) -> RequestRow:
        row = RequestRow(
            new.request_id,
            new.profile,
            answer.generation,
            answer.runner_epoch,
            answer.body,
            new.prompt,
            new.max_tokens,
            time.monotonic(),
            to_attempts(answer.attempts),
            list(answer.tokens),
            len(answer.tokens),
        )
        self._tables.requests.rows[new.request_id] = row
        return row

    async def fail(self, row: RequestRow, failure: Failure) -> None:
        """End a request with a failure, at its owner first."""
        owner = self._tables.slots.entry_of(row.request_id).owner
        msg = wire.End(
            self._peers.next_rid(),
            row.request_id.customer,
            row.request_id.key,
            row.runner_epoch,
            to_wire_failure(failure),
        )
        try:
            await self._peers.call(owner, msg)
        except PeerUnreachable:
            self._stats.count("runner.end_unreachable")
        row.failure = failure
        row.ended = True
        row.wake()
