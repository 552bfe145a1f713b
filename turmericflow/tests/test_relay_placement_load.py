"""Tests of the load on engines when many hosts place work independently.

A simulated fleet gets prompts at many hosts while a third of the engines is killed at
once.  Their prompts are then placed again by all hosts, before any host knows of the
others' choices (thundering herd).
"""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

import pytest

from turmericflow.relay import (
    TargetEntry,
    _discovery as discovery,
    _placement as placement,
)
from turmericflow.relay._placement import Demand
from turmericflow.relay._target_tables import Load, TargetTable

PROMPT_TOKENS = 8000
PREFILL_S = 1.0
DECODE_S = 5.0
GOSSIP_DELAY_S = 0.05  # until the other hosts know of a choice
OBJECTIVE_S = 4.5
ARRIVALS_S = 20.0
KILL_EVERY_S = 4.0
RESTART_S = 1.2


class FleetModel:
    """Event simulation: engines prefill one prompt at a time, hosts choose engines."""

    def __init__(self, hosts: int, engines: int, seed: int) -> None:
        self.rng = Random(seed)
        self.hosts = hosts
        self.names = [f"e{number}" for number in range(engines)]
        self.views = [TargetTable() for _ in range(hosts)]
        for view in self.views:
            discovery.replace(view, [self._entry(n, 0) for n in self.names], 1, now=0.0)
        self.incarnations = dict.fromkeys(self.names, 0)
        self.free_at = dict.fromkeys(self.names, 0.0)
        self.running: dict[str, set[int]] = {name: set() for name in self.names}
        self.waits: list[float] = []
        self.arrivals: dict[int, tuple[int, float]] = {}
        self._events: list = []
        self._order = count()
        self._ids = count()

    def _entry(self, name: str, incarnation: int) -> TargetEntry:
        data_centre = f"dc-{int(name[1:]) % 3}"
        return TargetEntry(name, incarnation, "engine", f"{name}:1", data_centre, 24)

    def schedule(self, time: float, call, *args) -> None:
        heapq.heappush(self._events, (time, next(self._order), call, args))

    def run(self, rate_per_s: float) -> list[float]:
        """Return the sorted times to first token of the prompts that an engine ran."""
        time = 0.0
        while time < ARRIVALS_S:
            time += self.rng.expovariate(rate_per_s)
            self.schedule(time, self.arrive, next(self._ids))
        for number in range(1, int(ARRIVALS_S / KILL_EVERY_S)):
            self.schedule(number * KILL_EVERY_S, self.kill)
        while self._events:
            time, _, call, args = heapq.heappop(self._events)
            call(time, *args)
        return sorted(self.waits)

    def arrive(self, now: float, id: int) -> None:
        host = self.rng.randrange(self.hosts)
        self.arrivals[id] = host, now
        self.place(now, id)

    def place(self, now: float, id: int) -> None:
        host, _ = self.arrivals[id]
        view = self.views[host]
        demand = Demand(
            "engine", f"dc-{host % 3}", tokens=PROMPT_TOKENS, capacity=88_000
        )
        target = placement.choose(view, demand, now, self.rng, self.hosts)
        name, incarnation = target.entry.id, self.incarnations[target.entry.id]
        if target.entry.born_ms != incarnation:
            self.schedule(now + 0.01, self.record_loss, id, host, target.entry.key)
            return
        self.report_load(
            now, host, target.entry.key, Load(1, PROMPT_TOKENS, PROMPT_TOKENS)
        )
        self.running[name].add(id)
        ready = self.free_at[name] = max(now, self.free_at[name]) + PREFILL_S
        self.schedule(ready, self.end_prefill, id, host, target.entry.key)

    def report_load(self, now: float, host: int, key: str, load: Load) -> None:
        self._add(now, host, key, host, load)
        for other in range(self.hosts):
            if other != host:
                self.schedule(now + GOSSIP_DELAY_S, self._add, other, key, host, load)

    def _add(self, now: float, viewer: int, key: str, host: int, load: Load) -> None:
        target = self.views[viewer].rows.get(key)
        if target is None:
            return
        total = target.own_load
        if viewer != host:
            total = target.other_loads.setdefault(str(host), Load())
        total.runs += load.runs
        total.pending_prefill_tokens += load.pending_prefill_tokens
        total.memory_tokens += load.memory_tokens

    def end_prefill(self, now: float, id: int, host: int, key: str) -> None:
        name, _, incarnation = key.partition("@")
        if int(incarnation) != self.incarnations[name] or id not in self.running[name]:
            return
        self.waits.append(now - self.arrivals[id][1])
        self.report_load(now, host, key, Load(0, -PROMPT_TOKENS, 0))
        self.schedule(now + DECODE_S, self.end_run, id, host, key)

    def end_run(self, now: float, id: int, host: int, key: str) -> None:
        self.running[key.partition("@")[0]].discard(id)
        self.report_load(now, host, key, Load(-1, 0, -PROMPT_TOKENS))

    def record_loss(self, now: float, id: int, host: int, key: str) -> None:
        target = self.views[host].rows.get(key)
        if target is not None:
            placement.record_loss(self.views[host], target, now)
        self.place(now, id)

    def kill(self, now: float) -> None:
        for name in self.rng.sample(self.names, len(self.names) // 3):
            self.incarnations[name] += 1
            self.free_at[name] = now + RESTART_S
            ids, self.running[name] = self.running[name], set()
            for id in ids:
                host, _ = self.arrivals[id]
                key = f"{name}@{self.incarnations[name] - 1}"
                self.arrivals[id] = host, now
                self.schedule(now + 0.01, self.record_loss, id, host, key)
            self.schedule(now + RESTART_S, self.restart, name)

    def restart(self, now: float, name: str) -> None:
        for view in self.views:
            discovery.put(view, self._entry(name, self.incarnations[name]), now=0.0)


@pytest.mark.parametrize(
    ("hosts", "engines", "rate_per_s"),
    [(6, 27, 12.0), (30, 40, 16.0), (76, 90, 30.0), (100, 120, 40.0)],
)
def test_few_prompts_start_late_for_any_number_of_hosts(
    hosts: int, engines: int, rate_per_s: float
):
    waits: list[float] = []
    for seed in range(2):
        waits += FleetModel(hosts, engines, seed).run(rate_per_s)
    late = sum(1 for wait in waits if wait > OBJECTIVE_S)
    assert late <= 0.05 * len(waits)


def test_a_few_lost_targets_do_not_mark_a_large_data_centre_lost():
    """Load: single engines crash in each of a few large data centres."""
    table = TargetTable()
    entries = [
        TargetEntry(f"e{n}", 0, "engine", f"e{n}:1", "dc", 24) for n in range(30)
    ]
    discovery.replace(table, entries, 1, now=0.0)
    rows = list(table.rows.values())
    for number, row in enumerate(rows[:5]):
        assert not placement.data_centre_lost(table, "dc", "engine", 1.0)
        assert placement.data_centre_cost(table, "dc", "engine", 1.0) <= number
        placement.record_loss(table, row, 1.0)
    assert placement.data_centre_lost(table, "dc", "engine", 1.0)
