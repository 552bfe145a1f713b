"""The attempts of one request: which targets were tried, and what may go on."""

from __future__ import annotations

import enum

import structlog

from turmericflow.relay import (
    _crashes as crashes,
    _membership as membership,
    _placement as placement,
    _silence as silence,
)
from turmericflow.relay._call import Call, Dispatch, Reply
from turmericflow.relay._model import WorkKind
from turmericflow.relay._parts import Parts
from turmericflow.relay._routing import Match
from turmericflow.relay._tables import Run, Suspect
from turmericflow.relay._target_tables import Target
from turmericflow.verdict import (
    ErrorCode,
    Failure,
    RequestFailed,
    TargetFailed,
    Verdict,
)

LEAST_URGENT = 9  # the highest rank that engines know
MOST_REFUSALS = 8  # a data centre's targets may all be others than expected
FULL_S = 0.3  # a target that is full gets no work for this time
RETRY_AFTER_S = 0.4  # a plain target's queue or an engine's place frees by then
RETRY_SPREAD = 0.5  # share by which callers' returns are spread to either side

log = structlog.get_logger()


class Ending(enum.StrEnum):
    """How an attempt ended."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    TIMEOUT = "timeout"


class BudgetUsedUp(RequestFailed):
    """Raised when a request may not be sent again now, but perhaps soon."""


class Attempts:
    """Targets tried for one request.

    Attributes
    ----------
    deadline
        Time at which the caller gets a final answer, on the loop's clock.
    tried
        Lives of the targets that are not to be tried again.
    may_have_run
        Attempts that a target may have run.
    """

    __slots__ = (
        "parts",
        "match",
        "call",
        "deadline",
        "tried",
        "may_have_run",
        "_refusals",
        "_sends",
        "_content",
    )

    def __init__(self, parts: Parts, match: Match, call: Call) -> None:
        self.parts = parts
        self.match = match
        self.call = call
        wait_s = match.route.timeout_s
        if call.budget_s is not None:
            wait_s = min(wait_s, call.budget_s)
        self.deadline = call.arrived_at + wait_s
        self.tried: set[str] = set()
        self.may_have_run = 0
        self._refusals = 0
        self._sends = 0
        self._content = ""

    @property
    def remaining_s(self) -> float:
        """Time left until the final answer is due, in seconds."""
        return self.deadline - self.parts.clock.now()

    def _customer(self) -> str | None:
        return self.match.customer and self.match.customer.name

    def content(self) -> str:
        """Return the fingerprint of the request's content."""
        if not self._content:
            self._content = crashes.fingerprint(self.call, self._customer())
        return self._content

    def demand(self, not_in: str | None = None) -> placement.Demand:
        """Return what a target is to be chosen for."""
        service = self.parts.tables.deployment.services.get(self.match.service)
        engine = service and service.engine
        return placement.Demand(
            service=self.match.service,
            data_centre=self.parts.settings.data_centre,
            avoid=frozenset(self.tried),
            not_in=not_in,
            tokens=self.call.prompt_tokens + self.call.output_tokens,
            capacity=engine.memory_tokens if engine else 0,
        )

    def choose(self) -> Target:
        """Return the target to try next.

        Raises
        ------
        RequestFailed
            If the request may not or cannot be sent on.
        """
        tables, now = self.parts.tables, self.parts.clock.now()
        table = tables.crashes
        if table.any and table.is_refused(self.content(), now):
            raise self.failure("the content crashed the targets that ran it")
        hosts = membership.count_live_hosts(tables, now)
        target = placement.choose(
            tables.targets, self.demand(), now, self.parts.rng, hosts
        )
        if target is None:
            raise self.failure(f"no target of {self.match.service!r} is left to try")
        self.check_budget()
        return target

    def check_budget(self) -> None:
        """Take one more send out of the budgets.

        Raises
        ------
        RequestFailed
            If there is none left.
        """
        if not self._sends:
            return
        parts, now = self.parts, self.parts.clock.now()
        route = self.match.route
        if self.may_have_run and not route.repeatable:
            raise self.failure("the request may have run and must not run again")
        if self.may_have_run >= route.max_attempts:
            raise self.failure(f"{route.max_attempts} targets may have run it")
        if self._refusals >= MOST_REFUSALS:
            raise self.failure(f"{self._refusals} targets refused it")
        others = membership.peer_retry_usage(
            parts.tables, self.match.service, route.kind is WorkKind.STREAM, now
        )
        if not parts.tables.budgets.spend(self.match.service, others, now):
            failure = self.failure("the budget for repeats is used up").failure
            raise BudgetUsedUp(failure)

    def failure(self, message: str) -> RequestFailed:
        """Return the final answer of a request that cannot be served."""
        if self.may_have_run:
            failure = Failure(ErrorCode.TARGET_FAILED, Verdict.MAY_HAVE_RUN, message)
        else:
            spread = RETRY_SPREAD * (2 * self.parts.rng.random() - 1)
            retry_after_s = RETRY_AFTER_S * (1 + spread)
            failure = Failure(
                ErrorCode.NO_TARGET, Verdict.NOT_RUN, message, retry_after_s
            )
        return RequestFailed(failure)

    def timeout(self) -> RequestFailed:
        """Return the final answer of a request whose time is over."""
        message = f"no answer within {self.deadline - self.call.arrived_at:.1f} s"
        if self.may_have_run:
            return RequestFailed(
                Failure(ErrorCode.DEADLINE, Verdict.MAY_HAVE_RUN, message)
            )
        return self.failure(message)

    def dispatch(self, target: Target) -> Dispatch:
        """Return what is sent to a target."""
        self._sends += 1
        entry = target.entry
        dispatch = Dispatch(entry.id, entry.address, max(0.001, self.remaining_s))
        dispatch.customer = self._customer()
        service = self.parts.tables.deployment.services.get(self.match.service)
        if service is not None and service.engine is not None:
            dispatch.priority = self._priority()
        return dispatch

    def _priority(self) -> int:
        """Return the request's rank at an engine; a customer's goes first."""
        customer, priority = self.match.customer, self.match.route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        return min(max(priority, 0), LEAST_URGENT)

    def begin(self, target: Target) -> Run:
        """Note that a target works on the request."""
        now = self.parts.clock.listening()
        run = Run(self.call, self.match.route, target, now)
        run.due_s = silence.first_event_due_s(
            self.parts.tables, run, target.unread_tokens
        )
        target.own.runs += 1
        target.own.unread_tokens += self.call.prompt_tokens
        target.own.memory_tokens += run.memory_tokens
        return run

    def end(self, run: Run) -> None:
        """Note that a target works on the request no more."""
        own = run.target.own
        own.runs -= 1
        own.memory_tokens -= run.memory_tokens
        if not run.events:
            own.unread_tokens -= self.call.prompt_tokens
        run.drop_copy()

    def note_done(self, target: Target) -> None:
        """Take in that a target has answered the request."""
        placement.note_success(target)
        table = self.parts.tables.crashes
        if table.any and table.is_suspect(self.content()):
            table.clear(self.content(), self.parts.clock.now())

    def note_refused(self, target: Target, reply: Reply) -> Ending:
        """Take in that a target did not run the request."""
        now = self.parts.clock.now()
        self._refusals += 1
        self.tried.add(target.entry.key)
        if reply.gone:
            placement.note_gone(target, now)
            self.parts.misdirected.append(target.entry)
            self.parts.announce()
        else:
            target.out_until = max(target.out_until, now + FULL_S)
        self._log_ended(target, Ending.REFUSED, f"status {reply.status}")
        return Ending.REFUSED

    def note_timeout(self, target: Target) -> Ending:
        """Take in that the time was over before a target answered."""
        now = self.parts.clock.now()
        self.may_have_run += 1
        if placement.note_loss(self.parts.tables.targets, target, now):
            self.parts.metrics.losses.labels("timeout").inc()
        self._log_ended(target, Ending.TIMEOUT, "the time is over")
        return Ending.TIMEOUT

    def note_failed(self, target: Target, reason: str) -> Ending:
        """Take in that a target answered with a failure or with spoiled bytes."""
        self.may_have_run += 1
        self.tried.add(target.entry.key)
        self._log_ended(target, Ending.FAILED, reason)
        return Ending.FAILED

    def note_lost(
        self,
        target: Target,
        exc: TargetFailed,
        began: bool,
        evidence: str = "connection",
    ) -> Ending:
        """Take in that a target gave no answer.

        Parameters
        ----------
        target
            The target.
        exc
            What was seen of it.
        began
            Whether the loss may be a crash that the request brought about.
        evidence
            What the loss is counted under: ``connection`` or ``silence``.
        """
        now = self.parts.clock.now()
        self.tried.add(target.entry.key)
        if exc.verdict is Verdict.NOT_RUN:
            self._refusals += 1
        else:
            self.may_have_run += 1
            if began and exc.lost:
                self.parts.suspicions.append(Suspect(self.content(), target, now))
        if exc.lost and placement.note_loss(self.parts.tables.targets, target, now):
            target.lost_at = now
            self.parts.announce()
            self.parts.metrics.losses.labels(evidence).inc()
            log.info(
                "target_lost",
                target=target.entry.key,
                address=target.entry.address,
                data_centre=target.entry.data_centre,
                evidence=str(exc),
                out_s=round(target.out_until - now, 3),
            )
        self._log_ended(target, Ending.LOST, str(exc))
        return Ending.LOST

    def _log_ended(self, target: Target, ending: Ending, reason: str) -> None:
        self.parts.metrics.sends.labels(ending.value).inc()
        log.info(
            "attempt_ended",
            request=self.call.id,
            target=target.entry.key,
            address=target.entry.address,
            ending=ending.value,
            reason=reason,
            may_have_run=self.may_have_run,
            remaining_s=round(self.remaining_s, 3),
            view=self.parts.tables.targets.revision,
        )
