"""Work of an attempt on its target: a generation or a call."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

from turmericflow.profile import ProfileKind, Urgency
from turmericflow.services._engine import EngineClient, EngineRequest, OnOutput
from turmericflow.services._execution import Attempt
from turmericflow.services._plain import PlainClient
from turmericflow.services._watchdog import UnstalledClock
from turmericflow.systems import calls, detection
from turmericflow.tables import RequestRow, StreamRow, Tables, Target

PRIORITY = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.THRIFTY: 2}

ReadOutput = Callable[[OnOutput], Awaitable[None]]


def _engine_request(row: RequestRow, number: int) -> EngineRequest:
    return EngineRequest(
        row.generation,
        number,
        row.prompt,
        list(row.tokens),
        row.max_tokens,
        PRIORITY[row.profile.urgency],
        row.profile.model,
        row.profile.adapter,
        row.profile.version,
    )


class TargetWork:
    """Start, attach and cancel attempts on engines and plain services."""

    __slots__ = ("_clock", "_engines", "_plain", "_tables")

    def __init__(
        self,
        tables: Tables,
        engines: EngineClient,
        plain: PlainClient,
        clock: UnstalledClock,
    ) -> None:
        self._tables = tables
        self._engines = engines
        self._plain = plain
        self._clock = clock

    def new_attempt(self, row: RequestRow, number: int, target: Target) -> Attempt:
        """Return a new attempt with the stream row that it will read."""
        tokens = detection.prompt_tokens(row.prompt) + len(row.tokens)
        now = self._clock.now()
        work_s = detection.prefill_s(self._tables.targets, target.name, tokens)
        stream = StreamRow(
            row.request_id,
            number,
            target.name,
            row.profile.urgency,
            now,
            work_s,
            tokens,
            now,
        )
        if row.profile.kind is ProfileKind.CALL:
            stream.call_hedge_delay_s = calls.hedge_delay_s(
                self._tables.streams, row.profile
            )
        return Attempt(number, target, len(row.tokens), stream)

    def start(self, row: RequestRow, attempt: Attempt) -> ReadOutput:
        """Return a function that sends an attempt and reads its output."""
        address = attempt.target.address
        match row.profile.kind:
            case ProfileKind.CALL:
                key = row.request_id.key
                return partial(self._plain.call, address, key, row.prompt)
            case ProfileKind.GENERATION:
                request = _engine_request(row, attempt.number)
                return partial(self._engines.generate, address, request)

    def on_output(self, row: RequestRow, attempt: Attempt, tokens: int) -> None:
        """Record that output arrived on an attempt's stream."""
        stream, table, now = attempt.stream, self._tables.streams, self._clock.now()
        if stream.call_hedge_delay_s is not None:
            calls.record_duration(table, row.profile, now - stream.opened_at)
        detection.on_output(table.targets[stream.target], stream, tokens, now)

    def attach(self, row: RequestRow, target: Target) -> ReadOutput:
        """Return a function that reads the rest of a running stream."""
        return partial(
            self._engines.attach, target.address, row.generation, len(row.tokens)
        )

    async def cancel(self, row: RequestRow, attempt: Attempt) -> None:
        """Cancel an attempt on its engine; a call cannot be cancelled."""
        if row.profile.kind is ProfileKind.CALL:
            return
        address = attempt.target.address
        await self._engines.cancel(address, row.generation, attempt.number)
