"""Tests of what entries of another writer cost a host, whatever they hold.

An entry that names no target costs a bounded time once, and nothing after that.
"""

from __future__ import annotations

import asyncio
import gc
import json
import time
from collections.abc import Callable

import aiohttp
import pytest

from turmericflow.platform._json_outline import read_outline
from turmericflow.platform._store import StoreClient
from turmericflow.relay import (
    Kind,
    StoreFailed,
    TargetEntry,
    _discovery as discovery,
    with_era,
)
from turmericflow.relay._target_tables import TargetTable
from turmericflow.tests.platform_stand_ins import Fleet, StoreStandIn, TargetStandIn

VALUE_BYTES = 1_048_000  # an object is not larger
ENTRIES = 4
# Half of the time that a request may take after its route's time.
MAX_STALL_S = 0.25
# A host that goes on serving has the rest of each second for it.
MAX_S_PER_ENTRY = 1.0
DEEP = "[" * 2000 + "]" * 2000

# Contents of the largest size that cannot be decoded.
CONTENTS: dict[str, Callable[[int], str]] = {
    "nested arrays": lambda n: "[" * (n // 2) + "]" * (n // 2),
    "nested objects": lambda n: '{"":' * (n // 5) + "1" + "}" * (n // 5),
    "empty arrays": lambda n: "[" + "[]," * (n // 3) + DEEP + "]",
    "arrays in arrays": lambda n: "[" + "[[]]," * (n // 5) + DEEP + "]",
    "arrays beside arrays": lambda n: "[[]," * (n // 5) + "1" + "]" * (n // 5),
    "strings": lambda n: "[" + '"",' * (n // 3) + DEEP + "]",
    "escapes": lambda n: '["' + '\\"' * (n // 2) + '",' + DEEP + "]",
    "brackets in strings": lambda n: '["' + "[" * n + '",' + DEEP + "]",
    "numbers": lambda n: "[" + "1," * (n // 2) + DEEP + "]",
    "half a pair": lambda n: '"\\ud800' + "x" * n + '"',
    "fields": lambda n: '{"x":[' + "1," * (n // 2) + "1]}",
}


class Stalls:
    """Measures the longest time for which the event loop stood still."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def measure(self) -> None:
        last = time.perf_counter()
        while True:
            await asyncio.sleep(0.001)
            now = time.perf_counter()
            self.longest_s = max(self.longest_s, now - last)
            last = now


class OneAnswer(StoreClient):
    """A client of a store that gives the same answer to each call."""

    def __init__(self, session: aiohttp.ClientSession, body: bytes) -> None:
        super().__init__(session, "127.0.0.1:1")
        self._body = body

    async def _call(self, *args: object) -> bytes:
        return self._body


# Guards against hosts that stand still beside an entry that cannot be decoded.
@pytest.mark.parametrize("content", list(CONTENTS))
@pytest.mark.parametrize("watched", [False, True])
async def test_an_entry_that_names_no_target_does_not_stall_the_loop(
    content: str, watched: bool
):
    store = StoreStandIn()
    store.put("servers", "good", TargetStandIn("good", "dc-0").entry())
    store.put_text("servers", "odd", CONTENTS[content](VALUE_BYTES))
    store.put("servers", "later", TargetStandIn("later", "dc-0").entry())
    items = list(store.objects["servers"].values())
    name = "events" if watched else "items"
    values = [{"object": item} for item in items] if watched else items
    body = store._json({name: values, "storeRevision": 9}).body
    async with aiohttp.ClientSession() as session:
        client = OneAnswer(session, body)
        stalls = Stalls()
        ticks = asyncio.create_task(stalls.measure())
        await asyncio.sleep(0.01)
        started_at = time.process_time()
        if watched:
            changes = await client.changes(Kind.TARGETS, with_era(0, 1), 0.0)
            rows = [change.row for change in changes.changes]
        else:
            rows = (await client.read(Kind.TARGETS)).rows
        took_s = time.process_time() - started_at
        await asyncio.sleep(0.01)
        ticks.cancel()
    assert [row.name for row in rows] == ["good", "odd", "later"]
    assert [row.value is None for row in rows] == [False, True, False]
    assert stalls.longest_s < MAX_STALL_S
    assert took_s < MAX_S_PER_ENTRY


# Guards against hosts that read what they cannot use again each second.
@pytest.mark.parametrize("spec", ["deep", "fields missing"])
async def test_entries_that_name_no_target_are_not_read_again(
    fleet_of_three: Fleet, spec: str
):
    fleet = fleet_of_three
    await fleet.add_plain(1)
    text = DEEP if spec == "deep" else '{"backend":"plain"}'
    for number in range(ENTRIES):
        fleet.store.put_text("servers", f"odd-{number}", text)
    await asyncio.sleep(2.5)
    calls = fleet.store.calls["GET servers"]
    await asyncio.sleep(3.0)
    assert fleet.store.calls["GET servers"] == calls
    await fleet.add_target(TargetStandIn("plain-1", "dc-1"))
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 2))
    fleet.store.remove("servers", "plain-0")
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 1))


# Guards against requests that get no answer beside the largest entries.
async def test_requests_are_served_beside_the_largest_entries(fleet_of_three: Fleet):
    fleet = fleet_of_three
    await fleet.add_plain(3)
    for number in range(ENTRIES):
        text = CONTENTS["nested arrays"](VALUE_BYTES)
        fleet.store.put_text("servers", f"odd-{number}", text)
    loop, took = asyncio.get_running_loop(), []

    async def send(number: int) -> None:
        at = loop.time()
        async with fleet.request("/order/a", f"r{number}", host=number % 3) as resp:
            await resp.read()
            took.append((resp.status, loop.time() - at))

    async with asyncio.TaskGroup() as group:
        for number in range(60):
            group.create_task(send(number))
            await asyncio.sleep(0.05)
    statuses = [status for status, _ in took]
    assert statuses == [200] * 60
    assert max(seconds for _, seconds in took) < 0.8


# Guards against an answer that is no list and passes for an empty one.
@pytest.mark.parametrize(
    "body",
    [
        b'{"storeRevision":9}',
        b'{"storeRevision":9,"x":%s}' % DEEP.encode(),
        b'{"storeRevision":9,"items":{},"events":{}}',
        b'{"storeRevision":9,"items":{},"events":{},"x":%s}' % DEEP.encode(),
        b'{"storeRevision":9,"items":7,"events":7,"x":%s}' % DEEP.encode(),
        b'{"items":[],"events":[]}',
        b'{"items":[],"events":[],"x":%s}' % DEEP.encode(),
        b'{"items":[],"events":[],"storeRevision":-1}',
        b'{"items":[],"events":[],"storeRevision":%d}' % 2**60,
        b"[]",
        b"",
    ],
    ids=lambda body: repr(body[:48]),
)
async def test_an_answer_that_is_no_list_is_a_failure(body: bytes):
    async with aiohttp.ClientSession() as session:
        client = OneAnswer(session, body)
        with pytest.raises(StoreFailed):
            await client.read(Kind.TARGETS)
        with pytest.raises(StoreFailed):
            await client.changes(Kind.TARGETS, with_era(0, 1), 0.0)


# Guards against an outline that differs from what the text says.
@pytest.mark.parametrize("levels", [1, 2, 3])
@pytest.mark.parametrize(
    "text",
    [
        '{"a":1,"b":[1,2,[3,{"c":"]"}]],"c":{"d":"\\"}"}}',
        '[{"a":[]},[],"x,y",null,{"b":{"c":{}}}]',
        ' [ 1 , { "a" : [ ] } , "\\\\" ] ',
        "[]",
        "{}",
    ],
)
async def test_an_outline_holds_the_parts_of_a_text(text: str, levels: int):
    part = await read_outline(text.encode(), levels)
    expected = json.loads(text)
    if isinstance(expected, list):
        assert [json.loads(value.text) for value in part.elements()] == expected
    else:
        found = part.members()
        assert {k.decode(): json.loads(v.text) for k, v in found.items()} == expected


# Guards against texts that are no JSON and pass for a list.
@pytest.mark.parametrize(
    "text", ["", "1", "[", "]", "[]]", "[][]", '["', "{", "[1}{", '["\\"]', "x[]"]
)
async def test_a_text_that_is_no_value_has_no_outline(text: str):
    with pytest.raises(ValueError):
        await read_outline(text.encode(), 2)


MANY = 10_000
ROUNDS = 5
# Of entries that another program writes, by their number.
SHARED: dict[str, Callable[[int], TargetEntry]] = {
    "nothing": lambda n: entry_at(f"t-{n}", f"127.0.{n // 250}.{n % 250}:{n + 1}", 1),
    "address": lambda n: entry_at(f"t-{n}", "127.0.0.1:1", 1),
    "id": lambda n: entry_at("t", f"127.0.{n // 250}.{n % 250}:{n + 1}", n),
    "id and address": lambda n: entry_at("t", "127.0.0.1:1", n),
}


def entry_at(id: str, address: str, born_ms: int) -> TargetEntry:
    return TargetEntry(id, born_ms, "s", address, "d", 1)


def least_times(*works: Callable[[], object]) -> list[float]:
    """Return the processor time of each work, without what comes on top at times.

    Objects of other tests are kept out of garbage collections, as a host has none.
    """
    took: list[list[float]] = [[] for _ in works]
    gc.collect()
    gc.freeze()
    try:
        for _ in range(ROUNDS):
            for times, work in zip(took, works, strict=True):
                started_at = time.process_time()
                work()
                times.append(time.process_time() - started_at)
    finally:
        gc.unfreeze()
    return [min(times) for times in took]


def put_from_list(entries: list[TargetEntry]) -> TargetTable:
    table = TargetTable()
    discovery.begin_era(table, 5, 0.0)
    change = discovery.difference(table, entries, [], 5)
    assert discovery.apply(table, change, 0.0)
    return table


def put_from_peer(entries: list[TargetEntry]) -> TargetTable:
    table = TargetTable()
    assert discovery.replace(table, entries, 5, 0.0)
    return table


# Guards against a start beside many entries that takes the square of their number.
@pytest.mark.parametrize("shared", list(SHARED))
@pytest.mark.parametrize("put", [put_from_list, put_from_peer])
def test_many_entries_are_put_into_the_tables_without_a_stall(put, shared: str):
    entries = [SHARED[shared](n) for n in range(MANY)]
    table = put(entries)
    assert len(table.rows) == (MANY if shared == "nothing" else 1)
    assert entries[-1].key in table.rows
    (took_s,) = least_times(lambda: put(entries))
    assert took_s < MAX_STALL_S


# Guards against changes of many entries that take the square of their number.
@pytest.mark.parametrize("shared", ["nothing", "address"])
def test_changes_of_many_entries_are_applied_without_a_stall(shared: str):
    entries = [SHARED["nothing"](n) for n in range(MANY)]
    moved = [SHARED[shared](n) for n in range(MANY)]
    table = put_from_list(entries)

    def change_to(written: list[TargetEntry]) -> None:
        change = discovery.difference(table, written, [], table.revision + 1)
        assert discovery.apply(table, change, 0.0)

    took_s = least_times(lambda: change_to(moved), lambda: change_to(entries))
    assert max(took_s) < MAX_STALL_S
    assert len(table.rows) == MANY
    change = discovery.difference(
        table, entries[1:], [entries[0].id], table.revision + 1
    )
    started_at = time.process_time()
    assert discovery.apply(table, change, 0.0)
    assert time.process_time() - started_at < MAX_STALL_S
    assert len(table.rows) == MANY - 1
