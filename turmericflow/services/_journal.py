"""Output commit: no token goes to a caller before its journal holds it."""

from __future__ import annotations

import asyncio

from turmericflow import wire
from turmericflow.services._peers import Peers, PeerUnreachable
from turmericflow.services._stats import Stats
from turmericflow.systems import to_wire_attempts
from turmericflow.tables import RequestRow, Tables
from turmericflow.verdict import ErrorCode, Failure, Verdict

FLUSH_S = 0.001
RETRY_S = 0.1


class Journal:
    """Sends what runners have taken to the journals' holders, in batches.

    All requests with the same holder share a batch, and a holder has one
    batch under way at a time.
    """

    __slots__ = ("_dirty", "_peers", "_stats", "_tables", "_tasks")

    def __init__(self, tables: Tables, peers: Peers, stats: Stats) -> None:
        self._tables = tables
        self._peers = peers
        self._stats = stats
        self._dirty: dict[str, dict[int, RequestRow]] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def changed(self, row: RequestRow) -> None:
        """Say that a row has tokens, or its end, that are not yet journaled."""
        holder = self._holder(row)
        self._dirty.setdefault(holder, {})[id(row)] = row
        if holder not in self._tasks:
            task = asyncio.ensure_future(self._pump(holder))
            self._tasks[holder] = task

    def _holder(self, row: RequestRow) -> str:
        return self._tables.slots.entry_of(row.request_id).owner

    async def _pump(self, holder: str) -> None:
        try:
            while self._dirty.get(holder):
                await asyncio.sleep(FLUSH_S)
                rows = list(self._dirty.pop(holder).values())
                await self._send(holder, rows)
        finally:
            del self._tasks[holder]

    async def _send(self, holder: str, rows: list[RequestRow]) -> None:
        entries = [_entry(row) for row in rows]
        ends = [(len(row.tokens), row.complete) for row in rows]
        rid = self._peers.next_rid()
        try:
            reply = await self._peers.call(holder, wire.Append(rid, entries))
        except PeerUnreachable:
            self._stats.count("journal.unreachable")
            await asyncio.sleep(RETRY_S)
            for row in rows:
                self._dirty.setdefault(holder, {})[id(row)] = row
            return
        refused = set(reply.refused)
        for number, row in enumerate(rows):
            if number in refused:
                _replaced(row)
            else:
                _commit(row, *ends[number])


def _entry(row: RequestRow) -> wire.AppendEntry:
    return wire.AppendEntry(
        row.request_id.customer,
        row.request_id.key,
        row.runner_epoch,
        row.committed,
        row.tokens[row.committed :],
        to_wire_attempts(row.attempts),
        row.complete,
    )


def _commit(row: RequestRow, length: int, complete: bool) -> None:
    row.committed = length
    row.ended = row.ended or complete
    row.wake()


def _replaced(row: RequestRow) -> None:
    row.failure = Failure(
        ErrorCode.REPLACED, Verdict.RAN, "another router now runs this request"
    )
    row.ended = True
    row.wake()
