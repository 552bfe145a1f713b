"""What a roll-out means for one request: admission, and what its answer shows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from turmericflow.relay._model import WorkKind
from turmericflow.relay._placement import Demand
from turmericflow.relay._routing import RouteMatch
from turmericflow.relay._target_tables import Target
from turmericflow.relay.rollouts._evidence import Side

if TYPE_CHECKING:
    from turmericflow.relay.rollouts._table import Rollout, RolloutTable

# Errors that the caller causes; both versions answer them alike.
MIN_CALLER_ERROR = 400
MIN_SERVER_ERROR = 500


class RolloutRequest:
    """Admission of one request to a new version, and its part of the evidence.

    A request is counted, and the credit for it is taken, when it is first placed while
    an order is in progress. It is sent to the new version at most once, unless it is a
    stream that this version began.
    """

    __slots__ = (
        "service",
        "route",
        "_table",
        "_is_stream",
        "_rollout",
        "_admitted",
        "_spent",
        "_redirected",
        "_sent",
        "_side",
        "_sent_at",
        "_status",
        "_timed",
    )

    def __init__(self, table: RolloutTable, match: RouteMatch) -> None:
        self.service = match.service
        self.route = match.route.name
        self._table = table
        self._is_stream = match.route.kind is WorkKind.STREAM
        self._rollout: Rollout | None = None  # that counted the request
        self._admitted = self._spent = self._redirected = False
        self._sent: Rollout | None = None  # in progress when it was sent
        self._side = Side.OLD
        self._sent_at = 0.0
        self._status = 0
        self._timed = False

    def constrain(self, demand: Demand, now: float) -> Demand:
        """Return a demand without the versions that may not run the request now."""
        self._redirected = False
        return self._table.constrain(demand, now, self)

    def admits(self, rollout: Rollout, now: float) -> bool:
        """Return whether the request may go to the new version for the first time."""
        if self._rollout is not rollout:
            self._rollout, self._spent = rollout, False
            rollout.requests += 1
            self._admitted = rollout.ledger.admits(now, self.route)
        return self._admitted and not self._spent

    def redirect(self) -> None:
        """Note that only the new version is left to the request."""
        self._redirected = True

    def may_decline(self, target: Target | None, now: float) -> bool:
        """Return whether a request for the new version found no target there."""
        return self._redirected and (target is None or now < target.backoff_until)

    def decline(self, now: float) -> None:
        """Leave the request to the old version, and give back its credit."""
        rollout = self._table.in_progress(self.service)
        if rollout is not None and self.admits(rollout, now):
            rollout.ledger.release()
            self._admitted = False

    def record_sent(self, target: Target, now: float) -> None:
        """Record that the request is sent to a target."""
        rollout = self._sent = self._table.in_progress(self.service)
        if rollout is None:
            return
        self._side = rollout.side_of(target)
        self._sent_at, self._status, self._timed = now, 0, False
        if self._side is Side.NEW:
            rollout.new_requests += 1
            self._spent = True
        rollout.waiting.add(self)

    def record_status(self, status: int) -> None:
        """Record the status of the target's answer."""
        self._status = status

    def record_first_event(self, now: float) -> None:
        """Record that the first event of a stream has arrived."""
        if self._sent is not None and self._is_stream:
            self._record_time(now)

    def record_overdue(self, now: float) -> None:
        """Record the time so far of a request that waits for too long."""
        if self._sent is None:
            return
        if now - self._sent_at > self._sent.evidence.overdue_s(self.route):
            self._record_time(now)

    def _record_time(self, now: float) -> None:
        if not self._timed:
            seconds = now - self._sent_at
            self._sent.evidence.record_time(self.route, self._side, seconds)
            self._timed = True
        self._sent.waiting.discard(self)

    def record_end(self, ok: bool, now: float) -> None:
        """Record the end of an answer, and whether it is correct and complete."""
        rollout, self._sent = self._sent, None
        if rollout is None:
            return
        rollout.waiting.discard(self)
        seconds = now - self._sent_at
        if self._side is Side.OLD:
            rollout.drain_s = max(rollout.drain_s, seconds)
        if ok and MIN_CALLER_ERROR <= self._status < MIN_SERVER_ERROR:
            return
        time_s = None if self._timed else seconds
        rollout.evidence.record(self.route, self._side, ok, time_s)
        self._table.count_answer(self.service, self._side, ok)

    def record_lost(self, target: Target, lost: bool, now: float) -> None:
        """Record that the connection to a target broke while the request ran.

        Requests that are lost together with a target count as one loss. A process is
        lost once: a request that was sent after its loss was broken off by itself.
        """
        rollout, key = self._sent, target.entry.key
        if rollout is None:
            return
        lost_at = rollout.losses.get(key)
        if not lost or (lost_at is not None and self._sent_at > lost_at):
            self.record_end(False, now)
            return
        self.close()
        self._sent = None
        if lost_at is None:
            rollout.losses[key] = now
            at_s = now - rollout.seen_at
            rollout.evidence.record_loss(key, self._side, at_s)

    def close(self) -> None:
        """Stop waiting for an answer."""
        if self._sent is not None:
            self._sent.waiting.discard(self)
