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
from benchmarks._losses import Load, LossyLoad, Outcome, faults
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
    """One user's set-up."""

    name: str
    service: str
    centres: tuple[str, ...]
    engines: int
    urgency: str
    delay_s: float
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
    work = {
        "service": deployment.service,
        "model": model,
        "adapter": adapter,
        "version": version,
        "urgency": deployment.urgency,
        "wait_s": 30,
    }
    centres = deployment.centres
    return ClusterPlan(
        routers={f"entry-{n + 1}": centres[n % 3] for n in range(3)},
        targets=[
            EngineSpec(f"engine-{n}", deployment.service, centres[n % 3], args)
            for n in range(deployment.engines)
        ],
        objects={
            "profile/work": {"name": "work", **work},
            "profile/order": {"name": "order", **work, "idempotent": False},
            "customer/bench": {"name": "bench"},
        },
        peer_delay_s=deployment.delay_s,
    )


def _quantile(values: list[float], share: float) -> float | None:
    if not values:
        return None
    return round(values[min(len(values) - 1, int(share * len(values)))], 1)


def _prefill_ms(cluster: Cluster, outcome: Outcome, tokens: int) -> float | None:
    """Measure the stand-in's first token for the prefixes that were resumed."""
    times = []
    model, adapter, version = MODEL.split("/")
    for label in list(outcome.lost)[:PREFILL_SAMPLES]:
        shown = [token.text for token in outcome.answers[label].tokens]
        body = {
            "generation": f"prefill-{label}",
            "attempt": 1,
            "prompt": "cold " + outcome.asked[label],
            "prefix": shown[: tokens // 2],
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


def _share(parts: tuple[float, float], outcome: Outcome) -> float:
    return sum(parts) / max(1, outcome.delivered())


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
    parts = ours.extra(load.prompt_tokens)
    naive_parts = naive.extra(load.prompt_tokens)
    extra, naive_extra = _share(parts, ours), _share(naive_parts, naive)
    figures: dict = faults(ours)
    for kind, name in (("die", "reset"), ("silent", "silent")):
        found = ours.latencies_ms(kind)
        figures[f"{name}_losses"] = len(found)
        figures[f"{name}_ms_p50"] = _quantile(found, 0.5)
        figures[f"{name}_ms_p99"] = _quantile(found, 0.99)
        figures[f"naive_{name}_ms_p50"] = _quantile(naive.latencies_ms(kind), 0.5)
    figures |= {
        "prefill_ms_p50": prefill_ms,
        "prefilled_again": round(parts[0]),
        "thrown_away": round(parts[1]),
        "naive_prefilled_again": round(naive_parts[0]),
        "naive_thrown_away": round(naive_parts[1]),
        "losses": len(ours.lost),
        "naive_losses": len(naive.lost),
        "useful_tokens": ours.delivered(),
        "extra_work": round(extra, 5),
        "extra_work_idle": round(_share(idle.extra(load.prompt_tokens), idle), 5),
        "extra_vs_naive": _ratio(extra, naive_extra),
        "extra_vs_naive_per_loss": _ratio(
            sum(parts) / max(1, len(ours.lost)),
            sum(naive_parts) / max(1, len(naive.lost)),
        ),
        "thrown_away_vs_naive": _ratio(
            parts[1] / ours.delivered(), naive_parts[1] / naive.delivered()
        ),
        "latency_vs_naive": _ratio(
            figures["reset_ms_p50"], figures["naive_reset_ms_p50"]
        ),
    }
    return figures


async def _measure(deployment: Deployment, cluster: Cluster, seed: int) -> dict:
    load = deployment.load
    entries = list(cluster.router_addresses.values())
    ours = await LossyLoad(cluster, entries, load).run("ours", seed)
    prefill_ms = await asyncio.to_thread(_prefill_ms, cluster, ours, load.tokens)
    before = {name: sum_counter(cluster, name) for name in COUNTERS}
    calm = replace(load, lossy=False, orders=0)
    idle = await LossyLoad(cluster, entries, calm).run("idle", seed)
    calm_counts = {
        f"idle_{name}": sum_counter(cluster, name) - before[name] for name in COUNTERS
    }
    address = cluster.processes["naive"].address
    plain = replace(load, orders=0)
    naive = await LossyLoad(cluster, [address], plain).run("naive", seed)
    figures = _figures(deployment, ours, idle, naive, prefill_ms)
    return {**figures, **before, **calm_counts}


def run(deployment: Deployment, seed: int) -> dict:
    """Measure one deployment."""
    with Cluster(_plan(deployment)) as cluster:
        platform = cluster.processes["platform"].address
        args = ["--platform", platform, "--model", MODEL]
        cluster.start_stand_in("naive", "benchmarks.naive", "127.0.0.1", args)
        return asyncio.run(_measure(deployment, cluster, seed))


def _point(deployment: Deployment, seed: int) -> Point:
    figures = run(deployment, seed)
    names = [name for name in Point.__struct_fields__ if name in figures]
    found = {name: figures[name] for name in names}
    return Point(deployment.name, deployment.urgency, **found)


def _quick(deployment: Deployment) -> Deployment:
    load = deployment.load
    load = replace(load, number=load.number // 4, orders=load.orders // 4)
    return replace(deployment, load=load)


def measure_points(seed: int) -> list[Point]:
    """Measure each deployment with the quick load."""
    return [_point(_quick(deployment), seed) for deployment in DEPLOYMENTS]


def main(argv: list[str] | None = None) -> int:
    """Print the figures of both deployments."""
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
    found = {}
    for deployment in DEPLOYMENTS:
        if args.only not in (None, deployment.name):
            continue
        if args.quick:
            deployment = _quick(deployment)
        found[deployment.name] = run(deployment, args.seed)
    if args.json:
        print(json.dumps(found, indent=2))
        return 0
    for name, figures in found.items():
        for key, value in figures.items():
            print(f"{name:12} {key:24} {value}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
