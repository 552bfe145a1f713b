"""Load of generations, a share of which loses its engine."""

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
SILENT_RESTART_DELAY_S = 8.0
MIN_LENGTH_SHARE = 0.5
CHECK_INTERVAL_S = 0.05


@dataclass(slots=True, frozen=True)
class Load:
    """Size of a load.

    Attributes
    ----------
    number, orders
        Number of generations, and of non-idempotent orders besides.
    concurrency
        Maximum number of requests in flight.
    prompt_tokens, tokens
        Tokens of each prompt, and maximum tokens of each answer.
    lossy
        Whether engines are failed during the load.
    """

    number: int
    concurrency: int
    prompt_tokens: int
    tokens: int
    orders: int = 0
    lossy: bool = True


@dataclass(slots=True, frozen=True)
class Loss:
    """Loss of a generation's engine.

    Attributes
    ----------
    kind
        ``die`` or ``silent``.
    at
        Time of the loss on the monotonic clock, in seconds.
    generated
        Tokens that the engine had generated until then.
    """

    kind: str
    at: float
    generated: int


@dataclass(slots=True)
class Outcome:
    """Results of one load.

    Attributes
    ----------
    answers, prompts
        Answers and prompts, by label.
    lengths
        Number of tokens of the whole answer, by label.
    lost
        Loss of its engine, by label of the generation.
    prefilled, generated
        Tokens that the engines prefilled and generated.
    fresh_starts
        Runs that started without a prefix, by label.
    """

    answers: dict[str, Answer] = field(default_factory=dict)
    prompts: dict[str, str] = field(default_factory=dict)
    lengths: dict[str, int] = field(default_factory=dict)
    lost: dict[str, Loss] = field(default_factory=dict)
    prefilled: float = 0.0
    generated: int = 0
    fresh_starts: Counter[str] = field(default_factory=Counter)

    def latencies_ms(self, kind: str) -> list[float]:
        """Return the times from a loss to the next token at the caller, sorted.

        The next token is the first that the lost engine had not generated.
        """
        latencies = []
        for label, loss in self.lost.items():
            tokens = self.answers[label].tokens
            if loss.kind == kind and not label.startswith("order"):
                arrivals = [
                    token.received_at
                    for token in tokens
                    if token.index >= loss.generated
                ]
                latencies += [(at - loss.at) * 1000 for at in arrivals[:1]]
        return sorted(latencies)

    def count_delivered(self) -> int:
        """Return the number of tokens that callers received."""
        return sum(len(answer.tokens) for answer in self.answers.values())

    def extra_tokens(self, prompt_tokens: int) -> tuple[float, float]:
        """Return the tokens prefilled again, and the tokens discarded."""
        prefilled_again = self.prefilled - prompt_tokens * len(self.answers)
        return max(0.0, prefilled_again), max(
            0, self.generated - self.count_delivered()
        )


