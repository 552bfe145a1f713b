"""Resume latency and extra work after engine losses, against a naive router."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
import urllib.request
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from benchmarks._curve import Point, draw, save
from benchmarks._losses import Load, LossyLoad, Outcome, count_faults
from turmericflow.testing import Cluster, ClusterPlan, EngineSpec
from turmericflow.testing._fleet import sum_counter

MODEL = "sable/none/1"
PREFILL_SAMPLES = 8
COUNTERS = (
    "runner.hedged",
    "runner.resumed",
    "detection.target",
    "detection.stream",
    "watch.late",
)
PLOT = Path("docs/img/resume.png")
POINTS = Path("benchmarks/results/resume.json")


@dataclass(slots=True, frozen=True)
class Deployment:
    """Data centres, engines and load of one example deployment."""

    name: str
    service: str
    data_centres: tuple[str, ...]
    engines: int
    urgency: str
    peer_delay_s: float
    load: Load


DEPLOYMENTS = (
    Deployment(
        "montevideo",
        "redactor",
        ("mvd-cordon", "mvd-aguada", "mvd-carrasco"),
        12,
        "thrifty",
        0.0005,
        Load(300, 24, 300, 150, 30),
    ),
    Deployment(
        "amman",
        "report-writer",
        ("amman-north", "amman-south", "amman-west"),
        9,
        "urgent",
        0.0009,
        Load(240, 18, 400, 200, 24),
    ),
)


def _plan(deployment: Deployment) -> ClusterPlan:
    args = ["--model", MODEL, "--report-lag-s", "0.1"]
    model, adapter, version = MODEL.split("/")
    served_by = {
        "service": deployment.service,
        "model": model,
        "adapter": adapter,
        "version": version,
        "urgency": deployment.urgency,
        "wait_s": 30,
    }
    data_centres = deployment.data_centres
    return ClusterPlan(
        routers={f"entry-{n + 1}": data_centres[n % 3] for n in range(3)},
        targets=[
            EngineSpec(f"engine-{n}", deployment.service, data_centres[n % 3], args)
            for n in range(deployment.engines)
        ],
        objects={
            "profile/work": {"name": "work", **served_by},
            "profile/order": {"name": "order", **served_by, "idempotent": False},
            "customer/bench": {"name": "bench"},
        },
        peer_delay_s=deployment.peer_delay_s,
    )


def _quantile(values: list[float], quantile: float) -> float | None:
    if not values:
        return None
    return round(values[min(len(values) - 1, int(quantile * len(values)))], 1)


def _prefill_ms(cluster: Cluster, outcome: Outcome, tokens: int) -> float | None:
    """Return the median time to first token of the resumed prefixes, in ms.

    They are sent to a stand-in engine, with another first prompt word so that
    the prefix cache holds none of them.
    """
    times = []
    model, adapter, version = MODEL.split("/")
    for label in list(outcome.lost)[:PREFILL_SAMPLES]:
        received = [token.text for token in outcome.answers[label].tokens]
        body = {
            "generation": f"prefill-{label}",
            "attempt": 1,
            "prompt": "cold " + outcome.prompts[label],
            "prefix": received[: tokens // 2],
            "max_tokens": tokens // 2 + 1,
            "priority": 0,
            "model": model,
            "adapter": adapter,
            "version": version,
        }
        url = f"http://{cluster.processes['engine-0'].address}/v1/generate"
        start = time.monotonic()
        with urllib.request.urlopen(url, json.dumps(body).encode()) as resp:
            resp.readline()
            times.append((time.monotonic() - start) * 1000)
            resp.read()
    return _quantile(sorted(times), 0.5)


def _per_useful_token(extra_tokens: tuple[float, float], outcome: Outcome) -> float:
    return sum(extra_tokens) / max(1, outcome.count_delivered())


def _ratio(ours: float | None, naive: float | None) -> float | None:
    return round(ours / naive, 4) if ours is not None and naive else None


def _figures(
    deployment: Deployment,
    ours: Outcome,
    idle: Outcome,
    naive: Outcome,
    prefill_ms: float | None,
) -> dict:
    load = deployment.load
    extra_tokens = ours.extra_tokens(load.prompt_tokens)
    naive_extra_tokens = naive.extra_tokens(load.prompt_tokens)
    extra, naive_extra = _per_useful_token(extra_tokens, ours), _per_useful_token(
        naive_extra_tokens, naive
    )
    figures: dict = count_faults(ours)
    for kind, name in (("die", "reset"), ("silent", "silent")):
        latencies = ours.latencies_ms(kind)
        figures[f"{name}_losses"] = len(latencies)
        figures[f"{name}_ms_p50"] = _quantile(latencies, 0.5)
        figures[f"{name}_ms_p99"] = _quantile(latencies, 0.99)
        figures[f"naive_{name}_ms_p50"] = _quantile(naive.latencies_ms(kind), 0.5)
    figures |= {
        "prefill_ms_p50": prefill_ms,
        "prefilled_again": round(extra_tokens[0]),
        "thrown_away": round(extra_tokens[1]),
        "naive_prefilled_again": round(naive_extra_tokens[0]),
        "naive_thrown_away": round(naive_extra_tokens[1]),
        "losses": len(ours.lost),
        "naive_losses": len(naive.lost),
        "useful_tokens": ours.count_delivered(),
        "extra_work": round(extra, 5),
        "extra_work_idle": round(
            _per_useful_token(idle.extra_tokens(load.prompt_tokens), idle), 5
        ),
        "extra_vs_naive": _ratio(extra, naive_extra),
        "extra_vs_naive_per_loss": _ratio(
            sum(extra_tokens) / max(1, len(ours.lost)),
            sum(naive_extra_tokens) / max(1, len(naive.lost)),
        ),
        "thrown_away_vs_naive": _ratio(
            extra_tokens[1] / ours.count_delivered(),
            naive_extra_tokens[1] / naive.count_delivered(),
        ),
        "latency_vs_naive": _ratio(
            figures["reset_ms_p50"], figures["naive_reset_ms_p50"]
        ),
    }
    return figures


async def _measure(deployment: Deployment, cluster: Cluster, seed: int) -> dict:
    load = deployment.load
    addresses = list(cluster.router_addresses.values())
    ours = await LossyLoad(cluster, addresses, load).run("ours", seed)
    prefill_ms = await asyncio.to_thread(_prefill_ms, cluster, ours, load.tokens)
    counters = {name: sum_counter(cluster, name) for name in COUNTERS}
    lossless = replace(load, lossy=False, orders=0)
    idle = await LossyLoad(cluster, addresses, lossless).run("idle", seed)
    idle_counts = {
        f"idle_{name}": sum_counter(cluster, name) - counters[name] for name in COUNTERS
    }
    address = cluster.processes["naive"].address
    naive_load = replace(load, orders=0)
    naive = await LossyLoad(cluster, [address], naive_load).run("naive", seed)
    figures = _figures(deployment, ours, idle, naive, prefill_ms)
    return {**figures, **counters, **idle_counts}


def run(deployment: Deployment, seed: int) -> dict:
    """Run one deployment's loads and return the figures."""
    with Cluster(_plan(deployment)) as cluster:
        platform = cluster.processes["platform"].address
        args = ["--platform", platform, "--model", MODEL]
        cluster.start_stand_in("naive", "benchmarks.naive", "127.0.0.1", args)
        return asyncio.run(_measure(deployment, cluster, seed))


