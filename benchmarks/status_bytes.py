"""Bytes of the hosts' statuses, in total and between data centres, without a network.

Usage: python -m benchmarks.status_bytes [--hosts N ...] [--seconds S] [--all-hosts]

Streams arrive at all hosts together at the rate of a quiet day, and run on engines in
three data centres. Each host sends its status at its heartbeats and soon after new
work, as the links do. The sizes are those of the encoded messages; headers of TCP and
IP, and the tag of a message with several statuses, are left out.
"""

from __future__ import annotations

import argparse
import heapq
from collections import Counter, defaultdict
from random import Random

import msgspec

from turmericflow.relay import (
    _discovery as discovery,
    _intervals as intervals,
    _membership as membership,
)
from turmericflow.relay._broadcast import Peer, Rings, RoutedStatus, Span
from turmericflow.relay._host_tables import CENTRE_RINGS, HostState, HostStatus
from turmericflow.relay._links import StatusMessage
from turmericflow.relay._model import HostEntry, TargetEntry
from turmericflow.relay._tables import Tables

SIZES = (7, 73, 195, 300)
SIMULATED_S = 10.0
DATA_CENTRES = 3
ENGINES = 60
SLOTS = 16
STREAMS_PER_S = 19.0  # of all hosts together, in calm periods
STREAM_S = 5.0
PREFILL_S = 1.0
PROMPT_TOKENS = 8200
TOKENS = 9100  # of a running stream
START_S = 100.0
SEED = 20

ENCODER = msgspec.msgpack.Encoder()


def centre(number: int) -> str:
    """Return the data centre of a host or an engine."""
    return f"dc-{number % DATA_CENTRES}"


def build_fleet(size: int, rings: int) -> dict[str, Tables]:
    """Return the tables of hosts that know each other and all engines."""
    entries = [
        HostEntry(
            f"entry-{n:03}", 1_700_000_000_000, centre(n), f"10.0.0.{n % 250}:9100", ""
        )
        for n in range(size)
    ]
    entries = [
        msgspec.structs.replace(entry, peers=entry.callers[:-4] + "9107")
        for entry in entries
    ]
    engines = [
        TargetEntry(
            f"engine-{n:02}",
            1_700_000_000_000,
            "llm",
            f"10.1.0.{n}:8000",
            centre(n),
            16,
        )
        for n in range(ENGINES)
    ]
    found = {entry.name: Tables(entry) for entry in entries}
    for tables in found.values():
        tables.hosts.state = HostState.READY
        discovery.replace(tables.targets, engines, 1000, now=START_S)
        for entry in entries:
            membership.upsert_entry(tables.hosts, entry, START_S)
        tables.hosts.rings = rings
    statuses = [membership.own_status(tables, START_S) for tables in found.values()]
    for tables in found.values():
        for status in statuses:
            membership.apply_status(tables, status, START_S)
    return found


class Paths:
    """The copies of statuses that a fleet's hosts send, by the origin's name."""

    __slots__ = ("_fleet", "_rings")

    def __init__(self, fleet: dict[str, Tables]) -> None:
        self._fleet = fleet
        links: dict[str, set[str]] = defaultdict(set)
        for name, tables in fleet.items():
            for entry in membership.neighbours(tables, START_S + 0.01):
                links[name].add(entry.name)
                links[entry.name].add(name)
        known = {name: Peer(self._centre(name), True) for name in fleet}
        self._rings = {
            name: Rings(name, peers, self._centre(name), known)
            for name, peers in links.items()
        }

    def copies(self, origin: str, number: int) -> tuple[list[tuple[bool, int]], int]:
        """Return whether each copy crosses a boundary, its spans' bytes, and the hops.

        Both parts that a host sends to a peer at once are in one copy.
        """
        found = []
        spans = membership.own_spans(self._fleet[origin], START_S + 0.01)
        queue = [(origin, spans, 0)]
        hops = 0
        while queue:
            name, spans, depth = queue.pop(0)
            by_peer: dict[str, list[Span]] = defaultdict(list)
            for span in spans:
                for peer, part in self._rings[name].split(span, origin, number):
                    if peer != origin:
                        by_peer[peer].append(part)
            for peer, parts in by_peer.items():
                crosses = self._centre(name) != self._centre(peer)
                found.append((crosses, len(ENCODER.encode(parts)) + 1))
                hops = max(hops, depth + 1)
                queue += [(peer, [part], depth + 1) for part in parts]
        return found, hops

    def _centre(self, name: str) -> str:
        return self._fleet[name].hosts.own.data_centre


