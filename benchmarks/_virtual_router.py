"""One router's decisions in virtual time, on its own tables."""

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

TICK_S = 0.05
POLL_S = 0.25
CACHE_POLL_S = 1.0
CACHE_GAP_SHARE = 0.02
RENEW_S = 2.0
NETWORK_S = 0.001
FULL_SHARES = 10


class _Attempt:
    """One attempt on one engine."""

    __slots__ = ("done", "outcome", "sent_at", "stream", "target", "work")

    def __init__(self, outcome: Outcome, work: Work, done: list[str]) -> None:
        self.outcome = outcome
        self.work = work
        self.done = done
        self.sent_at = 0.0
        self.stream: Stream | None = None
        self.target: Target | None = None


class Router:
    """One router's decisions, on its own tables."""

    def __init__(self, number: int, cluster: Cluster) -> None:
        self.cluster = cluster
        self.rng = Random(cluster.seed * 1000 + number)
        self.tables = Tables(f"entry-{number}", "north")
        self.policy = cluster.policy
        self.dead = False
        self._shares = 0
        self._told: dict[str, int] = {}
        self._waiting: dict[int, _Attempt] = {}
        budgets.fill(self.tables.load)
        self._know(number)

    def _know(self, number: int) -> None:
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
        """Start to poll and to tick."""
        clock = self.cluster.clock
        clock.every(offset * TICK_S, TICK_S, self._tick)
        clock.every(offset * POLL_S, POLL_S, self._poll)
        clock.every(offset * CACHE_POLL_S, CACHE_POLL_S, self._poll_cache)
        clock.every(RENEW_S, RENEW_S, self._renew)
        share_s = sharing.SHARE_INTERVAL_S
        clock.every(offset * share_s, share_s, self._share)

    def _share(self) -> None:
        if self.dead:
            return
        cluster = self.cluster
        self._shares += 1
        full = self._shares % FULL_SHARES == 1
        counts = sharing.changed_counts(self.tables, self._told, full)
        word = (self.tables.host, counts, full, sharing.pool_demands(self.tables))
        for router in cluster.routers:
            if router is not self:
                later = cluster.clock.now + NETWORK_S
                cluster.clock.at(later, call_with(router.hear, *word))

    def hear(self, host: str, counts: dict, full: bool, waiting: dict) -> None:
        """Take in another router's counts."""
        now = self.cluster.clock.now
        sharing.learn_counts(self.tables, host, counts, full, now)
        sharing.learn_demands(self.tables, host, waiting)

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
            found = [
                (number + 1, *events[number])
                for number in range(target.cache_seq, len(events))
                if self.rng.random() >= CACHE_GAP_SHARE
            ]
            if not engine.dead:
                prefixes.learn_events(self.tables.load, target, len(events), found, now)

    def _renew(self) -> None:
        load, routers = self.tables.load, limits.live_routers(self.tables)
        for pool in load.pools.values():
            self.policy = policies.with_measured_arrivals(
                self.policy, load, pool, routers, RENEW_S
            )

    def _tick(self) -> None:
        now = self.cluster.clock.now
        self.tables.config.confirmed_at = now
        sharing.expire_counts(self.tables, now)
        for pool in self.tables.load.pools.values():
            scheduling.refresh(self.tables, pool, now)
            self._settle(scheduling.expire(pool, now))
            self._pump(pool)

    def _work(self, outcome: Outcome, done: list[str], again: bool) -> Work:
        arrival, now = outcome.arrival, self.cluster.clock.now
        stream = arrival.stream
        load = self.tables.load
        left = max(1, stream.max_tokens - len(done))
        return Work(
            RequestId(stream.customer, arrival.key),
            self.cluster.profiles[stream.profile],
            outcome.words + len(done),
            outcome.blocks,
            left,
            now,
            estimates.expected_tokens(load, stream.profile, left),
            again,
        )

    def submit(self, outcome: Outcome) -> None:
        """Decide on a request, and queue it if it is accepted."""
        now = self.cluster.clock.now
        work = self._work(outcome, [], False)
        start = time.perf_counter()
        pool = scheduling.pool_of(self.tables, work, now)
        routers = limits.live_routers(self.tables)
        refusal = admission.admit(self.tables, pool, work, routers, now, self.rng)
        outcome.refuse_s = time.perf_counter() - start
        outcome.tries += 1
        outcome.tried_at = now - NETWORK_S
        if refusal is not None:
            self.cluster.refused(outcome, refusal)
            return
        outcome.accepted = True
        self.cluster.run.accepted += 1
        until = now + work.profile.wait_s
        self._enqueue(_Attempt(outcome, work, []), until)

    def _enqueue(self, attempt: _Attempt, until: float) -> None:
        now = self.cluster.clock.now
        pool = scheduling.pool_of(self.tables, attempt.work, now)
        entry = scheduling.enqueue(self.tables, pool, attempt.work, until)
        self._waiting[id(entry)] = attempt
        self._pump(pool)

    def _pump(self, pool) -> None:
        now = self.cluster.clock.now
        self._settle(scheduling.dispatch(self.tables, pool, self.policy, now, self.rng))

    def _settle(self, outcomes: list) -> None:
        for outcome in outcomes:
            attempt = self._waiting.pop(id(outcome.entry))
            match outcome:
                case scheduling.Placed(target=target):
                    self._send(attempt, target)
                case scheduling.Expired():
                    late = self.cluster.clock.now - attempt.outcome.tried_at
                    attempt.outcome.refuse_s += late
                    failure = Failure(ErrorCode.NO_TARGET, "NOT_RUN", "late", 1.0)
                    self.cluster.refused(attempt.outcome, failure)

    def _send(self, attempt: _Attempt, target: Target) -> None:
        cluster = self.cluster
        arrival = attempt.outcome.arrival
        attempt.target, attempt.sent_at = target, cluster.clock.now
        cluster.run.attempts += 1
        cluster.run.prompt_tokens += attempt.work.prompt_tokens
        cluster.run.decisions.append((arrival.key, target.name))
        engine = cluster.by_name[target.name]
        if engine.dead:
            self._lost(attempt)
            return
        rank = 0 if attempt.work.resume else 1
        attempt.stream = engine.add(attempt.outcome, attempt.done, rank)
        attempt.stream.listeners.append(lambda: self._changed(attempt))
        engine.lost[arrival.key] = lambda: self._lost(attempt)

    def _changed(self, attempt: _Attempt) -> None:
        outcome, stream, now = attempt.outcome, attempt.stream, self.cluster.clock.now
        if outcome.first_at is None and stream.tokens:
            outcome.first_at = now + NETWORK_S
        if not stream.done or outcome.done_at is not None:
            return
        limit = attempt.work.profile.deadline_s
        if now - outcome.tried_at <= limit:
            outcome.done_at = now
        del self.cluster.by_name[attempt.target.name].lost[outcome.arrival.key]
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
        self._pump(pool)

    def _lost(self, attempt: _Attempt) -> None:
        outcome, now = attempt.outcome, self.cluster.clock.now
        self._release(attempt, True)
        if self.dead:
            self.cluster.arrive(outcome)
            return
        done = list(attempt.stream.tokens) if attempt.stream else []
        load = self.tables.load
        if not budgets.spend(load.resumes if done else load.retries):
            outcome.failure = Failure(ErrorCode.TARGET_FAILED, "MAY_HAVE_RUN", "", 1.0)
            return
        work = self._work(outcome, done, True)
        self._enqueue(_Attempt(outcome, work, done), now + work.profile.deadline_s)

    def kill(self) -> None:
        """End at once; what waits here is sent again elsewhere by its callers.

        Streams that run on engines go on, for another router attaches to them.
        """
        self.dead = True
        waiting, self._waiting = list(self._waiting.values()), {}
        for attempt in waiting:
            self.cluster.arrive(attempt.outcome)
