"""Cost of single control operations and table rows, measured in one process."""

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
TOKEN_TEXT = "2265b1f5.0.0000 "


def _mean_us(operation: Callable[[], object], rounds: int = ROUNDS) -> float:
    operation()
    start = time.process_time()
    for _ in range(rounds):
        operation()
    return (time.process_time() - start) / rounds * 1e6


def _row_bytes(make: Callable[[int], object]) -> float:
    gc.collect()
    tracemalloc.start()
    rows = [make(number) for number in range(ROWS)]
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del rows
    return size / ROWS


def _fact(kind: str, name: str, value: object) -> wire.Rumour:
    return wire.Rumour(kind, name, 1, msgspec.json.encode(value), 0.0)


def _encode_and_decode(msg: wire.Message) -> tuple[float, int]:
    decoder = wire.Decoder()
    data = wire.encode(msg)
    return _mean_us(lambda: decoder.feed(wire.encode(msg))), len(data)


def _customer(number: int) -> dict:
    return {"name": f"c{number}", "rate_per_s": 10.0, "key_hashes": [f"{number:064x}"]}


def _profile(number: int) -> dict:
    name = f"profile-{number}"
    return {"name": name, "service": "redactor", "model": "sable", "version": "1"}


def _info(number: int) -> MemberInfo:
    ip = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return MemberInfo(f"centre-{number % 17}", Address(ip, 8000), Address(ip, 8001))


def _member_tables(hosts: int) -> Tables:
    tables = Tables("entry-0", "centre-0")
    version = pack_version(1_700_000_000_000, 0, PeerState.ALIVE)
    for number in range(1, hosts):
        membership.learn(tables, f"entry-{number}", version, _info(number), 0.0)
    return tables


def _append(tokens: int) -> wire.Append:
    attempts = [wire.WireAttempt(1, 0, "redactor-1")]
    entry = wire.AppendEntry(
        "norte", "k" * 32, 1, 0, [TOKEN_TEXT] * tokens, attempts, False
    )
    return wire.Append(1, [entry])


def _target_reports(reports: int) -> wire.TargetReports:
    target_reports = [
        wire.TargetReport(
            f"redactor-{number:04}", 250, 8, 0, 32, 20_000, 20_000, 1 << 31
        )
        for number in range(reports)
    ]
    return wire.TargetReports("entry-0001", target_reports, [])


def _row_sizes() -> dict[str, float]:
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
    tables = _member_tables(ROWS)
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

    empty, with_tokens = _row_bytes(claim(0)), _row_bytes(claim(50))
    return {"claim_bytes": empty, "claim_token_bytes": (with_tokens - empty) / 50}


def measure() -> dict[str, float]:
    """Return unit costs: processor time in microseconds, and sizes in bytes."""
    ping_us, ping_bytes = _encode_and_decode(
        wire.Ping(1, "entry-0001", 1 << 60, 1 << 60)
    )
    ack_us, ack_bytes = _encode_and_decode(wire.Ack(1, 1 << 60, 0.5, 1 << 63, 100_000))
    one_us, one_bytes = _encode_and_decode(_append(1))
    many_us, many_bytes = _encode_and_decode(_append(33))
    empty_us, empty_bytes = _encode_and_decode(_target_reports(0))
    reports_us, reports_bytes = _encode_and_decode(_target_reports(50))
    value = _customer(1)
    fact = _fact("object", "customer/c1", value)
    fact_us, fact_bytes = _encode_and_decode(wire.Rumours(1, [fact], "entry-0001"))
    tables = _member_tables(2000)

    def compute_contacts() -> None:
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
        "sighted_us": (reports_us - empty_us) / 50,
        "sighted_bytes": (reports_bytes - empty_bytes) / 50,
        "fact_us": fact_us,
        "fact_bytes": fact_bytes,
        "validate_customer_us": _mean_us(
            lambda: CUSTOMER_ADAPTER.validate_python(value)
        ),
        "contacts_at_2000_us": _mean_us(compute_contacts, 50),
        **_row_sizes(),
        **_claim_costs(),
    }
