"""Drives the decisions against the stand-in's batches, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from turmericflow.cfg import Address
from turmericflow.load import Arrival, Workload, arrivals
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
from turmericflow.tables import (
    LoadReport,
    Peer,
    PeerState,
    RequestId,
    Tables,
    Target,
    TargetKind,
    Work,
)
from turmericflow.testing._batch import Batch, EngineSpeed, Stream
from turmericflow.verdict import ErrorCode, Failure

TICK_S = 0.05
POLL_S = 0.25
CACHE_POLL_S = 1.0
CACHE_GAP_SHARE = 0.02
RENEW_S = 2.0
LOSS_SEEN_S = 0.002
NETWORK_S = 0.001
DRAIN_S = 60.0
FULL_SHARES = 10


@dataclass(slots=True, frozen=True)
class Fleet:
    """Size of what is driven."""

    engines: int = 12
    routers: int = 6
    speed: EngineSpeed = EngineSpeed(20.0, 0.01, 16, 20_000.0, 1024)

    def served_per_s(self, tokens: float) -> float:
        """Return the requests of a mean length that the fleet serves a second.

        One step takes the prompt in and each token takes one, all batches full.
        """
        speed = self.speed
        step = speed.step_ms * (1 + speed.slow_down * (speed.slots - 1)) / 1000
        return self.engines * speed.slots / (step * (tokens + 1))


@dataclass(slots=True)
class Outcome:
    """What became of one request; times in seconds since the start."""

    arrival: Arrival
    prompt: str
    words: int
    blocks: list[str]
    tries: int = 0
    tried_at: float = 0.0
    accepted: bool = False
    first_at: float | None = None
    done_at: float | None = None
    failure: Failure | None = None
    refuse_s: float = 0.0
    refused_at: list[float] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether it was answered whole and in time."""
        return self.done_at is not None


@dataclass(slots=True)
class Run:
    """What one workload gave under one policy."""

    outcomes: list[Outcome]
    attempts: int = 0
    accepted: int = 0
    prompt_tokens: float = 0.0
    prefilled: float = 0.0
    decisions: list[tuple[str, str]] = field(default_factory=list)


def _outcome(arrival: Arrival) -> Outcome:
    prompt = arrival.prompt
    words = prompt.split()
    return Outcome(arrival, prompt, len(words), prefixes.block_names(words))


class Clock:
    """Virtual time, and what happens at which."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Have something happen at a time."""
        heapq.heappush(self._heap, (when, next(self._numbers), call))

    def every(self, start: float, period: float, call: Callable[[], None]) -> None:
        """Have something happen again and again."""

        def again() -> None:
            call()
            self.at(self.now + period, again)

        self.at(start, again)

    def run(self, until: float) -> None:
        """Let everything happen up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heapq.heappop(self._heap)
            call()


class Engine:
    """A stand-in's batch that steps in virtual time, and its late reports."""

    def __init__(self, clock: Clock, name: str, speed: EngineSpeed, seed: int) -> None:
        self.name = name
        self.batch = Batch(speed, seed)
        self.dead = False
        self.lost: dict[str, Callable[[], None]] = {}
        self._clock = clock
        self._busy = False
        self._reports: list[tuple[float, tuple[int, int, float]]] = []
        self._note()

    def add(self, outcome: Outcome, done: list[str], rank: int) -> Stream:
        """Take a stream in."""
        arrival = outcome.arrival
        most = arrival.stream.max_tokens
        stream = self.batch.add(
            arrival.key, outcome.tries, outcome.prompt, done, most, rank
        )
        if not self._busy:
            self._busy = True
            self._clock.at(self._clock.now + self.batch.step_s(), self._step)
        return stream

    def _step(self) -> None:
        if self.dead:
            return
        self.batch.step()
        self._note()
        self._busy = bool(self.batch.running or self.batch.queue)
        if self._busy:
            self._clock.at(self._clock.now + self.batch.step_s(), self._step)

    def _note(self) -> None:
        batch = self.batch
        report = (len(batch.running), len(batch.queue), batch.step_s() * 1000)
        self._reports.append((self._clock.now, report))
        old = self._clock.now - estimates.REPORT_LAG_S
        while len(self._reports) > 1 and self._reports[1][0] <= old:
            self._reports.pop(0)

    def report(self, now: float) -> LoadReport:
        """Return the report that a router gets now."""
        if not self._busy:
            self._note()
        running, queued, step_ms = self._reports[0][1]
        speed = self.batch.speed
        return LoadReport(
            running, queued, speed.slots, step_ms, speed.prefill_tokens_s, now
        )

    def kill(self) -> None:
        """End at once; every stream's router sees its connection reset."""
        self.dead = True
        for call in list(self.lost.values()):
            self._clock.at(self._clock.now + LOSS_SEEN_S, call)


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
        share_s = sharing.SHARE_S
        clock.every(offset * share_s, share_s, self._share)

    def _share(self) -> None:
        if self.dead:
            return
        cluster = self.cluster
        self._shares += 1
        full = self._shares % FULL_SHARES == 1
        counts = sharing.changes(self.tables, self._told, full)
        word = (self.tables.host, counts, full, sharing.waiting(self.tables))
        for router in cluster.routers:
            if router is not self:
                later = cluster.clock.now + NETWORK_S
                cluster.clock.at(later, _call(router.hear, *word))

    def hear(self, host: str, counts: dict, full: bool, waiting: dict) -> None:
        """Take in another router's counts."""
        now = self.cluster.clock.now
        sharing.learn(self.tables, host, counts, full, now)
        sharing.learn_waiting(self.tables, host, waiting)

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
                prefixes.learn(self.tables.load, target, len(events), found, now)

    def _renew(self) -> None:
        load, routers = self.tables.load, limits.live_routers(self.tables)
        for pool in load.pools.values():
            self.policy = policies.renewed(self.policy, load, pool, routers, RENEW_S)

    def _tick(self) -> None:
        now = self.cluster.clock.now
        self.tables.config.confirmed_at = now
        sharing.expire(self.tables, now)
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
        self._settle(scheduling.pump(self.tables, pool, self.policy, now, self.rng))

    def _settle(self, outcomes: list) -> None:
        for outcome in outcomes:
            attempt = self._waiting.pop(id(outcome.entry))
            match outcome:
                case scheduling.Placed(target=target):
                    self._send(attempt, target)
                case scheduling.GivenUp():
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
        attempt.stream.on_change.append(lambda: self._changed(attempt))
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


