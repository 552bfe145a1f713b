"""Capacity page ``docs/CAPACITY.md``, computed from measured slopes.

Run ``python -m benchmarks.capacity``; ``--measure`` first measures the unit
costs again.
The slopes of control and of forwarding are read from ``control.json`` and
``passthrough.json`` in ``benchmarks/results``, the outputs of those benchmarks.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import dataclass
from pathlib import Path

from benchmarks._roles import ROLE_NOTES
from turmericflow.systems import observation

RESULTS = Path(__file__).parent / "results"
PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"

NODES = 2000
TARGETS = 6500
REQUESTS_PER_S = 62_000
TOKENS_PER_S = 20_000_000
TOKEN_GAP_S = 0.027
CUSTOMERS = 46_000
DATA_CENTRES = 17
CHANGES_PER_DAY = 9100
HOST_EVENTS_PER_DAY = 100 + 480
DAY_S = 86_400
MEMBER_FACTS_PER_EVENT = 3
SLOTS = 16_384
SLOT_BYTES = 15
CONTACTS = 4
PROBE_INTERVAL_S = 0.4
WATCHERS_PER_DATA_CENTRE = 2
WATCH_TIMEOUT_S = 2.0
FLEET_POLLS_PER_S = 2.0
LEASE_TERM_S = 30.0
IDEMPOTENT_RETENTION_S = 60.0
BUDGET = {"cpu_share": 0.048, "rss_mb": 256.0, "bytes_s": 23_000.0}


@dataclass(slots=True)
class Cost:
    """A role's cost on one node at the required size, as texts of the page."""

    state: str
    messages: str
    cpu: str
    memory: str


def _read(name: str) -> dict:
    path = RESULTS / f"{name}.json"
    return json.loads(path.read_text("utf-8")) if path.exists() else {}


def _share(us_per_s: float) -> str:
    return f"{us_per_s / 1e6:.2%} of a core"


def _runner(forward: dict) -> Cost:
    tokens = TOKENS_PER_S / NODES
    us = forward["own"]["cpu_us_per_token"]
    cores = tokens * us / 1e6
    streams = TOKENS_PER_S * TOKEN_GAP_S / NODES
    return Cost(
        f"{streams:.0f} running requests, "
        f"{TOKENS_PER_S / REQUESTS_PER_S:.0f} tokens each",
        f"{tokens:,.0f} tokens a second to callers, as many to journals",
        f"{cores:.2f} cores at {us:.1f} us per token, owner and backup included",
        "see owner",
    )


def _owner(unit: dict) -> Cost:
    streams = TOKENS_PER_S * TOKEN_GAP_S / NODES / NODES
    per_message = unit["append_entry_us"]
    tokens = TOKENS_PER_S / NODES
    record = (
        unit["claim_bytes"] + unit["claim_token_bytes"] * TOKENS_PER_S / REQUESTS_PER_S
    )
    ended = REQUESTS_PER_S / NODES * IDEMPOTENT_RETENTION_S
    running = TOKENS_PER_S * TOKEN_GAP_S / NODES
    memory = record * (ended + running) / 1e6
    return Cost(
        f"{running:.0f} running and {ended:.0f} ended records of {record:,.0f} bytes",
        f"{tokens:,.0f} appends a second: a runner has {streams:.2f} streams with each "
        "owner, so batches hold one entry",
        f"{_share(tokens * 2 * per_message)} to encode and decode appends",
        f"{memory:.0f} MB",
    )


def _backup(unit: dict) -> Cost:
    tokens = TOKENS_PER_S / NODES
    return Cost(
        "as owner",
        f"{tokens:,.0f} appends a second, one acknowledgement each",
        _share(tokens * unit["append_entry_us"]) + " to decode appends",
        "as owner",
    )


def _watcher() -> Cost:
    watchers = WATCHERS_PER_DATA_CENTRE * DATA_CENTRES
    waits_s = watchers / WATCH_TIMEOUT_S
    wakeups_s = watchers * (CHANGES_PER_DAY + HOST_EVENTS_PER_DAY) / DAY_S
    lease_calls_s = DATA_CENTRES * 2 * 3 / LEASE_TERM_S
    total = waits_s + wakeups_s + lease_calls_s + FLEET_POLLS_PER_S
    return Cost(
        "none of its own",
        f"{total:.0f} platform calls a second for the fleet: {waits_s:.0f} waits, "
        f"{wakeups_s:.1f} by changes, {lease_calls_s:.1f} by leases, "
        f"{FLEET_POLLS_PER_S:.0f} polls in turn",
        "within the control figure above",
        "none",
    )


