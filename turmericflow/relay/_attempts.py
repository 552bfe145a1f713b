"""Attempts of one request: targets tried, retry checks and the final failure."""

from __future__ import annotations

import enum
from dataclasses import replace

import structlog

from turmericflow.relay import (
    _crashes as crashes,
    _crashing_parts as crashing_parts,
    _discovery as discovery,
    _limited_targets as limited_targets,
    _membership as membership,
    _paths as paths,
    _placement as placement,
    _silence as silence,
)
from turmericflow.relay._call import Call, Dispatch, Reply
from turmericflow.relay._context import HostContext
from turmericflow.relay._model import HostEntry, WorkKind
from turmericflow.relay._rate_limits import MIN_RETRY_AFTER_S, LimitInvalid
from turmericflow.relay._routing import RouteMatch
from turmericflow.relay._tables import CrashSuspect, Run
from turmericflow.relay._target_tables import Target
from turmericflow.verdict import (
    ErrorCode,
    Failure,
    RequestFailed,
    TargetFailed,
    Verdict,
    not_run,
)

LOWEST_PRIORITY = 9  # engines accept 0 (first) to 9
MAX_REFUSALS = 8  # all targets of a data centre may have been replaced
REFUSED_BACKOFF_S = 0.3  # backoff of a target that refused because it is full
RETRY_AFTER_S = 0.4  # a target's queue or an engine's slot frees up within this time
RETURN_SPREAD_S = 0.5  # of callers after the time at which a target opens
RETRY_AFTER_JITTER = 0.5  # random fraction, to spread callers' retries

# Labels of the metric of losses.
CONNECTION = "connection"
SILENCE = "silence"

log = structlog.get_logger()


def record_target_loss(
    ctx: HostContext, target: Target, evidence: str, reason: str
) -> None:
    """Record a target's loss, unless it is known, and announce it to other hosts.

    Parameters
    ----------
    ctx
        The host's context.
    target
        The target.
    evidence
        Label of the loss metric: `CONNECTION` or `SILENCE`.
    reason
        What was observed, for the log.
    """
    now = ctx.clock.now()
    if not placement.record_loss(ctx.tables.targets, target, now):
        return
    target.silent = evidence == SILENCE
    target.lost_at = now
    ctx.announce()
    ctx.metrics.losses.labels(evidence).inc()
    log.info(
        "target_lost",
        target=target.entry.key,
        address=target.entry.address,
        data_centre=target.entry.data_centre,
        evidence=reason,
        out_s=round(target.backoff_until - now, 3),
    )


def record_path_failure(ctx: HostContext, target: Target, now: float) -> None:
    """Record that this host did not reach a target, and announce a lost path."""
    if paths.record_failure(ctx.tables, target, now):
        ctx.announce()
        service = target.entry.service
        log.warning(
            "path_lost",
            service=service,
            targets=sorted(ctx.tables.paths.failed(service)),
        )


class AttemptOutcome(enum.StrEnum):
    """Outcome of one attempt."""

    DONE = "done"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    TIMEOUT = "timeout"


class NotAllowedYet(RequestFailed):
    """Raised when a budget or a limit allows no send now; it may allow one soon."""


class RetryBudgetExhausted(NotAllowedYet):
    """Raised when the retry budget allows no retry now."""


class LimitReached(NotAllowedYet):
    """Raised when all targets that are left name limits, and these are used up."""


