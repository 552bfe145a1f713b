"""Cost and latency of control work, with routers as real processes.

Run ``python -m benchmarks.control --json``; ``--quick`` takes fewer samples.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import asdict, dataclass, field
from datetime import datetime
from pathlib import Path
from random import Random

import aiohttp

from turmericflow.systems import observation, polling
from turmericflow.testing import Cluster, ClusterPlan, EngineSpec
from turmericflow.testing._cluster import http_json

DATA_CENTRES = ("mvd-cordon", "mvd-aguada", "mvd-carrasco")
MODEL = "sable/none/1"
PROFILE = {
    "name": "quotation",
    "service": "redactor",
    "model": "sable",
    "adapter": "none",
    "version": "1",
    "wait_s": 20.0,
}
HOSTS = (7, 35)
ENGINES = 12
SLOPE_MIN_TARGETS = 600
SLOPE_MAX_TARGETS = 1200
MANY_PROFILES = 600
MANY_CUSTOMERS = 6000
REQUIRED_SIZE = {"hosts": 2000, "targets": 6500, "profiles": 500, "customers": 46_000}
SETTLE_S = 4.0
YARDSTICK_START_S = 0.5
READY_TIMEOUT_S = 90.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
COST_NAMES = ("cpu_share", "rss_mb", "bytes_s")


@dataclass(slots=True)
class Size:
    """Numbers of hosts and objects in a run."""

    hosts: int = HOSTS[0]
    targets: int = ENGINES
    profiles: int = 1
    customers: int = 1


@dataclass(slots=True)
class Effort:
    """Number of samples, and length of the idle window in seconds."""

    changes: int
    marks: int
    window_s: float


@dataclass(slots=True)
class Run:
    """Measurements of one run; costs are means over the routers."""

    size: Size
    costs: dict[str, float] = field(default_factory=dict)
    platform_calls_s: float = 0.0
    yardstick_cpu_share: float = 0.0
    in_force_ms: list[float] = field(default_factory=list)
    last_new_work_ms: list[float] = field(default_factory=list)


def _plan(size: Size, folder: Path) -> ClusterPlan:
    objects: dict[str, object] = {"profile/quotation": PROFILE}
    objects["customer/norte"] = {"name": "norte", "rate_per_s": 1e6, "burst": 1e6}
    for number in range(size.profiles - 1):
        name = f"profile-{number}"
        objects[f"profile/{name}"] = {**PROFILE, "name": name}
    for number in range(size.customers - 1):
        objects[f"customer/c{number}"] = {"name": f"c{number}"}
    args = ["--model", MODEL, "--step-ms", "2"]
    return ClusterPlan(
        routers={f"entry-{n}": DATA_CENTRES[n % 3] for n in range(size.hosts)},
        targets=[
            EngineSpec(f"redactor-{n}", "redactor", DATA_CENTRES[n % 3], args)
            for n in range(ENGINES)
        ],
        objects=objects,
        platform_args=["--writes-s", "1000000", "--reads-s", "1000000"],
        log_folder=folder,
        ready_timeout_s=READY_TIMEOUT_S,
    )


class _Cluster(Cluster):
    """A cluster whose host list names its engines many times over."""

    def __init__(self, size: Size, folder: Path) -> None:
        super().__init__(_plan(size, folder))
        self._size = size

    def write_host_list(self) -> None:
        """Publish the host list, with further names for the same engines."""
        rows = list(self._host_rows)
        for number in range(len(rows), self._size.targets):
            row = dict(self._host_rows[number % ENGINES])
            row["name"], row["service"] = f"idle-{number}", "idle"
            rows.append(row)
        url = f"http://{self.processes['platform'].address}/admin/hosts"
        http_json("PUT", url, rows)

    def count_calls(self) -> int:
        """Return the number of calls that the platform has received."""
        url = f"http://{self.processes['platform'].address}/admin/calls"
        counts = http_json("GET", url)
        return counts.get("read", 0) + counts.get("write", 0)


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _rss_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def _count_bytes(cluster: Cluster, host: str) -> int:
    counts = cluster.status(host)["counts"]
    names = ("peer.bytes_in", "peer.bytes_out", "platform.bytes_in", "reports.bytes_in")
    list_bytes = counts.get("platform.host_list_bytes", 0)
    return sum(counts.get(name, 0) for name in names) - list_bytes


def _host_list_bytes_s(cluster: Cluster, hosts: int) -> float:
    """Return the bytes per second of each host's polls of the host list.

    These polls are too rare to be sampled in a window, so the list's size is
    measured and the interval is taken from the hosts' polling schedule.
    """
    url = f"http://{cluster.processes['platform'].address}/v1/hosts"
    size = len(json.dumps(http_json("GET", url)))
    byte_limited_s = size / polling.POLL_BYTES_PER_S
    interval_s = max(
        polling.MIN_POLL_INTERVAL_S, hosts / polling.FLEET_POLLS_PER_S, byte_limited_s
    )
    return size / interval_s


def _start_yardstick() -> subprocess.Popen:
    """Start the yardstick process, and wait until it has started up."""
    process = subprocess.Popen([sys.executable, "-m", "benchmarks._yardstick"])
    time.sleep(YARDSTICK_START_S)
    return process


def _measure_costs(cluster: _Cluster, run: Run, window_s: float) -> None:
    """Measure the costs in an idle window, with changes at the required rate."""
    yardstick = _start_yardstick()
    yardstick_s = _cpu_s(yardstick.pid)
    hosts = list(cluster.plan.routers)
    pids = {host: cluster.processes[host].process.pid for host in hosts}
    calls_before = cluster.count_calls()
    cpu_before_s = {host: _cpu_s(pid) for host, pid in pids.items()}
    bytes_before = {host: _count_bytes(cluster, host) for host in hosts}
    start = time.monotonic()
    _change_urgency(cluster, "normal")
    time.sleep(window_s)
    cpu_used_s = [_cpu_s(pid) - cpu_before_s[host] for host, pid in pids.items()]
    elapsed = time.monotonic() - start
    run.yardstick_cpu_share = (_cpu_s(yardstick.pid) - yardstick_s) / elapsed
    yardstick.kill()
    yardstick.wait()
    calls_made = cluster.count_calls() - calls_before
    bytes_used = [_count_bytes(cluster, host) - bytes_before[host] for host in hosts]
    run.platform_calls_s = calls_made / elapsed
    run.costs = {
        "cpu_share": statistics.mean(cpu_used_s) / elapsed,
        "rss_mb": statistics.mean(_rss_mb(pid) for pid in pids.values()),
        "bytes_s": statistics.mean(bytes_used) / (time.monotonic() - start)
        + _host_list_bytes_s(cluster, run.size.hosts),
    }


def _object_version(cluster: Cluster, path: str) -> int:
    return cluster.status("entry-0")["versions"].get(path, 0)


def _change_urgency(cluster: Cluster, urgency: str) -> int:
    path = "profile/quotation"
    value = {**PROFILE, "urgency": urgency}
    return cluster.put(path, value, _object_version(cluster, path))["version"]


def _log_times(folder: Path, version: int) -> dict[str, float]:
    """Return the time at which each host logged a version as in force."""
    times = {}
    field_text = f"version={version}"
    for path in folder.glob("*.log"):
        for line in path.read_text().splitlines():
            words = line.split()
            if "object_in_force" in line and words[-1] == field_text:
                times[path.stem] = datetime.fromisoformat(words[0]).timestamp()
    return times


def _measure_in_force(cluster: _Cluster, run: Run, folder: Path, changes: int) -> None:
    """Measure the time from writing a version to the last host's log line for it."""
    written = []
    for number in range(changes):
        sent_at = time.time()
        version = _change_urgency(cluster, ("urgent", "thrifty")[number % 2])
        written.append((sent_at, version))
        cluster.wait_for_status(
            lambda s, v=version: s["versions"].get("profile/quotation", 0) >= v
        )
    for sent_at, version in written:
        times = _log_times(folder, version)
        if len(times) != run.size.hosts:
            raise RuntimeError(f"version {version} is in force on {len(times)} hosts")
        run.in_force_ms.append((max(times.values()) - sent_at) * 1000)