def _owner_maps_bytes_s() -> float:
    return HOST_EVENTS_PER_DAY / DAY_S * 2 * CONTACTS * SLOTS * SLOT_BYTES


def _relay(unit: dict) -> Cost:
    facts = (CHANGES_PER_DAY + HOST_EVENTS_PER_DAY * MEMBER_FACTS_PER_EVENT) / DAY_S
    small = facts * 2 * CONTACTS * unit["fact_bytes"]
    maps = _owner_maps_bytes_s()
    probes = 2 / PROBE_INTERVAL_S * (unit["ping_bytes"] + unit["ack_bytes"])
    us = facts * 2 * CONTACTS * unit["fact_us"]
    us += 4 / PROBE_INTERVAL_S * (unit["ping_us"] + unit["ack_us"])
    us += (
        HOST_EVENTS_PER_DAY
        * MEMBER_FACTS_PER_EVENT
        / DAY_S
        * unit["contacts_at_2000_us"]
    )
    memory = CUSTOMERS * unit["customer_bytes"] + TARGETS * unit["target_bytes"]
    memory += NODES * unit["member_bytes"]
    return Cost(
        f"{CUSTOMERS:,} customers, {TARGETS:,} targets, {NODES:,} members",
        f"{small:.0f} B/s of facts, {probes:.0f} B/s of probes, {maps:,.0f} B/s of "
        "owner maps if each host event changes the map once",
        _share(us),
        f"{memory / 1e6:.0f} MB",
    )


def _observer(unit: dict) -> Cost:
    hosts = observation.MAX_GROUP_HOSTS
    wait_s = observation.poll_interval_s(TARGETS, hosts)
    reports_per_observer_s = TARGETS / wait_s
    polls_s = observation.OBSERVERS * reports_per_observer_s / hosts
    messages_s = (hosts - 1) / max(
        observation.PUBLISH_INTERVAL_S, observation.batch_delay_s(wait_s)
    )
    reports = observation.OBSERVERS * reports_per_observer_s
    sent = 2 * messages_s * unit["observed_bytes"] + 2 * reports * unit["sighted_bytes"]
    us = 2 * messages_s * unit["observed_us"] + reports * unit["sighted_us"]
    return Cost(
        f"a load report for each of {TARGETS:,} targets, {wait_s / 2:.0f} s between "
        "those of its two observers together",
        f"{polls_s:.1f} polls a second from each node, "
        f"{polls_s * NODES:,.0f} for the fleet; "
        f"{messages_s:.0f} messages a second told and as many heard, {sent:,.0f} B/s",
        f"{_share(us)} for what is told and heard; polls within the control figure "
        "above",
        "within relay's targets",
    )


def _placer() -> Cost:
    calls = 2 * 3 / LEASE_TERM_S
    return Cost(
        "one lease, and the orders not yet reported",
        f"{calls:.1f} platform calls a second in each data centre, orders one at a "
        "time for each service",
        "not measured alone; idle cost is within the control figure",
        "none to speak of",
    )


def _entry() -> Cost:
    requests = REQUESTS_PER_S / NODES
    return Cost(
        "its callers' connections",
        f"{requests:.0f} requests a second, one claim and one end each",
        "within runner",
        f"{TOKENS_PER_S * TOKEN_GAP_S / NODES:.0f} open connections",
    )


def _budget_rows(control: dict) -> list[str]:
    rows = ["| | at the letter's size | asked for | met |", "| --- | --- | --- | --- |"]
    for name, limit in BUDGET.items():
        value = control["at_letter_size"][name]
        met = "yes" if value <= limit else "no"
        rows.append(f"| {name} | {value:,.3f} | {limit:,} | {met} |")
    limit = BUDGET["bytes_s"]
    total = control["at_letter_size"]["bytes_s"] + _owner_maps_bytes_s()
    met = "yes" if total <= limit else "no"
    rows.append(f"| bytes_s and owner maps | {total:,.3f} | {limit:,} | {met} |")
    return rows