class Attempts:
    """Choose targets for one request and record the outcome of each attempt.

    Attributes
    ----------
    deadline
        Time by which the caller gets a final answer, on the event loop's clock.
    tried
        Keys (id and start time) of the targets that are not tried again.
    may_have_run
        Number of attempts that a target may have run.
    version
        What binds the stream once it has an event (see `version_of`), or None.
    rollout
        What the service's roll-out means for the request, or None if this host
        follows no orders.
    """

    __slots__ = (
        "ctx",
        "match",
        "call",
        "deadline",
        "tried",
        "may_have_run",
        "version",
        "_refusals",
        "_sends",
        "_silent",
        "_ended_for_silence",
        "_fingerprint",
        "_unreached",
        "_failed_hosts",
        "rollout",
    )

    def __init__(self, ctx: HostContext, match: RouteMatch, call: Call) -> None:
        self.ctx = ctx
        self.match = match
        self.call = call
        timeout_s = match.route.timeout_s
        if call.timeout_s is not None:
            timeout_s = min(timeout_s, call.timeout_s)
        self.deadline = call.arrived_at + timeout_s
        self.tried: set[str] = set()
        self.may_have_run = 0
        self.version: str | None = None
        self._refusals = 0
        self._sends = 0
        self._silent: set[str] = set()
        self._ended_for_silence = False
        self._fingerprint = ""
        self._unreached: set[str] = set()
        self._failed_hosts: set[str] = set()
        rollouts = ctx.tables.rollouts
        self.rollout = None if rollouts is None else rollouts.open_request(match)

    @property
    def remaining_s(self) -> float:
        """Time left until the deadline, in seconds."""
        return self.deadline - self.ctx.clock.now()

    @property
    def customer(self) -> str | None:
        """Name of the customer, or None."""
        return self.match.customer and self.match.customer.name

    def content_fingerprint(self) -> str:
        """Return the fingerprint of the request's content, computed once."""
        if not self._fingerprint:
            self._fingerprint = crashes.fingerprint(self.call, self.customer)
        return self._fingerprint

    def placement_demand(
        self, excluded_data_centre: str | None = None
    ) -> placement.Demand:
        """Return the constraints for choosing a target."""
        service = self.ctx.tables.deployment.services.get(self.match.service)
        engine = service and service.engine
        demand = placement.Demand(
            service=self.match.service,
            data_centre=self.ctx.settings.data_centre,
            excluded_targets=frozenset(self.tried),
            excluded_data_centre=excluded_data_centre,
            tokens=self.call.prompt_tokens + self.call.output_tokens,
            capacity=engine.memory_tokens if engine else 0,
            version=self.version,
        )
        if self.rollout is not None:
            demand = self.rollout.constrain(demand, self.ctx.clock.now())
        return demand

    def part_keys(self) -> list[str]:
        """Return the names of the prompt's shared parts in the table of crashes."""
        return [f"{self.match.service}/{part}" for part in self.call.shared_parts]

    def check_content(self) -> None:
        """Check that neither the content nor a part of it crashed targets that ran it.

        Raises
        ------
        RequestFailed
            If it crashed so many targets that it must not be sent again.
        """
        table = self.ctx.tables.crashes
        if table.has_crashes and table.is_refused(
            self.content_fingerprint(), self.ctx.clock.now()
        ):
            raise self.build_failure("the content crashed the targets that ran it")
        part = self.ctx.tables.crashing_parts.find_refused(
            self.part_keys(), self.ctx.clock.now()
        )
        if part is not None:
            raise self.build_part_refusal(part)

    def build_part_refusal(self, part: str) -> RequestFailed:
        """Build the final failure of a request with a part that crashes targets."""
        exc = self.build_failure(f"the prompt's part {part} crashes targets")
        failure = exc.failure
        if failure.verdict is Verdict.NOT_RUN:
            failure = replace(failure, retry_after_s=crashing_parts.CONVICTION_S)
        return RequestFailed(failure)

    def record_output(self) -> None:
        """Record that a target has begun to send the request's output."""
        ctx, now = self.ctx, self.ctx.clock.now()
        self._clear_content()
        if self.rollout is not None:
            self.rollout.record_first_event(now)
        if ctx.tables.crashing_parts.record_output(self.part_keys(), now):
            ctx.announce()

    def _place(self, demand: placement.Demand) -> Target | None:
        tables, now = self.ctx.tables, self.ctx.clock.now()
        hosts = membership.count_live_hosts(tables, now)
        demand = limited_targets.constrain(tables, demand, now)
        prefer = self.ctx.admission and self.ctx.admission.prefer_room
        if prefer is not None:
            demand = prefer(demand, bool(self._sends))
        target = placement.choose(tables.targets, demand, now, self.ctx.rng, hosts)
        if self.rollout is not None and self.rollout.may_decline(target, now):
            self.rollout.decline(now)
            demand = replace(demand, excluded_versions=frozenset())
            demand = self.rollout.constrain(demand, now)
            if prefer is not None:
                demand = prefer(demand, bool(self._sends))
            target = placement.choose(tables.targets, demand, now, self.ctx.rng, hosts)
        return target

    def choose(self) -> Target:
        """Return the target to try next.

        If the request may have run, which no refusal can undo, and no other target
        is left, targets that were only silent are tried again.

        Raises
        ------
        RequestFailed
            If no target is left, or the request must not be sent again.
        LimitReached
            If the limits of all targets that are left are used up for now.
        """
        self.check_content()
        demand = self.placement_demand()
        if not self._sends:
            self._check_rank(demand)
        target = self._place(demand)
        if target is None and self._unreached and self._choose_host() is not None:
            # They may be reached through another host.
            self.tried -= self._unreached
            self._unreached.clear()
            demand = self.placement_demand()
            target = self._place(demand)
        if target is None and self.may_have_run and self._silent:
            excluded = frozenset(self.tried - self._silent)
            target = self._place(replace(demand, excluded_targets=excluded))
        if target is None:
            if limited_targets.only_limited_left(self.ctx.tables, demand):
                raise self.build_limit_refusal()
            self._check_open(demand)
            raise self.build_failure(
                f"no target of {self.match.service!r} is left to try"
            )
        self.check_budget()
        return target

    def _choose_host(self) -> HostEntry | None:
        """Return the host to connect through if this host has no path, or None."""
        ctx, service = self.ctx, self.match.service
        if service not in ctx.tables.paths.cut_off:
            return None
        now = ctx.clock.now()
        return paths.choose_host(ctx.tables, service, self._failed_hosts, now, ctx.rng)

    def _check_open(self, demand: placement.Demand) -> None:
        """Check that not all targets that are left want no requests now.

        Raises
        ------
        RequestFailed
            If they do; it says when the first of them wants some again.
        """
        targets, now = self.ctx.tables.targets, self.ctx.clock.now()
        # A target that was tried and is full now may be the first to open.
        demand = replace(demand, excluded_targets=frozenset())
        opens_in_s = placement.opens_in_s(targets, demand, now)
        if opens_in_s is None or self.may_have_run:
            return
        message = f"all targets of {self.match.service!r} are full"
        # Callers must not come back all at once.
        retry_after_s = opens_in_s + self.ctx.rng.random() * RETURN_SPREAD_S
        raise not_run(ErrorCode.OVERLOADED, message, retry_after_s)

    def _rank(self) -> int:
        """Return the rank for the limits of targets; the lowest is served first."""
        resumed = self._sends or self.call.last_event_id is not None
        return limited_targets.RESUMED_RANK if resumed else self.priority()

    def _check_rank(self, demand: placement.Demand) -> None:
        """Check that requests of higher rank leave something of the limits.

        Raises
        ------
        LimitReached
            If all targets name limits, and these are needed for higher ranks.
        """
        tables, service = self.ctx.tables, self.match.service
        if not limited_targets.only_limited_left(tables, demand):
            return
        now = self.ctx.clock.now()
        share = limited_targets.total_share(tables, service, now)
        if not tables.rate_limits.demand(service).admits(self._rank(), share, now):
            raise self.build_limit_refusal()

    def build_limit_refusal(self) -> LimitReached:
        """Build the failure of a request for which all limits are used up."""
        ctx, service = self.ctx, self.match.service
        message = f"the limits of all targets of {service!r} are used up"
        if self.may_have_run:
            return LimitReached(self.build_failure(message).failure)
        now = ctx.clock.now()
        share = limited_targets.total_share(ctx.tables, service, now)
        demand = ctx.tables.rate_limits.demand(service)
        free_in_s = demand.refuse(self._rank(), share, now)
        retry_after_s = ctx.rng.uniform(MIN_RETRY_AFTER_S, free_in_s)
        return LimitReached(
            Failure(ErrorCode.OVERLOADED, Verdict.NOT_RUN, message, retry_after_s)
        )

    def check_budget(self) -> None:
        """Check that the request may be sent again, and charge the retry budget.

        The first send of a request is always allowed.

        Raises
        ------
        RequestFailed
            If the request must not be sent again.
        RetryBudgetExhausted
            If the retry budget of the service is used up for now.
        """
        if not self._sends:
            return
        ctx, now = self.ctx, self.ctx.clock.now()
        route = self.match.route
        if self.may_have_run and not route.repeatable:
            raise self.build_failure("the request may have run and must not run again")
        if self.may_have_run >= route.max_attempts:
            raise self.build_failure(f"{route.max_attempts} targets may have run it")
        if self._refusals >= MAX_REFUSALS:
            raise self.build_failure(f"{self._refusals} targets refused it")
        if not membership.try_spend_retry(
            ctx.tables, self.match.service, route.kind is WorkKind.STREAM, now
        ):
            failure = self.build_failure("the budget for repeats is used up").failure
            raise RetryBudgetExhausted(failure)

    def build_failure(self, message: str) -> RequestFailed:
        """Build the final failure of a request that cannot be served."""
        if self.may_have_run:
            failure = Failure(ErrorCode.TARGET_FAILED, Verdict.MAY_HAVE_RUN, message)
        else:
            jitter = RETRY_AFTER_JITTER * (2 * self.ctx.rng.random() - 1)
            retry_after_s = RETRY_AFTER_S * (1 + jitter)
            failure = Failure(
                ErrorCode.NO_TARGET, Verdict.NOT_RUN, message, retry_after_s
            )
        return RequestFailed(failure)

    def build_timeout(self) -> RequestFailed:
        """Build the final failure of a request whose deadline has passed."""
        message = f"no answer within {self.deadline - self.call.arrived_at:.1f} s"
        if self.may_have_run:
            return RequestFailed(
                Failure(ErrorCode.DEADLINE, Verdict.MAY_HAVE_RUN, message)
            )
        return self.build_failure(message)

    def build_interruption(self, message: str) -> RequestFailed:
        """Build the final failure of a request that is ended within an attempt."""
        if self._sends > self._refusals:
            return RequestFailed(
                Failure(ErrorCode.TARGET_FAILED, Verdict.MAY_HAVE_RUN, message)
            )
        return self.build_failure(message)

    def build_dispatch(self, target: Target) -> Dispatch:
        """Build the parameters of the next send to a target, and count the send."""
        entry, tables = target.entry, self.ctx.tables
        now = self.ctx.clock.now()
        if limited_targets.take_token(tables, target, now):
            attempt = "repeat" if self._sends else "first"
            self.ctx.metrics.limited_sends.labels(attempt).inc()
            tables.rate_limits.demand(entry.service).record_sent(self._rank(), now)
        self._sends += 1
        if self.rollout is not None:
            self.rollout.record_sent(target, now)
        dispatch = Dispatch(entry.id, entry.address, max(0.001, self.remaining_s))
        dispatch.customer = self.customer
        dispatch.via = self._choose_host()
        service = self.ctx.tables.deployment.services.get(self.match.service)
        if service is not None and service.engine is not None:
            dispatch.priority = self.priority()
        return dispatch

    def priority(self) -> int:
        """Return the engine priority; a customer's priority overrides the route's."""
        customer, priority = self.match.customer, self.match.route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        return min(max(priority, 0), LOWEST_PRIORITY)

    def begin_run(self, target: Target) -> Run:
        """Start a run at a target and add the run to the target's load."""
        now = self.ctx.clock.unstalled_now()
        run = Run(self.call, self.match.route, target, now)
        run.customer = self.customer
        run.first_event_due_s = silence.first_event_due_s(
            self.ctx.tables, run, target.pending_prefill_tokens
        )
        route = self.match.route
        if route.repeatable and self._refusals < MAX_REFUSALS:
            run.attempts_left = route.max_attempts - self.may_have_run - 1
        demand = self.placement_demand()
        run.demand = replace(
            demand, excluded_targets=demand.excluded_targets | {target.entry.key}
        )
        run.follows_silence = self._ended_for_silence
        self._silent.discard(target.entry.key)
        target.own_load.runs += 1
        if target.brittle:
            self.ctx.announce_load()
        target.own_load.pending_prefill_tokens += self.call.prompt_tokens
        target.own_load.memory_tokens += run.memory_tokens
        return run

    def end_run(self, run: Run) -> None:
        """Remove a finished run from the target's load."""
        own = run.target.own_load
        own.runs -= 1
        own.memory_tokens -= run.memory_tokens
        if self.rollout is not None:
            self.rollout.close()
        if not run.events:
            own.pending_prefill_tokens -= self.call.prompt_tokens
        run.drop_copy()

    def record_head(
        self, target: Target, reply: Reply, sent_at: float, relayed: bool
    ) -> None:
        """Record what the head of a reply says of its target.

        The parameters are those of `record_limit`, and whether the reply came through
        another host.
        """
        if not relayed:
            self.ctx.tables.paths.record_success(self.match.service, sent_at)
        if reply.misdirected:
            return  # another target
        if self.rollout is not None:
            self.rollout.record_status(reply.status)
        if reply.leaving:
            self._record_leaving(target, reply)
        target.brittle = reply.brittle
        if reply.closed_s is not None:
            self._record_closed(target, reply.closed_s)
        self.record_limit(target, reply, sent_at)

    def _record_closed(self, target: Target, seconds: float) -> None:
        """Record that a target wants no requests from this host for a time."""
        target.closed_until = max(target.closed_until, self.ctx.clock.now() + seconds)
        log.info(
            "target_closed",
            target=target.entry.key,
            address=target.entry.address,
            closed_s=round(seconds, 3),
            request=self.call.id,
        )

    def _record_leaving(self, target: Target, reply: Reply) -> None:
        """Record that a target says that it leaves, and announce it to other hosts."""
        targets, now = self.ctx.tables.targets, self.ctx.clock.now()
        if discovery.record_leaving(targets, target.entry.key, now):
            targets.own_leaving.append((now, target.entry.key))
            self.ctx.announce()
            log.info(
                "target_says_leaving",
                target=target.entry.key,
                address=target.entry.address,
                request=self.call.id,
                status=reply.status,
            )

    def record_limit(self, target: Target, reply: Reply, sent_at: float) -> None:
        """Record what a reply says of the rate that its target takes from all hosts.

        Parameters
        ----------
        target
            The target.
        reply
            The reply, of which only the head has been read.
        sent_at
            Time at which the request was sent, on the event loop's clock.
        """
        if not reply.genuine:
            return  # an answer to another request
        key, limits = target.entry.key, self.ctx.tables.rate_limits
        if isinstance(reply.limit, LimitInvalid):
            log.warning("target_limit_invalid", target=key, value=reply.limit.text)
        if limits.record(key, reply.limit, sent_at, self.ctx.clock.now()):
            limit = limits.find(key)
            log.info(
                "target_limit_changed",
                target=key,
                address=target.entry.address,
                rate=None if limit is None else limit.rate,
                request=self.call.id,
            )
            self.ctx.announce()

    def record_done(self, target: Target) -> None:
        """Record that a target has answered the request."""
        placement.record_success(target)
        self.record_answer(ok=True)
        if target.brittle:
            placement.record_room(target)
        self._clear_content()

    def record_answer(self, ok: bool) -> None:
        """Record whether an answer is correct and complete, for a roll-out."""
        if self.rollout is not None:
            self.rollout.record_end(ok, self.ctx.clock.now())

    def _clear_content(self) -> None:
        table = self.ctx.tables.crashes
        if table.has_crashes and table.is_recorded(self.content_fingerprint()):
            table.clear(self.content_fingerprint(), self.ctx.clock.now())

    def record_refused(
        self, target: Target, reply: Reply, had_copy: bool = False
    ) -> AttemptOutcome:
        """Record that a target refused the request without running it.

        A target that was to resume from a copy may still run the request without it.
        """
        now = self.ctx.clock.now()
        self._refusals += 1
        if reply.misdirected or not had_copy:
            self.tried.add(target.entry.key)
        if reply.misdirected:
            placement.record_gone(target, now)
            self.ctx.misdirected.append(target.entry)
            self.ctx.announce()
        else:
            target.backoff_until = max(target.backoff_until, now + REFUSED_BACKOFF_S)
            if target.brittle:
                self._record_full(target, now)
        self._log_outcome(target, AttemptOutcome.REFUSED, f"status {reply.status}")
        return AttemptOutcome.REFUSED

    def _record_full(self, target: Target, now: float) -> None:
        """Record and announce that a brittle target had no room."""
        placement.record_full(target, self.ctx.settings.name, now)
        self.ctx.tables.targets.own_full.append((now, target.entry.key))
        self.ctx.announce()
        log.info(
            "target_full",
            target=target.entry.key,
            request=self.call.id,
            closed_s=round(target.closed_until - now, 3),
        )

    def record_timeout(self, target: Target) -> AttemptOutcome:
        """Record that the deadline passed before a target answered."""
        now = self.ctx.clock.now()
        self.may_have_run += 1
        if placement.record_loss(self.ctx.tables.targets, target, now):
            self.ctx.metrics.losses.labels("timeout").inc()
        self.record_answer(ok=False)
        self._log_outcome(target, AttemptOutcome.TIMEOUT, "deadline exceeded")
        return AttemptOutcome.TIMEOUT

    def record_failed(self, target: Target, reason: str) -> AttemptOutcome:
        """Record that a target answered with an error or an invalid response."""
        self.may_have_run += 1
        self.tried.add(target.entry.key)
        self.record_answer(ok=False)
        self._log_outcome(target, AttemptOutcome.FAILED, reason)
        return AttemptOutcome.FAILED

    def record_lost(
        self,
        target: Target,
        exc: TargetFailed,
        may_be_crash: bool,
        writing: bool = False,
        via: HostEntry | None = None,
    ) -> AttemptOutcome:
        """Record that the connection to a target failed or its stream stalled.

        Parameters
        ----------
        target
            The target.
        exc
            The failure, with the verdict on whether the request may have run.
        may_be_crash
            Whether the request itself may have crashed the target.
        writing
            Whether the target had begun to write an answer and had sent no event.
        via
            The host through which the request was sent, or None.
        """
        now = self.ctx.clock.now()
        if via is not None and exc.unasked:
            self._failed_hosts.add(via.name)
            self._refusals += 1
            self._log_outcome(target, AttemptOutcome.LOST, str(exc))
            return AttemptOutcome.LOST
        self.tried.add(target.entry.key)
        if exc.verdict is Verdict.NOT_RUN:
            self._refusals += 1
        else:
            self.may_have_run += 1
            self._ended_for_silence |= exc.silent
            if self.rollout is not None and not self._has_crashed_others():
                self.rollout.record_lost(target, exc.lost, now)
            if may_be_crash and exc.lost:
                self.ctx.crash_suspects.append(
                    CrashSuspect(
                        self.content_fingerprint(),
                        tuple(self.part_keys()),
                        target,
                        now,
                        writing,
                    )
                )
        if exc.silent:
            self._silent.add(target.entry.key)
        if exc.lost:
            # Streams may go on at a target that accepts no connection.
            silent = exc.silent and exc.verdict is not Verdict.NOT_RUN
            evidence = SILENCE if silent else CONNECTION
            record_target_loss(self.ctx, target, evidence, str(exc))
            if via is None and exc.verdict is Verdict.NOT_RUN:
                self._unreached.add(target.entry.key)
                record_path_failure(self.ctx, target, now)
        self._log_outcome(target, AttemptOutcome.LOST, str(exc))
        return AttemptOutcome.LOST

    def _has_crashed_others(self) -> bool:
        table = self.ctx.tables.crashes
        return table.has_crashes and table.is_recorded(self.content_fingerprint())

    def _log_outcome(
        self, target: Target, outcome: AttemptOutcome, reason: str
    ) -> None:
        self.ctx.metrics.sends.labels(outcome.value).inc()
        log.info(
            "attempt_ended",
            request=self.call.id,
            target=target.entry.key,
            address=target.entry.address,
            ending=outcome.value,
            reason=reason,
            may_have_run=self.may_have_run,
            remaining_s=round(self.remaining_s, 3),
            view=self.ctx.tables.targets.revision,
        )
