"""Prefill and decode on separate engines against mixed engines, in virtual time.

Usage: python -m benchmarks.prefill_apart [--seeds 5] [--load 1.0 ...] [--calm]
           [--variant NAME ...] [--processes 2]

80 hosts choose among 60 engines in three data centres with views that are 150 ms late.
Every 3 to 7 s a wave takes down 50 to 95 in 100 of the engines of one data centre for
1.2 s, with their runs and copies. A stream is served if its first event comes within
its objective, no pause exceeds 700 ms and it is completed. Refused callers don't come
back.
"""

from __future__ import annotations

import argparse
from collections import deque
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from random import Random

from benchmarks import _prefill_places as prefill_places
from benchmarks._prefill_variants import VARIANTS, OnePrompt, ReachableRoom, Variant
from benchmarks._virtual_steps import (
    CAPACITY,
    OUTPUT_TOKENS,
    PROMPT_TOKENS,
    SLOTS,
    TOKENS,
    Engine,
)
from benchmarks._wave_streams import MAX_PAUSE_S, WaveEngine, WaveStream
from benchmarks.stream_admission import (
    CALM_PER_S,
    END_S,
    ENGINES,
    HOSTS,
    OBJECTIVES_S,
    SERVICE,
    VIEW_DELAY_S,
    HostModel,
    Model,
)
from turmericflow.relay import _placement as placement
from turmericflow.relay._copies import NEARLY_DONE_SHARE
from turmericflow.relay._model import EngineSpec, Service
from turmericflow.relay._target_tables import Load
from turmericflow.relay.admission import _gate as gate

# Waves, limits and moves are those of docs/design/fair-shares-and-evidence.md.
DATA_CENTRES = 3
ARRIVALS_S = 40.0  # about eight waves
WAVE_INTERVALS_S = (3.0, 7.0)
WAVE_SHARES = (0.5, 0.95)  # of the engines of a data centre
DOWN_S = 1.2
DETECTION_S, COPY_LOAD_S = 0.25, 0.05  # a stream goes on from its copy after 0.3 s
REFUSED_CONNECTION_S = 0.01  # round trip to an engine that is down
ATTEMPTS = 5  # engines that a stream may use
BUDGET_WINDOW_S, BUDGET_SHARE, BUDGET_EXTRA = 10.0, 0.8, 150  # sends beyond the first
MAX_MOVE_BUDGET_SHARE = 0.7  # the rest is left to streams that were lost
BUDGET_WAIT_S, BUDGET_RETRY_S = 0.5, 0.05  # as in relay/_stream.py
TOKEN_BYTES = 163_840
LINK_BYTES_S = 260e9 / 8  # half of it between data centres
MOVE_OVERHEAD_S = 0.003
MOVE_RETRY_S = 0.1  # chosen: a view is 150 ms old
LATE_COPY_EVENTS = 10  # between two tries to get a copy: 0.3 s, two ages of a view
ALL, DECODE = "all", "decode"  # services of the tables besides `SERVICE`


