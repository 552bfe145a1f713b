"""Mechanism, first bottleneck and cost benchmark of each role, for the page."""

from __future__ import annotations

from dataclasses import dataclass

CONTROL = "`python -m benchmarks.control --json`"
FORWARDING = "`python -m benchmarks.passthrough --json`"
UNIT_COSTS = "`python -m benchmarks.capacity --measure`"


@dataclass(slots=True, frozen=True)
class RoleNotes:
    """Mechanism of a role, as texts of the capacity page."""

    mechanism: str
    first_bottleneck: str
    measured_by: str


ROLE_NOTES = {
    "runner": RoleNotes(
        "journal batches of one tick, one event loop",
        "one event loop is one core: forwarding is the first limit if above 1.00",
        FORWARDING,
    ),
    "owner": RoleNotes(
        "slots, conditional owner map, appends acknowledged by owner and backup",
        "batching across requests is lost once a runner's streams spread over more "
        "owners than it has streams: run a request at its slot's owner",
        UNIT_COSTS,
    ),
    "backup": RoleNotes(
        "a second host in another data centre for each slot",
        "as owner; a lost data centre doubles what stays for as long as it takes "
        "to copy the records",
        UNIT_COSTS,
    ),
    "watcher": RoleNotes(
        "two hosts of each data centre watch the kinds that are spread, the others "
        "poll in turn",
        "a platform whose watch cannot be narrowed to kinds: each renewal of a lease "
        "then wakes every watcher",
        f"{CONTROL}, platform_calls_s",
    ),
    "relay": RoleNotes(
        "four contacts on salted rings, newest wins, digests in probes",
        "the owner map as one object: it takes most of the bytes, and the loss of a "
        "data centre changes it many times in a minute",
        UNIT_COSTS,
    ),
    "observer": RoleNotes(
        "two observers for each target in a group of hosts, by rendezvous hash over "
        "those that are heard",
        "freshness: the routing trusts a report for 5 s only, so near targets must "
        "come before far ones",
        CONTROL,
    ),
    "placer": RoleNotes(
        "lease by conditional update, fencing numbers, weight store's leave",
        "one order at a time for each service: a version change of a service with "
        "hundreds of engines in a data centre takes minutes",
        "`python -m pytest turmericflow/tests/test_orders.py`",
    ),
    "entry": RoleNotes(
        "addresses in an order that spreads load, twelve at most in an answer",
        "not reached before the runner's limit",
        FORWARDING,
    ),
}
