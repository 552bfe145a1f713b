"""Peer message handlers of a slot's owner and backup: claims and journals."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from turmericflow import wire
from turmericflow.services._peers import Peers, PeerUnreachable, Reply
from turmericflow.services._stats import Stats
from turmericflow.systems import backup, claims, journal, slots, to_failure
from turmericflow.tables import RequestId, Tables

STORE_TIMEOUT_S = 0.5


class Owner:
    """Answer peers' messages on claims, their replication and journals."""

    __slots__ = ("_peers", "_stats", "_tables", "_pending_replications")

    def __init__(self, tables: Tables, peers: Peers, stats: Stats) -> None:
        self._tables = tables
        self._peers = peers
        self._stats = stats
        self._pending_replications: dict[RequestId, asyncio.Future] = {}
        peers.handle(wire.Claim, self._on_claim)
        peers.handle(wire.Seal, self._on_seal)
        peers.handle(wire.End, self._on_end)
        peers.handle(wire.Append, self._on_append)
        peers.handle(wire.Upload, self._on_upload)
        peers.handle(wire.Store, self._on_store)
        peers.handle(wire.Transfer, self._on_transfer)

    async def _on_claim(self, msg: wire.Claim, reply: Reply) -> None:
        def decide() -> claims.Decision:
            return claims.claim(self._tables, msg, time.monotonic())

        await self._decide(decide, msg, reply)

    async def _on_seal(self, msg: wire.Seal, reply: Reply) -> None:
        def decide() -> claims.Decision:
            failure = to_failure(msg.failure)
            return claims.seal(self._tables, msg, failure, time.monotonic())

        await self._decide(decide, msg, reply)

    async def _on_end(self, msg: wire.End, reply: Reply) -> None:
        def decide() -> claims.Decision:
            failure = to_failure(msg.failure)
            return claims.end(self._tables, msg, failure, time.monotonic())

        await self._decide(decide, msg, reply)

    async def _decide(
        self,
        decide: Callable[[], claims.Decision],
        msg: wire.Claim | wire.Seal | wire.End,
        reply: Reply,
    ) -> None:
        request_id = RequestId(msg.customer, msg.key)
        decision = decide()
        while isinstance(decision, claims.Wait):
            await self._wait_for_replication(request_id)
            decision = decide()
        if isinstance(decision, claims.Replicate):
            decision = await self._replicate(request_id, decision)
        # Without a decision, the change is no longer pending: the sender asks again.
        answer = decision or wire.Moved(msg.rid)
        self._stats.count(f"claim.{type(answer).__name__.lower()}")
        reply(answer)

    async def _wait_for_replication(self, request_id: RequestId) -> None:
        fut = self._pending_replications.get(request_id)
        if fut is not None:
            await asyncio.wait([fut], timeout=STORE_TIMEOUT_S)

    async def _replicate(
        self, request_id: RequestId, decision: claims.Replicate
    ) -> wire.Message | None:
        """Replicate a change to the backup, and return the reply to send."""
        fut = asyncio.get_running_loop().create_future()
        self._pending_replications[request_id] = fut
        msg = decision.store
        msg.rid = self._peers.next_rid()
        try:
            stored = await self._peers.call(decision.backup, msg, STORE_TIMEOUT_S)
        except PeerUnreachable:
            self._stats.count("claim.backup_unreachable")
            stored = None
        finally:
            del self._pending_replications[request_id]
            fut.set_result(None)
        if stored is not None and stored.entry is not None:
            slots.apply_peer_entries(self._tables, [stored.entry], time.monotonic())
        return claims.complete_pending(self._tables, request_id, msg.record.seq, stored)

    def _on_append(self, msg: wire.Append, reply: Reply) -> None:
        now = time.monotonic()
        refused, unknown = [], []
        for number, entry in enumerate(msg.entries):
            match journal.append(self._tables, entry, now):
                case journal.AppendOutcome.REPLACED:
                    refused.append(number)
                case journal.AppendOutcome.UNKNOWN:
                    unknown.append(number)
        if refused:
            self._stats.count("journal.replaced", len(refused))
        if unknown:
            self._stats.count("journal.unknown", len(unknown))
        reply(wire.Appended(msg.rid, refused, unknown))

    def _on_upload(self, msg: wire.Upload, reply: Reply) -> None:
        self._stats.count("journal.uploads")
        reply(journal.upload(self._tables, msg, time.monotonic()))

    def _on_store(self, msg: wire.Store, reply: Reply) -> None:
        answer = backup.store(self._tables, msg, time.monotonic())
        if not answer.accepted:
            self._stats.count("claim.store_refused")
        reply(answer)

    def _on_transfer(self, msg: wire.Transfer, reply: Reply) -> None:
        reply(backup.transfer(self._tables, msg, time.monotonic()))
