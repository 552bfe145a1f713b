"""Streams served in a burst with admission at the hosts and without, in virtual time.

Usage: python -m benchmarks.stream_admission [--seeds 3] [--crash]

80 hosts choose among 60 engines with views that are 150 ms late. Callers come at 19 a
second, for 15 s at 2.5 times that, then at 19 again; half of them expect the first
event within 4 s, the others within 10 s. Callers that are refused don't come back.
"""

from __future__ import annotations

import argparse
from random import Random

from benchmarks._virtual_steps import (
    CAPACITY,
    CHUNK_STEP_S,
    CHUNK_TOKENS,
    PROMPT_TOKENS,
    SLOTS,
    TOKENS,
    Engine,
    Events,
    Stream,
)
from turmericflow.relay import HostEntry, Tables, TargetEntry, _placement as placement
from turmericflow.relay._host_tables import Host
from turmericflow.relay._membership import own_status
from turmericflow.relay._model import EngineSpec, Service
from turmericflow.relay._silence import FIRST_EVENT_OVERHEAD_S
from turmericflow.relay._target_tables import Load, Target
from turmericflow.relay.admission import StreamQueue, WaitingStream
from turmericflow.relay.admission._forecast import Refuse, Send
from turmericflow.relay.admission._gate import CHECK_INTERVAL_S, Admission

ENGINES, HOSTS = 60, 80
CALM_PER_S, BURST = 19.0, 2.5
BURST_AT_S, BURST_S, ARRIVALS_S, END_S = 15.0, 15.0, 60.0, 120.0
VIEW_DELAY_S = 0.15
CRASH_AT_S, CRASH_S = 22.0, 5.0
OBJECTIVES_S = (4.0, 10.0)
TIMEOUT_S = 30.0
PREFILL_S = PROMPT_TOKENS / (CHUNK_TOKENS / CHUNK_STEP_S) + FIRST_EVENT_OVERHEAD_S
SERVICE = "engine"
RANK = 3  # priority 1, new


class HostModel:
    """Tables of a host; loads of the others are one sum."""

    def __init__(self, number: int, rng: Random) -> None:
        name = f"host-{number}"
        self.data_centre = f"dc-{number % 3}"
        entry = HostEntry(name, 1, self.data_centre, "", "")
        self.tables = Tables(entry)
        spec = EngineSpec(SLOTS, CAPACITY)
        self.tables.deployment.services = {SERVICE: Service(SERVICE, "/", 1, spec)}
        self.targets = [Target(_engine_entry(n)) for n in range(ENGINES)]
        for target in self.targets:
            target.other_loads["others"] = Load()
        self.tables.targets.by_service[SERVICE] = self.targets
        rows = {target.entry.key: target for target in self.targets}
        self.tables.targets.rows = rows
        self.admission = Admission(self.tables, rng)
        self.queue = self.admission.queues[SERVICE] = StreamQueue()
        self.waiting: dict[WaitingStream, Stream] = {}
        self.row = Host(entry, float("inf"))
        self.row.status = own_status(self.tables, 0.0)


def _engine_entry(number: int) -> TargetEntry:
    data_centre = f"dc-{number % 3}"
    return TargetEntry(f"e{number}", 1, SERVICE, f"e{number}:1", data_centre, SLOTS)


