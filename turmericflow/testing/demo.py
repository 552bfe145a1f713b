"""The main job on stand-ins, with an engine and a router killed in the middle."""

from __future__ import annotations

import asyncio
import sys
import time

import aiohttp

from turmericflow.client import Answer, Caller
from turmericflow.testing._answers import check_answer
from turmericflow.testing._cluster import Cluster, ClusterPlan, EngineSpec

MODEL = "sable/none/1"
TOKENS = 120
REQUESTS = 12


def plan() -> ClusterPlan:
    """Return the demo's cluster."""
    args = ["--model", MODEL, "--step-ms", "20"]
    engines = [
        EngineSpec(f"redactor-{number}", "redactor", "mvd-cordon", args)
        for number in range(3)
    ]
    profile = {
        "name": "quotation",
        "service": "redactor",
        "model": "sable",
        "adapter": "none",
        "version": "1",
    }
    return ClusterPlan(
        routers={
            "entry-1": "mvd-cordon",
            "entry-2": "mvd-aguada",
            "entry-3": "mvd-carrasco",
        },
        targets=engines,
        objects={
            "profile/quotation": profile,
            "customer/norte": {"name": "norte"},
        },
        peer_delay_s=0.001,
    )


async def _run(cluster: Cluster) -> list[Answer]:
    hosts = list(cluster.entries.values())
    async with aiohttp.ClientSession() as session:
        tasks = []
        for number in range(REQUESTS):
            addresses = hosts[number % 3 :] + hosts[: number % 3]
            caller = Caller(session, addresses, "norte")
            work = caller.generate(
                "quotation", f"site notes {number}", f"k{number}", TOKENS
            )
            tasks.append(asyncio.ensure_future(work))
        await asyncio.sleep(0.8)
        cluster.kill("redactor-0")
        await asyncio.sleep(0.4)
        cluster.kill("entry-3")
        return await asyncio.gather(*tasks)


def main() -> int:
    """Run the demo; return 1 if a promise was broken."""
    start = time.monotonic()
    with Cluster(plan()) as cluster:
        answers = asyncio.run(_run(cluster))
    checks = [check_answer([t.text for t in each.tokens], TOKENS) for each in answers]
    whole = sum(1 for each in answers if each.whole)
    for each, check in zip(answers, checks):
        print(each.whole, each.failure, each.reconnects, len(each.tokens), check)
    print("accepted", len(answers), "whole", whole, f"{time.monotonic() - start:.1f} s")
    return 0 if whole == len(answers) and all(check.ok for check in checks) else 1


if __name__ == "__main__":
    sys.exit(main())