class WaveModel(Model):
    """One run of a variant."""

    def __init__(self, seed: int, variant: Variant, waves: bool) -> None:
        super().__init__(seed, True, False)
        self.variant = variant
        self.moved_tokens = 0
        self.requests: deque[float] = deque()
        self.resends: deque[float] = deque()
        self.engines = [
            WaveEngine(self.events, n, self.end, self.first_event, on_event=self.event)
            for n in range(ENGINES)
        ]
        count = round(variant.prefill_share * ENGINES)
        self.prefill = set(range(count or ENGINES))
        for host in self.hosts:
            self.prepare(host)
        at, rng = 0.0, Random(f"waves-{seed}")
        while waves and at < ARRIVALS_S:
            at += rng.uniform(*WAVE_INTERVALS_S)
            data_centre = rng.randrange(DATA_CENTRES)
            own = list(range(data_centre, ENGINES, DATA_CENTRES))
            lost = rng.sample(own, round(rng.uniform(*WAVE_SHARES) * len(own)))
            self.events.add(at, self.wave, lost)

    def prepare(self, host: HostModel) -> None:
        services = host.tables.deployment.services
        table = host.tables.targets
        kind = OnePrompt if self.variant.one_prompt else ReachableRoom
        if self.variant.reachable or self.variant.one_prompt:
            host.admission = kind(host.tables, Random(host.row.entry.name))
            host.admission.queues[SERVICE] = host.queue
        spec = EngineSpec(self.variant.limit, CAPACITY)
        services[SERVICE] = Service(SERVICE, "/", 1, spec)
        for name in (ALL, DECODE):
            services[name] = Service(name, "/", 1, EngineSpec(SLOTS, CAPACITY))
        by_service = table.by_service
        by_service[ALL] = host.targets
        by_service[SERVICE] = [host.targets[n] for n in sorted(self.prefill)]
        by_service[DECODE] = [
            target
            for number, target in enumerate(host.targets)
            if number not in self.prefill
        ]

    def start(self, load: float) -> None:
        """Simulate a constant load until the last stream has ended."""
        arrivals, at = Random(self.rng.random()), 0.0
        while at < ARRIVALS_S:
            at += arrivals.expovariate(CALM_PER_S * load)
            stream = WaveStream(arrivals.choice(OBJECTIVES_S), at)
            stream.host = arrivals.randrange(HOSTS)
            self.events.add(at, self.arrive, stream)
        self.events.add(0.0, self.tick)
        limits = gate.MAX_BACKUP_OCCUPANCY, gate.MAX_HOLDER_FILL
        gate.MAX_BACKUP_OCCUPANCY = self.variant.occupancy
        gate.MAX_HOLDER_FILL = self.variant.holder_fill
        try:
            self.events.run(END_S)
        finally:
            gate.MAX_BACKUP_OCCUPANCY, gate.MAX_HOLDER_FILL = limits

    # Loads

    def tell(self, sender: int, engine: int, load: Load) -> None:
        """Add to the loads that the other hosts know."""
        now, freed = self.events.now, -load.runs
        if self.variant.one_prompt:
            freed = -load.pending_prefill_tokens // PROMPT_TOKENS
        for number, host in enumerate(self.hosts):
            if number != sender:
                target = host.targets[engine]
                other = target.other_loads["others"]
                other.runs += load.runs
                other.pending_prefill_tokens += load.pending_prefill_tokens
                other.memory_tokens += load.memory_tokens
                if freed and engine in self.prefill and now >= target.backoff_until:
                    places = host.admission.free_places(SERVICE, now)
                    places.record(max(0, freed), max(0, -freed), now)

    def record_free(self, stream: WaveStream) -> None:
        now = self.events.now
        host = self.hosts[stream.host]
        if stream.engine.number in self.prefill:
            host.admission.free_places(SERVICE, now).record(1, 0, now)

    def end_prefill(self, stream: WaveStream) -> None:
        if stream.prefills:
            stream.prefills = False
            self.change_load(stream, stream.engine, Load(0, -PROMPT_TOKENS, 0))
            if self.variant.one_prompt:
                self.record_free(stream)

    def learn_loss(self, host: HostModel, number: int, until: float) -> None:
        """Have a host avoid an engine, and its data centre for a time."""
        now, target = self.events.now, host.targets[number]
        if target.backoff_until >= until:
            return
        target.backoff_until = until
        times = host.tables.targets.loss_times
        for service, rows in host.tables.targets.by_service.items():
            if target in rows:
                key = (target.entry.data_centre, service)
                recent = [at for at in times.get(key, []) if at > now - 2.0]
                times[key] = [*recent, now]

    def find_loss(self, stream: WaveStream, engine: WaveEngine) -> None:
        until = engine.restarts_at
        self.learn_loss(self.hosts[stream.host], engine.number, until)
        at = self.events.now + VIEW_DELAY_S
        self.events.add(at, self.spread_loss, engine.number, until)

    def spread_loss(self, number: int, until: float) -> None:
        if self.events.now < until:
            for host in self.hosts:
                self.learn_loss(host, number, until)

    # Streams

    def arrive(self, stream: WaveStream) -> None:
        self.requests.append(self.events.now)
        super().arrive(stream)

    def budget(self) -> tuple[int, float]:
        """Return the sends beyond the first in the window, and how many may be."""
        since = self.events.now - BUDGET_WINDOW_S
        for times in (self.requests, self.resends):
            while times and times[0] < since:
                times.popleft()
        return len(self.resends), BUDGET_SHARE * len(self.requests) + BUDGET_EXTRA

    def send(self, stream: WaveStream) -> None:
        now = self.events.now
        if not stream.sends:
            stream.first_sent_at = now
        else:
            used, most = self.budget()
            if stream.sends >= ATTEMPTS or used >= most:
                waited_s = now - stream.lost_at
                if stream.sends >= ATTEMPTS or waited_s > BUDGET_WAIT_S:
                    self.fail(stream)
                else:
                    self.events.add(now + BUDGET_RETRY_S, self.send, stream)
                return
            self.resends.append(now)
        stream.sends += 1
        holder = stream.holder
        if holder is not None and stream.began_at is None:
            self.drop_copy(stream)  # a copy exists only after the first event
            holder = None
        if holder is not None:
            self.drop_copy(stream)
            engine = holder
        else:
            engine = self.choose(stream)
        stream.sent_at, stream.engine = now, engine
        stream.prefills = holder is None
        pending = PROMPT_TOKENS if stream.prefills else 0
        self.change_load(stream, engine, Load(1, pending, TOKENS))
        if holder is not None:
            self.events.add(now + COPY_LOAD_S, self.enter, stream, engine, True)
        else:
            self.enter(stream, engine, False)

    def choose(self, stream: WaveStream) -> Engine:
        host, now = self.hosts[stream.host], self.events.now
        demand = self.demand(host)
        demand = host.admission.prefer_room(demand, stream.sends > 1, now)
        target = placement.choose(host.tables.targets, demand, now, self.rng, HOSTS)
        return self.engines[self.number(target)]

    def enter(self, stream: WaveStream, engine: WaveEngine, from_copy: bool) -> None:
        if engine.down:
            at = self.events.now + REFUSED_CONNECTION_S
            self.events.add(at, self.lose, stream, engine, stream.sends)
            return
        engine.add(stream, from_copy)
        runs = len(engine.runs) + len(engine.queue)
        self.overfull = max(self.overfull, runs - CAPACITY // TOKENS)
        if not self.moves(engine):
            self.choose_backup(self.hosts[stream.host], stream, engine)

    def moves(self, engine: Engine) -> bool:
        """Return whether streams are moved away from an engine."""
        return bool(self.variant.prefill_share) and engine.number in self.prefill

    def choose_backup(self, host, stream, engine) -> None:
        demand = placement.Demand(
            ALL,
            host.data_centre,
            excluded_data_centre=f"dc-{engine.number % DATA_CENTRES}",
            tokens=TOKENS,
            capacity=CAPACITY,
        )
        demand = host.admission.constrain_backup(demand)
        table, now = host.tables.targets, self.events.now
        found = demand and placement.choose_backup(table, demand, now, self.rng, HOSTS)
        if found and not self.engines[self.number(found)].down:
            stream.holder = self.engines[self.number(found)]
            stream.holder.copies.add(stream)
            self.change_load(stream, stream.holder, Load(0, 0, TOKENS))

    def drop_copy(self, stream: WaveStream) -> None:
        holder, stream.holder = stream.holder, None
        if holder is not None:
            holder.copies.discard(stream)
            self.end_copy(stream, holder)

    def end_copy(self, stream: WaveStream, holder: Engine) -> None:
        self.change_load(stream, holder, Load(0, 0, -TOKENS))
        if stream.began_at is not None:
            self.moved_tokens += stream.memory

    def replace_copy(self, stream: WaveStream, sends: int) -> None:
        """Make another copy of a run that lost its copy."""
        runs = stream.ended_at is None and stream.sends == sends
        if runs and prefill_places.needs_copy(
            stream.holder is not None,
            stream.events,
            stream.tokens / OUTPUT_TOKENS,
            NEARLY_DONE_SHARE,
        ):
            self.choose_backup(self.hosts[stream.host], stream, stream.engine)

    def event(self, stream: WaveStream) -> None:
        now = self.events.now
        if stream.last_event_at is not None:
            pause_s = now - stream.last_event_at
            stream.longest_pause_s = max(stream.longest_pause_s, pause_s)
        stream.last_event_at = now
        if self.variant.late_copies and not stream.events % LATE_COPY_EVENTS:
            self.replace_copy(stream, stream.sends)
        if stream.prefills or not stream.moving:
            self.end_prefill(stream)
            if self.moves(stream.engine):
                stream.moving = True
                self.events.add(now, self.move, stream, stream.engine, stream.sends)

    def first_event(self, stream: WaveStream) -> None:
        pass  # `event` handles all

    def end(self, stream: WaveStream) -> None:
        self.end_prefill(stream)
        self.change_load(stream, stream.engine, Load(-1, 0, -TOKENS))
        self.drop_copy(stream)
        if not self.variant.one_prompt:
            self.record_free(stream)
        host = self.hosts[stream.host]
        if host.waiting:
            self.check(host)

    def fail(self, stream: WaveStream) -> None:
        stream.failed = True
        self.drop_copy(stream)

    # Moves

    def move(self, stream: WaveStream, source: WaveEngine, sends: int) -> None:
        """Move a run to an engine that decodes, or try again later."""
        now, host = self.events.now, self.hosts[stream.host]
        if stream.sends != sends or stream not in source.runs:
            return
        used, most = self.budget()
        demand = replace(self.demand(host), service=DECODE)
        spec = host.admission.spec(DECODE)
        places = host.admission.count_places(demand, spec, now)
        if stream.sends >= ATTEMPTS - 1 or used >= MAX_MOVE_BUDGET_SHARE * most:
            places = None
        if places and places.free:
            demand = host.admission.prefer_room(demand, False, now)
            table = host.tables.targets
            target = placement.choose(table, demand, now, self.rng, HOSTS)
            engine = self.engines[self.number(target)]
            if engine.down:
                self.find_loss(stream, engine)
            else:
                self.begin_move(stream, source, engine)
                return
        if stream.holder is None:
            self.choose_backup(host, stream, source)
        self.events.add(now + MOVE_RETRY_S, self.move, stream, source, sends)

    def begin_move(self, stream, source, engine) -> None:
        now = self.events.now
        self.resends.append(now)
        self.drop_copy(stream)
        source.remove(stream)
        self.change_load(stream, source, Load(-1, 0, -TOKENS))
        self.record_free(stream)
        self.change_load(stream, engine, Load(1, 0, TOKENS))
        engine.copies.add(stream)
        stream.sends += 1
        stream.sent_at, stream.engine = now, engine
        self.moved_tokens += stream.memory
        seconds = stream.memory * TOKEN_BYTES / LINK_BYTES_S
        if (source.number - engine.number) % DATA_CENTRES:
            seconds *= 2
        at = now + MOVE_OVERHEAD_S + seconds
        self.events.add(at, self.end_move, stream, engine)

    def end_move(self, stream: WaveStream, engine: WaveEngine) -> None:
        if stream not in engine.copies:  # the engine was lost in between
            stream.hits += 1
            self.lose(stream, engine, stream.sends)
            return
        engine.copies.discard(stream)
        engine.add(stream, True)
        self.choose_backup(self.hosts[stream.host], stream, engine)

    # Losses

    def wave(self, lost: list[int]) -> None:
        now = self.events.now
        for number in lost:
            engine = self.engines[number]
            engine.restarts_at = now + DOWN_S
            copies = [s for s in engine.copies if s.holder is engine]
            copies.sort(key=lambda stream: stream.arrived_at)
            for stream in engine.crash():
                stream.hits += 1
                at = now + DETECTION_S
                self.events.add(at, self.lose, stream, engine, stream.sends)
            for stream in copies:
                self.end_copy(stream, engine)
                at = now + DETECTION_S
                self.events.add(at, self.replace_copy, stream, stream.sends)
            self.events.add(now + DOWN_S, self.restart, engine)

    def restart(self, engine: WaveEngine) -> None:
        if self.events.now >= engine.restarts_at:
            engine.down = False

    def lose(self, stream: WaveStream, engine: WaveEngine, sends: int) -> None:
        """Send a lost stream again."""
        if stream.sends != sends or stream.failed:
            return
        pending = PROMPT_TOKENS if stream.prefills else 0
        stream.prefills = stream.moving = False
        self.change_load(stream, engine, Load(-1, -pending, -TOKENS))
        self.find_loss(stream, engine)
        stream.lost_at = self.events.now
        self.send(stream)


def run(case: tuple[str, float, int, bool]) -> list[float]:
    """Return the figures of one run."""
    name, load, seed, waves = case
    model = WaveModel(seed, VARIANTS[name], waves)
    model.start(load)
    streams = model.streams
    shares = []
    for objectives in (OBJECTIVES_S, *((each,) for each in OBJECTIVES_S)):
        kind = [s for s in streams if s.objective_s in objectives]
        shares.append(100 * sum(s.served for s in kind) / len(kind))
    ended = [s for s in streams if s.ended_at is not None]
    return [
        *shares,
        100 * sum(s.refused for s in streams) / len(streams),
        sum(s.ended_at - s.first_sent_at for s in ended) / len(ended),
        100 * sum(s.hits > 0 for s in streams) / len(streams),
        sum(e.prefilled_again for e in model.engines) / len(streams),
        model.moved_tokens * TOKEN_BYTES / 1e9 / len(streams),
        100 * sum(max(0, s.sends - 1) for s in streams) / len(streams),
        100 * sum(s.longest_pause_s > MAX_PAUSE_S for s in streams) / len(streams),
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=5, help="number of runs")
    parser.add_argument("--load", type=float, nargs="*", default=[1.0, 1.5, 2.5])
    parser.add_argument("--variant", nargs="*", default=list(VARIANTS))
    parser.add_argument("--calm", action="store_true", help="without waves")
    parser.add_argument("--processes", type=int, default=2)
    args = parser.parse_args()
    print(
        "| load | variant | served (%) | least to most | 4 s | 10 s | refused (%) "
        "| stream time (s) | hit (%) | tokens again per stream | GB per stream "
        "| sends beyond the first (%) | paused (%) |"
    )
    print("|" + "---|" * 13)
    with ProcessPoolExecutor(args.processes) as pool:
        for load in args.load:
            for name in args.variant:
                cases = [(name, load, n, not args.calm) for n in range(args.seeds)]
                rows = list(pool.map(run, cases))
                served = [row[0] for row in rows]
                cells = [sum(values) / len(rows) for values in zip(*rows)]
                texts = [f"{cell:.1f}" for cell in cells]
                texts.insert(1, f"{min(served):.1f} to {max(served):.1f}")
                print(f"| {load} | {name} | {' | '.join(texts)} |", flush=True)


if __name__ == "__main__":
    main()
