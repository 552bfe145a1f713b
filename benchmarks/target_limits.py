"""Worst 4 s and share used of a target's limit, in a simulated fleet of hosts.

Usage: python -m benchmarks.target_limits
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from turmericflow.relay._membership import ENTRY_TTL_S
from turmericflow.relay._rate_limits import LimitNamed, RateLimits, share_per_s

WINDOW_S = 4.0
SIMULATED_S = 40.0
CHANGE_AT_S = 10.0
CHANGE_S = 12.0  # of a partition
VIEW_INTERVAL_S = 0.1
KEY = "target@0"
SIZES = (7, 76, 300)
LIMITS = (0.5, 2.3, 40.0)
EVENTS = ("none", "partition", "loss", "start")


def allowed(limit: float) -> float:
    """Return how many requests may reach a target within `WINDOW_S`."""
    return 1.5 * limit * WINDOW_S + 5


def heartbeat_timeout_s(hosts: int) -> float:
    """Return after which silence a host counts as lost; as in the relay."""
    return max(1.5, 4 * max(0.25, hosts / 150.0))


@dataclass(slots=True, frozen=True)
class Outcome:
    """Result of one simulation.

    Attributes
    ----------
    worst
        Largest number of requests in `WINDOW_S`.
    used
        Requests sent, divided by those that the limit allows in the whole time.
    """

    worst: int
    used: float


class FleetModel:
    """Hosts with late views of one another that share one target's limit."""

    def __init__(self, hosts: int, limit: float, event: str, seed: int) -> None:
        self.rng = Random(seed)
        self.limit = limit
        self.event = event
        self.names = [f"host-{number}" for number in range(hosts)]
        self.sides = {name: self.rng.random() < 0.5 for name in self.names}
        self.lost = set(self.rng.sample(self.names, hosts // 3))
        # Each host notices a change at its own moment.
        self.notice_s = {
            name: heartbeat_timeout_s(hosts) * self.rng.uniform(0.75, 1.0)
            for name in self.names
        }
        self.learn_s = {name: self.rng.uniform(0.0, 0.3) for name in self.names}
        self.limits = {name: RateLimits(name) for name in self.names}
        for limits in self.limits.values():
            limits.record(KEY, LimitNamed(limit), 0.0, 0.0)
        self.sends: list[float] = []

    def view(self, own: str, now: float) -> tuple[list[str], int]:
        """Return the live hosts and the number of known hosts, as a host sees them."""
        known = len(self.names)
        noticed = CHANGE_AT_S + self.notice_s[own]
        match self.event:
            case "partition":
                healed = CHANGE_AT_S + CHANGE_S + self.learn_s[own]
                if noticed <= now < healed:
                    side = self.sides[own]
                    return [n for n in self.names if self.sides[n] is side], known
            case "loss" if now >= noticed:
                live = [name for name in self.names if name not in self.lost]
                if now >= noticed + ENTRY_TTL_S:
                    known = len(live)
                return live, known
            case "start" if now < CHANGE_AT_S + self.learn_s[own]:
                live = [name for name in self.names if name not in self.lost]
                return live, len(live)
        return self.names, known

    def is_running(self, name: str, now: float) -> bool:
        """Return whether a host runs."""
        if name not in self.lost:
            return True
        match self.event:
            case "loss":
                return now < CHANGE_AT_S
            case "start":
                return now >= CHANGE_AT_S
        return True

    def run(self, per_s: float, skewed: bool = False) -> Outcome:
        """Simulate requests at random times to random hosts.

        Parameters
        ----------
        per_s
            Requests per second to all hosts.
        skewed
            Whether a third of the hosts gets three quarters of the requests.
        """
        now = 0.0
        weights = [
            3.0 * 3 if skewed and n % 3 == 0 else 1.5 for n in range(len(self.names))
        ]
        while (now := now + self.rng.expovariate(per_s)) < SIMULATED_S:
            (name,) = self.rng.choices(self.names, weights)
            if not self.is_running(name, now):
                continue
            limit = self.limits[name].find(KEY)
            if now - limit.shared_at >= VIEW_INTERVAL_S:
                live, known = self.view(name, now)
                limit.set_share(share_per_s(KEY, self.limit, name, live, known), now)
            if limit.has_token(now):
                limit.take_token(now)
                self.sends.append(now)
        return Outcome(
            worst_window(self.sends), len(self.sends) / (self.limit * SIMULATED_S)
        )


def worst_window(times: list[float]) -> int:
    """Return the largest number of sorted times within `WINDOW_S`."""
    return max(
        (bisect_left(times, at + WINDOW_S) - n for n, at in enumerate(times)), default=0
    )


def simulate(
    hosts: int, limit: float, event: str, per_s: float, seeds: Iterable[int]
) -> list[Outcome]:
    """Return the outcomes of several seeds."""
    return [FleetModel(hosts, limit, event, seed).run(per_s) for seed in seeds]


def main() -> None:
    print("| hosts | limit | allowed | event | demand | worst 4 s | used |")
    print("|---|---|---|---|---|---|---|")
    for hosts in SIZES:
        for limit in LIMITS:
            for event in EVENTS:
                for per_s in (max(10 * limit, 2.0 * hosts), 1.5 * limit):
                    found = simulate(hosts, limit, event, per_s, range(3))
                    worst = max(outcome.worst for outcome in found)
                    used = sum(outcome.used for outcome in found) / len(found)
                    print(
                        f"| {hosts} | {limit} | {int(allowed(limit))} | {event} "
                        f"| {per_s:g} | {worst} | {used:.2f} |"
                    )


if __name__ == "__main__":
    main()
