"""Simulation of routers and engines under a workload, in virtual time."""

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
    """Engines and routers under one workload and one policy.

    Parameters
    ----------
    keep
        Predicate that selects the arrivals of the workload to simulate.
    """

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
        self.engines_by_name = {engine.name: engine for engine in self.engines}
        self.routers = [Router(number, self) for number in range(fleet.routers)]
        self._rng = Random(seed)
        served = fleet.served_per_s(workload.mean_tokens)
        kept = [each for each in arrivals(workload, served, seed) if keep(each)]
        self.run = Run([outcome_of(arrival) for arrival in kept])

    def submit(self, outcome: Outcome) -> None:
        """Submit a caller's request to a random live router."""
        live = [router for router in self.routers if not router.dead]
        self._rng.choice(live).submit(outcome)

    def on_refused(self, outcome: Outcome, failure: Failure) -> None:
        """Return a refusal to the caller, which may retry later."""
        now = self.clock.now
        outcome.accepted = False
        outcome.refused_at.append(now)
        if outcome.tries <= self.workload.caller_retries:
            wait_s = (failure.retry_after_s or 1.0) * (1 + self._rng.random())
            self.clock.at(now + wait_s, lambda: self.submit(outcome))
        else:
            outcome.failure = failure

    def _fail(self, kind: str, number: int) -> None:
        if kind == "engine":
            self.engines[number].kill()
            return
        self.routers[number].kill()
        for router in self.routers:
            peer = router.tables.peers.rows.get(f"entry-{number}")
            if peer is not None:
                peer.state = PeerState.DEAD

    def run_workload(self) -> Run:
        """Simulate the whole workload and return its results."""
        for number, router in enumerate(self.routers):
            router.start((number + 1) / len(self.routers))
        for outcome in self.run.outcomes:
            call = call_with(self.submit, outcome)
            self.clock.at(outcome.arrival.at_s + NETWORK_S, call)
        for loss in self.workload.losses:
            self.clock.at(loss.at_s, call_with(self._fail, loss.what, loss.number))
        self.clock.run(self.workload.length_s + DRAIN_S)
        self.run.prefilled = sum(engine.batch.prefilled for engine in self.engines)
        return self.run
