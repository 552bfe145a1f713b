"""One order at the host that decides: its step, and the figures that change it."""

from __future__ import annotations

import time
from collections import deque

import structlog

from turmericflow.relay._model import RolloutOrder, RolloutRecord
from turmericflow.relay._revisions import era_of
from turmericflow.relay.rollouts._evidence import Evidence, Side
from turmericflow.relay.rollouts._looks import Judge
from turmericflow.relay.rollouts._routes import focus, lacking
from turmericflow.relay.rollouts._share import IN_PROGRESS, ROLLED_BACK, RolloutView
from turmericflow.relay.rollouts._steps import (
    CANARY_FACTOR,
    Bounds,
    Figures,
    Order,
    Step,
    StepName,
    next_step,
)
from turmericflow.relay.rollouts._table import Rollout, RolloutTable

RATE_WINDOW_S = 5.0  # shorter ones vary with the arrival of statuses
MS_PER_S = 1000

log = structlog.get_logger()


def is_same_order(revision: int, order: RolloutOrder, record: RolloutRecord) -> bool:
    """Return whether a record is of an order, and not of an earlier one like it.

    An order that has no status and a later revision was removed and written again.
    """
    if record.target != order.target:
        return False
    restored = era_of(revision) != era_of(record.order)
    return order.answered or revision <= record.order or restored


def _restored_step(name: str, bounds: Bounds, now: float) -> Step:
    """Return the step of a record; what is not known of the exposure counts as used."""
    # A later version may have more steps.
    step = StepName(name) if name in list(StepName) else StepName.CANARY
    share = {
        StepName.CANARY: CANARY_FACTOR * bounds.canary_share,
        StepName.LOAD: CANARY_FACTOR * bounds.canary_share / 2,
        StepName.ALL: 1.0,
        StepName.COMPLETED: 1.0,
    }.get(step, 0.0)
    before = CANARY_FACTOR * bounds.canary_share / 2 if step is StepName.ALL else None
    return Step(step, share, now, "taken over", before)