def _yardstick_text(control: dict) -> str:
    shares = control["yardstick_cpu_share"]
    texts = ", ".join(f"{name} {share:.2%}" for name, share in shares.items())
    return (
        "The machine was shared. A process that does the same small work in each run "
        f"used of a core, by run: {texts}. Where these differ, so do the runs' "
        "processor shares without a cause in the daemon, and a slope multiplies the "
        "difference by the way to the letter's size."
    )


def _slope_rows(control: dict) -> list[str]:
    rows = ["| against | cpu_share | rss_mb | bytes_s |", "| --- | --- | --- | --- |"]
    for name, slope in control["slopes"].items():
        cells = " | ".join(f"{slope[cost]:.3g}" for cost in BUDGET)
        rows.append(f"| {name} | {cells} |")
    return rows


def _forwarding_text(forward: dict) -> str:
    cores = TOKENS_PER_S / NODES * forward["own"]["cpu_us_per_token"] / 1e6
    if cores <= 1:
        return f"Forwarding takes {cores:.2f} of the one core that a daemon can use."
    nodes = NODES * cores
    return (
        f"**Forwarding of tokens breaks first.** At {TOKENS_PER_S // NODES:,} tokens a "
        f"second a node needs {cores:.1f} cores, and a daemon is one event loop on "
        f"one core. With this cost per token the letter's rate needs {nodes:,.0f} "
        "daemons, several on each node."
    )


def page(control: dict, forward: dict, unit: dict) -> str:
    """Return the page's text in Markdown."""
    costs = {
        "runner": _runner(forward),
        "owner": _owner(unit),
        "backup": _backup(unit),
        "watcher": _watcher(),
        "relay": _relay(unit),
        "observer": _observer(unit),
        "placer": _placer(),
        "entry": _entry(),
    }
    lines = [
        "# Capacity",
        "",
        "Written by `python -m benchmarks.capacity` from the measured slopes in "
        "`benchmarks/results`; change the slopes, not this page. Each figure is "
        "worked out for one node of 2,000 and is no measurement at that size. The "
        "slopes come from one machine that other work shared.",
        "",
        _forwarding_text(forward),
        "",
        "## Control on a node",
        "",
        "By linear slopes against hosts, targets, profiles and customers. The "
        "targets' slope is taken where the polls' bounds are reached. The runs have 64 "
        f"slots; the owner maps of {SLOTS:,} slots are added as under relay.",
        "",
        *_budget_rows(control),
        "",
        *_slope_rows(control),
        "",
        _yardstick_text(control),
        "",
        f"Platform calls a second by number of hosts: {control['platform_calls_s']}.",
        f"In force everywhere: p50 {control['in_force_ms_p50']:.0f} ms, p99 "
        f"{control['in_force_ms_p99']:.0f} ms. Mark to last new work: p99 "
        f"{control['last_new_work_ms_p99']:.0f} ms.",
        "",
        "## Roles",
    ]
    for name, cost in costs.items():
        notes = ROLE_NOTES[name]
        lines += [
            "",
            f"### {name}",
            "",
            f"- State: {cost.state}.",
            f"- Messages: {cost.messages}.",
            f"- Processor: {cost.cpu}.",
            f"- Memory: {cost.memory}.",
            f"- Mechanism: {notes.mechanism}.",
            f"- What breaks first: {notes.first_bottleneck}.",
            f"- Measured by {notes.measured_by}.",
        ]
    lines += ["", "## Unit costs", "", "| unit | cost |", "| --- | --- |"]
    lines += [f"| {name} | {value:.2f} |" for name, value in unit.items()]
    return "\n".join(lines) + "\n"


def main(argv: list[str] | None = None) -> int:
    """Write the page; return 1 if a benchmark's results are missing."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    parser.add_argument("--measure", action="store_true", help="measure unit costs")
    args = parser.parse_args(argv)
    if args.measure:
        from benchmarks import _unit_costs

        text = json.dumps(_unit_costs.measure(), indent=1)
        (RESULTS / "unit_costs.json").write_text(text + "\n", "utf-8")
    results = {n: _read(n) for n in ("control", "passthrough", "unit_costs")}
    missing = [name for name, value in results.items() if not value]
    if missing:
        print(f"no results of {', '.join(missing)} in {RESULTS}", file=sys.stderr)
        return 1
    text = page(results["control"], results["passthrough"], results["unit_costs"])
    PAGE.write_text(text, "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