class Cluster:
    """Engines and routers under one workload and one policy."""

    def __init__(
        self,
        workload: Workload,
        policy: policies.Policy,
        fleet: Fleet,
        seed: int,
        keep: Callable[[Arrival], bool] = lambda arrival: True,
    ) -> None:
        self.workload, self.policy, self.fleet, self.seed = (
            workload,
            policy,
            fleet,
            seed,
        )
        self.clock = Clock()
        self.profiles = {each.name: each for each in workload.profiles}
        self.engines = [
            Engine(self.clock, f"redactor-{number}", fleet.speed, seed * 100 + number)
            for number in range(fleet.engines)
        ]
        self.by_name = {engine.name: engine for engine in self.engines}
        self.routers = [Router(number, self) for number in range(fleet.routers)]
        self._rng = Random(seed)
        served = fleet.served_per_s(workload.mean_tokens)
        found = [each for each in arrivals(workload, served, seed) if keep(each)]
        self.run = Run([_outcome(arrival) for arrival in found])

    def arrive(self, outcome: Outcome) -> None:
        """Have a caller's request come to any live router."""
        live = [router for router in self.routers if not router.dead]
        self._rng.choice(live).submit(outcome)

    def refused(self, outcome: Outcome, failure: Failure) -> None:
        """Take a refusal back to the caller, who may come again."""
        now = self.clock.now
        outcome.accepted = False
        outcome.refused_at.append(now)
        if outcome.tries <= self.workload.caller_retries:
            wait = (failure.retry_after_s or 1.0) * (1 + self._rng.random())
            self.clock.at(now + wait, lambda: self.arrive(outcome))
        else:
            outcome.failure = failure

    def _lose(self, what: str, number: int) -> None:
        if what == "engine":
            self.engines[number].kill()
            return
        self.routers[number].kill()
        for router in self.routers:
            peer = router.tables.peers.rows.get(f"entry-{number}")
            if peer is not None:
                peer.state = PeerState.DEAD

    def drive(self) -> Run:
        """Let the whole workload happen."""
        for number, router in enumerate(self.routers):
            router.start((number + 1) / len(self.routers))
        for outcome in self.run.outcomes:
            call = _call(self.arrive, outcome)
            self.clock.at(outcome.arrival.at_s + NETWORK_S, call)
        for loss in self.workload.losses:
            self.clock.at(loss.at_s, _call(self._lose, loss.what, loss.number))
        self.clock.run(self.workload.length_s + DRAIN_S)
        self.run.prefilled = sum(engine.batch.prefilled for engine in self.engines)
        return self.run


def _call(function: Callable, *args: object) -> Callable[[], None]:
    return lambda: function(*args)
