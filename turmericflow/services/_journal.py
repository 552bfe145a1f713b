"""Output commit: tokens are journaled before they are sent to a caller."""

from __future__ import annotations

import asyncio
import time

from turmericflow import wire
from turmericflow.services._peers import Peers, PeerUnreachable
from turmericflow.services._stats import Stats
from turmericflow.systems import records, sending, slots
from turmericflow.tables import RequestRow, Tables
from turmericflow.verdict import ErrorCode, Failure, Verdict

RETRY_INTERVAL_S = 0.1
APPEND_TIMEOUT_S = 1.0
UPLOAD_TIMEOUT_S = 1.0
STALL_TIMEOUT_S = 4.0
MAX_BATCHES_IN_FLIGHT = 2


class _HolderQueue:
    """Appends for one journal holder, and rows that wait for a free batch."""

    __slots__ = ("holder", "appends", "in_flight", "waiting_rows")

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.appends: list[sending.Append] = []
        self.waiting_rows: dict[int, RequestRow] = {}
        self.in_flight = 0


class Journal:
    """Send the tokens of running requests to their journal holders, in batches.

    All requests with the same holder share a batch, and a holder has at most
    `MAX_BATCHES_IN_FLIGHT` unanswered batches.  When a slot's owner or backup
    changes, the journals of its requests are uploaded whole before further
    tokens are committed.  A request whose holder stays unreachable is given up
    here, so that its caller continues at a router that can reach the holder.
    """

    __slots__ = ("_changed_rows", "_queues", "_peers", "_stats", "_tables", "_uploads")

    def __init__(self, tables: Tables, peers: Peers, stats: Stats) -> None:
        self._tables = tables
        self._peers = peers
        self._stats = stats
        self._changed_rows: dict[int, RequestRow] = {}
        self._queues: dict[str, _HolderQueue] = {}
        self._uploads: dict[int, asyncio.Task] = {}

    def schedule(self, row: RequestRow) -> None:
        """Schedule an append of a row's new tokens, or of its end."""
        if not self._changed_rows:
            # Other rows may change in the same iteration of the event loop.
            asyncio.get_running_loop().call_soon(self._send_changed)
        self._changed_rows[id(row)] = row

    def upload_reassigned(self) -> None:
        """Upload the journals whose holder or slot epoch has changed."""
        for row in list(self._tables.requests.rows.values()):
            if not row.ended and not sending.journal_holder(self._tables, row):
                self._start_upload(row)

    def _send_changed(self) -> None:
        rows = self._changed_rows.values()
        self._changed_rows = {}
        queues = {}
        for row in rows:
            queue = None if row.ended else self._queue_append(row)
            if queue is not None:
                queues[queue.holder] = queue
        for queue in queues.values():
            if queue.appends:
                self._send(queue)

    def _queue_append(self, row: RequestRow) -> _HolderQueue | None:
        """Add a row's new tokens to its queue, or start to upload its journal."""
        holder = sending.journal_holder(self._tables, row)
        if not holder:
            self._start_upload(row)
            return None
        queue = self._queues.get(holder)
        if queue is None:
            queue = self._queues[holder] = _HolderQueue(holder)
        if queue.in_flight >= MAX_BATCHES_IN_FLIGHT:
            queue.waiting_rows[id(row)] = row
        elif (append := sending.next_append(row)) is not None:
            queue.appends.append(append)
        return queue

    def _send(self, queue: _HolderQueue) -> None:
        appends, queue.appends = queue.appends, []
        rid = self._peers.next_rid()
        msg = wire.Append(rid, [append.entry for append in appends])
        sent = [append.sent for append in appends]
        queue.in_flight += 1

        def on_reply(reply: wire.Appended | None) -> None:
            queue.in_flight -= 1
            if reply is None:
                self._on_batch_lost(sent)
            else:
                self._on_batch_answered(sent, reply)
            waiting_rows, queue.waiting_rows = queue.waiting_rows, {}
            for row in waiting_rows.values():
                self.schedule(row)

        self._peers.call_nowait(queue.holder, msg, on_reply, APPEND_TIMEOUT_S)

    def _on_batch_lost(self, batch: list[sending.SentState]) -> None:
        self._stats.count("journal.unreachable")
        for sent in batch:
            sending.on_append_lost(sent)
            self._record_stall(sent.row)
        loop = asyncio.get_running_loop()
        loop.call_later(
            RETRY_INTERVAL_S, self._reschedule, [sent.row for sent in batch]
        )

    def _reschedule(self, rows: list[RequestRow]) -> None:
        for row in rows:
            if sending.has_unsent(row):
                self.schedule(row)

    def _on_batch_answered(
        self, batch: list[sending.SentState], reply: wire.Appended
    ) -> None:
        now = time.monotonic()
        if not (reply.refused or reply.unknown):
            for sent in batch:
                self._commit(sent, now)
            return
        refused, unknown = set(reply.refused), set(reply.unknown)
        for number, sent in enumerate(batch):
            if number in refused:
                self._on_replaced(sent.row)
            elif number not in unknown:
                self._commit(sent, now)
            elif sending.on_journal_unknown(sent):
                self._start_upload(sent.row)

    def _commit(self, sent: sending.SentState, now: float) -> None:
        row = sent.row
        committed_before = row.committed
        if sending.commit(self._tables, sent):
            self._on_committed(row, committed_before, now)

    def _on_committed(self, row: RequestRow, committed_before: int, now: float) -> None:
        row.stalled_since = None
        if row.committed > committed_before:
            row.record_commit(now)
        elif not row.ended:
            return
        row.wake()
        if row.ended:
            self._start_upload(row)

    def _on_replaced(self, row: RequestRow) -> None:
        if not row.ended:
            self._stats.count("journal.was_replaced")
            self._give_up(row, "another router now runs this request")

    def _record_stall(self, row: RequestRow) -> None:
        """Record that a journal holder did not answer; give up after a while."""
        now = time.monotonic()
        if row.stalled_since is None:
            row.stalled_since = now
        if not row.ended and now - row.stalled_since >= STALL_TIMEOUT_S:
            self._stats.count("journal.gave_up")
            self._give_up(row, "this router cannot reach the request's journal holder")

    def _give_up(self, row: RequestRow, message: str) -> None:
        row.failure = Failure(ErrorCode.REPLACED, Verdict.MAY_HAVE_RUN, message)
        row.ended = True
        row.wake()

    def _start_upload(self, row: RequestRow) -> None:
        if id(row) not in self._uploads:
            task = asyncio.ensure_future(self._upload_until_done(row))
            self._uploads[id(row)] = task

    async def _upload_until_done(self, row: RequestRow) -> None:
        """Upload a journal until accepted; a complete one to owner and backup."""
        try:
            while not (row.ended or await self._upload(row)):
                await asyncio.sleep(RETRY_INTERVAL_S)
            if row.complete and row.failure is None:
                await self._upload_final(row)
        finally:
            del self._uploads[id(row)]
        if sending.has_unsent(row):
            self.schedule(row)

    async def _upload_final(self, row: RequestRow) -> None:
        """Upload a complete answer to the slot's other host, without a retry."""
        entry = self._tables.slots.entries[row.slot]
        record = records.to_upload_record(row, self._tables.host, row.journal_host)
        for host in {entry.owner, entry.backup} - {row.journal_host, ""}:
            await self._upload_to(host, record, entry.epoch)

    async def _upload(self, row: RequestRow) -> bool:
        """Upload a journal; return False if the upload must be repeated."""
        entry = self._tables.slots.entries[row.slot]
        holder = slots.journal_holder(self._tables, entry, self._tables.host)
        sent = sending.start_upload(row)
        record = records.to_upload_record(row, self._tables.host, holder)
        answers = [
            await self._upload_to(host, record, entry.epoch)
            for host in dict.fromkeys([holder, entry.owner])
        ]
        if any(answer is not None and answer.replaced for answer in answers):
            self._on_replaced(row)
            return True
        if not all(answer is not None and answer.accepted for answer in answers):
            self._record_stall(row)
            return False
        committed_before = row.committed
        if not sending.finish_upload(self._tables, sent, holder, entry.epoch):
            return False
        self._on_committed(row, committed_before, time.monotonic())
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
