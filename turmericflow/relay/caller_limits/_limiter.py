"""Applies the bounds on memory and connections to callers' connections."""

from __future__ import annotations

import asyncio
import enum
from typing import Protocol

import structlog

from turmericflow.relay._metrics import Metrics
from turmericflow.relay.caller_limits import _victims as victims
from turmericflow.relay.caller_limits._budget import Budget
from turmericflow.relay.caller_limits._victims import SMALL_BYTES, Holding, Phase

# A body that is read at a usual pace is complete within this time; the callers that
# still hold memory then are not likely to give it back soon.
MAX_PAUSE_S = 1.0
MAX_ROOM_WAIT_S = 2.0  # by then callers that do not read have been cut off
ROOM_CHECK_S = 0.05
# Refused connections that may stay open, beside the connections that are allowed; the
# descriptors that are left to targets and other hosts are more than twice as many.
REFUSED_SHARE = 0.25

log = structlog.get_logger()


class Limited(enum.StrEnum):
    """What was done to a connection for lack of memory or connections."""

    PAUSED = "paused"
    REFUSED = "refused"
    CLOSED = "closed"


class Holder(Protocol):
    """A connection that holds memory for a caller."""

    hold: Hold

    def holding(self) -> Holding:
        """Return what the connection holds and what it is doing."""
        ...

    def pause(self) -> None:
        """Stop reading from the caller."""
        ...

    def resume(self) -> None:
        """Go on reading from the caller."""
        ...

    def give_way(self) -> Limited:
        """Refuse the request that is read, or close the connection."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...


class ConnectionLimit:
    """Bounds the number of open connections of a listener."""

    __slots__ = ("_connections", "_refused", "_maximum", "_metrics")

    def __init__(self, maximum: int, metrics: Metrics | None = None) -> None:
        self._connections: set[Holder] = set()
        self._refused: dict[Holder, None] = {}  # in order; open until that is read
        self._maximum = maximum
        self._metrics = metrics

    def add(self, conn: Holder) -> None:
        """Count a new connection; one closes if there are too many, maybe itself."""
        self._connections.add(conn)
        if len(self._connections) <= self._maximum:
            return
        others = (each.holding() for each in self._connections if each is not conn)
        now = asyncio.get_running_loop().time()
        chosen = victims.choose_for_connection(others, now)
        chosen = conn if chosen is None else chosen
        self._connections.discard(chosen)
        done = chosen.give_way()
        if self._metrics is not None:
            self._metrics.limited_callers.labels("connections", done.value).inc()
        if done is Limited.REFUSED:
            self._refused[chosen] = None
            if len(self._refused) > max(1, self._maximum * REFUSED_SHARE):
                oldest = next(iter(self._refused))
                del self._refused[oldest]
                oldest.abort()

    def discard(self, conn: Holder) -> None:
        """Forget a connection that was lost."""
        self._connections.discard(conn)
        self._refused.pop(conn, None)


class Hold:
    """Bytes that one connection holds, counted against the host's memory.

    Attributes
    ----------
    size
        Bytes held.
    since
        Time since when it has held any, in seconds.
    """

    __slots__ = ("_limiter", "_holder", "size", "since")

    def __init__(self, limiter: CallerLimiter | None, holder: Holder | None) -> None:
        self._limiter = limiter
        self._holder = holder
        self.size = 0
        self.since = 0.0

    def charge(self, size: int) -> None:
        """Count bytes; connections give way if there is no room."""
        limiter = self._limiter
        if limiter is None:
            return
        if not self.size:
            self.since = limiter.now()
            limiter.holders.add(self._holder)
        self.size += size
        limiter.used += size
        if limiter.used > limiter.budget.scarce_bytes:
            limiter.relieve(self._holder)

    async def charge_answer(self, size: int) -> bool:
        """Count bytes of an answer once there is room for them.

        Returns
        -------
        bool
            False if there is no room within `MAX_ROOM_WAIT_S`; then nothing is
            counted. Meanwhile nothing should be read from the target.
        """
        limiter = self._limiter
        if limiter is not None and self.size + size > SMALL_BYTES:
            until = limiter.now() + MAX_ROOM_WAIT_S
            while not limiter.make_room(size):
                if limiter.now() >= until:
                    return False
                await asyncio.sleep(ROOM_CHECK_S)
        self.charge(size)
        return True

    def release(self, size: int | None = None) -> None:
        """Count bytes as free, all of them by default."""
        limiter = self._limiter
        if limiter is None or not self.size:
            return
        size = self.size if size is None else min(size, self.size)
        self.size -= size
        limiter.used -= size
        if not self.size:
            limiter.holders.discard(self._holder)
        if limiter.paused and limiter.used <= limiter.budget.scarce_bytes:
            limiter.resume_all()


class CallerLimiter:
    """Bytes that callers make this host hold, and what happens when they are many.

    Attributes
    ----------
    used
        Bytes held by all connections.
    holders
        Connections that hold bytes.
    paused
        Connections that are not read for now.
    """

    __slots__ = (
        "budget",
        "used",
        "holders",
        "paused",
        "_metrics",
        "_timer",
        "_scarce_since",
        "_given_way",
    )

    def __init__(self, budget: Budget, metrics: Metrics) -> None:
        self.budget = budget
        self.used = 0
        self.holders: set[Holder] = set()
        self.paused: set[Holder] = set()
        self._metrics = metrics
        self._timer: asyncio.TimerHandle | None = None
        self._scarce_since: float | None = None
        self._given_way = 0
        metrics.held_bytes.set_function(lambda: self.used)

    @staticmethod
    def now() -> float:
        """Return the time of the event loop, in seconds."""
        return asyncio.get_running_loop().time()

    def relieve(self, holder: Holder) -> None:
        """Make room after a connection has been charged while memory is scarce."""
        if self._scarce_since is None:
            self._begin_scarcity()
        if self.used > self.budget.capacity_bytes:
            self._free(full=True)
        holding = holder.holding()
        if holding.phase is Phase.READING and holding.size > SMALL_BYTES:
            self._pause(holder)

    def make_room(self, size: int) -> bool:
        """Return whether there is room for bytes, after others have given way."""
        if self.used + size > self.budget.capacity_bytes:
            if self._scarce_since is None:
                self._begin_scarcity()
            self._free(full=True)
        return self.used + size <= self.budget.capacity_bytes

    def resume_all(self) -> None:
        """Read again from all connections that were paused."""
        paused, self.paused = self.paused, set()
        for holder in paused:
            holder.resume()

    def forget(self, holder: Holder) -> None:
        """Forget a connection that was lost."""
        self.paused.discard(holder)

    def _pause(self, holder: Holder) -> None:
        if holder in self.paused:
            return
        self.paused.add(holder)
        self._metrics.limited_callers.labels("memory", Limited.PAUSED.value).inc()
        holder.pause()

    def _free(self, full: bool) -> None:
        """Let connections give way until the used bytes are few."""
        now = self.now()
        excess = self.used - self.budget.relieved_bytes
        holdings = [holder.holding() for holder in self.holders]
        for chosen in victims.choose_for_memory(holdings, excess, now, full):
            chosen.hold.release()
            done = chosen.give_way()
            self._given_way += 1
            self._metrics.limited_callers.labels("memory", done.value).inc()

    def _begin_scarcity(self) -> None:
        self._scarce_since = self.now()
        self._given_way = 0
        log.warning(
            "caller_memory_scarce",
            used=self.used,
            capacity=self.budget.capacity_bytes,
            connections=len(self.holders),
        )
        self._start_timer()

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(MAX_PAUSE_S, self._check)

    def _check(self) -> None:
        """End the scarcity, or let those give way that have held most for longest."""
        if self.used > self.budget.scarce_bytes:
            self._free(full=self.used > self.budget.capacity_bytes)
        if self.used > self.budget.scarce_bytes or self.paused:
            self._start_timer()
            return
        log.info(
            "caller_memory_free",
            used=self.used,
            scarce_s=round(self.now() - self._scarce_since, 3),
            gave_way=self._given_way,
        )
        self._scarce_since = self._timer = None
