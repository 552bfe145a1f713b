"""Claimant: claims requests at their owners, or follows their runners."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass

from turmericflow import wire
from turmericflow.profile import Profile
from turmericflow.services._followers import (
    FOLLOW_TIMEOUT_S,
    Followers,
    FollowOutcome,
)
from turmericflow.services._peers import Peers, PeerUnreachable
from turmericflow.services._stats import Stats
from turmericflow.systems import (
    slots,
    to_attempts,
    to_failure,
    to_wire_failure,
)
from turmericflow.tables import RequestId, RequestRow, Tables
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict

OWNER_TIMEOUT_S = 0.8  # covers the owner's wait for its backup
OWNER_RETRY_S = 0.05
SEAL_TIMEOUT_S = 1.5
END_TIMEOUT_S = 3.0
NO_EPOCH = -1


@dataclass(slots=True, frozen=True)
class NewRequest:
    """A request as its caller sent it.

    ``keyed`` tells whether the caller chose the key and so may send the request
    again.
    """

    request_id: RequestId
    profile: Profile
    prompt: str
    max_tokens: int
    body: bytes
    fingerprint: str
    try_no: int
    keyed: bool = True


def _unclaimed_row(new: NewRequest, generation: str, epoch: int) -> RequestRow:
    row = RequestRow(
        new.request_id,
        new.profile,
        generation,
        epoch,
        new.body,
        new.prompt,
        new.max_tokens,
        time.monotonic(),
    )
    row.fingerprint = new.fingerprint
    return row


def _follower_row(answer: wire.Attached, new: NewRequest) -> RequestRow:
    return _unclaimed_row(new, answer.generation, answer.runner_epoch)


def _recorded_row(answer: wire.Recorded, new: NewRequest) -> RequestRow:
    row = _unclaimed_row(new, answer.generation, 0)
    row.attempts = to_attempts(answer.attempts)
    row.tokens = list(answer.tokens)
    row.committed = len(row.tokens)
    row.complete = row.ended = True
    return row


def _as_may_have_run(failure: Failure) -> Failure:
    if failure.verdict is not Verdict.NOT_RUN:
        return failure
    return dataclasses.replace(failure, verdict=Verdict.MAY_HAVE_RUN)


class Claimant:
    """Claim requests at their owners, and follow those that other hosts run."""

    def __init__(self, tables: Tables, peers: Peers, stats: Stats) -> None:
        self._tables = tables
        self._peers = peers
        self._stats = stats
        self._claiming: dict[tuple[RequestId, str], asyncio.Task] = {}
        self._followers = Followers(tables, peers, self._wait_for_other_claims)

    def sweep(self, now: float) -> None:
        """Renew the followed requests, and remove those without listeners."""
        self._followers.sweep(now)

    async def claim(self, new: NewRequest) -> RequestRow:
        """Claim a request; concurrent duplicates share the outcome.

        Returns
        -------
        RequestRow
            The row to listen to.  This host must run the request if
            ``runner_epoch`` is above 0 and the row is in the request table.

        Raises
        ------
        RequestFailed
            If the claim is refused.
        """
        claim_key = (new.request_id, new.fingerprint)
        task = self._claiming.get(claim_key)
        if task is None:
            task = asyncio.ensure_future(self._claim(new))
            self._claiming[claim_key] = task
            task.add_done_callback(lambda _: self._claiming.pop(claim_key))
        return await asyncio.shield(task)

    async def _wait_for_other_claims(self, request_id: RequestId) -> None:
        """Wait until this host's other open claims of a request are answered."""
        current_task = asyncio.current_task()
        other_claims = [
            task
            for (claimed, _), task in self._claiming.items()
            if claimed == request_id and task is not current_task
        ]
        if other_claims:
            # A `Follow` may wait here, and its sender gives up at FOLLOW_TIMEOUT_S.
            await asyncio.wait(other_claims, timeout=FOLLOW_TIMEOUT_S / 2)

    async def _claim(self, new: NewRequest) -> RequestRow:
        claim_id = secrets.token_hex(8)
        lost_epoch, runner_gone = NO_EPOCH, False
        expires_at = time.monotonic() + new.profile.wait_s
        while True:

            def make_claim(rid: int, epoch: int) -> wire.Claim:
                return self._make_claim(
                    new, rid, epoch, claim_id, lost_epoch, runner_gone
                )

            answer = await self._call_owner(new.request_id, make_claim)
            match answer:
                case wire.Granted():
                    return self._granted_row(answer, new)
                case wire.Recorded():
                    return _recorded_row(answer, new)
                case wire.Refused(failure=failure):
                    raise RequestFailed(to_failure(failure))
                case wire.Attached():
                    row, outcome = await self._follow_runner(new, answer)
                    if outcome is FollowOutcome.FOLLOWING:
                        return row
                    lost_epoch = answer.runner_epoch
                    runner_gone = outcome is FollowOutcome.GONE
            if time.monotonic() >= expires_at:
                raise RequestFailed(self._no_owner_failure(new))
            await asyncio.sleep(OWNER_RETRY_S)

    def _no_owner_failure(self, new: NewRequest) -> Failure:
        verdict = Verdict.MAY_HAVE_RUN if new.keyed else Verdict.NOT_RUN
        message = "no owner of this key answered in time"
        return Failure(ErrorCode.NO_OWNER, verdict, message, 1.0)

    def _make_claim(
        self,
        new: NewRequest,
        rid: int,
        slot_epoch: int,
        claim_id: str,
        lost_epoch: int,
        runner_gone: bool,
    ) -> wire.Claim:
        return wire.Claim(
            rid,
            new.request_id.customer,
            new.request_id.key,
            new.try_no,
            new.fingerprint,
            new.profile.name,
            new.profile.idempotent,
            slot_epoch,
            claim_id,
            self._tables.host,
            lost_epoch,
            new.body,
            runner_gone,
        )

    async def _call_owner(
        self, request_id: RequestId, make_msg: Callable[[int, int], wire.Message]
    ) -> wire.AnyMessage | None:
        """Call the owner of a request, or the backup if the owner does not reply.

        Return None if there is no usable reply, so that the caller can retry.
        """
        entry = self._tables.slots.entry_of(request_id)
        if entry is None:
            return None
        for host in (entry.owner, entry.backup):
            if not host or not slots.alive(self._tables, host):
                continue
            msg = make_msg(self._peers.next_rid(), entry.epoch)
            try:
                answer = await self._peers.call(host, msg, OWNER_TIMEOUT_S)
            except PeerUnreachable:
                self._stats.count("claimant.unreachable")
                continue
            if not isinstance(answer, wire.Moved):
                return answer
            if answer.entry is not None:
                now = time.monotonic()
                slots.apply_peer_entries(self._tables, [answer.entry], now)
            return None
        return None

    async def _follow_runner(
        self, new: NewRequest, answer: wire.Attached
    ) -> tuple[RequestRow, FollowOutcome]:
        if answer.runner == self._tables.host:
            if new.request_id not in self._tables.requests.rows:
                await self._wait_for_other_claims(new.request_id)
            row = self._tables.requests.rows.get(new.request_id)
            if row is not None and row.runner_epoch == answer.runner_epoch:
                return row, FollowOutcome.FOLLOWING
            return _follower_row(answer, new), FollowOutcome.GONE
        row = _follower_row(answer, new)
        return row, await self._followers.follow(row, answer.runner)

    def _granted_row(self, answer: wire.Granted, new: NewRequest) -> RequestRow:
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
            dispatched=answer.regranted,
            try_no=new.try_no,
            fingerprint=new.fingerprint,
            keyed=new.keyed,
        )
        table = self._tables.slots
        row.slot = table.slot_of(new.request_id)
        row.journal_host = answer.journal_host
        row.journal_epoch = table.entries[row.slot].epoch
        row.sent_tokens, row.sent_attempt = len(row.tokens), row.attempt
        self._tables.requests.rows[new.request_id] = row
        return row

    async def seal(self, new: NewRequest, failure: Failure) -> RequestRow:
        """Seal a refused try at its owner before the caller gets the refusal.

        Returns
        -------
        RequestRow
            The row to listen to, if the request runs or has ended already.  A
            request that was accepted before is not refused: if its runner is
            lost, this host claims it.

        Raises
        ------
        RequestFailed
            With ``NOT_RUN`` only if no copy of this try can run later.
        """
        if not new.keyed or failure.verdict is not Verdict.NOT_RUN:
            raise RequestFailed(failure)
        answer = await self._call_owner_until(
            new.request_id,
            lambda rid, epoch: _make_seal(new, failure, rid, epoch),
            SEAL_TIMEOUT_S,
        )
        match answer:
            case wire.Sealed(failure=sealed):
                raise RequestFailed(to_failure(sealed))
            case wire.Refused(failure=recorded):
                raise RequestFailed(to_failure(recorded))
            case wire.Recorded():
                return _recorded_row(answer, new)
            case wire.Attached():
                return await self.claim(new)
        self._stats.count("claimant.seal_unconfirmed")
        raise RequestFailed(_as_may_have_run(failure))

    async def look_up(self, new: NewRequest) -> wire.AnyMessage | None:
        """Ask the owner where a request runs; return the reply, or None."""
        claim_id = secrets.token_hex(8)
        return await self._call_owner_until(
            new.request_id,
            lambda rid, epoch: self._make_claim(
                new, rid, epoch, claim_id, NO_EPOCH, False
            ),
            SEAL_TIMEOUT_S,
        )

    async def _call_owner_until(
        self,
        request_id: RequestId,
        make_msg: Callable[[int, int], wire.Message],
        wait_s: float,
    ) -> wire.AnyMessage | None:
        expires_at = time.monotonic() + wait_s
        while time.monotonic() < expires_at:
            answer = await self._call_owner(request_id, make_msg)
            if answer is not None:
                return answer
            await asyncio.sleep(OWNER_RETRY_S)
        return None

    async def fail(self, row: RequestRow, failure: Failure) -> None:
        """End a request with a failure, after its owner has recorded the failure.

        A failure of a keyed request stays ``NOT_RUN`` only if the owner has
        recorded it so.  If another router now runs the request, the failure is
        replaced by ``REPLACED``.
        """
        answer = await self._call_owner_until(
            row.request_id,
            lambda rid, epoch: _make_end(row, failure, rid),
            END_TIMEOUT_S,
        )
        match answer:
            case wire.Ended(failure=None):
                message = "another router now runs this request"
                failure = Failure(ErrorCode.REPLACED, Verdict.MAY_HAVE_RUN, message)
            case wire.Ended(failure=recorded):
                failure = to_failure(recorded)
            case _:
                self._stats.count("runner.end_unreachable")
                failure = _as_may_have_run(failure) if row.keyed else failure
        row.failure = failure
        row.ended = True
        row.wake()


def _make_seal(
    new: NewRequest, failure: Failure, rid: int, slot_epoch: int
) -> wire.Seal:
    return wire.Seal(
        rid,
        new.request_id.customer,
        new.request_id.key,
        new.try_no,
        new.fingerprint,
        new.profile.name,
        new.profile.idempotent,
        slot_epoch,
        to_wire_failure(failure),
    )


def _make_end(row: RequestRow, failure: Failure, rid: int) -> wire.End:
    return wire.End(
        rid,
        row.request_id.customer,
        row.request_id.key,
        row.runner_epoch,
        to_wire_failure(failure),
    )