class Totals:
    """Bytes that were sent, in total and across boundaries, by field."""

    __slots__ = ("sent", "crossed", "statuses", "hops")

    def __init__(self) -> None:
        self.sent: Counter[str] = Counter()
        self.crossed: Counter[str] = Counter()
        self.statuses = 0
        self.hops = 0

    def add(self, paths: Paths, status: HostStatus) -> None:
        """Count all copies of a status."""
        copies, hops = paths.copies(status.entry.name, status.number)
        crossing = sum(crosses for crosses, _ in copies)
        for field, value in zip(status.__struct_fields__, field_values(status)):
            size = len(ENCODER.encode(value))
            self.sent[field] += size * len(copies)
            self.crossed[field] += size * crossing
        framing = len(ENCODER.encode(StatusMessage([RoutedStatus(status, [])])))
        framing -= sum(len(ENCODER.encode(value)) for value in field_values(status)) + 1
        self.sent["spans, framing"] += sum(size + framing for _, size in copies)
        self.crossed["spans, framing"] += sum(
            size + framing for crosses, size in copies if crosses
        )
        self.statuses += 1
        self.hops = max(self.hops, hops)


def field_values(status: HostStatus) -> list[object]:
    """Return the values of all fields that a status carries."""
    return [getattr(status, field) for field in status.__struct_fields__]


class Simulation:
    """Streams that begin and end, and the statuses that their hosts send."""

    __slots__ = ("_rng", "_fleet", "_names", "_paths", "_events", "_sent_at", "totals")

    def __init__(self, size: int, rings: int) -> None:
        self._rng = Random(SEED)
        self._fleet = build_fleet(size, rings)
        self._names = list(self._fleet)
        self._paths = Paths(self._fleet)
        self._events: list[tuple[float, int, str, str, str]] = []
        self._sent_at = dict.fromkeys(self._names, float("-inf"))
        self.totals = Totals()

    def _push(self, at: float, kind: str, name: str, key: str = "") -> None:
        order = self._rng.getrandbits(48)
        heapq.heappush(self._events, (at, order, kind, name, key))

    def run(self, seconds: float) -> None:
        """Play the streams and statuses; the first `STREAM_S` aren't counted."""
        for name in self._names:
            interval_s = intervals.heartbeat_interval_s(self._fleet[name])
            self._push(START_S + interval_s * self._rng.random(), "heartbeat", name)
        self._push(START_S, "arrival", "")
        counted_from = START_S + STREAM_S
        while self._events and self._events[0][0] < counted_from + seconds:
            at, _, kind, name, key = heapq.heappop(self._events)
            self._handle(at, kind, name, key, at >= counted_from)

    def _handle(self, at: float, kind: str, name: str, key: str, counts: bool) -> None:
        match kind:
            case "arrival":
                self._begin(at)
            case "prefilled":
                load = self._fleet[name].targets.rows[key].own_load
                load.pending_prefill_tokens -= PROMPT_TOKENS
            case "end":
                load = self._fleet[name].targets.rows[key].own_load
                load.runs -= 1
                load.memory_tokens -= TOKENS
            case _:
                self._send(at, kind, name, counts)

    def _begin(self, at: float) -> None:
        """Start a stream at any host, on an engine of that host's centre."""
        name = self._rng.choice(self._names)
        tables = self._fleet[name]
        own = tables.hosts.own.data_centre
        rows = tables.targets.rows.items()
        key = self._rng.choice([k for k, r in rows if r.entry.data_centre == own])
        load = tables.targets.rows[key].own_load
        load.runs += 1
        load.memory_tokens += TOKENS
        load.pending_prefill_tokens += PROMPT_TOKENS
        tables.hosts.urgent_changes += 1
        gap_s = intervals.load_announcement_interval_s(tables)
        self._push(max(at + 0.003, self._sent_at[name] + gap_s), "announcement", name)
        self._push(at + PREFILL_S, "prefilled", name, key)
        self._push(at + STREAM_S, "end", name, key)
        self._push(at + self._rng.expovariate(STREAMS_PER_S), "arrival", "")

    def _send(self, at: float, kind: str, name: str, counts: bool) -> None:
        tables = self._fleet[name]
        self._sent_at[name] = at
        tables.targets.verified_at = at - 0.7
        status = membership.own_status(tables, at)
        if counts:
            self.totals.add(self._paths, status)
        if kind == "heartbeat":
            self._push(at + intervals.heartbeat_interval_s(tables), kind, name)


def report(size: int, rings: int, seconds: float) -> None:
    """Simulate a fleet and print its figures."""
    simulation = Simulation(size, rings)
    simulation.run(seconds)
    totals = simulation.totals
    sent, crossed = totals.sent.total() / seconds, totals.crossed.total() / seconds
    print(
        f"{size} hosts: {sent:,.0f} B/s, between data centres {crossed:,.0f} B/s;"
        f" {totals.statuses / seconds:.0f} statuses/s, at most {totals.hops} hops"
    )
    for field, count in totals.sent.most_common(10):
        print(
            f"  {field:20} {count / seconds:12,.0f} B/s, between data centres"
            f" {totals.crossed[field] / seconds:12,.0f}"
        )


def main() -> None:
    """Print the figures of each fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=SIZES)
    parser.add_argument("--seconds", type=float, default=SIMULATED_S)
    parser.add_argument(
        "--all-hosts", action="store_true", help="use the rings over all hosts"
    )
    args = parser.parse_args()
    for size in args.hosts:
        report(size, 0 if args.all_hosts else CENTRE_RINGS, args.seconds)


if __name__ == "__main__":
    main()