class Model:
    """One run of the load, with the old decisions or the new ones."""

    def __init__(self, seed: int, admits: bool, crash: bool) -> None:
        self.rng = Random(seed)
        self.admits = admits
        self.events = Events()
        self.streams: list[Stream] = []
        self.overfull = 0  # most streams above what an engine has room for
        self.hosts = [HostModel(n, Random(f"{seed}-{n}")) for n in range(HOSTS)]
        for host in self.hosts:
            rows = host.tables.hosts.rows
            rows |= {h.row.entry.name: h.row for h in self.hosts if h is not host}
        self.engines = [
            Engine(self.events, n, self.end, self.first_event) for n in range(ENGINES)
        ]
        if crash:
            self.events.add(CRASH_AT_S, self.crash)

    def run(self, burst_at: float = BURST_AT_S, until: float = ARRIVALS_S) -> None:
        """Simulate the load until the last stream has ended.

        Parameters
        ----------
        burst_at, until
            Times at which the burst begins and the last stream arrives, in seconds.
        """
        arrivals, at = Random(self.rng.random()), 0.0
        while at < until:
            bursts = burst_at <= at < burst_at + BURST_S
            at += arrivals.expovariate(CALM_PER_S * (BURST if bursts else 1.0))
            stream = Stream(arrivals.choice(OBJECTIVES_S), at)
            stream.host = arrivals.randrange(HOSTS)
            self.events.add(at, self.arrive, stream)
        if self.admits:
            self.events.add(0.0, self.tick)
        self.events.run(END_S)

    def demand(self, host: HostModel) -> placement.Demand:
        return placement.Demand(
            SERVICE, host.data_centre, tokens=TOKENS, capacity=CAPACITY
        )

    def change_load(self, stream: Stream, engine: Engine, load: Load) -> None:
        """Add to a host's load at an engine; the others learn of it later."""
        _add(self.hosts[stream.host].targets[engine.number].own_load, load)
        at = self.events.now + VIEW_DELAY_S
        self.events.add(at, self.tell, stream.host, engine.number, load)

    def tell(self, sender: int, engine: int, load: Load) -> None:
        now = self.events.now
        for number, host in enumerate(self.hosts):
            if number != sender:
                target = host.targets[engine]
                _add(target.other_loads["others"], load)
                if load.runs and now >= target.backoff_until:
                    places = host.admission.free_places(SERVICE, now)
                    places.record(max(0, -load.runs), max(0, load.runs), now)

    def arrive(self, stream: Stream) -> None:
        self.streams.append(stream)
        if not self.admits:
            self.send(stream)
            return
        waiting = WaitingStream(
            RANK, stream.arrived_at + stream.objective_s, stream.arrived_at
        )
        self.decide(self.hosts[stream.host], waiting, stream, True)

    def decide(
        self, host: HostModel, waiting: WaitingStream, stream: Stream, arrives: bool
    ) -> None:
        now = self.events.now
        send_by = waiting.objective_at - PREFILL_S
        if now >= send_by and not waiting.late:
            host.queue.set_late(waiting)
        deadline = stream.arrived_at + TIMEOUT_S
        inputs = host.admission.inputs(
            self.demand(host), waiting, send_by, deadline, now
        )
        match host.admission.decide(inputs, arrives):
            case Send():
                self.forget(host, waiting)
                self.send(stream)
            case Refuse():
                self.forget(host, waiting)
                stream.refused = True
            case _ if arrives:
                host.queue.add(waiting)
                host.waiting[waiting] = stream

    def forget(self, host: HostModel, waiting: WaitingStream) -> None:
        host.queue.discard(waiting)
        host.waiting.pop(waiting, None)

    def check(self, host: HostModel) -> None:
        """Decide again on what waits at a host."""
        for waiting in sorted(host.waiting, key=WaitingStream.order):
            self.decide(host, waiting, host.waiting[waiting], False)

    def tick(self) -> None:
        now = self.events.now
        for host in self.hosts:
            if host.waiting:
                self.check(host)
            counts = host.queue.counts(now)
            if counts != host.row.status.waiting.get(SERVICE, {}):
                at = now + VIEW_DELAY_S
                self.events.add(at, self.tell_waiting, host, counts)
        if now < END_S:
            self.events.add(now + CHECK_INTERVAL_S, self.tick)

    @staticmethod
    def tell_waiting(host: HostModel, counts: dict[int, int]) -> None:
        host.row.status.waiting = {SERVICE: counts} if counts else {}

    def send(self, stream: Stream) -> None:
        """Send a stream to its copy's holder, or to an engine that is chosen."""
        host, now = self.hosts[stream.host], self.events.now
        demand = self.demand(host)
        if self.admits:
            resumes = stream.sent_at > 0
            demand = host.admission.prefer_room(demand, resumes, now)
        table = host.tables.targets
        holder, stream.holder = stream.holder, None
        if holder is None:
            target = placement.choose(table, demand, now, self.rng, HOSTS)
            engine = self.engines[self.number(target)]
        else:
            engine = holder
            engine.copies.discard(stream)
            self.change_load(stream, engine, Load(0, 0, -TOKENS))
        pending = PROMPT_TOKENS if stream.began_at is None else 0
        self.change_load(stream, engine, Load(1, pending, TOKENS))
        stream.sent_at = now
        if engine.down:
            self.lose(stream, engine)
            return
        engine.add(stream, holder is not None)
        runs = len(engine.runs) + len(engine.queue)
        self.overfull = max(self.overfull, runs - CAPACITY // TOKENS)
        self.choose_backup(host, stream, engine)

    @staticmethod
    def number(target: Target) -> int:
        return int(target.entry.id[1:])

    def choose_backup(self, host: HostModel, stream: Stream, engine: Engine) -> None:
        demand = placement.Demand(
            SERVICE,
            host.data_centre,
            excluded_data_centre=f"dc-{engine.number % 3}",
            tokens=TOKENS,
            capacity=CAPACITY,
        )
        if self.admits:
            demand = host.admission.constrain_backup(demand)
        table, now = host.tables.targets, self.events.now
        found = demand and placement.choose_backup(table, demand, now, self.rng, HOSTS)
        if found and not self.engines[self.number(found)].down:
            stream.holder = self.engines[self.number(found)]
            stream.holder.copies.add(stream)
            self.change_load(stream, stream.holder, Load(0, 0, TOKENS))

    def first_event(self, stream: Stream) -> None:
        self.change_load(stream, stream.engine, Load(0, -PROMPT_TOKENS, 0))

    def end(self, stream: Stream) -> None:
        host = self.hosts[stream.host]
        self.change_load(stream, stream.engine, Load(-1, 0, -TOKENS))
        if stream.holder is not None:
            stream.holder.copies.discard(stream)
            self.change_load(stream, stream.holder, Load(0, 0, -TOKENS))
        host.admission.free_places(SERVICE, self.events.now).record(
            1, 0, self.events.now
        )
        if host.waiting:
            self.check(host)

    def crash(self) -> None:
        """Lose a third of the engines for `CRASH_S`."""
        for engine in self.engines[: ENGINES // 3]:
            holders = list(engine.copies)
            for stream in engine.crash():
                self.events.add(self.events.now, self.lose, stream, engine)
            for stream in holders:
                self.change_load(stream, engine, Load(0, 0, -TOKENS))
            self.events.add(self.events.now + CRASH_S, self.restart, engine)

    def lose(self, stream: Stream, engine: Engine) -> None:
        """Send a lost stream again; all hosts learn of the loss of its engine."""
        pending = PROMPT_TOKENS if stream.began_at is None else 0
        self.change_load(stream, engine, Load(-1, -pending, -TOKENS))
        until = CRASH_AT_S + CRASH_S
        self.hosts[stream.host].targets[engine.number].backoff_until = until
        for host in self.hosts:
            self.events.add(
                self.events.now + VIEW_DELAY_S, self.tell_loss, host, engine.number
            )
        self.send(stream)

    @staticmethod
    def tell_loss(host: HostModel, engine: int) -> None:
        host.targets[engine].backoff_until = CRASH_AT_S + CRASH_S

    @staticmethod
    def restart(engine: Engine) -> None:
        engine.down = False


def _add(load: Load, change: Load) -> None:
    load.runs += change.runs
    load.pending_prefill_tokens += change.pending_prefill_tokens
    load.memory_tokens += change.memory_tokens


def report(seed: int, admits: bool, crash: bool) -> str:
    """Return the figures of one run as a line of a table."""
    model = Model(seed, admits, crash)
    model.run()
    shares = []
    for objective_s in OBJECTIVES_S:
        kind = [s for s in model.streams if s.objective_s == objective_s]
        served = sum(stream.served for stream in kind)
        shares.append(f"{served} of {len(kind)} ({100 * served / len(kind):.1f}%)")
    ended = [s.ended_at - s.sent_at for s in model.streams if s.ended_at is not None]
    refused = sum(stream.refused for stream in model.streams)
    again = sum(engine.prefilled_again for engine in model.engines)
    return (
        f"| {seed} | {'yes' if crash else 'no'} | {'new' if admits else 'old'} "
        f"| {shares[0]} | {shares[1]} | {refused} | {again} "
        f"| {sum(ended) / len(ended):.1f} | {model.overfull} |"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=3, help="number of runs")
    parser.add_argument("--crash", action="store_true", help="lose a third for 5 s")
    args = parser.parse_args()
    print(
        "| seed | crash | decisions | served, 4 s | served, 10 s | refused "
        "| tokens prefilled again | mean stream time (s) | most above room |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for seed in range(args.seeds):
        for admits in (False, True):
            print(report(seed, admits, args.crash), flush=True)


if __name__ == "__main__":
    main()
