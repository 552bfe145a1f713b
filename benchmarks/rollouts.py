"""Exposure, verdicts and false alarms of roll-outs, in a simulated fleet of hosts.

Usage: python -m benchmarks.rollouts [--trials N] [--seed N] [--hosts N ...]
[--rows TEXT] [--processes N]; trials are counted for each row, and TEXT selects rows
that contain it. The last column is the slowest judgement of a trial, as a median.

Each trial draws a service (rate, routes, times, failures, targets), a fleet and an
order, and runs the ledgers of all hosts, the judge and the steps with views and
evidence that are 1 s old. A version counts as found in time if it is rolled back before
the order ends and gets no request later than 5 s after its 50th bad answer; failures
that a good version would have too aren't counted as bad answers.
"""

from __future__ import annotations

import argparse
import math
import time
from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import product
from multiprocessing import Pool
from random import Random

import msgspec

from turmericflow.relay.rollouts._evidence import Evidence, Side
from turmericflow.relay.rollouts._looks import Judge
from turmericflow.relay.rollouts._routes import focus, lacking
from turmericflow.relay.rollouts._share import (
    COMPLETED,
    ROLLED_BACK,
    RolloutView,
    ShareLedger,
    canary_targets,
)
from turmericflow.relay.rollouts._steps import Bounds, Figures, Order, Step, next_step
from turmericflow.relay.rollouts._verdict import judge

SIZES = (7, 80, 300)
LOOK_S = 0.25
DELAY_S = 1.0  # age of views and of evidence
BOUNDS = Bounds()
KINDS = ("at once", "late", "under load", "one route")
LOW = "low traffic, at once"
EFFECTS = ("failures", "3 to 9 % failures", "10 to 30 % failures", "slow", "some slow")
GOOD = ("good", "good, crash wave", "good, low traffic", "good, 1.15 times slower")


@dataclass(slots=True)
class Trial:
    """A drawn trial, and what came of it.

    Attributes
    ----------
    hosts, rate, duration_s, targets
        Number of hosts, requests per second, duration of the order, and the number of
        targets of either side.
    routes
        For each route its weight, the median of its times in s, and their deviation.
    base
        Share of failures of a good version.
    kind, effect
        When the new version is bad, and how; empty for a good one.
    """

    hosts: int
    rate: float
    duration_s: float
    targets: int
    routes: list[tuple[float, float, float]]
    base: float
    kind: str
    effect: str
    bad_from_s: float = 0.0
    bad_route: int = -1
    factor: float = 1.0
    fraction: float = 1.0
    slower: float = 1.0
    wave: bool = False
    requests: int = 0
    sent_new: int = 0
    bad_answers: int = 0
    fiftieth_at: float = math.inf
    last_new_at: float = 0.0
    state: str = ""
    ended_at: float = 0.0
    reason: str = ""
    judged_s: list[float] = field(default_factory=list)

    @classmethod
    def draw(cls, hosts: int, kind: str, effect: str, rng: Random) -> Trial:
        """Draw a trial."""
        weights = rng.choice([[1.0], [0.7, 0.3], [0.6, 0.25, 0.15]])
        if kind == "one route":
            weights = rng.choice([[0.7, 0.3], [0.6, 0.25, 0.15]])
        routes = [
            (w, math.exp(rng.uniform(math.log(0.02), 0.0)), rng.uniform(0.1, 0.8))
            for w in weights
        ]
        rate = rng.uniform(60, 200) if hosts < 80 else rng.uniform(200, 500)
        base = rng.choice([0.0, 0.002, 0.01])
        trial = cls(
            hosts, rate, rng.uniform(40, 60), rng.randint(3, 30), routes, base, "", ""
        )
        if kind in ("good, low traffic", LOW):
            trial.rate = rng.uniform(1, 8)
        elif kind == "good, crash wave":
            trial.wave = True
        elif kind == "good, 1.15 times slower":
            trial.slower = 1.15
        if kind in GOOD:
            trial.base = rng.choice([0.0, 0.002, 0.01, 0.03, 0.1])
            return trial
        trial.kind, trial.effect = kind, effect
        match effect:
            case "failures":
                trial.fraction = rng.uniform(0.1, 1.0)
            case "3 to 9 % failures":
                trial.base, trial.fraction = 0.03, 0.06 / 0.97
            case "10 to 30 % failures":
                trial.base, trial.fraction = 0.1, 0.2 / 0.9
            case "slow":
                trial.factor = rng.choice([2.0, 2.0, 3.0, 5.0])
            case "some slow":
                trial.factor, trial.fraction = rng.uniform(4, 8), rng.uniform(0.2, 0.6)
        if kind == "late":
            trial.bad_from_s = trial.duration_s * rng.uniform(0.2, 0.7)
        elif kind == "one route":
            trial.bad_route = rng.randrange(len(routes))
        return trial

    @property
    def exposure(self) -> float:
        """Requests to the new version, divided by those allowed."""
        allowed = BOUNDS.canary_share * self.requests + BOUNDS.canary_slack
        return self.sent_new / allowed

    @property
    def in_time(self) -> bool:
        """Whether the version was rolled back before the end and not used after."""
        after_s = self.last_new_at - self.fiftieth_at
        return self.state == ROLLED_BACK and after_s <= BOUNDS.rollback_s

    @property
    def note(self) -> str:
        """What came of the trial, for a table."""
        return (
            f"{self.state} {self.ended_at:.0f}/{self.duration_s:.0f} s, {self.reason};"
            f" bad {self.bad_answers}, sent {self.sent_new} of {self.requests},"
            f" exposure {self.exposure:.2f}, {self.targets} targets"
        )


