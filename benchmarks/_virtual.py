"""Drives the decisions against the stand-in's batches, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from benchmarks._virtual_clock import Clock, call_with
from benchmarks._virtual_engine import Engine, Fleet
from benchmarks._virtual_outcomes import Outcome, Run, outcome_of
from benchmarks._virtual_router import NETWORK_S, Router
from turmericflow.load import Arrival, Workload, arrivals
from turmericflow.systems import policies
from turmericflow.tables import PeerState
from turmericflow.verdict import Failure

DRAIN_S = 60.0

__all__ = ("Cluster", "Fleet", "Outcome", "Run")


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
        self.run = Run([outcome_of(arrival) for arrival in found])

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
            call = call_with(self.arrive, outcome)
            self.clock.at(outcome.arrival.at_s + NETWORK_S, call)
        for loss in self.workload.losses:
            self.clock.at(loss.at_s, call_with(self._lose, loss.what, loss.number))
        self.clock.run(self.workload.length_s + DRAIN_S)
        self.run.prefilled = sum(engine.batch.prefilled for engine in self.engines)
        return self.run
