"""A load of generations in which a share loses its engine."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import aiohttp

from turmericflow.client import Answer, Caller
from turmericflow.testing import Cluster, check_answer
from turmericflow.testing._cluster import http_json

LOSS_SHARE = 0.1
SILENT_LEFT_S = 8.0
SHORTEST = 0.5
CHECK_S = 0.05


@dataclass(slots=True, frozen=True)
class Load:
    """What to run: how many generations, how long, and how many at once."""

    number: int
    at_once: int
    prompt_tokens: int
    tokens: int
    orders: int = 0
    lossy: bool = True


@dataclass(slots=True, frozen=True)
class Loss:
    """A generation's loss of its engine: how, when, and the tokens given."""

    kind: str
    at: float
    given: int


@dataclass(slots=True)
class Outcome:
    """What one load gave.

    Attributes
    ----------
    answers, asked
        Answers and prompts by label.
    lengths
        Tokens that the whole answer has, by label.
    lost
        Losses of an engine, by label.
    prefilled, generated
        Tokens that the engines took in and gave.
    fresh
        Runs from scratch, by label.
    """

    answers: dict[str, Answer] = field(default_factory=dict)
    asked: dict[str, str] = field(default_factory=dict)
    lengths: dict[str, int] = field(default_factory=dict)
    lost: dict[str, Loss] = field(default_factory=dict)
    prefilled: float = 0.0
    generated: int = 0
    fresh: Counter[str] = field(default_factory=Counter)

    def latencies_ms(self, kind: str) -> list[float]:
        """Return the times from a loss to the next token at the caller.

        The next token is the first that the lost engine had not given.
        """
        found = []
        for label, loss in self.lost.items():
            tokens = self.answers[label].tokens
            if loss.kind == kind and not label.startswith("order"):
                late = [token.at for token in tokens if token.index >= loss.given]
                found += [(at - loss.at) * 1000 for at in late[:1]]
        return sorted(found)

    def delivered(self) -> int:
        """Return the number of tokens that callers received."""
        return sum(len(answer.tokens) for answer in self.answers.values())

    def extra(self, prompt_tokens: int) -> tuple[float, float]:
        """Return the tokens prefilled again, and those thrown away."""
        again = self.prefilled - prompt_tokens * len(self.answers)
        return max(0.0, again), max(0, self.generated - self.delivered())


class LossyLoad:
    """Runs one load against some addresses and loses engines meanwhile."""

    def __init__(self, cluster: Cluster, addresses: list[str], load: Load) -> None:
        self._cluster = cluster
        self._addresses = addresses
        self._load = load
        self._outcome = Outcome()
        self._finished = 0
        self._out: dict[str, asyncio.Future] = {}
        self._places = asyncio.Semaphore(load.at_once)
        self._engines = [spec for spec in cluster.plan.targets if spec.role == "engine"]

    async def run(self, name: str, seed: int) -> Outcome:
        """Run the load to its end."""
        load, outcome = self._load, self._outcome
        before = [await self._totals(spec.name) for spec in self._engines]
        rng = Random(f"{name}-{seed}")
        timeout = aiohttp.ClientTimeout(total=None)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
            losing = asyncio.ensure_future(self._lose_some(rng))
            work = [
                self._generate(http, f"{name}-{seed}-{n}", n, rng)
                for n in range(load.number)
            ]
            work += [
                self._generate(http, f"order-{name}-{seed}-{n}", n, rng)
                for n in range(load.orders)
            ]
            await asyncio.gather(*work)
            losing.cancel()
            await asyncio.gather(losing, return_exceptions=True)
            await asyncio.gather(*self._out.values())
        for spec in self._engines:
            self._add(await self._totals(spec.name), 1)
        for found in before:
            self._add(found, -1)
        return outcome

    async def _totals(self, engine: str) -> dict:
        url = f"http://{self._cluster.processes[engine].address}/v1/totals"
        return await asyncio.to_thread(http_json, "GET", url)

    def _add(self, found: dict, sign: int) -> None:
        self._outcome.prefilled += sign * found["prefilled"]
        self._outcome.generated += sign * found["generated"]
        for label, number in found["fresh"].items():
            self._outcome.fresh[label] += sign * number

    async def _generate(
        self, http: aiohttp.ClientSession, label: str, number: int, rng: Random
    ) -> None:
        tokens = round(self._load.tokens * rng.uniform(SHORTEST, 1.0))
        self._outcome.lengths[label] = tokens
        words = [f"id={label}", f"len={tokens}"]
        left = self._load.prompt_tokens - len(words)
        words += [f"{rng.getrandbits(32):x}" for _ in range(left)]
        prompt = self._outcome.asked[label] = " ".join(words)
        first = number % len(self._addresses)
        turned = self._addresses[first:] + self._addresses[:first]
        profile = "order" if label.startswith("order") else "work"
        async with self._places:
            caller = Caller(http, turned, "bench")
            answer = await caller.generate(profile, prompt, label, self._load.tokens)
        self._outcome.answers[label] = answer
        self._finished += 1

    async def _lose_some(self, rng: Random) -> None:
        """Lose engines so that each tenth generation loses its own."""
        used = 0
        for number in range(self._load.number if self._load.lossy else 0):
            how = ("die", "silent")[number % 2]
            names = [each.name for each in self._engines if each.name not in self._out]
            engine = rng.choice(names)
            while True:
                await asyncio.sleep(CHECK_S)
                running = await self._running(engine)
                if 0 < running <= LOSS_SHARE * self._finished - used:
                    break
            used += await self._lose(engine, how)

    async def _running(self, engine: str) -> int:
        url = f"http://{self._cluster.processes[engine].address}/v1/load"
        found = await asyncio.to_thread(http_json, "GET", url)
        return found["running"] + found["queued"]

    async def _lose(self, engine: str, how: str) -> int:
        running = self._cluster.processes[engine]
        url = f"http://{running.address}/admin/lose"
        found = await asyncio.to_thread(http_json, "POST", url, {"how": how})
        lost_at = time.monotonic()
        for label, given in found["running"].items():
            self._outcome.lost[label] = Loss(how, lost_at, given)
        self._add(found, 1)
        wait_s = SILENT_LEFT_S if how == "silent" else 0.0
        self._out[engine] = asyncio.ensure_future(self._restart_after(engine, wait_s))
        return len(found["running"])

    async def _restart_after(self, engine: str, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        await asyncio.to_thread(self._restart, engine)
        del self._out[engine]

    def _restart(self, engine: str) -> None:
        self._cluster.kill(engine)
        spec = next(each for each in self._engines if each.name == engine)
        self._cluster.start_target(spec)
        self._cluster.write_host_list()


def faults(outcome: Outcome) -> dict[str, int]:
    """Count what must never happen."""
    checks = [
        check_answer([t.text for t in answer.tokens], outcome.lengths[label])
        for label, answer in outcome.answers.items()
        if answer.failure is None
    ]
    not_run = [
        label
        for label, answer in outcome.answers.items()
        if answer.failure is not None and answer.failure.verdict == "NOT_RUN"
    ]
    failures = [each.failure for each in outcome.answers.values() if each.failure]
    kinds = Counter(f"failed.{each.code}.{each.verdict}" for each in failures)
    return {
        "lost": sum(check.missing for check in checks),
        "repeated": sum(check.repeated for check in checks),
        "stitched": sum(check.stitched for check in checks),
        "double_runs": sum(
            max(0, number - 1)
            for label, number in outcome.fresh.items()
            if label.startswith("order")
        ),
        "false_not_run": sum(1 for label in not_run if outcome.fresh[label]),
        "failed": len(failures),
        **kinds,
    }