@dataclass(slots=True, frozen=True)
class Played:
    """Result of a trial.

    Attributes
    ----------
    good
        Whether a bad version was found in time, or a good one completed.
    exposure
        Requests to a bad version, divided by those allowed.
    judged_s
        Longest time of a judgement, in seconds.
    note
        What came of it.
    """

    good: bool
    exposure: float
    judged_s: float
    note: str


def run(trial: Trial, rng: Random, seed: int) -> None:
    """Run a trial."""
    order = Order("service", "new", trial.duration_s, seed, 0.0)
    slack = BOUNDS.canary_slack
    # Any hosts do as the first ones; `initial_credit` chooses them by hash.
    first = [float(n < slack // 2) for n in range(trial.hosts)]
    ledgers = [ShareLedger(seed, credit, BOUNDS.rollback_s, 0.0) for credit in first]
    step, number, evidence, watch = Step.first(0.0), 1, Evidence(), Judge()
    old_evidence: deque[tuple[float, Evidence, int, int]] = deque()
    views: deque[tuple[float, RolloutView]] = deque()
    ends: list[tuple[float, int, str, Side, bool, float | None, bool]] = []
    view, at, total, shown = None, 0.0, 0, ()
    looks = int(trial.duration_s / LOOK_S)
    longest_s, wave_at = 0.0, trial.duration_s * rng.uniform(0.2, 0.9)
    phase, recent_new = rng.uniform(0, 6.28), 0.0
    weights = [w for w, _, _ in trial.routes]
    for look in range(looks):
        now = look * LOOK_S
        views.append(
            (
                now,
                RolloutView(
                    "service", "new", seed, 1, number, step.share, step.state, shown
                ),
            )
        )
        while views and views[0][0] <= now - DELAY_S:
            view = views.popleft()[1]
        if view is not None:
            for ledger in ledgers:
                ledger.apply(view, now)
        burst = 1 + 0.3 * math.sin(phase + now / 7)  # of load, and of times with it
        sent = 0
        overdue = {name: evidence.overdue_s(name) for name in evidence.routes}
        if trial.wave and wave_at <= now < wave_at + LOOK_S:
            for n in range(max(1, trial.targets // 4)):
                evidence.record_loss(f"old-{n}", Side.OLD, now + rng.uniform(0, 1.5))
                evidence.record_loss(f"new-{n}", Side.NEW, now + rng.uniform(0, 1.5))
        share = recent_new / (trial.rate * burst)
        concentrated = canary_targets(
            min(1.0, max(step.share, 1e-6)), trial.targets, trial.targets
        )
        loaded = share / concentrated >= 0.8 * (1 - share) / trial.targets
        for _ in range(_poisson(trial.rate * burst * LOOK_S, rng)):
            at = now + rng.random() * LOOK_S
            trial.requests += 1
            route = rng.choices(range(len(weights)), weights)[0]
            _, median, deviation = trial.routes[route]
            side = Side.OLD
            if ledgers[rng.randrange(trial.hosts)].admits(now, f"r{route}"):
                side = Side.NEW
            seconds = median * burst * math.exp(deviation * rng.gauss(0, 1))
            failed, is_bad = rng.random() < trial.base, False
            if side is Side.NEW:
                sent += 1
                trial.sent_new += 1
                trial.last_new_at = at
                seconds *= trial.slower
                if trial.kind and _is_bad(trial, at, route, loaded):
                    is_bad = rng.random() < trial.fraction
                    if is_bad and "fail" in trial.effect:
                        failed = True
                    elif is_bad:
                        seconds *= trial.factor
            else:
                longest_s = max(longest_s, seconds)
            name, total = f"r{route}", total + 1
            overdue_s = overdue.get(name, math.inf)
            if seconds > overdue_s:
                entry = (at + overdue_s, -total, name, side, True, overdue_s, False)
                heappush(ends, entry)
            known_s = seconds if seconds <= overdue_s else None
            entry = (at + seconds, total, name, side, not failed, known_s, is_bad)
            heappush(ends, entry)
        recent_new += (sent / LOOK_S - recent_new) * 0.3
        while ends and ends[0][0] <= now + LOOK_S:
            at, number_sent, name, side, ok, seconds, is_bad = heappop(ends)
            if number_sent < 0:
                evidence.record_time(name, side, seconds)
            else:
                evidence.record(name, side, ok, seconds)
            if is_bad:
                trial.bad_answers += 1
                if trial.bad_answers == 50:
                    trial.fiftieth_at = at
        sums = Evidence.merge([evidence]), trial.requests, trial.sent_new
        old_evidence.append((now, *sums))
        while len(old_evidence) > 1 and old_evidence[1][0] <= now - DELAY_S:
            old_evidence.popleft()
        seen, requests, new_requests = old_evidence[0][1:]
        started_at = time.perf_counter()
        verdict = watch.observe(seen, now)
        shown = focus(seen, shown)
        trial.judged_s.append(time.perf_counter() - started_at)
        old_running = sum(end[3] == Side.OLD and end[1] > 0 for end in ends)
        figures = Figures(
            requests,
            new_requests,
            trial.rate * burst,
            seen.answers(Side.NEW),
            trial.targets,
            trial.targets,
            old_running,
            longest_s,
            BOUNDS,
            lacking(seen),
        )
        following = next_step(order, step, verdict, figures, now)
        if following is not step:
            step, number = following, number + 1
            if step.state in (COMPLETED, ROLLED_BACK) and not trial.state:
                trial.state, trial.ended_at = step.state, now
                trial.reason = step.reason


def _is_bad(trial: Trial, at: float, route: int, loaded: bool) -> bool:
    match trial.kind:
        case "late":
            return at >= trial.bad_from_s
        case "under load":
            return loaded
        case "one route":
            return route == trial.bad_route
        case _:
            return True


def _poisson(mean: float, rng: Random) -> int:
    return (
        max(0, round(rng.gauss(mean, math.sqrt(mean))))
        if mean > 20
        else sum(rng.random() < mean / 100 for _ in range(100))
    )


def costs() -> dict[str, float]:
    """Return the size of a host's evidence in bytes, and the time of a judgement."""
    rng, evidence = Random(1), Evidence()
    for number in range(8000):
        for route in range(4):
            side = Side.OLD if number % 10 else Side.NEW
            seconds = rng.lognormvariate(-3, 0.5)
            evidence.record(f"route-{route}", side, True, seconds)
    started_at = time.perf_counter()
    for _ in range(200):
        judge(evidence)
    return {
        "evidence of 4 routes, bytes": len(msgspec.msgpack.encode(evidence)),
        "judge, 4 routes, ms": (time.perf_counter() - started_at) / 200 * 1e3,
    }


def play(seed: int, hosts: int, kind: str, effect: str, number: int) -> Played:
    """Run one trial; what is drawn depends on the arguments alone."""
    rng = Random(f"{seed}/{hosts}/{kind}/{effect}/{number}")
    trial = Trial.draw(hosts, kind, effect, rng)
    run(trial, rng, number)
    good = trial.in_time if effect else trial.state == COMPLETED
    exposure = trial.exposure if effect else 0.0
    return Played(good, exposure, max(trial.judged_s), f"{number}: {trial.note}")


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--trials", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hosts", type=int, nargs="*", default=SIZES)
    parser.add_argument("--rows", default="")
    parser.add_argument("--processes", type=int, choices=range(1, 5), default=1)
    args = parser.parse_args()
    for name, value in costs().items():
        print(f"{name:32} {value:8.2f}")
    rows = [(kind, effect) for kind in KINDS for effect in EFFECTS]
    rows += [(LOW, "failures"), (LOW, "slow")] + [(kind, "") for kind in GOOD]
    rows = [row for row in rows if args.rows in ", ".join(row)]
    print(
        "hosts version                             right/trials over-exposed worst ms"
    )
    with Pool(args.processes) as pool:
        for hosts, (kind, effect) in product(args.hosts, rows):
            drawn = [
                (args.seed, hosts, kind, effect, number)
                for number in range(args.trials)
            ]
            played = pool.starmap(play, drawn, chunksize=4)
            right = sum(each.good for each in played)
            over = sum(each.exposure > 1 for each in played)
            worst = max(each.exposure for each in played)
            slowest = sorted(each.judged_s for each in played)[len(played) // 2]
            name = f"{kind}, {effect}" if effect else kind
            print(
                f"{hosts:5} {name:38} {right:5}/{args.trials:<6} {over:8} {worst:9.2f}"
                f" {slowest * 1e3:8.2f}",
                flush=True,
            )
            notes = [p.note for p in played if not p.good or p.exposure > 1]
            for note in notes[:3]:
                print(f"        {note}")


if __name__ == "__main__":
    main()
