"""Output commit: no token goes to a caller before its journal holds it."""

from __future__ import annotations

import asyncio
import time

from turmericflow import wire
from turmericflow.services._peers import Peers, PeerUnreachable
from turmericflow.services._stats import Stats
from turmericflow.systems import records, sending, slots
from turmericflow.tables import RequestRow, Tables
from turmericflow.verdict import ErrorCode, Failure, Verdict

RETRY_S = 0.1
APPEND_TIMEOUT_S = 1.0
UPLOAD_TIMEOUT_S = 1.0
STALL_S = 4.0
MAX_BATCHES_UNDER_WAY = 2


class _Lane:
    """What goes to one holder: batches under way, and rows that wait for them."""

    __slots__ = ("holder", "parts", "under_way", "waiting")

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.parts: list[sending.Append] = []
        self.waiting: dict[int, RequestRow] = {}
        self.under_way = 0


class Journal:
    """Sends what runners have taken to the journals' holders, in batches.

    All requests with the same holder share a batch, and a holder has few
    batches under way at a time.  When a slot's parties change, the journals of
    its requests are uploaded whole before anything more is committed.  A
    request whose holder stays out of reach is given up here, so that its caller
    goes on at a router that reaches it.
    """

    __slots__ = ("_due", "_lanes", "_peers", "_stats", "_tables", "_uploads")

    def __init__(self, tables: Tables, peers: Peers, stats: Stats) -> None:
        self._tables = tables
        self._peers = peers
        self._stats = stats
        self._due: dict[int, RequestRow] = {}
        self._lanes: dict[str, _Lane] = {}
        self._uploads: dict[int, asyncio.Task] = {}

    def changed(self, row: RequestRow) -> None:
        """Say that a row has tokens, or its end, that are not yet journaled."""
        if not self._due:
            # Other rows have something to say in this turn as well.
            asyncio.get_running_loop().call_soon(self._send_due)
        self._due[id(row)] = row

    def slots_changed(self) -> None:
        """Upload the journals whose slots have other parties than before."""
        for row in list(self._tables.requests.rows.values()):
            if not row.ended and not sending.journal_holder(self._tables, row):
                self._start_upload(row)

    def _send_due(self) -> None:
        rows = self._due.values()
        self._due = {}
        lanes = {}
        for row in rows:
            lane = None if row.ended else self._lane(row)
            if lane is not None:
                lanes[lane.holder] = lane
        for lane in lanes.values():
            if lane.parts:
                self._send(lane)

    def _lane(self, row: RequestRow) -> _Lane | None:
        """Put what a row has into its lane, or start to upload its journal."""
        holder = sending.journal_holder(self._tables, row)
        if not holder:
            self._start_upload(row)
            return None
        lane = self._lanes.get(holder)
        if lane is None:
            lane = self._lanes[holder] = _Lane(holder)
        if lane.under_way >= MAX_BATCHES_UNDER_WAY:
            lane.waiting[id(row)] = row
        elif (part := sending.next_append(row)) is not None:
            lane.parts.append(part)
        return lane

    def _send(self, lane: _Lane) -> None:
        parts, lane.parts = lane.parts, []
        rid = self._peers.next_rid()
        msg = wire.Append(rid, [part.entry for part in parts])
        sent = [part.sent for part in parts]
        lane.under_way += 1

        def on_reply(reply: wire.Appended | None) -> None:
            lane.under_way -= 1
            if reply is None:
                self._not_answered(sent)
            else:
                self._answered(sent, reply)
            waiting, lane.waiting = lane.waiting, {}
            for row in waiting.values():
                self.changed(row)

        self._peers.call_nowait(lane.holder, msg, on_reply, APPEND_TIMEOUT_S)

    def _not_answered(self, batch: list[sending.SentState]) -> None:
        self._stats.count("journal.unreachable")
        for sent in batch:
            sending.on_append_lost(sent)
            self._note_stall(sent.row)
        loop = asyncio.get_running_loop()
        loop.call_later(RETRY_S, self._send_again, [sent.row for sent in batch])

    def _send_again(self, rows: list[RequestRow]) -> None:
        for row in rows:
            if sending.has_unsent(row):
                self.changed(row)

    def _answered(self, batch: list[sending.SentState], reply: wire.Appended) -> None:
        now = time.monotonic()
        if not (reply.refused or reply.unknown):
            for sent in batch:
                self._commit(sent, now)
            return
        refused, unknown = set(reply.refused), set(reply.unknown)
        for number, sent in enumerate(batch):
            if number in refused:
                self._replaced(sent.row)
            elif number not in unknown:
                self._commit(sent, now)
            elif sending.on_journal_unknown(sent):
                self._start_upload(sent.row)

    def _commit(self, sent: sending.SentState, now: float) -> None:
        row = sent.row
        before = row.committed
        if sending.commit(self._tables, sent):
            self._committed(row, before, now)

    def _committed(self, row: RequestRow, before: int, now: float) -> None:
        row.stalled_since = None
        if row.committed > before:
            row.record_commit(now)
        elif not row.ended:
            return
        row.wake()
        if row.ended:
            self._start_upload(row)

    def _replaced(self, row: RequestRow) -> None:
        if not row.ended:
            self._stats.count("journal.was_replaced")
            self._give_up(row, "another router now runs this request")

    def _note_stall(self, row: RequestRow) -> None:
        """Take in that a journal's holder did not answer."""
        now = time.monotonic()
        if row.stalled_since is None:
            row.stalled_since = now
        if not row.ended and now - row.stalled_since >= STALL_S:
            self._stats.count("journal.gave_up")
            self._give_up(row, "this router cannot reach the journal's holder")

    def _give_up(self, row: RequestRow, message: str) -> None:
        row.failure = Failure(ErrorCode.REPLACED, Verdict.MAY_HAVE_RUN, message)
        row.ended = True
        row.wake()

    def _start_upload(self, row: RequestRow) -> None:
        if id(row) not in self._uploads:
            task = asyncio.ensure_future(self._work_off(row))
            self._uploads[id(row)] = task

    async def _work_off(self, row: RequestRow) -> None:
        """Upload a journal whole; at the answer's end to both of its parties."""
        try:
            while not (row.ended or await self._upload(row)):
                await asyncio.sleep(RETRY_S)
            if row.complete and row.failure is None:
                await self._share_end(row)
        finally:
            del self._uploads[id(row)]
        if sending.has_unsent(row):
            self.changed(row)

    async def _share_end(self, row: RequestRow) -> None:
        """Give the whole answer to the slot's other party, once."""
        entry = self._tables.slots.entries[row.slot]
        record = records.to_upload_record(row, self._tables.host, row.journal_host)
        for host in {entry.owner, entry.backup} - {row.journal_host, ""}:
            await self._upload_to(host, record, entry.epoch)

    async def _upload(self, row: RequestRow) -> bool:
        """Upload a journal; return whether it is over, also if it was refused."""
        entry = self._tables.slots.entries[row.slot]
        holder = slots.journal_holder(self._tables, entry, self._tables.host)
        sent = sending.start_upload(row)
        record = records.to_upload_record(row, self._tables.host, holder)
        answers = [
            await self._upload_to(host, record, entry.epoch)
            for host in dict.fromkeys([holder, entry.owner])
        ]
        if any(answer is not None and answer.replaced for answer in answers):
            self._replaced(row)
            return True
        if not all(answer is not None and answer.accepted for answer in answers):
            self._note_stall(row)
            return False
        before = row.committed
        if not sending.finish_upload(self._tables, sent, holder, entry.epoch):
            return False
        self._committed(row, before, time.monotonic())
        return True

    async def _upload_to(
        self, host: str, record: wire.Record, slot_epoch: int
    ) -> wire.Uploaded | None:
        msg = wire.Upload(self._peers.next_rid(), slot_epoch, record)
        try:
            return await self._peers.call(host, msg, UPLOAD_TIMEOUT_S)
        except PeerUnreachable:
            self._stats.count("journal.upload_unreachable")
            return None