class Decision:
    """State of one order.

    Attributes
    ----------
    order, step, term, number
        As in the record.
    candidate
        Step that follows once it is written, or None.
    published
        Whether this host's term is written, so that the view may be published.
    unwritten
        Whether the step is published, and the store does not hold it.
    removed
        Whether the order is not in the store any more.
    revision
        Revision of the record that this host last wrote, or None.
    answered_revision
        Revision of the order after its status was last written, or None.
    """

    __slots__ = (
        "order",
        "step",
        "term",
        "number",
        "candidate",
        "published",
        "unwritten",
        "removed",
        "revision",
        "answered_revision",
        "_began_ms",
        "_bounds",
        "_focus",
        "_judge",
        "_requests",
    )

    def __init__(
        self, order: Order, step: Step, term: int, number: int, began_ms: int
    ) -> None:
        self.order, self.step, self.term, self.number = order, step, term, number
        self.candidate: Step | None = None
        self.published = False
        self.unwritten = True
        self.removed = False
        self.revision: int | None = None
        self.answered_revision: int | None = None
        self._began_ms = began_ms
        self._bounds = Bounds()
        self._focus: tuple[str, ...] = ()
        self._judge = Judge()
        self._requests: deque[tuple[float, int]] = deque()

    @classmethod
    def take_up(
        cls,
        revision: int,
        order: RolloutOrder,
        record: RolloutRecord | None,
        known: Rollout | None,
        bounds: Bounds,
        seen_at: float,
        now: float,
    ) -> Decision:
        """Begin an order, or continue one that another host has begun.

        Parameters
        ----------
        revision, order
            The order in the store.
        record
            Record of the service in the store, or None.
        known
            What this host knows of the service's order, or None.
        bounds
            Bounds from the settings.
        seen_at, now
            Time at which this host first saw the order, and present time, in seconds.
        """
        wall_ms = int(time.time() * MS_PER_S)
        if record is not None and is_same_order(revision, order, record):
            began_at = now - max(0, wall_ms - record.began_ms) / MS_PER_S
            begun = Order(
                order.service, order.target, order.duration_s, record.order, began_at
            )
            step = _restored_step(record.step, bounds, now)
            found = cls(begun, step, record.term, record.number, record.began_ms)
            found._continue(known, now)
            # An order that has ended is not taken over.
            found.published = found.step.state != IN_PROGRESS and not found.unwritten
        else:
            began_ms = wall_ms - int((now - seen_at) * MS_PER_S)
            begun = Order(
                order.service, order.target, order.duration_s, revision, seen_at
            )
            found = cls(begun, Step.first(now), 1, 1, began_ms)
        found._bounds = bounds
        return found

    def _continue(self, known: Rollout | None, now: float) -> None:
        """Go on from the newer of the record and what the hosts have been told."""
        ended = self.step.state != IN_PROGRESS
        self.unwritten = not ended
        if known is None or known.order != self.order.created:
            self.term += not ended
            return
        view = known.ledger.view
        stamp = view.stamp if view is not None else (0, 0)
        if known.state == ROLLED_BACK and self.step.name is not StepName.ROLLED_BACK:
            self.step = Step(StepName.ROLLED_BACK, 0.0, now, "published by another")
            self.unwritten = True
        self.number = max(self.number, stamp[1])
        self.term = max(self.term, stamp[0]) + self.unwritten

    @property
    def service(self) -> str:
        """The service."""
        return self.order.service

    @property
    def target(self) -> str:
        """The new version."""
        return self.order.target

    @property
    def view(self) -> RolloutView:
        """What is published."""
        return RolloutView(
            self.order.service,
            self.order.target,
            self.order.created,
            self.term,
            self.number,
            self.step.share,
            self.step.state,
            self._focus if self.step.state == IN_PROGRESS else (),
        )

    def is_of(self, revision: int, order: RolloutOrder) -> bool:
        """Return whether this is the decision on an order in the store."""
        if self.removed or order.target != self.order.target:
            return False
        at = self.answered_revision
        if at is None or order.answered or era_of(at) != era_of(revision):
            return True
        return revision <= at

    def is_taken_over(self, revision: int, record: RolloutRecord) -> bool:
        """Return whether another host has written the record of the order since.

        Parameters
        ----------
        revision, record
            The record in the store. One of another era of the store may be an old one.
        """
        own = self.revision
        if own is not None and (own == revision or era_of(own) != era_of(revision)):
            return False
        if record.order == self.order.created:
            return record.term >= self.term
        return record.order > self.order.created

    def record(self, step: Step, number: int) -> RolloutRecord:
        """Return the record of a step."""
        order = self.order
        return RolloutRecord(
            order.target, order.created, self.term, number, step.name, self._began_ms
        )

    def enter(self, step: Step, **figures: object) -> None:
        """Enter a step, which is published next."""
        log.info(
            "rollout_step",
            service=self.service,
            target=self.target,
            order=self.order.created,
            term=self.term,
            number=self.number + 1,
            step=step.name.value,
            share=round(step.share, 4),
            reason=step.reason,
            **figures,
        )
        self.step, self.candidate = step, None
        self.number += 1

    def end(self, reason: str, now: float) -> bool:
        """Roll back an order that is removed or replaced; return whether it was open.

        An order that is completed stays so.
        """
        self.removed = True
        if self.step.state != IN_PROGRESS:
            return False
        self.enter(Step(StepName.ROLLED_BACK, 0.0, now, reason))
        self.unwritten = self.published = True
        return True

    def decide(self, rollout: Rollout, table: RolloutTable, now: float) -> bool:
        """Choose the next step; return whether a step was entered.

        One that gives the new version more traffic is entered once it is written.
        """
        if self.step.state != IN_PROGRESS:
            return False
        if rollout.state == ROLLED_BACK:
            reason = "published by another"
            self.enter(Step(StepName.ROLLED_BACK, 0.0, now, reason))
            self.unwritten = True
            return True
        evidence = rollout.total_evidence()
        self._focus = focus(evidence, self._focus)
        figures = self._figures(rollout, table, evidence, now)
        targets = figures.new_targets + figures.old_targets
        target_share = figures.new_targets / targets if targets else 0.5
        verdict = self._judge.observe(evidence, now, target_share)
        step = next_step(self.order, self.step, verdict, figures, now)
        self.candidate = None
        if step is self.step:
            return False
        if step.name is StepName.COMPLETED or step.share > self.step.share:
            self.candidate = step
            return False
        self.enter(step, **self.describe(rollout, table, now))
        self.unwritten = True
        return True

    def describe(
        self, rollout: Rollout, table: RolloutTable, now: float
    ) -> dict[str, object]:
        """Return the figures for the log line of a step."""
        figures = self._figures(rollout, table, rollout.total_evidence(), now)
        return {
            "requests": figures.requests,
            "new_requests": figures.new_requests,
            "rate_per_s": round(figures.rate_per_s, 1),
            "new_answers": figures.new_answers,
            "new_targets": figures.new_targets,
            "old_targets": figures.old_targets,
            "old_running": figures.old_running,
            "drain_s": round(figures.drain_s, 2),
            "left_s": round(self.order.ends_at - now, 1),
            "lacking": figures.lacking,
        }

    def _figures(
        self, rollout: Rollout, table: RolloutTable, evidence: Evidence, now: float
    ) -> Figures:
        requests, new_requests, drain_s = rollout.totals()
        self._requests.append((now, requests))
        while now - self._requests[0][0] > RATE_WINDOW_S:
            self._requests.popleft()
        began_at, before = self._requests[0]
        elapsed_s = max(now - began_at, 0.5)
        new, old = table.live_targets(rollout, now)
        return Figures(
            requests=requests,
            new_requests=new_requests,
            rate_per_s=(requests - before) / elapsed_s,
            new_answers=evidence.answers(Side.NEW),
            new_targets=len(new),
            old_targets=len(old),
            old_running=table.old_running(rollout),
            drain_s=drain_s,
            bounds=self._bounds,
            lacking=lacking(evidence),
        )
