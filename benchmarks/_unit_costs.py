"""Cost of single pieces of control work, measured in one process."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from turmericflow import wire
from turmericflow.cfg import Address
from turmericflow.profile import CUSTOMER_ADAPTER, PROFILE_ADAPTER
from turmericflow.systems import membership, overlay
from turmericflow.systems._membership import MemberInfo, pack_version
from turmericflow.tables import (
    Claim,
    FactTable,
    PeerState,
    RequestId,
    Tables,
    Target,
    TargetKind,
)

ROUNDS = 2000
ROWS = 4000
TEXT = "2265b1f5.0.0000 "


def _us(work: Callable[[], object], rounds: int = ROUNDS) -> float:
    work()
    start = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - start) / rounds * 1e6


def _row_bytes(make: Callable[[int], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = [make(number) for number in range(ROWS)]
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / ROWS


def _fact(kind: str, name: str, value: object) -> wire.Rumour:
    return wire.Rumour(kind, name, 1, msgspec.json.encode(value), 0.0)


def _both_ways(msg: wire.Message) -> tuple[float, int]:
    decoder = wire.Decoder()
    data = wire.encode(msg)
    return _us(lambda: decoder.feed(wire.encode(msg))), len(data)


def _customer(number: int) -> dict:
    return {"name": f"c{number}", "rate_per_s": 10.0, "key_hashes": [f"{number:064x}"]}


def _profile(number: int) -> dict:
    name = f"profile-{number}"
    return {"name": name, "service": "redactor", "model": "sable", "version": "1"}


def _info(number: int) -> MemberInfo:
    ip = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return MemberInfo(f"centre-{number % 17}", Address(ip, 8000), Address(ip, 8001))


def _fleet(hosts: int) -> Tables:
    tables = Tables("entry-0", "centre-0")
    version = pack_version(1_700_000_000_000, 0, PeerState.ALIVE)
    for number in range(1, hosts):
        membership.learn(tables, f"entry-{number}", version, _info(number), 0.0)
    return tables


def _append(tokens: int) -> wire.Append:
    attempts = [wire.WireAttempt(1, 0, "redactor-1")]
    entry = wire.AppendEntry("norte", "k" * 32, 1, 0, [TEXT] * tokens, attempts, False)
    return wire.Append(1, [entry])


def _observed(reports: int) -> wire.TargetReports:
    seen = [
        wire.TargetReport(
            f"redactor-{number:04}", 250, 8, 0, 32, 20_000, 20_000, 1 << 31
        )
        for number in range(reports)
    ]
    return wire.TargetReports("entry-0001", seen, [])


def _memory() -> dict[str, float]:
    customers, profiles, targets = FactTable(), FactTable(), FactTable()

    def customer(number: int) -> object:
        value = _customer(number)
        customers.learn(_fact("object", f"customer/c{number}", value), 0.0)
        return CUSTOMER_ADAPTER.validate_python(value)

    def profile(number: int) -> object:
        value = _profile(number)
        profiles.learn(_fact("object", f"profile/{number}", value), 0.0)
        return PROFILE_ADAPTER.validate_python(value)

    def target(number: int) -> object:
        name = f"redactor-{number}"
        value = {"name": name, "role": "engine", "service": "redactor"}
        value |= {"data_centre": "centre-1", "ip": "10.0.0.1", "port": 1}
        targets.learn(_fact("listed", name, value), 0.0)
        address = Address("10.0.0.1", 8000)
        kind = TargetKind.ENGINE
        return Target(name, kind, "redactor", "centre-1", address)

    return {
        "customer_bytes": _row_bytes(customer),
        "profile_bytes": _row_bytes(profile),
        "target_bytes": _row_bytes(target),
        "member_bytes": _member_bytes(),
    }


def _member_bytes() -> float:
    gc.collect()
    tracemalloc.start()
    tables = _fleet(ROWS)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / len(tables.peers.rows)


def _claim_costs() -> dict[str, float]:
    def claim(tokens: int) -> Callable[[int], object]:
        def make(number: int) -> object:
            texts = [f"{number}.{index:04d}.00000000 " for index in range(tokens)]
            request_id = RequestId("norte", f"key-{number}")
            row = Claim(request_id, 1, "f" * 64, "g" * 16, "quotation", True, "e", 1)
            row.body = bytes(400)
            row.tokens = texts
            return row

        return make

    none, some = _row_bytes(claim(0)), _row_bytes(claim(50))
    return {"claim_bytes": none, "claim_token_bytes": (some - none) / 50}


def measure() -> dict[str, float]:
    """Return unit costs: microseconds of a core, and bytes."""
    ping_us, ping_bytes = _both_ways(wire.Ping(1, "entry-0001", 1 << 60, 1 << 60))
    ack_us, ack_bytes = _both_ways(wire.Ack(1, 1 << 60, 0.5, 1 << 63, 100_000))
    one_us, one_bytes = _both_ways(_append(1))
    many_us, many_bytes = _both_ways(_append(33))
    empty_us, empty_bytes = _both_ways(_observed(0))
    seen_us, seen_bytes = _both_ways(_observed(50))
    value = _customer(1)
    fact = _fact("object", "customer/c1", value)
    fact_us, fact_bytes = _both_ways(wire.Rumours(1, [fact], "entry-0001"))
    tables = _fleet(2000)

    def contacts() -> None:
        tables.peers.change_count += 1
        overlay.contacts(tables)

    return {
        "ping_us": ping_us,
        "ping_bytes": ping_bytes,
        "ack_us": ack_us,
        "ack_bytes": ack_bytes,
        "append_entry_us": one_us,
        "append_entry_bytes": one_bytes,
        "append_token_us": (many_us - one_us) / 32,
        "append_token_bytes": (many_bytes - one_bytes) / 32,
        "observed_us": empty_us,
        "observed_bytes": empty_bytes,
        "sighted_us": (seen_us - empty_us) / 50,
        "sighted_bytes": (seen_bytes - empty_bytes) / 50,
        "fact_us": fact_us,
        "fact_bytes": fact_bytes,
        "validate_customer_us": _us(lambda: CUSTOMER_ADAPTER.validate_python(value)),
        "contacts_at_2000_us": _us(contacts, 50),
        **_memory(),
        **_claim_costs(),
    }