class LossyLoad:
    """Sends one load to some addresses, and fails engines meanwhile."""

    def __init__(self, cluster: Cluster, addresses: list[str], load: Load) -> None:
        self._cluster = cluster
        self._addresses = addresses
        self._load = load
        self._outcome = Outcome()
        self._finished = 0
        self._restarts: dict[str, asyncio.Future] = {}
        self._concurrency = asyncio.Semaphore(load.concurrency)
        self._engines = [spec for spec in cluster.plan.targets if spec.role == "engine"]

    async def run(self, name: str, seed: int) -> Outcome:
        """Run the load and return its results."""
        load, outcome = self._load, self._outcome
        before = [await self._fetch_totals(spec.name) for spec in self._engines]
        rng = Random(f"{name}-{seed}")
        timeout = aiohttp.ClientTimeout(total=None)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
            failing = asyncio.ensure_future(self._fail_engines(rng))
            requests = [
                self._generate(http, f"{name}-{seed}-{n}", n, rng)
                for n in range(load.number)
            ]
            requests += [
                self._generate(http, f"order-{name}-{seed}-{n}", n, rng)
                for n in range(load.orders)
            ]
            await asyncio.gather(*requests)
            failing.cancel()
            await asyncio.gather(failing, return_exceptions=True)
            await asyncio.gather(*self._restarts.values())
        for spec in self._engines:
            self._add_totals(await self._fetch_totals(spec.name), 1)
        for totals in before:
            self._add_totals(totals, -1)
        return outcome

    async def _fetch_totals(self, engine: str) -> dict:
        url = f"http://{self._cluster.processes[engine].address}/v1/totals"
        return await asyncio.to_thread(http_json, "GET", url)

    def _add_totals(self, totals: dict, sign: int) -> None:
        self._outcome.prefilled += sign * totals["prefilled"]
        self._outcome.generated += sign * totals["generated"]
        for label, number in totals["fresh"].items():
            self._outcome.fresh_starts[label] += sign * number

    async def _generate(
        self, http: aiohttp.ClientSession, label: str, number: int, rng: Random
    ) -> None:
        tokens = round(self._load.tokens * rng.uniform(MIN_LENGTH_SHARE, 1.0))
        self._outcome.lengths[label] = tokens
        words = [f"id={label}", f"len={tokens}"]
        filler_words = self._load.prompt_tokens - len(words)
        words += [f"{rng.getrandbits(32):x}" for _ in range(filler_words)]
        prompt = self._outcome.prompts[label] = " ".join(words)
        first = number % len(self._addresses)
        rotated = self._addresses[first:] + self._addresses[:first]
        profile = "order" if label.startswith("order") else "work"
        async with self._concurrency:
            caller = Caller(http, rotated, "bench")
            answer = await caller.generate(profile, prompt, label, self._load.tokens)
        self._outcome.answers[label] = answer
        self._finished += 1

    async def _fail_engines(self, rng: Random) -> None:
        """Fail engines so that a share `LOSS_SHARE` of the generations loses one."""
        lost = 0
        for number in range(self._load.number if self._load.lossy else 0):
            how = ("die", "silent")[number % 2]
            names = [
                each.name for each in self._engines if each.name not in self._restarts
            ]
            engine = rng.choice(names)
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                running = await self._count_streams(engine)
                if 0 < running <= LOSS_SHARE * self._finished - lost:
                    break
            lost += await self._fail_engine(engine, how)

    async def _count_streams(self, engine: str) -> int:
        url = f"http://{self._cluster.processes[engine].address}/v1/load"
        report = await asyncio.to_thread(http_json, "GET", url)
        return report["running"] + report["queued"]

    async def _fail_engine(self, engine: str, how: str) -> int:
        running = self._cluster.processes[engine]
        url = f"http://{running.address}/admin/lose"
        totals = await asyncio.to_thread(http_json, "POST", url, {"how": how})
        lost_at = time.monotonic()
        for label, generated in totals["running"].items():
            self._outcome.lost[label] = Loss(how, lost_at, generated)
        self._add_totals(totals, 1)
        wait_s = SILENT_RESTART_DELAY_S if how == "silent" else 0.0
        self._restarts[engine] = asyncio.ensure_future(
            self._restart_after(engine, wait_s)
        )
        return len(totals["running"])

    async def _restart_after(self, engine: str, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        await asyncio.to_thread(self._restart, engine)
        del self._restarts[engine]

    def _restart(self, engine: str) -> None:
        self._cluster.kill(engine)
        spec = next(each for each in self._engines if each.name == engine)
        self._cluster.start_target(spec)
        self._cluster.write_host_list()


def count_faults(outcome: Outcome) -> dict[str, int]:
    """Count faulty tokens, double runs, false refusals and failures."""
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
            for label, number in outcome.fresh_starts.items()
            if label.startswith("order")
        ),
        "false_not_run": sum(1 for label in not_run if outcome.fresh_starts[label]),
        "failed": len(failures),
        **kinds,
    }
