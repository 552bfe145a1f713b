"""Streams by customer, as hosts publish them."""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterable
from functools import lru_cache

import msgspec

# Customers of one service in a status; a host sees a handful of streams.
MAX_CUSTOMERS = 32
NO_CUSTOMER = 0  # key of streams on routes without customers
CACHED_KEYS = 1_024  # names of customers; deployments have some 24


class Usage(msgspec.Struct, array_like=True):
    """Streams of a customer that run at engines, and that wait at hosts."""

    running: int = 0
    waiting: int = 0


ByCustomer = dict[int, Usage]
ByService = dict[str, ByCustomer]
_DECODER = msgspec.msgpack.Decoder(ByService)


@lru_cache(CACHED_KEYS)
def customer_key(name: str | None) -> int:
    """Return the 32-bit hash by which hosts name a customer."""
    return NO_CUSTOMER if name is None else zlib.crc32(name.encode())


def count(running: Iterable[int], waiting: Iterable[int]) -> ByCustomer:
    """Return the usage that keys of streams' customers amount to."""
    runs, waits = Counter(running), Counter(waiting)
    return {key: Usage(runs[key], waits[key]) for key in runs | waits}


def merge(parts: Iterable[ByCustomer]) -> ByCustomer:
    """Return the sum of hosts' usages, each customer by key."""
    runs: dict[int, int] = {}
    waits: dict[int, int] = {}
    for part in parts:
        for key, usage in part.items():
            runs[key] = runs.get(key, 0) + usage.running
            waits[key] = waits.get(key, 0) + usage.waiting
    return {key: Usage(running, waits[key]) for key, running in runs.items()}


def largest(usage: ByCustomer) -> ByCustomer:
    """Return the `MAX_CUSTOMERS` customers with the most streams."""
    if len(usage) <= MAX_CUSTOMERS:
        return usage
    keys = sorted(usage, key=lambda key: -usage[key].running - usage[key].waiting)
    return {key: usage[key] for key in keys[:MAX_CUSTOMERS]}


def encode(usage: ByService) -> bytes:
    """Return the form in statuses; empty if there are no streams."""
    found = {name: largest(customers) for name, customers in usage.items() if customers}
    return msgspec.msgpack.encode(found) if found else b""


def decode(data: bytes) -> ByService:
    """Return the usage that a status tells.

    Raises
    ------
    msgspec.MsgspecError
        If it is in another form.
    """
    if not data:
        return {}
    return {name: largest(usage) for name, usage in _DECODER.decode(data).items()}
