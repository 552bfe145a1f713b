"""Comparison of policies on declared workloads, and the cost of a decision.

The real decision code runs against the stand-in engine's batches in virtual time.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from random import Random

import numpy as np

from benchmarks._virtual import Cluster, Fleet, Outcome, Run
from turmericflow.load import Workload
from turmericflow.systems import policies, prefixes, routing, scheduling
from turmericflow.testing import make_tables, make_work

FOLDER = Path(__file__).parent / "workloads"
WORKLOADS = (
    "steady",
    "one_subject",
    "morning_burst",
    "large_tender",
    "large_customer",
    "engine_loss",
    "overload_2x",
    "overload_3x",
    "router_loss",
)
POLICIES = ("random", "sq", "lew", "mc", "fpi", "ours")
DECISION_TARGETS = (3, 12, 400)
DECISIONS = 2000
SEED = 1
WORKERS = 6
QUICK_ENGINES = 6
LATE_TTFT_FACTOR = 1.5


def _percentile(values: list[float], percent: float) -> float:
    return round(float(np.percentile(values, percent)) * 1000, 2) if values else 0.0


def _ttft(outcomes: list[Outcome]) -> list[float]:
    return [each.first_at - each.tried_at for each in outcomes if each.first_at]


def _goodput(run: Run, workload: Workload, served_per_s: float) -> float:
    """Return the answers whole and in time, relative to the largest possible number.

    In a phase that offers more than the fleet can serve, the largest number is
    what the fleet can serve in the phase, and answers that end within the phase
    count.  In any other phase it is what was offered, and answers count whose
    request arrived in the phase.
    """
    good = possible = start = 0.0
    for phase in workload.phases:
        end = start + phase.length_s
        offered = [each for each in run.outcomes if start <= each.arrival.at_s < end]
        capacity = served_per_s * phase.length_s
        if len(offered) > capacity:
            ends = [each.done_at for each in run.outcomes if each.done_at is not None]
            good += sum(1 for at in ends if start <= at < end)
            possible += capacity
        else:
            good += sum(1 for each in offered if each.good)
            possible += len(offered)
        start = end
    return round(good / max(1.0, possible), 4)


def _recovery_s(run: Run, workload: Workload) -> float:
    """Return the time from the overload's end to the last refused or late request.

    A request is late if its time to first token is above 1.5 times the 99th
    percentile from before the overload.
    """
    begin = workload.phases[0].length_s
    end = begin + workload.phases[1].length_s
    before_overload = [each for each in run.outcomes if each.arrival.at_s < begin]
    limit = LATE_TTFT_FACTOR * float(np.percentile(_ttft(before_overload), 99))
    last = end
    for each in run.outcomes:
        for at in each.refused_at:
            last = max(last, at)
        late = each.first_at is None or each.first_at - each.tried_at > limit
        if late and each.tried_at > end:
            last = max(last, each.tried_at)
    return round(last - end, 2)


def _customers(run: Run) -> dict[str, dict[str, float]]:
    good = Counter(each.arrival.stream.customer for each in run.outcomes if each.good)
    offered = Counter(each.arrival.stream.customer for each in run.outcomes)
    total = max(1, sum(good.values()))
    return {
        name: {
            "share": round(good[name] / total, 4),
            "answered": round(good[name] / offered[name], 4),
        }
        for name in sorted(offered)
    }


def _figures(run: Run, workload: Workload, fleet: Fleet) -> dict:
    served = fleet.served_per_s(workload.mean_tokens)
    refused = [each for each in run.outcomes if each.refused_at]
    ttft = _ttft(run.outcomes)
    return {
        "goodput": _goodput(run, workload, served),
        "ttft_ms_p50": _percentile(ttft, 50),
        "ttft_ms_p99": _percentile(ttft, 99),
        "prefix_hits": round(1 - run.prefilled / max(1.0, run.prompt_tokens), 4),
        "refused": sum(1 for each in run.outcomes if each.failure is not None),
        "refused_by": dict(
            Counter(
                f"{each.failure.verdict} {each.failure.code}"
                for each in run.outcomes
                if each.failure is not None
            )
        ),
        "refuse_ms_p99": _percentile([each.refuse_s for each in refused], 99),
        "amplification": round(run.attempts / max(1, run.accepted), 4),
        "offered": len(run.outcomes),
        "customers": _customers(run),
    }


def measure(name: str, policy: str, fleet: Fleet, seed: int) -> dict:
    """Run one workload under one policy and return its figures."""
    workload = Workload.from_file(FOLDER / f"{name}.yaml")
    chosen = policies.policy_of(policy)
    run = Cluster(workload, chosen, fleet, seed).run_workload()
    figures = _figures(run, workload, fleet)
    if name == "overload_3x":
        figures["normal_again_s"] = _recovery_s(run, workload)
    if name == "large_customer":
        figures["small_p99_ratio"] = _small_customers_p99_ratio(
            run, workload, chosen, fleet, seed
        )
    return figures


def _small_customers_p99_ratio(
    run: Run, workload: Workload, policy: policies.Policy, fleet: Fleet, seed: int
) -> float:
    large = max(workload.streams, key=lambda stream: stream.share).customer

    def is_small(customer: str) -> bool:
        return customer != large

    alone = Cluster(
        workload, policy, fleet, seed, lambda each: is_small(each.stream.customer)
    ).run_workload()
    in_mix = [each for each in run.outcomes if is_small(each.arrival.stream.customer)]
    return round(
        _percentile(_ttft(in_mix), 99) / _percentile(_ttft(alone.outcomes), 99), 3
    )


def decision_us(targets: int, policy: str = "ours") -> float:
    """Return the mean duration of a routing decision, in microseconds."""
    tables, rng = make_tables(targets, 64), Random(SEED)
    words = [f"w{number}" for number in range(480)]
    work = make_work(blocks=prefixes.block_names(words), prompt_tokens=512)
    for number in range(0, targets, 4):
        prefixes.expect_blocks(tables.load, f"redactor-{number}", work.blocks, 1.0)
    pool = scheduling.pool_of(tables, work, 1.0)
    scheduling.refresh(tables, pool, 1.0)
    for target in pool.targets:
        target.peer_sends_per_s = 5.0
    chosen = policies.policy_of(policy)
    start = time.perf_counter()
    for _ in range(DECISIONS):
        routing.choose(tables, pool, chosen, work, 1.0, rng)
    return round((time.perf_counter() - start) / DECISIONS * 1e6, 1)


def run_all(fleet: Fleet, seed: int, workloads: list[str], names: list[str]) -> dict:
    """Run each workload under each policy, in parallel processes."""
    results: dict = {name: {} for name in workloads}
    workers = max(1, min(WORKERS, (os.cpu_count() or 2) - 2))
    with ProcessPoolExecutor(workers) as pool:
        jobs = {
            (name, policy): pool.submit(measure, name, policy, fleet, seed)
            for name in workloads
            for policy in names
        }
        for (name, policy), job in jobs.items():
            results[name][policy] = job.result()
    return results


def _print(results: dict) -> None:
    keys = ("goodput", "ttft_ms_p50", "ttft_ms_p99", "prefix_hits", "refused")
    keys += ("refuse_ms_p99", "amplification", "normal_again_s", "small_p99_ratio")
    for name, rows in results["workloads"].items():
        print(name)
        for policy, row in rows.items():
            text = " ".join(f"{key}={row[key]}" for key in keys if key in row)
            print(f"  {policy:7}{text}")
    print("decision_us", results["decision_us"])


def main(argv: list[str] | None = None) -> int:
    """Run the benchmark, and print its figures."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.policies")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--quick", action="store_true", help="half the fleet")
    parser.add_argument("--plot", action="store_true", help="write docs/img/")
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--workload", action="append", choices=WORKLOADS)
    parser.add_argument("--policy", action="append", choices=POLICIES)
    args = parser.parse_args(argv)
    fleet = replace(Fleet(), engines=QUICK_ENGINES) if args.quick else Fleet()
    workloads = args.workload or list(WORKLOADS)
    cost = {str(number): decision_us(number) for number in DECISION_TARGETS}
    results = {
        "seed": args.seed,
        "engines": fleet.engines,
        "routers": fleet.routers,
        "workloads": run_all(
            fleet, args.seed, workloads, args.policy or list(POLICIES)
        ),
        "decision_us": cost,
    }
    if args.plot:
        from benchmarks._policies_plot import plot

        plot(results)
    if args.json:
        print(json.dumps(results, indent=1))
    else:
        _print(results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
