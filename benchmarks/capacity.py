"""Works out docs/CAPACITY.md from measured slopes.

Run ``python -m benchmarks.capacity``; ``--measure`` measures the unit costs anew.
The slopes of control and of forwarding are read from ``benchmarks/results``, as
``control.json`` and ``passthrough.json``, the outputs of those benchmarks.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import dataclass
from pathlib import Path

RESULTS = Path(__file__).parent / "results"
PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"

NODES = 2000
TARGETS = 6500
REQUESTS_S = 62_000
TOKENS_S = 20_000_000
TOKEN_GAP_S = 0.027
CUSTOMERS = 46_000
CENTRES = 17
CHANGES_A_DAY = 9100
HOST_EVENTS_A_DAY = 100 + 480
DAY_S = 86_400
MEMBER_FACTS_PER_EVENT = 3
SLOTS = 16_384
SLOT_BYTES = 15
CONTACTS = 4
PROBE_S = 0.4
WATCHERS_PER_CENTRE = 2
WATCH_WAIT_S = 2.0
FLEET_POLLS_S = 2.0
LEASE_TERM_S = 30.0
REPORT_POLLS_S = 40.0
KEEP_IDEMPOTENT_S = 60.0
BUDGET = {"cpu_share": 0.048, "rss_mb": 256.0, "bytes_s": 23_000.0}


@dataclass(slots=True)
class Role:
    """One role's cost on one node at the letter's size."""

    name: str
    state: str
    messages: str
    cpu: str
    memory: str
    mechanism: str
    breaks: str
    measured_by: str


def _read(name: str) -> dict:
    path = RESULTS / f"{name}.json"
    return json.loads(path.read_text("utf-8")) if path.exists() else {}


def _share(us_per_s: float) -> str:
    return f"{us_per_s / 1e6:.2%} of a core"


def _runner(forward: dict) -> Role:
    tokens = TOKENS_S / NODES
    us = forward["own"]["cpu_us_per_token"]
    cores = tokens * us / 1e6
    streams = TOKENS_S * TOKEN_GAP_S / NODES
    return Role(
        "runner",
        f"{streams:.0f} running requests, {TOKENS_S / REQUESTS_S:.0f} tokens each",
        f"{tokens:,.0f} tokens a second to callers, as many to journals",
        f"{cores:.2f} cores at {us:.1f} us per token, owner and backup included",
        "see owner",
        "journal batches of one tick, one event loop",
        "one event loop is one core: forwarding is the first limit if above 1.00",
        "`python -m benchmarks.passthrough --json`",
    )


def _owner(unit: dict) -> Role:
    pairs = TOKENS_S * TOKEN_GAP_S / NODES / NODES
    per_message = unit["append_entry_us"]
    tokens = TOKENS_S / NODES
    record = unit["claim_bytes"] + unit["claim_token_bytes"] * TOKENS_S / REQUESTS_S
    kept = REQUESTS_S / NODES * KEEP_IDEMPOTENT_S
    running = TOKENS_S * TOKEN_GAP_S / NODES
    memory = record * (kept + running) / 1e6
    return Role(
        "owner",
        f"{running:.0f} running and {kept:.0f} ended records of {record:,.0f} bytes",
        f"{tokens:,.0f} appends a second: a runner has {pairs:.2f} streams with each "
        "owner, so batches hold one entry",
        f"{_share(tokens * 2 * per_message)} to encode and decode appends",
        f"{memory:.0f} MB",
        "slots, conditional owner map, appends acknowledged by owner and backup",
        "batching across requests is lost once a runner's streams spread over more "
        "owners than it has streams: run a request at its slot's owner",
        "`python -m benchmarks.capacity --measure`",
    )


def _backup(unit: dict) -> Role:
    tokens = TOKENS_S / NODES
    return Role(
        "backup",
        "as owner",
        f"{tokens:,.0f} appends a second, one acknowledgement each",
        _share(tokens * unit["append_entry_us"]) + " to decode appends",
        "as owner",
        "a second host in another data centre for each slot",
        "as owner; a lost data centre doubles what stays for as long as it takes "
        "to copy the records",
        "`python -m benchmarks.capacity --measure`",
    )


def _watcher() -> Role:
    watchers = WATCHERS_PER_CENTRE * CENTRES
    waiting = watchers / WATCH_WAIT_S
    woken = watchers * (CHANGES_A_DAY + HOST_EVENTS_A_DAY) / DAY_S
    lease = CENTRES * 2 * 3 / LEASE_TERM_S
    total = waiting + woken + lease + FLEET_POLLS_S
    return Role(
        "watcher",
        "none of its own",
        f"{total:.0f} platform calls a second for the fleet: {waiting:.0f} waits, "
        f"{woken:.1f} by changes, {lease:.1f} by leases, {FLEET_POLLS_S:.0f} polls in "
        "turn",
        "within the control figure above",
        "none",
        "two hosts of each data centre watch the kinds that are spread, the others "
        "poll in turn",
        "a platform whose watch cannot be narrowed to kinds: each renewal of a lease "
        "then wakes every watcher",
        "`python -m benchmarks.control --json`, platform_calls_s",
    )


def _relay(unit: dict) -> Role:
    facts = (CHANGES_A_DAY + HOST_EVENTS_A_DAY * MEMBER_FACTS_PER_EVENT) / DAY_S
    small = facts * 2 * CONTACTS * unit["fact_bytes"]
    maps = HOST_EVENTS_A_DAY / DAY_S * 2 * CONTACTS * SLOTS * SLOT_BYTES
    probes = 2 / PROBE_S * (unit["ping_bytes"] + unit["ack_bytes"])
    us = facts * 2 * CONTACTS * unit["fact_us"]
    us += 4 / PROBE_S * (unit["ping_us"] + unit["ack_us"])
    us += (
        HOST_EVENTS_A_DAY * MEMBER_FACTS_PER_EVENT / DAY_S * unit["contacts_at_2000_us"]
    )
    memory = CUSTOMERS * unit["customer_bytes"] + TARGETS * unit["target_bytes"]
    memory += NODES * unit["member_bytes"]
    return Role(
        "relay",
        f"{CUSTOMERS:,} customers, {TARGETS:,} targets, {NODES:,} members",
        f"{small:.0f} B/s of facts, {probes:.0f} B/s of probes, {maps:,.0f} B/s of "
        "owner maps if each host event changes the map once",
        _share(us),
        f"{memory / 1e6:.0f} MB",
        "four contacts on salted rings, newest wins, digests in probes",
        "the owner map as one object: it takes most of the bytes, and the loss of a "
        "data centre changes it many times in a minute",
        "`python -m benchmarks.capacity --measure`",
    )


def _observer(control: dict) -> Role:
    age_s = TARGETS / REPORT_POLLS_S
    share = control["per_node"]["7"]["cpu_share"]
    return Role(
        "observer",
        f"a load report for each of {TARGETS:,} targets",
        f"{REPORT_POLLS_S:.0f} polls a second from each node, "
        f"{REPORT_POLLS_S * NODES:,.0f} for the fleet",
        f"most of the {share:.2%} of a core that an idle node of seven uses",
        "within relay's targets",
        "each node polls all targets at a bounded rate",
        f"a report is {age_s:.0f} s old on average between polls: a few observers "
        "for each target and changes passed on within a data centre are needed",
        "`python -m benchmarks.control --json`",
    )


def _placer() -> Role:
    calls = 2 * 3 / LEASE_TERM_S
    return Role(
        "placer",
        "one lease, and the orders not yet reported",
        f"{calls:.1f} platform calls a second in each data centre, orders one at a "
        "time for each service",
        "not measured alone; idle cost is within the control figure",
        "none to speak of",
        "lease by conditional update, fencing numbers, weight store's leave",
        "one order at a time for each service: a version change of a service with "
        "hundreds of engines in a data centre takes minutes",
        "`python -m pytest turmericflow/tests/test_orders.py`",
    )


def _entry(unit: dict) -> Role:
    requests = REQUESTS_S / NODES
    return Role(
        "entry",
        "its callers' connections",
        f"{requests:.0f} requests a second, one claim and one end each",
        "within runner",
        f"{TOKENS_S * TOKEN_GAP_S / NODES:.0f} open connections",
        "addresses in an order that spreads load, twelve at most in an answer",
        "not reached before the runner's limit",
        "`python -m benchmarks.passthrough --json`",
    )


def _verdict(control: dict) -> list[str]:
    rows = ["| | at the letter's size | asked for | met |", "| --- | --- | --- | --- |"]
    for name, limit in BUDGET.items():
        value = control["at_letter_size"][name]
        met = "yes" if value <= limit else "no"
        rows.append(f"| {name} | {value:,.3f} | {limit:,} | {met} |")
    return rows


def _slopes(control: dict) -> list[str]:
    rows = ["| against | cpu_share | rss_mb | bytes_s |", "| --- | --- | --- | --- |"]
    for name, slope in control["slopes"].items():
        cells = " | ".join(f"{slope[cost]:.3g}" for cost in BUDGET)
        rows.append(f"| {name} | {cells} |")
    return rows


def _lead(forward: dict) -> str:
    cores = TOKENS_S / NODES * forward["own"]["cpu_us_per_token"] / 1e6
    if cores <= 1:
        return f"Forwarding takes {cores:.2f} of the one core that a daemon can use."
    nodes = NODES * cores
    return (
        f"**Forwarding of tokens breaks first.** At {TOKENS_S // NODES:,} tokens a "
        f"second a node needs {cores:.1f} cores, and a daemon is one event loop on "
        f"one core. With this cost per token the letter's rate needs {nodes:,.0f} "
        "daemons, several on each node."
    )


def page(control: dict, forward: dict, unit: dict) -> str:
    """Return the page's text."""
    roles = [
        _runner(forward),
        _owner(unit),
        _backup(unit),
        _watcher(),
        _relay(unit),
        _observer(control),
        _placer(),
        _entry(unit),
    ]
    lines = [
        "# Capacity",
        "",
        "Written by `python -m benchmarks.capacity` from the measured slopes in "
        "`benchmarks/results`; change the slopes, not this page. Each figure is "
        "worked out for one node of 2,000 and is no measurement at that size. The "
        "slopes come from one machine that other work shared.",
        "",
        _lead(forward),
        "",
        "## Control on a node",
        "",
        "By linear slopes against hosts, targets, profiles and customers. The "
        "targets' slope is taken where the polls' bounds are reached.",
        "",
        *_verdict(control),
        "",
        *_slopes(control),
        "",
        f"Platform calls a second by number of hosts: {control['platform_calls_s']}.",
        f"In force everywhere: p50 {control['in_force_ms_p50']:.0f} ms, p99 "
        f"{control['in_force_ms_p99']:.0f} ms. Mark to last new work: p99 "
        f"{control['last_new_work_ms_p99']:.0f} ms.",
        "",
        "## Roles",
    ]
    for role in roles:
        lines += [
            "",
            f"### {role.name}",
            "",
            f"- State: {role.state}.",
            f"- Messages: {role.messages}.",
            f"- Processor: {role.cpu}.",
            f"- Memory: {role.memory}.",
            f"- Mechanism: {role.mechanism}.",
            f"- What breaks first: {role.breaks}.",
            f"- Measured by {role.measured_by}.",
        ]
    lines += ["", "## Unit costs", "", "| unit | cost |", "| --- | --- |"]
    lines += [f"| {name} | {value:.2f} |" for name, value in unit.items()]
    return "\n".join(lines) + "\n"


def main(argv: list[str] | None = None) -> int:
    """Write the page."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    parser.add_argument("--measure", action="store_true", help="measure unit costs")
    args = parser.parse_args(argv)
    if args.measure:
        from benchmarks import _unit_costs

        text = json.dumps(_unit_costs.measure(), indent=1)
        (RESULTS / "unit_costs.json").write_text(text + "\n", "utf-8")
    found = {n: _read(n) for n in ("control", "passthrough", "unit_costs")}
    missing = [name for name, value in found.items() if not value]
    if missing:
        print(f"no results of {', '.join(missing)} in {RESULTS}", file=sys.stderr)
        return 1
    text = page(found["control"], found["passthrough"], found["unit_costs"])
    PAGE.write_text(text, "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
