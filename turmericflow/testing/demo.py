"""The main job on stand-ins, with an engine and a router killed in the middle."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp

from turmericflow.cli._output import print_table
from turmericflow.cli.main import main as run_tool
from turmericflow.client import Answer, Caller, Token
from turmericflow.testing._answers import check_answer
from turmericflow.testing._cluster import Cluster, http_json
from turmericflow.testing._deployments import (
    AMMAN,
    MONTEVIDEO,
    Deployment,
    engine_totals,
)

ENGINES = 4
GENERATIONS = 18
CALLS = 12
TOKENS = 150
SHOWN_TOKENS = 12
ENGINE_KILL_S = 0.9
ROUTER_KILL_S = 0.6
KILLED_ROUTER = "entry-3"
RESUME_LIMIT_S = 6.0


@dataclass(slots=True)
class Outcome:
    """What a deployment's run came to."""

    name: str
    answers: list[Answer]
    calls: list[Answer]
    doubled: int
    prompt_tokens: int
    prefilled: float
    generated: int
    gaps_s: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        for answer in self.answers:
            self.gaps_s.extend(_resume_gaps(answer))

    @property
    def whole(self) -> int:
        """Requests answered whole."""
        return sum(1 for each in (*self.answers, *self.calls) if each.whole)

    @property
    def accepted(self) -> int:
        """Requests that were not refused."""
        return len(self.answers) + len(self.calls)

    def tokens(self, what: str) -> int:
        """Return tokens ``missing``, ``repeated`` or ``stitched``."""
        return sum(
            getattr(check_answer([token.text for token in each.tokens], TOKENS), what)
            for each in self.answers
        )

    @property
    def extra_work(self) -> float:
        """Tokens generated and thrown away, and taken in again, over useful ones."""
        useful = sum(len(each.tokens) for each in self.answers)
        thrown = self.generated - useful
        again = self.prefilled - self.prompt_tokens
        return (max(0, thrown) + max(0.0, again)) / max(1, useful)

    @property
    def kept(self) -> bool:
        """Whether every promise was kept."""
        broken = sum(self.tokens(each) for each in ("missing", "repeated", "stitched"))
        late = max(self.gaps_s, default=0.0) > RESUME_LIMIT_S
        return self.whole == self.accepted and not (broken or late or self.doubled)


def _resume_gaps(answer: Answer) -> list[float]:
    """Return the pauses at which an answer changed engine or router."""
    pairs = zip(answer.tokens, answer.tokens[1:])
    return [
        after.at - before.at
        for before, after in pairs
        if before.attempt != after.attempt or after.index in answer.lost_at
    ]


def _prompt(deployment: Deployment, number: int) -> str:
    return f"{deployment.prompt} {number}"


class _Job:
    """One deployment's requests, with losses in the middle."""

    def __init__(
        self,
        deployment: Deployment,
        cluster: Cluster,
        session: aiohttp.ClientSession,
    ) -> None:
        self._deployment = deployment
        self._cluster = cluster
        self._session = session
        self._engines = [f"{deployment.engine_service}-{n}" for n in range(ENGINES)]

    def _caller(self, number: int) -> Caller:
        addresses = list(self._cluster.router_addresses.values())
        first = number % len(addresses)
        customers = self._deployment.customers
        return Caller(
            self._session,
            addresses[first:] + addresses[:first],
            customers[number % len(customers)],
        )

    async def _generate(self, number: int) -> Answer:
        profiles = self._deployment.generation_profiles
        return await self._caller(number).generate(
            profiles[number % len(profiles)],
            _prompt(self._deployment, number),
            f"generation-{number}",
            TOKENS,
            _show if number == 0 else None,
        )

    async def _call(self, number: int) -> Answer:
        payload = {"order": number}
        key = f"call-{number}"
        await asyncio.sleep(ENGINE_KILL_S * number / CALLS)
        return await self._caller(number).call(
            self._deployment.call_profile, payload, key
        )

    async def run(self) -> Outcome:
        """Run all requests and return what they came to."""
        generations = [self._generate(number) for number in range(GENERATIONS)]
        calls = [self._call(number) for number in range(CALLS)]
        work = asyncio.ensure_future(
            asyncio.gather(asyncio.gather(*generations), asyncio.gather(*calls))
        )
        await asyncio.sleep(ENGINE_KILL_S)
        lost = self._kill_engine()
        await asyncio.sleep(ROUTER_KILL_S)
        self._kill(KILLED_ROUTER)
        answers, answered_calls = await work
        prompts = [_prompt(self._deployment, number) for number in range(GENERATIONS)]
        left = [name for name in self._engines if name in self._cluster.processes]
        prefilled, generated = engine_totals(self._cluster, left)
        return Outcome(
            self._deployment.name,
            answers,
            answered_calls,
            self._doubled(),
            sum(len(prompt.split()) for prompt in prompts),
            prefilled + lost[0],
            generated + lost[1],
        )

    def _kill_engine(self) -> tuple[float, int]:
        totals = {name: engine_totals(self._cluster, [name]) for name in self._engines}
        busiest = max(self._engines, key=lambda name: totals[name][1])
        self._kill(busiest)
        return totals[busiest]

    def _kill(self, name: str) -> None:
        self._cluster.kill(name)
        print(f"\n--- {name} killed ---", flush=True)

    def _doubled(self) -> int:
        """Return the calls that ran more than once, over all plain_service."""
        runs: dict[str, int] = {}
        for number in range(len(self._deployment.data_centres)):
            address = self._cluster.processes[
                f"{self._deployment.plain_service}-{number}"
            ].address
            for key, count in http_json("GET", f"http://{address}/v1/runs").items():
                runs[key] = runs.get(key, 0) + count
        return sum(1 for count in runs.values() if count > 1)


