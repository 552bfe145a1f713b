"""Router in virtual time, with the real decisions on its own tables."""

from __future__ import annotations

import time
from random import Random
from typing import TYPE_CHECKING

from benchmarks._virtual_clock import call_with
from benchmarks._virtual_outcomes import Outcome
from turmericflow.cfg import Address
from turmericflow.systems import (
    admission,
    budgets,
    estimates,
    limits,
    policies,
    prefixes,
    scheduling,
    sharing,
)
from turmericflow.tables import Peer, RequestId, Tables, Target, TargetKind, Work
from turmericflow.testing._batch import Stream
from turmericflow.verdict import ErrorCode, Failure

if TYPE_CHECKING:
    from benchmarks._virtual import Cluster

TICK_INTERVAL_S = 0.05
LOAD_POLL_INTERVAL_S = 0.25
CACHE_POLL_INTERVAL_S = 1.0
LOST_CACHE_EVENT_SHARE = 0.02
POLICY_UPDATE_INTERVAL_S = 2.0
NETWORK_S = 0.001
EXCHANGES_PER_FULL = 10


class _Attempt:
    """One attempt of a request on one engine."""

    __slots__ = ("prefix", "outcome", "sent_at", "stream", "target", "work")

    def __init__(self, outcome: Outcome, work: Work, prefix: list[str]) -> None:
        self.outcome = outcome
        self.work = work
        self.prefix = prefix
        self.sent_at = 0.0
        self.stream: Stream | None = None
        self.target: Target | None = None


