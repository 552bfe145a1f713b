"""Output commit: no token goes to a caller before its journal holds it."""

from __future__ import annotations

import asyncio
import time

from turmericflow import wire
from turmericflow.services._peers import Peers, PeerUnreachable
from turmericflow.services._stats import Stats
from turmericflow.systems import records, slots, to_wire_attempts
from turmericflow.tables import RequestRow, Tables
from turmericflow.verdict import ErrorCode, Failure, Verdict

RETRY_S = 0.1
UPLOAD_TIMEOUT_S = 1.0
STALL_S = 4.0


class Journal:
    """Sends what runners have taken to the journals' holders, in batches.

    All requests with the same holder share a batch, and a holder has one
    batch under way at a time.  When a slot's parties change, the journals of
    its requests are uploaded whole before anything more is committed.  A
    request whose holder stays out of reach is given up here, so that its caller
    goes on at a router that reaches it.
    """

    __slots__ = (
        "_dirty",
        "_peers",
        "_stalled",
        "_stats",
        "_tables",
        "_tasks",
        "_uploads",
    )

    def __init__(self, tables: Tables, peers: Peers, stats: Stats) -> None:
        self._tables = tables
        self._peers = peers
        self._stats = stats
        self._dirty: dict[str, dict[int, RequestRow]] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._uploads: dict[int, asyncio.Task] = {}
        self._stalled: dict[int, float] = {}

    def changed(self, row: RequestRow) -> None:
        """Say that a row has tokens, or its end, that are not yet journaled."""
        holder = self._holder(row)
        if not holder:
            self._start_upload(row)
            return
        self._dirty.setdefault(holder, {})[id(row)] = row
        if holder not in self._tasks:
            task = asyncio.ensure_future(self._pump(holder))
            self._tasks[holder] = task

    def slots_changed(self) -> None:
        """Upload the journals whose slots have other parties than before."""
        for row in list(self._tables.requests.rows.values()):
            if not row.ended and not self._holder(row):
                self._start_upload(row)

    def _holder(self, row: RequestRow) -> str:
        """Return the holder of a row's journal, empty if it is to be uploaded."""
        entry = self._tables.slots.entries[row.slot]
        if entry.epoch != row.journal_epoch:
            return ""
        found = slots.holder(self._tables, entry, self._tables.host)
        return found if found == row.journal_at else ""

    async def _pump(self, holder: str) -> None:
        try:
            while self._dirty.get(holder):
                await asyncio.sleep(0)
                rows = list(self._dirty.pop(holder).values())
                due = [row for row in rows if not row.ended]
                await self._send(
                    holder, [row for row in due if self._here(row, holder)]
                )
        finally:
            del self._tasks[holder]

    def _here(self, row: RequestRow, holder: str) -> bool:
        if self._holder(row) == holder:
            return True
        self.changed(row)
        return False

    async def _send(self, holder: str, rows: list[RequestRow]) -> None:
        if not rows:
            return
        entries = [_entry(row) for row in rows]
        ends = [(len(row.tokens), row.complete, list(row.attempts)) for row in rows]
        rid = self._peers.next_rid()
        try:
            reply = await self._peers.call(holder, wire.Append(rid, entries))
        except PeerUnreachable:
            self._stats.count("journal.unreachable")
            await asyncio.sleep(RETRY_S)
            for row in rows:
                self._note_stall(row)
                if not row.ended:
                    self.changed(row)
            return
        refused, unknown = set(reply.refused), set(reply.unknown)
        for number, row in enumerate(rows):
            if number in refused:
                self._replaced(row)
            elif number in unknown:
                row.journal_epoch = 0
                self._start_upload(row)
            else:
                self._commit(row, *ends[number])

    def _commit(
        self, row: RequestRow, length: int, complete: bool, attempts: list
    ) -> None:
        if row.ended:
            return
        self._stalled.pop(id(row), None)
        row.committed = max(row.committed, length)
        row.note_commit(time.monotonic())
        row.journaled_attempts = attempts
        row.ended = complete
        row.wake()
        if complete:
            self._start_upload(row)

    def _replaced(self, row: RequestRow) -> None:
        if not row.ended:
            self._stats.count("journal.was_replaced")
            self._give_up(row, "another router now runs this request")

    def _note_stall(self, row: RequestRow) -> None:
        """Take in that a journal's holder did not answer."""
        now = time.monotonic()
        since = self._stalled.setdefault(id(row), now)
        if not row.ended and now - since >= STALL_S:
            self._stats.count("journal.gave_up")
            self._give_up(row, "this router cannot reach the journal's holder")

    def _give_up(self, row: RequestRow, message: str) -> None:
        self._stalled.pop(id(row), None)
        row.failure = Failure(ErrorCode.REPLACED, Verdict.MAY_HAVE_RUN, message)
        row.ended = True
        row.wake()

    def _start_upload(self, row: RequestRow) -> None:
        if id(row) in self._uploads:
            return
        work = self._share_end(row) if row.ended else self._upload(row)
        task = asyncio.ensure_future(work)
        self._uploads[id(row)] = task
        task.add_done_callback(lambda _: self._uploads.pop(id(row)))

    async def _share_end(self, row: RequestRow) -> None:
        """Give the whole answer to the slot's other party, once."""
        entry = self._tables.slots.entries[row.slot]
        for host in {entry.owner, entry.backup} - {row.journal_at, ""}:
            await self._upload_to(host, row, entry.epoch, row.journal_at)

    async def _upload(self, row: RequestRow) -> None:
        while not row.ended:
            entry = self._tables.slots.entries[row.slot]
            holder = slots.holder(self._tables, entry, self._tables.host)
            end = (len(row.tokens), row.complete, list(row.attempts))
            hosts = dict.fromkeys([holder, entry.owner])
            answers = [
                await self._upload_to(host, row, entry.epoch, holder) for host in hosts
            ]
            if any(answer is not None and answer.replaced for answer in answers):
                self._replaced(row)
                return
            if all(answer is not None and answer.accepted for answer in answers):
                row.journal_at, row.journal_epoch = holder, entry.epoch
                self._commit(row, *end)
                if not row.ended and len(row.tokens) > row.committed:
                    self.changed(row)
                return
            self._note_stall(row)
            await asyncio.sleep(RETRY_S)

    async def _upload_to(
        self, host: str, row: RequestRow, slot_epoch: int, holder: str
    ) -> wire.Uploaded | None:
        record = records.to_upload_record(row, self._tables.host, holder)
        msg = wire.Upload(self._peers.next_rid(), slot_epoch, record)
        try:
            return await self._peers.call(host, msg, UPLOAD_TIMEOUT_S)
        except PeerUnreachable:
            self._stats.count("journal.upload_unreachable")
            return None


def _entry(row: RequestRow) -> wire.AppendEntry:
    same = row.attempts == row.journaled_attempts
    return wire.AppendEntry(
        row.request_id.customer,
        row.request_id.key,
        row.runner_epoch,
        row.committed,
        row.tokens[row.committed :],
        [] if same else to_wire_attempts(row.attempts),
        row.complete,
    )
