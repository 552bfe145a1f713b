"""Tests of entries and answers that end no process and are not used.

An entry may have been written by another program: fields are missing or of another
type, addresses are none, names are long. It names no target; the others hold.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from aiohttp import web

from turmericflow.platform._objects import decode_host, decode_target
from turmericflow.relay import (
    Call,
    Tables,
    TargetEntry,
    _discovery as discovery,
    _membership as membership,
    _peer_entries as peer_entries,
)
from turmericflow.relay._target_tables import TargetsChange
from turmericflow.tests.platform_stand_ins import (
    LOOPBACK,
    Fleet,
    HttpServer,
    TargetStandIn,
)
from turmericflow.verdict import TargetFailed

GOOD = TargetStandIn("good", "dc-0").entry()
ADDRESSES = [
    "plain..local:8080",
    "plain.example:8080",
    "[::1]:8080",
    "::1:8080",
    "0.0.0.0:8080",
    "224.0.0.1:8080",
    "255.255.255.255:8080",
    "127.0.0.300:8080",
    "127.0.0.01:8080",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:\u0663\u0663",
    "127.0.0.1:8080\n",
    "127.0.0.1:-1",
    "127.0.0.1",
    "127.0.0.1:",
    ":8080",
    "",
    "1" * 100_000 + ":80",
]
ODD_TEXTS = [None, [], {}, True, 1, 1.5, "x" * 300]
ODD_NUMBERS = [None, [], {}, True, "1", 2**70, -(2**70)]
REQUIRED = sorted(GOOD)


class OddAnswers(HttpServer):
    """A target that answers each call with the same bytes."""

    def __init__(self, body: bytes) -> None:
        super().__init__()
        self._body = body

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=self._body, content_type="application/json")


def is_used(spec: object) -> bool:
    try:
        entry = decode_target("t", msgspec.json.encode(spec))
    except ValueError:
        return False
    # What is used is told to other hosts.
    msgspec.msgpack.encode(entry)
    return True


# Guards against targets that are made up from an entry's missing fields.
@pytest.mark.parametrize("field", REQUIRED)
def test_an_entry_with_a_missing_field_names_no_target(field: str):
    assert is_used(GOOD)
    assert not is_used({k: v for k, v in GOOD.items() if k != field})


# Guards against names and other texts for an address, which fail far from the entry.
@pytest.mark.parametrize("address", ADDRESSES)
def test_an_entry_without_an_address_names_no_target(address: str):
    assert not is_used(GOOD | {"address": address})
    host = {"incarnation": 1, "data_centre": "d", "callers": "127.0.0.1:1"}
    with pytest.raises(ValueError):
        decode_host("h", msgspec.json.encode(host | {"peers": address}))


# Guards against values that are used although they are of another type or size.
@pytest.mark.parametrize("field", REQUIRED)
@pytest.mark.parametrize("number", range(len(ODD_TEXTS)))
def test_an_entry_with_an_odd_value_names_no_target(field: str, number: int):
    values = ODD_TEXTS if isinstance(GOOD[field], str) else ODD_NUMBERS
    assert not is_used(GOOD | {field: values[number]})


# Guards against an entry's name that is too long to be told to other hosts.
def test_an_entry_with_a_long_name_names_no_target():
    with pytest.raises(ValueError):
        decode_target("x" * 100_000, msgspec.json.encode(GOOD))


# Guards against entries of a host of the earlier version, which takes them for targets.
@pytest.mark.parametrize("address", ADDRESSES)
def test_what_a_peer_passes_on_is_checked(address: str):
    odd = TargetEntry("odd", 0, "plain", address, "dc-0", 1)
    good = TargetEntry("good", 0, "plain", "127.0.0.1:9", "dc-0", 1)
    assert peer_entries.usable_entries([odd, good]) == [good]
    host = membership.HostEntry("h", 1, "d", "127.0.0.1:1", "127.0.0.1:2")
    status = membership.own_status(Tables(host), 0.0)
    status.target_changes = [TargetsChange(5, 6, True, [odd, good], ["gone"], ["x"])]
    status.adopted = [odd, good]
    assert peer_entries.check_status(status)
    (change,) = status.target_changes
    assert change == TargetsChange(5, 6, True, [good], ["gone"], ["x", "odd"])
    assert status.adopted == [good]
    status.entry = membership.HostEntry("h", 1, "d", "127.0.0.1:1", address)
    assert not peer_entries.check_status(status)


# Guards against a snapshot of a host of the earlier version that ends the process.
async def test_a_peer_that_passes_on_foreign_entries_ends_no_process(fleet: Fleet):
    await fleet.add_plain(1)
    host = fleet.hosts[0]
    revision = host.tables.targets.revision + 100
    odd = TargetEntry("odd", 0, "plain", "plain..local:80", "dc-0", 1)
    reader, writer = await asyncio.open_connection(LOOPBACK, host.ports[3])
    for message in (["hello", "earlier"], ["targets", revision, [odd]]):
        writer.write(msgspec.msgpack.encode(message))
    await fleet.until(lambda: host.tables.targets.revision >= revision)
    assert [row.entry.id for row in host.tables.targets.rows.values()] == []
    writer.close()
    assert not host.daemon.crashed


# Guards against requests that fail at what is no target, and processes that end there.
async def test_foreign_entries_end_no_process_and_get_no_request(fleet_of_three: Fleet):
    fleet = fleet_of_three
    await fleet.add_plain(1)
    for number in range(3):
        address = f"plain{number}..local:8080"
        foreign = {"backend": "plain", "state": "ready", "zone": f"dc-{number}"}
        fleet.store.put("servers", f"x-{number}", foreign | {"address": address})
    await asyncio.sleep(1.5)
    statuses = []
    for number in range(30):
        async with fleet.request("/order/a", f"r{number}", host=number % 3) as resp:
            statuses.append(resp.status)
    await asyncio.sleep(0.3)
    assert statuses == [200] * 30
    assert not any(host.daemon.crashed for host in fleet.hosts)


# Guards against a process that ends for an error in a check of one target.
@pytest.mark.parametrize("error", [UnicodeError, RecursionError, LookupError])
async def test_an_error_in_a_check_of_a_target_ends_no_process(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, error: type
):
    (target,) = await fleet.add_plain(1)
    host = fleet.hosts[0]

    async def fail(address: str) -> bool:
        raise error("injected")

    monkeypatch.setattr(host.ctx.target_client, "accepts_connections", fail)
    target.injected.faults = ["reset"]
    async with fleet.request("/order/a") as resp:
        assert resp.status in (200, 502)
    await fleet.until(lambda: b'tasks_total{task="confirm_crash"} 1' in metrics(host))
    assert not host.daemon.crashed


def metrics(host) -> bytes:
    return host.ctx.metrics.text()


# Guards against a process that ends for an entry on which the tables fail.
async def test_an_error_in_what_the_store_lists_ends_no_process(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
):
    await fleet.add_plain(1)
    replaced = discovery.difference

    def fail(*args):
        raise LookupError("injected")

    monkeypatch.setattr(discovery, "difference", fail)
    host = fleet.hosts[0]
    await fleet.until(lambda: b'tasks_total{task="resync"}' in metrics(host))
    fleet.store.compact_history()
    monkeypatch.setattr(discovery, "difference", replaced)
    await fleet.add_target(TargetStandIn("late", "dc-1"))
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 2))
    assert not host.daemon.crashed


# Guards against a report that ends the process, or is told to other hosts and does.
@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100_000 + b"]" * 100_000,
        b'{"models":%s,"kvTotal":1}' % (b"[" * 100_000 + b"]" * 100_000),
        b'{"models":[],"kvTotal":1,"born":%d}' % 2**70,
        b'{"models":[],"kvTotal":%d}' % 2**70,
        b'{"models":[],"kvTotal":1,"born":1e400}',
        b"\xff\xfe",
        b"1" * 5000,
        b'{"handle":%s}' % (b"[" * 100_000),
    ],
    ids=lambda body: repr(body[:24]),
)
async def test_odd_answers_to_calls_of_hosts_are_failures(fleet: Fleet, body: bytes):
    target = OddAnswers(body)
    await target.start()
    client = fleet.hosts[0].ctx.target_client
    assert await client.fetch_report(target.address, "/healthz") is None
    with pytest.raises(TargetFailed):
        await client.copy_kv_cache(Call("r", "GET", "h", "/"), target.address, "x")
    await target.stop()


# Guards against a host's entry that another program wrote and that ends the process.
async def test_a_foreign_entry_of_a_host_ends_no_process(fleet: Fleet):
    host = fleet.hosts[0]
    spec = {"incarnation": 2**60, "data_centre": "d", "callers": "h..x:1"}
    fleet.store.put("turmericflow-hosts", "odd", spec | {"peers": "h..x:1"})
    await asyncio.sleep(0.6)
    assert not host.daemon.crashed
    assert "odd" not in host.tables.hosts.rows