class Router:
    """A router that admits, queues and dispatches requests on its own tables."""

    def __init__(self, number: int, cluster: Cluster) -> None:
        self.cluster = cluster
        self.rng = Random(cluster.seed * 1000 + number)
        self.tables = Tables(f"entry-{number}", "north")
        self.policy = cluster.policy
        self.dead = False
        self._exchanges = 0
        self._shared_counts: dict[str, int] = {}
        self._queued: dict[int, _Attempt] = {}
        budgets.fill(self.tables.load)
        self._fill_tables(number)

    def _fill_tables(self, number: int) -> None:
        cluster, tables = self.cluster, self.tables
        tables.config.confirmed_at = 0.0
        for customer in cluster.workload.customers:
            tables.config.customers[customer.name] = customer
        for other in range(cluster.fleet.routers):
            if other != number:
                address = Address("127.0.0.1", 1 + other)
                name = f"entry-{other}"
                tables.peers.rows[name] = Peer(name, "north", address, address)
        for engine in cluster.engines:
            tables.targets.rows[engine.name] = Target(
                engine.name, TargetKind.ENGINE, "redactor", "north", Address("::1", 1)
            )

    def start(self, offset: float) -> None:
        """Schedule the periodic polls, ticks and exchanges of counts."""
        clock = self.cluster.clock
        clock.every(offset * TICK_INTERVAL_S, TICK_INTERVAL_S, self._tick)
        clock.every(offset * LOAD_POLL_INTERVAL_S, LOAD_POLL_INTERVAL_S, self._poll)
        clock.every(
            offset * CACHE_POLL_INTERVAL_S, CACHE_POLL_INTERVAL_S, self._poll_cache
        )
        clock.every(
            POLICY_UPDATE_INTERVAL_S, POLICY_UPDATE_INTERVAL_S, self._update_policy
        )
        share_s = sharing.SHARE_INTERVAL_S
        clock.every(offset * share_s, share_s, self._exchange_counts)

    def _exchange_counts(self) -> None:
        if self.dead:
            return
        cluster = self.cluster
        self._exchanges += 1
        full = self._exchanges % EXCHANGES_PER_FULL == 1
        counts = sharing.changed_counts(self.tables, self._shared_counts, full)
        message = (self.tables.host, counts, full, sharing.pool_demands(self.tables))
        for router in cluster.routers:
            if router is not self:
                arrives_at = cluster.clock.now + NETWORK_S
                cluster.clock.at(arrives_at, call_with(router.on_counts, *message))

    def on_counts(self, host: str, counts: dict, full: bool, demands: dict) -> None:
        """Apply another router's counts and demands."""
        now = self.cluster.clock.now
        sharing.learn_counts(self.tables, host, counts, full, now)
        sharing.learn_demands(self.tables, host, demands)

    def _poll(self) -> None:
        now = self.cluster.clock.now
        for engine in self.cluster.engines:
            if not engine.dead:
                target = self.tables.targets.rows[engine.name]
                estimates.learn_report(target, engine.report(now))

    def _poll_cache(self) -> None:
        now = self.cluster.clock.now
        for engine in self.cluster.engines:
            target = self.tables.targets.rows[engine.name]
            events = engine.batch.cache.events
            seen_events = [
                (number + 1, *events[number])
                for number in range(target.cache_seq, len(events))
                if self.rng.random() >= LOST_CACHE_EVENT_SHARE
            ]
            if not engine.dead:
                prefixes.learn_events(
                    self.tables.load, target, len(events), seen_events, now
                )

    def _update_policy(self) -> None:
        load, routers = self.tables.load, limits.live_routers(self.tables)
        for pool in load.pools.values():
            self.policy = policies.with_measured_arrivals(
                self.policy, load, pool, routers, POLICY_UPDATE_INTERVAL_S
            )

    def _tick(self) -> None:
        now = self.cluster.clock.now
        self.tables.config.confirmed_at = now
        sharing.expire_counts(self.tables, now)
        for pool in self.tables.load.pools.values():
            scheduling.refresh(self.tables, pool, now)
            self._apply_outcomes(scheduling.expire(pool, now))
            self._dispatch(pool)

    def _make_work(self, outcome: Outcome, prefix: list[str], resume: bool) -> Work:
        arrival, now = outcome.arrival, self.cluster.clock.now
        stream = arrival.stream
        load = self.tables.load
        tokens_left = max(1, stream.max_tokens - len(prefix))
        return Work(
            RequestId(stream.customer, arrival.key),
            self.cluster.profiles[stream.profile],
            outcome.words + len(prefix),
            outcome.blocks,
            tokens_left,
            now,
            estimates.expected_tokens(load, stream.profile, tokens_left),
            resume,
        )

    def submit(self, outcome: Outcome) -> None:
        """Admit or refuse a request, and queue it if it is admitted."""
        now = self.cluster.clock.now
        work = self._make_work(outcome, [], False)
        start = time.perf_counter()
        pool = scheduling.pool_of(self.tables, work, now)
        routers = limits.live_routers(self.tables)
        refusal = admission.admit(self.tables, pool, work, routers, now, self.rng)
        outcome.refuse_s = time.perf_counter() - start
        outcome.tries += 1
        outcome.tried_at = now - NETWORK_S
        if refusal is not None:
            self.cluster.on_refused(outcome, refusal)
            return
        outcome.accepted = True
        self.cluster.run.accepted += 1
        expires_at = now + work.profile.wait_s
        self._enqueue(_Attempt(outcome, work, []), expires_at)

    def _enqueue(self, attempt: _Attempt, expires_at: float) -> None:
        now = self.cluster.clock.now
        pool = scheduling.pool_of(self.tables, attempt.work, now)
        entry = scheduling.enqueue(self.tables, pool, attempt.work, expires_at)
        self._queued[id(entry)] = attempt
        self._dispatch(pool)

    def _dispatch(self, pool) -> None:
        now = self.cluster.clock.now
        self._apply_outcomes(
            scheduling.dispatch(self.tables, pool, self.policy, now, self.rng)
        )

    def _apply_outcomes(self, outcomes: list) -> None:
        for outcome in outcomes:
            attempt = self._queued.pop(id(outcome.entry))
            match outcome:
                case scheduling.Placed(target=target):
                    self._send(attempt, target)
                case scheduling.Expired():
                    waited_s = self.cluster.clock.now - attempt.outcome.tried_at
                    attempt.outcome.refuse_s += waited_s
                    failure = Failure(ErrorCode.NO_TARGET, "NOT_RUN", "late", 1.0)
                    self.cluster.on_refused(attempt.outcome, failure)

    def _send(self, attempt: _Attempt, target: Target) -> None:
        cluster = self.cluster
        arrival = attempt.outcome.arrival
        attempt.target, attempt.sent_at = target, cluster.clock.now
        cluster.run.attempts += 1
        cluster.run.prompt_tokens += attempt.work.prompt_tokens
        cluster.run.decisions.append((arrival.key, target.name))
        engine = cluster.engines_by_name[target.name]
        if engine.dead:
            self._on_loss(attempt)
            return
        priority = 0 if attempt.work.resume else 1
        attempt.stream = engine.add(attempt.outcome, attempt.prefix, priority)
        attempt.stream.listeners.append(lambda: self._on_output(attempt))
        engine.loss_callbacks[arrival.key] = lambda: self._on_loss(attempt)

    def _on_output(self, attempt: _Attempt) -> None:
        outcome, stream, now = attempt.outcome, attempt.stream, self.cluster.clock.now
        if outcome.first_at is None and stream.tokens:
            outcome.first_at = now + NETWORK_S
        if not stream.done or outcome.done_at is not None:
            return
        deadline_s = attempt.work.profile.deadline_s
        if now - outcome.tried_at <= deadline_s:
            outcome.done_at = now
        del self.cluster.engines_by_name[attempt.target.name].loss_callbacks[
            outcome.arrival.key
        ]
        length = len(stream.tokens)
        estimates.learn_length(self.tables.load, outcome.arrival.stream.profile, length)
        self._release(attempt, False)

    def _release(self, attempt: _Attempt, lost: bool) -> None:
        if self.dead:
            return
        now, work = self.cluster.clock.now, attempt.work
        pool = scheduling.pool_of(self.tables, work, now)
        scheduling.release(
            self.tables, pool, work, attempt.target, attempt.sent_at, lost, now
        )
        self._dispatch(pool)

    def _on_loss(self, attempt: _Attempt) -> None:
        outcome, now = attempt.outcome, self.cluster.clock.now
        self._release(attempt, True)
        if self.dead:
            self.cluster.submit(outcome)
            return
        prefix = list(attempt.stream.tokens) if attempt.stream else []
        load = self.tables.load
        if not budgets.spend(load.resumes if prefix else load.retries):
            outcome.failure = Failure(ErrorCode.TARGET_FAILED, "MAY_HAVE_RUN", "", 1.0)
            return
        work = self._make_work(outcome, prefix, True)
        self._enqueue(_Attempt(outcome, work, prefix), now + work.profile.deadline_s)

    def kill(self) -> None:
        """Fail the router; callers resubmit its queued requests to other routers.

        Streams that run on engines continue, since another router attaches to them.
        """
        self.dead = True
        queued, self._queued = list(self._queued.values()), {}
        for attempt in queued:
            self.cluster.submit(attempt.outcome)
