"""Tests of where many hosts send work at once, by the decisions of each, in a model.

The load: prompts come to many hosts; a third of the engines is killed together, and
what they ran comes back at once to all hosts, none of which knows yet where the
others send theirs.
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

TOKENS = 8000
READ_S = 1.0
RUN_S = 5.0
TOLD_S = 0.05  # until the other hosts know of a choice
AIM_S = 4.5
LENGTH_S = 20.0
KILL_EVERY_S = 4.0
BACK_S = 1.2


class Model:
    """Engines that read prompts one after the other, and hosts that choose them."""

    def __init__(self, hosts: int, engines: int, seed: int) -> None:
        self.rng = Random(seed)
        self.hosts = hosts
        self.names = [f"e{number}" for number in range(engines)]
        self.views = [TargetTable() for _ in range(hosts)]
        for view in self.views:
            discovery.replace(view, [self._entry(n, 0) for n in self.names], 1)
        self.lives = dict.fromkeys(self.names, 0)
        self.free_at = dict.fromkeys(self.names, 0.0)
        self.running: dict[str, set[int]] = {name: set() for name in self.names}
        self.waits: list[float] = []
        self.born: dict[int, tuple[int, float]] = {}
        self._events: list = []
        self._order = count()
        self._ids = count()

    def _entry(self, name: str, life: int) -> TargetEntry:
        zone = f"dc-{int(name[1:]) % 3}"
        return TargetEntry(name, life, "engine", f"{name}:1", zone, 24)

    def at(self, time: float, call, *args) -> None:
        heapq.heappush(self._events, (time, next(self._order), call, args))

    def run(self, rate_per_s: float) -> list[float]:
        """Return the waits for first tokens, of prompts that found an engine."""
        time = 0.0
        while time < LENGTH_S:
            time += self.rng.expovariate(rate_per_s)
            self.at(time, self.arrive, next(self._ids))
        for number in range(1, int(LENGTH_S / KILL_EVERY_S)):
            self.at(number * KILL_EVERY_S, self.kill)
        while self._events:
            time, _, call, args = heapq.heappop(self._events)
            call(time, *args)
        return sorted(self.waits)

    def arrive(self, now: float, id: int) -> None:
        host = self.rng.randrange(self.hosts)
        self.born[id] = host, now
        self.place(now, id)

    def place(self, now: float, id: int) -> None:
        host, _ = self.born[id]
        view = self.views[host]
        demand = Demand("engine", f"dc-{host % 3}", tokens=TOKENS, capacity=88_000)
        target = placement.choose(view, demand, now, self.rng, self.hosts)
        name, life = target.entry.id, self.lives[target.entry.id]
        if target.entry.born_ms != life:
            self.at(now + 0.01, self.lost, id, host, target.entry.key)
            return
        self.note(now, host, target.entry.key, Load(1, TOKENS, TOKENS))
        self.running[name].add(id)
        ready = self.free_at[name] = max(now, self.free_at[name]) + READ_S
        self.at(ready, self.begin, id, host, target.entry.key)

    def note(self, now: float, host: int, key: str, load: Load) -> None:
        self._add(now, host, key, host, load)
        for other in range(self.hosts):
            if other != host:
                self.at(now + TOLD_S, self._add, other, key, host, load)

    def _add(self, now: float, at: int, key: str, host: int, load: Load) -> None:
        target = self.views[at].rows.get(key)
        if target is None:
            return
        known = target.own
        if at != host:
            known = target.others.setdefault(str(host), Load())
        known.runs += load.runs
        known.unread_tokens += load.unread_tokens
        known.memory_tokens += load.memory_tokens

    def begin(self, now: float, id: int, host: int, key: str) -> None:
        name, _, life = key.partition("@")
        if int(life) != self.lives[name] or id not in self.running[name]:
            return
        self.waits.append(now - self.born[id][1])
        self.note(now, host, key, Load(0, -TOKENS, 0))
        self.at(now + RUN_S, self.end, id, host, key)

    def end(self, now: float, id: int, host: int, key: str) -> None:
        self.running[key.partition("@")[0]].discard(id)
        self.note(now, host, key, Load(-1, 0, -TOKENS))

    def lost(self, now: float, id: int, host: int, key: str) -> None:
        target = self.views[host].rows.get(key)
        if target is not None:
            placement.note_loss(self.views[host], target, now)
        self.place(now, id)

    def kill(self, now: float) -> None:
        for name in self.rng.sample(self.names, len(self.names) // 3):
            self.lives[name] += 1
            self.free_at[name] = now + BACK_S
            ids, self.running[name] = self.running[name], set()
            for id in ids:
                host, _ = self.born[id]
                key = f"{name}@{self.lives[name] - 1}"
                self.born[id] = host, now
                self.at(now + 0.01, self.lost, id, host, key)
            self.at(now + BACK_S, self.back, name)

    def back(self, now: float, name: str) -> None:
        for view in self.views:
            discovery.put(view, self._entry(name, self.lives[name]))


@pytest.mark.parametrize(
    ("hosts", "engines", "rate_per_s"),
    [(6, 27, 12.0), (30, 40, 16.0), (76, 90, 30.0), (100, 120, 40.0)],
)
def test_most_prompts_begin_in_time_however_many_hosts_choose(
    hosts: int, engines: int, rate_per_s: float
):
    waits: list[float] = []
    for seed in range(2):
        waits += Model(hosts, engines, seed).run(rate_per_s)
    late = sum(1 for wait in waits if wait > AIM_S)
    assert late <= 0.05 * len(waits)


def test_a_few_losses_of_many_targets_are_no_sign_that_a_centre_is_lost():
    """Load: single engines crash in each of a few large data centres."""
    table = TargetTable()
    entries = [
        TargetEntry(f"e{n}", 0, "engine", f"e{n}:1", "dc", 24) for n in range(30)
    ]
    discovery.replace(table, entries, 1)
    rows = list(table.rows.values())
    for number, row in enumerate(rows[:5]):
        assert not placement.centre_lost(table, "dc", "engine", 1.0)
        assert placement.centre_cost(table, "dc", "engine", 1.0) <= number
        placement.note_loss(table, row, 1.0)
    assert placement.centre_lost(table, "dc", "engine", 1.0)
