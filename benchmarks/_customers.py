"""Customers of which one surges, at hosts that share the places, in virtual time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass
from random import Random

from benchmarks._virtual_steps import Engine, Stream
from benchmarks.stream_admission import (
    END_S,
    HOSTS,
    OBJECTIVES_S,
    RANK,
    SERVICE,
    VIEW_DELAY_S,
    HostModel,
    Model,
    _add,
)
from turmericflow.relay import _intervals as intervals
from turmericflow.relay._host_tables import CustomerStatus, Host, HostStatus
from turmericflow.relay._model import Customer, Deployment, Limits
from turmericflow.relay._target_tables import Load, Target
from turmericflow.relay.admission import WaitingStream

CUSTOMERS = 24
LARGE_SHARES = (
    0.25,
    0.15,
    0.15,
)  # of the load; the others have equal parts of the rest
BUSY_PER_S = 40.0  # close to what the engines serve within the objectives, some 44
SURGE, SURGE_AT_S, SURGE_S = 2.5, 8.0, 15.0
RETRIES = 3
URGENT = CUSTOMERS - 1  # a small customer with a priority of its own
URGENT_RANK = 1  # priority 0, new
NEAR = "others"  # hosts of this half; those of the other one are `FAR`
FAR = "far"


@dataclass(slots=True, frozen=True)
class Day:
    """What happens in a run.

    Attributes
    ----------
    surges
        Whether the first customer surges and retries at once.
    shares
        Whether the hosts share the places between customers.
    earlier
        Numbers of the hosts of the earlier build.
    parted_s
        Time for which two halves of the hosts don't hear each other, in seconds.
    only
        The only customer that sends, or None.
    """

    surges: bool = True
    shares: bool = True
    earlier: Collection[int] = ()
    parted_s: float = 0.0
    only: int | None = None


class RunModel:
    """What is counted of a run."""

    __slots__ = ("target", "customer")

    def __init__(self, target: Target, customer: str) -> None:
        self.target = target
        self.customer = customer


class CustomerModel(Model):
    """One run of a load of customers."""

    def __init__(self, seed: int, day: Day) -> None:
        super().__init__(seed, admits=True, crash=False)
        self.day = day
        self.runs: dict[Stream, RunModel] = {}
        self.told: dict[int, bytes] = {}
        self.parted = False
        self.held: list[tuple[int, int, Load]] = []
        self.expired: dict[tuple[int, str], Load] = {}
        self.attempts: Counter[int] = Counter()
        self.waited_s: dict[Stream, float] = {}
        customers = tuple(Customer(f"c{n}", (f"k{n}",)) for n in range(CUSTOMERS))
        for number, host in enumerate(self.hosts):
            has = customers if day.shares and number not in day.earlier else ()
            value = Deployment(1, (), (), Limits(), has)
            host.tables.deployment.value = value
            for target in host.targets:
                target.other_loads[FAR] = Load()
        if day.parted_s:
            self.events.add(SURGE_AT_S, self.part)
            heal_at = SURGE_AT_S + day.parted_s
            self.events.add(heal_at, self.heal)

    def run_customers(self, until: float) -> None:
        """Simulate the load; the last stream arrives at a time in seconds."""
        arrivals, at = Random(self.rng.random()), 0.0
        rest = (1 - sum(LARGE_SHARES)) / (CUSTOMERS - len(LARGE_SHARES))
        usual = [*LARGE_SHARES] + [rest] * (CUSTOMERS - len(LARGE_SHARES))
        # The same arrivals with the surge and without: what is more is thinned out.
        most = [usual[0] * SURGE, *usual[1:]]
        while at < until:
            at += arrivals.expovariate(BUSY_PER_S * sum(most))
            (customer,) = arrivals.choices(range(CUSTOMERS), most)
            objective_s = arrivals.choice(OBJECTIVES_S)
            host, extra = arrivals.randrange(HOSTS), arrivals.random()
            surges = self.day.surges and SURGE_AT_S <= at < SURGE_AT_S + SURGE_S
            if customer == 0 and not surges and extra >= 1 / SURGE:
                continue
            if self.day.only is not None and customer != self.day.only:
                continue
            stream = Stream(objective_s, at)
            stream.host, stream.customer = host, customer
            self.events.add(at, self.arrive, stream)
        self.events.add(0.0, self.tick)
        self.events.run(END_S)

    def served_share(self, customers: Collection[int], since: float = 0.0) -> float:
        """Return the part of customers' streams that were served in their objective."""
        found = [
            s
            for s in self.streams
            if s.customer in customers and s.arrived_at >= since and not s.retried
        ]
        return sum(stream.served for stream in found) / max(1, len(found))

    def arrive(self, stream: Stream, retry: int = 0) -> None:
        stream.retry, stream.retried = retry, False
        self.streams.append(stream)
        self.attempts[stream.customer] += 1
        host = self.hosts[stream.host]
        waiting = WaitingStream(
            URGENT_RANK if stream.customer == URGENT else RANK,
            stream.arrived_at + stream.objective_s,
            stream.arrived_at,
            None,
            host.admission.shares.key(f"c{stream.customer}"),
        )
        self.decide(host, waiting, stream, True)

    def decide(
        self, host: HostModel, waiting: WaitingStream, stream: Stream, arrives: bool
    ) -> None:
        super().decide(host, waiting, stream, arrives)
        if stream.refused:
            self.retry(stream)

    def retry(self, stream: Stream) -> None:
        """Come back at once at another host, as only the surging customer does."""
        surges = self.day.surges and stream.customer == 0
        if not surges or stream.retry >= RETRIES or stream.retried:
            return
        stream.retried = True
        again = Stream(stream.objective_s, self.events.now)
        again.customer = stream.customer
        again.host = (stream.host + 1) % HOSTS
        self.arrive(again, stream.retry + 1)

    def send(self, stream: Stream) -> None:
        self.waited_s[stream] = self.events.now - stream.arrived_at
        super().send(stream)

    def change_load(self, stream: Stream, engine: Engine, load: Load) -> None:
        host = self.hosts[stream.host]
        if load.runs > 0:
            target = host.targets[engine.number]
            run = self.runs[stream] = RunModel(target, f"c{stream.customer}")
            host.tables.runs.add(run)
        elif load.runs < 0:
            host.tables.runs.discard(self.runs.pop(stream))
        super().change_load(stream, engine, load)

    def tell(self, sender: int, engine: int, load: Load) -> None:
        now = self.events.now
        if self.parted:
            self.held.append((sender, engine, load))
        for number, host in enumerate(self.hosts):
            near = number % 2 == sender % 2
            if number == sender or (self.parted and not near):
                continue
            _add(host.targets[engine].other_loads[NEAR if near else FAR], load)
            if load.runs:
                places = host.admission.free_places(SERVICE, now)
                places.record(max(0, -load.runs), max(0, load.runs), now)

    def tick(self) -> None:
        super().tick()
        at = self.events.now + VIEW_DELAY_S
        for number, host in enumerate(self.hosts):
            news = host.admission.shares.news()
            if news != self.told.get(number, b""):
                self.told[number] = news
                self.events.add(at, self.tell_customers, host, news)

    def tell_customers(self, sender: HostModel, news: bytes) -> None:
        status = sender.row.status
        fields = {name: getattr(status, name) for name in HostStatus.__struct_fields__}
        sender.row.status = CustomerStatus(**fields, customers=news)
        number = self.hosts.index(sender)
        for other, host in enumerate(self.hosts):
            near = other % 2 == number % 2
            if host is not sender and (near or not self.parted):
                host.admission.shares.apply(sender.row.status)

    def part(self) -> None:
        """Let the halves not hear each other; their loads expire a little later."""
        self.parted = True
        timeout_s = intervals.heartbeat_timeout_s(self.hosts[0].tables)
        self.events.add(self.events.now + timeout_s, self.expire)

    def expire(self) -> None:
        if not self.parted:
            return
        for number, host in enumerate(self.hosts):
            for other, row in enumerate(self.hosts):
                if other % 2 != number % 2:
                    silent = Host(row.row.entry, 0.0)
                    host.tables.hosts.rows[row.row.entry.name] = silent
                    host.admission.shares.forget(row.row.entry.name)
            for target in host.targets:
                self.expired[number, target.entry.id] = target.other_loads.pop(FAR)

    def heal(self) -> None:
        """Let the halves hear each other again, with all that they missed."""
        self.parted = False
        for number, host in enumerate(self.hosts):
            for other, row in enumerate(self.hosts):
                if other != number:
                    host.tables.hosts.rows[row.row.entry.name] = row.row
                    host.admission.shares.apply(row.row.status)
            for target in host.targets:
                lost = self.expired.pop((number, target.entry.id), Load())
                target.other_loads.setdefault(FAR, lost)
            for sender, engine, load in self.held:
                if sender % 2 != number % 2:
                    _add(host.targets[engine].other_loads[FAR], load)