async def _send_requests(cluster: Cluster, stop: asyncio.Event, rng: Random) -> None:
    async with aiohttp.ClientSession() as session:
        addresses = list(cluster.router_addresses.values())
        body = {"profile": "quotation", "prompt": "site notes", "max_tokens": 2}
        while not stop.is_set():
            url = f"http://{rng.choice(addresses)}/v1/generate"
            headers = {"X-Customer": "norte"}
            async with session.post(url, json=body, headers=headers) as resp:
                await resp.read()
            await asyncio.sleep(0.02)


async def _measure_last_new_work(cluster: _Cluster, run: Run, marks: int) -> None:
    """Mark engines as leaving under load, and time their last new work.

    Each sample is the time from the mark to the engine's last new stream.
    """
    stop = asyncio.Event()
    rng = Random(1)
    loads = [
        asyncio.ensure_future(_send_requests(cluster, stop, rng)) for _ in range(8)
    ]
    await asyncio.sleep(2.0)
    for number in range(marks):
        name = f"redactor-{number % ENGINES}"
        path = f"mark/{name}"
        sent_at = time.time()
        version = (await asyncio.to_thread(_put_mark, cluster, name, True))["version"]
        await asyncio.sleep(2.5)
        url = f"http://{cluster.processes[name].address}/v1/totals"
        last_start = (await asyncio.to_thread(http_json, "GET", url))["last_start"]
        run.last_new_work_ms.append(max(0.0, last_start - sent_at) * 1000)
        value = {"name": name, "leaving": False}
        await asyncio.to_thread(cluster.put, path, value, version)
        await asyncio.sleep(0.3)
    stop.set()
    await asyncio.gather(*loads)