def _point(deployment: Deployment, seed: int) -> Point:
    figures = run(deployment, seed)
    names = [name for name in Point.__struct_fields__ if name in figures]
    results = {name: figures[name] for name in names}
    return Point(deployment.name, deployment.urgency, **results)


def _quick(deployment: Deployment) -> Deployment:
    load = deployment.load
    load = replace(load, number=load.number // 4, orders=load.orders // 4)
    return replace(deployment, load=load)


def measure_points(seed: int) -> list[Point]:
    """Return the measured point of each deployment with the quick load."""
    return [_point(_quick(deployment), seed) for deployment in DEPLOYMENTS]


def main(argv: list[str] | None = None) -> int:
    """Run the benchmark and print, save or draw its figures."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.resume")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--quick", action="store_true", help="a fifth of the load")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", choices=[each.name for each in DEPLOYMENTS])
    parser.add_argument("--plot", action="store_true", help=f"draw {PLOT} only")
    parser.add_argument("--points", action="store_true", help=f"write {POINTS} only")
    args = parser.parse_args(argv)
    if args.points:
        save(measure_points(args.seed), POINTS)
        return 0
    if args.plot:
        draw(PLOT, msgspec.json.decode(POINTS.read_bytes(), type=list[Point]))
        return 0
    results = {}
    for deployment in DEPLOYMENTS:
        if args.only not in (None, deployment.name):
            continue
        if args.quick:
            deployment = _quick(deployment)
        results[deployment.name] = run(deployment, args.seed)
    if args.json:
        print(json.dumps(results, indent=2))
        return 0
    for name, figures in results.items():
        for key, value in figures.items():
            print(f"{name:12} {key:24} {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
