"""Admission of new requests, and placement of attempts on targets."""

from __future__ import annotations

import asyncio
import time
from random import Random

from turmericflow.services._claimant import NewRequest
from turmericflow.services._stats import Stats
from turmericflow.systems import routing
from turmericflow.tables import RequestRow, Tables, Target
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict

SUSPECT_S = 2.0
NO_TARGET_WAIT_S = 0.1


class Dispatch:
    """Decides, by the systems, what is accepted and where it runs."""

    __slots__ = ("_rng", "_stats", "_tables")

    def __init__(self, tables: Tables, stats: Stats, rng: Random) -> None:
        self._tables = tables
        self._stats = stats
        self._rng = rng

    def admit(self, new: NewRequest) -> Failure | None:
        """Return why a new request is refused, or None if it is accepted."""
        return None

    async def place(
        self,
        row: RequestRow,
        exclude: frozenset[str] = frozenset(),
        resume: bool = False,
    ) -> Target:
        """Wait for a place on a target and take it.

        Work that is resumed waits from now, new work from its acceptance.

        Raises
        ------
        RequestFailed
            If no target can run the request in time.
        """
        start = time.monotonic() if resume else row.accepted_at
        until = start + row.profile.wait_s
        while True:
            now = time.monotonic()
            target = routing.choose(
                self._tables.targets, row.profile, now, self._rng, exclude
            )
            if target is not None:
                target.in_flight += 1
                target.sent_since_report += 1
                return target
            if now >= until:
                verdict = Verdict.MAY_HAVE_RUN if row.dispatched else Verdict.NOT_RUN
                message = f"no target of service {row.profile.service!r} can run this"
                failure = Failure(ErrorCode.NO_TARGET, verdict, message, 1.0)
                raise RequestFailed(failure)
            await asyncio.sleep(NO_TARGET_WAIT_S)

    def release(self, row: RequestRow, target: Target, lost: bool) -> None:
        """Give a place back; ``lost`` says that the target failed the attempt."""
        target.in_flight -= 1
        if lost:
            target.suspect_until = time.monotonic() + SUSPECT_S
            self._stats.count("dispatch.target_lost")