def _put_mark(cluster: Cluster, name: str, leaving: bool) -> dict:
    path = f"mark/{name}"
    version = _object_version(cluster, path)
    return cluster.put(path, {"name": name, "leaving": leaving}, version)


def _run(size: Size, effort: Effort, latency: bool) -> Run:
    run = Run(size)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        with _Cluster(size, folder) as cluster:
            first_polls_s = 2 * size.targets / observation.MAX_POLLS_PER_S
            time.sleep(SETTLE_S + first_polls_s)
            _measure_costs(cluster, run, effort.window_s)
            if latency:
                _measure_in_force(cluster, run, folder, effort.changes)
                asyncio.run(_measure_last_new_work(cluster, run, effort.marks))
    print(f"{size}: {run.costs}", file=sys.stderr)
    return run


def _slope(base: Run, other: Run, name: str, cost: str) -> float:
    step = getattr(other.size, name) - getattr(base.size, name)
    return (other.costs[cost] - base.costs[cost]) / step


def _extrapolate(
    base: Run, lower: dict[str, Run], slopes: dict[str, dict[str, float]], cost: str
) -> float:
    """Extrapolate a cost: add each slope's lower run, then follow the slope.

    Polls of targets and of the host list are rate-limited, and the limit is
    reached below the lower run of the targets' slope.  A negative slope counts
    as zero.
    """
    value = base.costs[cost]
    for name, size in REQUIRED_SIZE.items():
        start = lower[name]
        value += start.costs[cost] - base.costs[cost]
        slope = max(0.0, slopes[name][cost])
        value += slope * (size - getattr(start.size, name))
    return value


def _quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def measure(effort: Effort) -> dict:
    """Run all sizes and return the benchmark's figures."""
    base = _run(Size(), effort, True)
    many_targets = _run(Size(targets=SLOPE_MIN_TARGETS), effort, False)
    others = {
        "hosts": _run(Size(hosts=HOSTS[1]), effort, True),
        "targets": _run(Size(targets=SLOPE_MAX_TARGETS), effort, False),
        "profiles": _run(Size(profiles=MANY_PROFILES), effort, False),
        "customers": _run(Size(customers=MANY_CUSTOMERS), effort, False),
    }
    lower = dict.fromkeys(others, base) | {"targets": many_targets}
    slopes = {
        name: {cost: _slope(lower[name], run, name, cost) for cost in COST_NAMES}
        for name, run in others.items()
    }
    large = others["hosts"]
    in_force = base.in_force_ms + large.in_force_ms
    last_work = base.last_new_work_ms + large.last_new_work_ms
    return {
        "in_force_ms_p50": _quantile(in_force, 0.5),
        "in_force_ms_p99": _quantile(in_force, 0.99),
        "in_force_samples": len(in_force),
        "last_new_work_ms_p99": _quantile(last_work, 0.99),
        "last_new_work_samples": len(last_work),
        "platform_calls_s": {
            str(run.size.hosts): run.platform_calls_s for run in (base, large)
        },
        "per_node": {str(run.size.hosts): run.costs for run in (base, large)},
        "at_letter_size": {
            cost: _extrapolate(base, lower, slopes, cost) for cost in COST_NAMES
        },
        "yardstick_cpu_share": {
            name: run.yardstick_cpu_share
            for name, run in {
                "base": base,
                "fewer_targets": many_targets,
                **others,
            }.items()
        },
        "letter_size": REQUIRED_SIZE,
        "slopes": slopes,
        "slope_runs": {
            name: {"from": asdict(lower[name]), "to": asdict(run)}
            for name, run in others.items()
        },
    }


def main(argv: list[str] | None = None) -> int:
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.control")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--quick", action="store_true", help="take fewer samples")
    args = parser.parse_args(argv)
    effort = Effort(10, 6, 8.0) if args.quick else Effort(60, 30, 30.0)
    figures = measure(effort)
    if args.json:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(name, value)
    return 0


if __name__ == "__main__":
    sys.exit(main())