def _show(token: Token) -> None:
    if token.index % SHOWN_TOKENS == 0:
        print(f"\n  {token.index:4d}  ", end="")
    print(token.text.split(".")[3], end="", flush=True)


async def _run(deployment: Deployment, cluster: Cluster) -> Outcome:
    async with aiohttp.ClientSession() as session:
        return await _Job(deployment, cluster, session).run()


def _apply(deployment: Deployment, cluster: Cluster) -> None:
    address = cluster.processes["platform"].address
    paths = [str(deployment.declarations)]
    if run_tool(["apply", *paths, "--platform", address]) != 0:
        raise RuntimeError(f"{paths[0]} could not be applied")


def run_deployment(deployment: Deployment) -> Outcome:
    """Run one deployment's job."""
    print(f"\n=== {deployment.name}: three routers, {ENGINES} engines ===")
    plan = deployment.plan(ENGINES, lambda cluster: _apply(deployment, cluster))
    with Cluster(plan) as cluster:
        print(f"first of {GENERATIONS} generations, by each token's nonce:", end="")
        return asyncio.run(_run(deployment, cluster))


def _ms(gaps_s: list[float], share: float) -> str:
    if not gaps_s:
        return "-"
    ordered = sorted(gaps_s)
    return f"{1000 * ordered[min(len(ordered) - 1, int(share * len(ordered)))]:.0f}"


def _failures(outcomes: list[Outcome]) -> Counter:
    return Counter(
        (each.name, answer.failure)
        for each in outcomes
        for answer in (*each.answers, *each.calls)
        if not answer.whole
    )


def _report(outcomes: list[Outcome], took_s: float) -> None:
    head = ("deployment", "accepted", "whole", "missing", "repeated", "stitched")
    more = ("doubled", "resumes", "resume p50 ms", "p99 ms", "extra work")
    rows = [
        (
            each.name,
            each.accepted,
            each.whole,
            *(each.tokens(what) for what in ("missing", "repeated", "stitched")),
            each.doubled,
            len(each.gaps_s),
            _ms(each.gaps_s, 0.5),
            _ms(each.gaps_s, 0.99),
            f"{100 * each.extra_work:.1f} %",
        )
        for each in outcomes
    ]
    print()
    print_table((*head, *more), rows)
    for (name, failure), count in _failures(outcomes).items():
        print(f"{name}: {count} not whole: {failure}")
    kept = all(each.kept for each in outcomes)
    print(f"{'every promise kept' if kept else 'A PROMISE WAS BROKEN'}, {took_s:.1f} s")


def main() -> int:
    """Run the demo; return 1 if a promise was broken."""
    start = time.monotonic()
    outcomes = [run_deployment(each) for each in (MONTEVIDEO, AMMAN)]
    _report(outcomes, time.monotonic() - start)
    return 0 if all(each.kept for each in outcomes) else 1


if __name__ == "__main__":
    sys.exit(main())
