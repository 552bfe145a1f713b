"""Processor time and added delay per token, against a naive router.

Run as ``python -m benchmarks.passthrough --json``.  Both routers forward the
same streams to one client, from engines that write the time of each token into
its text.  The routers of this version are in three data centres, with a one-way
delay of one millisecond between them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
import time
from dataclasses import asdict, dataclass

import aiohttp
import numpy as np

from benchmarks._processes import cpu_s
from turmericflow.testing import Cluster, ClusterPlan, EngineSpec

DATA_CENTRES = ("mvd-cordon", "mvd-aguada", "mvd-carrasco")
PEER_DELAY_S = 0.001
STEP_MS = 25.0
MODEL = "sable/none/1"


@dataclass(slots=True)
class RouterFigures:
    """Figures of one of the two routers.

    Attributes
    ----------
    cpu_us_per_token
        Processor time of all router processes, in microseconds per token.
    delay_ms_p50, delay_ms_p99
        Time from the engine's token to its arrival at the caller, in milliseconds.
    tokens
        Number of tokens received.
    """

    cpu_us_per_token: float
    delay_ms_p50: float
    delay_ms_p99: float
    tokens: int


def _plan() -> ClusterPlan:
    args = ["--model", MODEL, "--step-ms", str(STEP_MS), "--slow-down", "0"]
    args += ["--slots", "1000", "--stamp"]
    profile = {
        "name": "quotation",
        "service": "redactor",
        "model": "sable",
        "adapter": "none",
        "version": "1",
        "max_tokens": 100_000,
    }
    return ClusterPlan(
        routers={
            f"entry-{n}": data_centre for n, data_centre in enumerate(DATA_CENTRES, 1)
        },
        targets=[
            EngineSpec(f"redactor-{n}", "redactor", data_centre, args)
            for n, data_centre in enumerate(DATA_CENTRES, 1)
        ],
        objects={
            "profile/quotation": profile,
            "customer/norte": {
                "name": "norte",
                "rate_per_s": 100_000,
                "burst": 100_000,
            },
        },
        settings={"log": {"level": "warning"}},
        peer_delay_s=PEER_DELAY_S,
    )


def _own_body(number: int, tokens: int) -> dict:
    return {"profile": "quotation", "prompt": f"notes {number}", "max_tokens": tokens}


def _engine_body(number: int, tokens: int) -> dict:
    return {
        "generation": f"naive-{number}-{time.monotonic_ns()}",
        "attempt": 1,
        "prompt": f"notes {number}",
        "prefix": [],
        "max_tokens": tokens,
        "priority": 1,
        "model": "sable",
        "adapter": "none",
        "version": "1",
    }


async def _receive(
    session: aiohttp.ClientSession, url: str, body: dict, key: str, delays: list[float]
) -> None:
    headers = {"X-Customer": "norte", "Idempotency-Key": key}
    async with session.post(url, json=body, headers=headers) as resp:
        resp.raise_for_status()
        async for data in resp.content.iter_any():
            now = time.monotonic_ns()
            for word in data.split(b'"'):
                if word.count(b".") == 3:
                    stamp = int(word.strip().rsplit(b".", 1)[1], 16)
                    delays.append((now - stamp) / 1e6)


async def _load(urls: list[str], make_body, streams: int, tokens: int) -> list[float]:
    delays: list[float] = []
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        run_id = time.monotonic_ns()
        requests = [
            _receive(
                session,
                urls[n % len(urls)],
                make_body(n, tokens),
                f"{run_id}-{n}",
                delays,
            )
            for n in range(streams)
        ]
        await asyncio.gather(*requests)
    return delays


def _measure(
    pids: list[int], urls: list[str], make_body, streams: int, tokens: int
) -> RouterFigures:
    asyncio.run(_load(urls, make_body, len(urls) * 2, 20))
    cpu_before_s = sum(cpu_s(pid) for pid in pids)
    delays = asyncio.run(_load(urls, make_body, streams, tokens))
    used_s = sum(cpu_s(pid) for pid in pids) - cpu_before_s
    p50, p99 = np.percentile(delays, [50, 99])
    return RouterFigures(
        used_s / len(delays) * 1e6, float(p50), float(p99), len(delays)
    )


def _start_naive(engines: list[str]) -> tuple[list[subprocess.Popen], list[str]]:
    processes, urls = [], []
    for engine in engines:
        argv = [sys.executable, "-m", "benchmarks._naive_passthrough"]
        process = subprocess.Popen(
            [*argv, "--engine", engine], stdout=subprocess.PIPE, text=True
        )
        processes.append(process)
        port = process.stdout.readline().split()[1]
        urls.append(f"http://127.0.0.1:{port}/v1/generate")
    return processes, urls


def run(streams: int, tokens: int) -> dict[str, object]:
    """Measure both routers in one run and return the figures."""
    with Cluster(_plan()) as cluster:
        engines = [
            cluster.processes[spec.name].address for spec in cluster.plan.targets
        ]
        naive, urls = _start_naive(engines)
        try:
            pids = [process.pid for process in naive]
            naive_figures = _measure(pids, urls, _engine_body, streams, tokens)
        finally:
            for process in naive:
                process.kill()
                process.wait()
        pids = [cluster.processes[host].process.pid for host in cluster.plan.routers]
        urls = [
            f"http://{address}/v1/generate"
            for address in cluster.router_addresses.values()
        ]
        own_figures = _measure(pids, urls, _own_body, streams, tokens)
    return {
        "cpu_ratio": own_figures.cpu_us_per_token / naive_figures.cpu_us_per_token,
        "added_ms_p50": own_figures.delay_ms_p50 - naive_figures.delay_ms_p50,
        "added_ms_p99": own_figures.delay_ms_p99 - naive_figures.delay_ms_p99,
        "own": asdict(own_figures),
        "naive": asdict(naive_figures),
        "streams": streams,
        "tokens_per_stream": tokens,
    }


def main() -> int:
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.add_argument("--streams", type=int, default=150)
    parser.add_argument("--tokens", type=int, default=400)
    args = parser.parse_args()
    figures = run(args.streams, args.tokens)
    if args.json:
        print(json.dumps(figures))
        return 0
    for name, value in figures.items():
        print(f"{name}: {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
