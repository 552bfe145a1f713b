"""Cost of a decision on a stream, and streams served while a customer surges.

Usage: python -m benchmarks.fair_shares [--decisions N] [--seeds N]

The first table gives the processor time of one decision with customers and without, at
a host that hears the statuses of all others. The second one is in virtual time: 80
hosts, 24 customers of which three are large, and one surges at 2.5 times its load for
15 s and sends what is refused three times more, see `benchmarks._customers`.
"""

from __future__ import annotations

import argparse
import statistics
import time
from random import Random

from benchmarks._customers import CUSTOMERS, URGENT, CustomerModel, Day
from turmericflow.relay import HostEntry, Tables, TargetEntry, _placement as placement
from turmericflow.relay._host_tables import CustomerStatus, HostStatus
from turmericflow.relay._membership import apply_status, own_status
from turmericflow.relay._model import Customer, Deployment, EngineSpec, Limits, Service
from turmericflow.relay._target_tables import Load, Target
from turmericflow.relay.admission import StreamQueue, WaitingStream
from turmericflow.relay.admission._gate import Admission
from turmericflow.relay.fair_shares import Usage, customer_key
from turmericflow.relay.fair_shares._usage import encode

SIZES = ((80, 60), (300, 130))  # hosts and targets
SLOTS, CAPACITY, TOKENS = 16, 88_000, 9_110
STREAMS_PER_HOST = 2
WAITING = 3  # at the host that decides
SERVICE = "engine"
ARRIVALS_S = 30.0
OTHERS = range(1, CUSTOMERS)
SMALL = range(3, CUSTOMERS)


def _status(number: int, targets: int, rng: Random) -> HostStatus:
    """Return the status of a host with running and waiting streams of customers."""
    entry = HostEntry(f"host-{number}", 1, f"dc-{number % 3}", "", "")
    status = own_status(Tables(entry), 0.0)
    names = [f"c{rng.randrange(CUSTOMERS)}" for _ in range(STREAMS_PER_HOST)]
    usage = {customer_key(name): Usage(1, 1) for name in names}
    keys = [f"e{rng.randrange(1, targets)}@1" for _ in range(STREAMS_PER_HOST)]
    status.loads = {key: Load(1, 0, TOKENS) for key in keys}
    status.waiting = {SERVICE: {3 * 16 + rng.randrange(16): 1}}
    fields = {name: getattr(status, name) for name in HostStatus.__struct_fields__}
    return CustomerStatus(**fields, customers=encode({SERVICE: usage}))


def build(hosts: int, targets: int, shares: bool) -> Admission:
    """Return the decisions of a host that hears others, and whose engines are full."""
    tables, rng = Tables(HostEntry("host-0", 1, "dc-0", "", "")), Random(1)
    customers = tuple(Customer(f"c{n}", (f"k{n}",)) for n in range(CUSTOMERS))
    value = Deployment(1, (), (), Limits(), customers if shares else ())
    tables.deployment.value = value
    spec = EngineSpec(SLOTS, CAPACITY)
    tables.deployment.services = {SERVICE: Service(SERVICE, "/", 1, spec)}
    for number in range(targets):
        entry = TargetEntry(f"e{number}", 1, SERVICE, f"e{number}:1", "dc-0", SLOTS)
        target = tables.targets.rows[entry.key] = Target(entry)
        target.own_load = Load(5 - (number == 0), 0, 5 * TOKENS)
    tables.targets.by_service[SERVICE] = list(tables.targets.rows.values())
    admission = Admission(tables, rng)
    tables.fair_shares = admission.shares
    for number in range(1, hosts):
        apply_status(tables, _status(number, targets, rng), 0.0)
    queue = admission.queues[SERVICE] = StreamQueue()
    for number in range(WAITING):
        customer = admission.shares.key(f"c{number}")
        queue.add(WaitingStream(3, 4.0 + number, 0.0, None, customer))
    return admission


def decision_s(hosts: int, targets: int, shares: bool, number: int) -> list[float]:
    """Return the times of decisions on a stream that arrives, in seconds."""
    admission, found = build(hosts, targets, shares), []
    demand = placement.Demand(SERVICE, "dc-0", tokens=TOKENS, capacity=CAPACITY)
    for count in range(number):
        customer = admission.shares.key(f"c{count % CUSTOMERS}")
        stream = WaitingStream(3, 4.0, 0.0, None, customer)
        began = time.thread_time()
        inputs = admission.inputs(demand, stream, 2.8, 20.0, 0.1)
        admission.decide(inputs, True)
        found.append(time.thread_time() - began)
    return found


def report_costs(number: int) -> None:
    print("| hosts | targets | customers | median (ms) | 99 of 100 under (ms) |")
    print("|---|---|---|---|---|")
    for hosts, targets in SIZES:
        for shares in (False, True):
            times = sorted(decision_s(hosts, targets, shares, number))
            median, high = statistics.median(times), times[int(0.99 * number)]
            print(
                f"| {hosts} | {targets} | {'yes' if shares else 'no'} "
                f"| {1000 * median:.3f} | {1000 * high:.3f} |",
                flush=True,
            )


def report_load(seed: int, day: Day) -> str:
    """Return the figures of one run as a line of a table."""
    model = CustomerModel(seed, day)
    model.run_customers(ARRIVALS_S)
    waits = [s for stream, s in model.waited_s.items() if stream.customer == URGENT]
    refused = {
        name: sum(s.refused for s in model.streams if s.customer in customers)
        for name, customers in (("first", [0]), ("others", OTHERS))
    }
    shares = [model.served_share(each) for each in ([0], [1, 2], SMALL, OTHERS)]
    served = " | ".join(f"{100 * share:.1f}" for share in shares)
    return (
        f"| {seed} | {'yes' if day.surges else 'no'} | {'yes' if day.shares else 'no'} "
        f"| {served} | {refused['first']} | {refused['others']} | {max(waits):.2f} |"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--decisions", type=int, default=2_000, help="timed")
    parser.add_argument("--seeds", type=int, default=0, help="runs of the load")
    args = parser.parse_args()
    if args.decisions:
        report_costs(args.decisions)
    if args.seeds:
        print(
            "\n| seed | surge | shares | served of the first (%) | other large (%) "
            "| small (%) | all others (%) | refused, first | refused, others "
            "| longest wait of the urgent (s) |"
        )
        print("|---|---|---|---|---|---|---|---|---|---|")
    for seed in range(args.seeds):
        for surges in (False, True):
            for shares in (False, True):
                print(report_load(seed, Day(surges, shares)), flush=True)


if __name__ == "__main__":
    main()
