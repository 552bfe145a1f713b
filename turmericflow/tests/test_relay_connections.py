"""Tests of connections from callers: what is logged, and when they are closed."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Callable
from functools import partial

import aiohttp
import pytest
from aiohttp import web
from structlog.testing import capture_logs

from turmericflow.platform import _process as process_module
from turmericflow.platform._settings import read_settings
from turmericflow.relay import (
    HostState,
    _membership as membership,
    _silence as silence,
)
from turmericflow.tests.platform_stand_ins import EngineStandIn, Fleet, HostStandIn


# Guards against a log that blames the caller for what the host cut.
async def test_a_cut_at_the_end_of_a_drain_is_not_logged_as_the_callers_doing(
    fleet: Fleet,
):
    (engine,) = await fleet.add_engines("dc-0")
    engine.event_interval_s = 1.0
    host = fleet.hosts[0]
    request = await fleet.request("/stream/1")
    with capture_logs() as lines:
        await host.daemon.leave()
        await host.daemon.close()
        with pytest.raises(aiohttp.ClientPayloadError):
            await request.read()
    events = {line["event"]: line for line in lines}
    assert "caller_left" not in events
    failed = events["request_failed"]
    assert (failed["request"], failed["begun"]) == ("r1", True)
    assert failed["reason"] == "this host stops"
    assert events["leaving"]["connections"] == 1


# Guards against a log that blames the host for a caller that left.
async def test_a_caller_that_leaves_is_logged_as_such(fleet: Fleet):
    (engine,) = await fleet.add_engines("dc-0")
    engine.event_interval_s = 1.0
    with capture_logs() as lines:
        request = await fleet.request("/stream/1")
        request.close()
        await fleet.until(lambda: any(e["event"] == "caller_left" for e in lines))
        await asyncio.sleep(0.05)
    assert not [line for line in lines if line["event"] == "request_cut"]


HEAD = (
    b"POST /%s/1 HTTP/1.1\r\nHost: site.example\r\nX-Turmericflow-Key: key-of-a\r\n"
    b"X-Turmericflow-Deadline-Ms: %d\r\nX-Turmericflow-Attempt-Id: %s\r\n"
    b"X-Turmericflow-Token-Usage: 100,120\r\nContent-Length: 0\r\n\r\n"
)


class Connection:
    """A caller's connection that is kept between requests."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, fleet: Fleet, receive_buffer: int | None = None) -> Connection:
        sock = socket.socket()
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.connect(("127.0.0.1", fleet.hosts[0].ports[0]))
        return cls(*await asyncio.open_connection(sock=sock))

    async def send(self, route: str, id: str, timeout_ms: int = 10_000) -> bytes:
        """Send a request and return the head of its response."""
        self.writer.write(HEAD % (route.encode(), timeout_ms, id.encode()))
        return await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5)


async def _leave(fleet: Fleet) -> None:
    """Stop a host as its process does after SIGTERM."""
    daemon = fleet.hosts[0].daemon
    await daemon.leave()
    await daemon.close()


@pytest.fixture
async def kept(fleet: Fleet) -> AsyncIterator[Connection]:
    """Open a connection and use it once."""
    await fleet.add_plain(1)
    conn = await Connection.open(fleet)
    answer = await conn.send("order", "first")
    assert answer.startswith(b"HTTP/1.1 200")
    await conn.reader.readuntil(b"plain-0 first")
    yield conn
    conn.writer.close()


# Guards against a plain request that is refused although its route's timeout ends it
# before the drain does.
async def test_a_leaving_host_accepts_what_it_can_finish(
    fleet: Fleet, kept: Connection
):
    host = fleet.hosts[0]
    leaving = asyncio.create_task(_leave(fleet))
    head = HEAD % (b"order", 300, b"late")
    kept.writer.write(head[:50])
    await asyncio.sleep(0.5 * host.ctx.settings.leave_s)
    kept.writer.write(head[50:])
    answer = await kept.reader.read()
    await leaving
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"plain-0 late")


@pytest.fixture
async def long_stream(fleet: Fleet) -> AsyncIterator[EngineStandIn]:
    """Run a stream that lasts for nearly the whole drain; yield its engine."""
    (engine,) = await fleet.add_engines("dc-0")
    engine.event_interval_s = 0.07
    async with fleet.request("/stream/1", "long") as request:
        yield engine
        assert (await request.read()).count(b"id: ") == 20


# Guards against streams that are accepted late in a drain and cut at its end.
async def test_a_stream_that_a_leaving_host_cannot_finish_is_refused(
    fleet: Fleet, kept: Connection, long_stream: EngineStandIn
):
    leaving = asyncio.create_task(_leave(fleet))
    head = HEAD % (b"stream", 10_000, b"late")
    kept.writer.write(head[:50])
    await asyncio.sleep(0.5 * fleet.hosts[0].ctx.settings.leave_s)
    kept.writer.write(head[50:])
    answer = await kept.reader.read()
    await leaving
    assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After" in answer
    assert b"Connection: close" in answer
    assert [seen.id for seen in long_stream.received] == ["long"]


# Guards against connections that stay open, unused, until the process ends, so that
# a request on them meets a host that has no time left.
async def test_a_leaving_host_closes_idle_connections(
    fleet: Fleet, kept: Connection, long_stream: EngineStandIn
):
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    leaving = asyncio.create_task(_leave(fleet))
    assert await asyncio.wait_for(kept.reader.read(), 5) == b""
    assert loop.time() - started_at < 0.5 * fleet.hosts[0].ctx.settings.leave_s
    await leaving


# Guards against a connection that stays open after a stream that began before the
# order to leave, whose headers could not say that it will be closed.
async def test_a_connection_is_closed_after_a_stream_that_began_before_the_drain(
    fleet: Fleet, kept: Connection, long_stream: EngineStandIn
):
    long_stream.events = 6
    head = await kept.send("stream", "r1")
    assert b"Connection: close" not in head
    started_at = asyncio.get_running_loop().time()
    leaving = asyncio.create_task(_leave(fleet))
    body = await asyncio.wait_for(kept.reader.read(), 5)
    assert body.endswith(b"0\r\n\r\n") and body.count(b"id: ") == 6
    assert asyncio.get_running_loop().time() - started_at < 1.0
    await leaving


# Guards against a connection that is closed without an answer at the end of a drain.
async def test_a_request_that_has_no_answer_at_the_end_of_a_drain_gets_one(
    fleet: Fleet, kept: Connection
):
    (engine,) = await fleet.add_engines("dc-0")
    engine.prefill_s = 3.0
    kept.writer.write(HEAD % (b"stream", 10_000, b"r1"))
    await fleet.until(lambda: engine.received)
    leaving = asyncio.create_task(_leave(fleet))
    answer = await asyncio.wait_for(kept.reader.read(), 5)
    await leaving
    assert answer.startswith(b"HTTP/1.1 502")
    await fleet.until(lambda: engine.received[0].outcome == "cancelled")


# Guards against an end of the process while a caller still reads an answer.
async def test_a_leaving_host_waits_until_answers_are_sent(
    fleet: Fleet, kept: Connection, monkeypatch: pytest.MonkeyPatch
):
    body = b"b" * 12_000_000  # more than the sockets buffer
    target = fleet.targets["plain-0"]

    async def run(request, received, fault):
        return web.Response(headers=target._signed(request), body=body)

    monkeypatch.setattr(target, "run", run)
    conn = await Connection.open(fleet, receive_buffer=65_536)
    await conn.send("order", "large")
    leaving = asyncio.create_task(_leave(fleet))
    received, received_before_end = 0, 0
    slow_until = asyncio.get_running_loop().time() + 1.2
    while data := await conn.reader.read(65_536):
        received += len(data)
        if not leaving.done():
            received_before_end = received
        if asyncio.get_running_loop().time() < slow_until:
            await asyncio.sleep(0.02)
    await leaving
    assert received == len(body) and received_before_end > len(body) / 2


# Guards against a stream that is accepted, and cut, though another host could have
# served it whole.
@pytest.mark.parametrize("others, status", [(0, 200), (1, 503)])
async def test_a_stream_that_outlasts_the_drain_is_refused_if_another_host_is_ready(
    fleet: Fleet, others: int, status: int
):
    for number in range(others):
        await fleet.add_host(f"other-{number}", "dc-1")
    (engine,) = await fleet.add_engines("dc-0")
    engine.event_interval_s = 0.1
    host = fleet.hosts[0]
    await fleet.until(
        lambda: len(membership.addresses(host.tables, host.ctx.clock.now()))
        == 1 + others
    )
    async with fleet.request("/stream/1", "first") as resp:
        await resp.read()
    leaving = asyncio.create_task(_leave(fleet))
    await asyncio.sleep(0.05)
    async with fleet.request("/stream/1", "second") as resp:
        assert resp.status == status
        assert resp.headers.get("Retry-After") == ("0.000" if others else None)
    headers = {"X-Turmericflow-Token-Usage": "100,60"}
    engine.events = 10
    async with fleet.request("/stream/1", "short", headers=headers) as resp:
        assert resp.status == 200
        assert (await resp.read()).count(b"id: ") == 10
    await leaving


# Guards against a host that was stopped when SIGTERM came, counts its time from the
# moment at which it runs again, and is killed while it still serves.
async def test_a_drain_begins_with_the_stall_in_which_the_order_came(fleet: Fleet):
    host = fleet.hosts[0]
    await asyncio.sleep(0.2)
    stalled_at = host.ctx.clock.now()
    time.sleep(0.6)
    leaving = asyncio.create_task(_leave(fleet))
    await fleet.until(lambda: host.tables.hosts.drain is not None)
    assert stalled_at - 0.1 < host.tables.hosts.drain.since <= stalled_at
    await leaving
    assert host.ctx.clock.now() - stalled_at < host.ctx.settings.leave_s


# Guards against a drain that begins early although there was no stall.
async def test_a_drain_begins_at_once_in_a_host_that_has_not_stalled(fleet: Fleet):
    host = fleet.hosts[0]
    await asyncio.sleep(0.2)
    ordered_at = host.ctx.clock.now()
    leaving = asyncio.create_task(_leave(fleet))
    await fleet.until(lambda: host.tables.hosts.drain is not None)
    assert 0 <= host.tables.hosts.drain.since - ordered_at < 0.1
    await leaving


# Guards against an internal error of a background service that cuts all requests, and
# against callers that are sent to its host meanwhile.
async def test_a_crash_of_a_service_cuts_no_request(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
):
    other = await fleet.add_host("other", "dc-1")
    (engine,) = await fleet.add_engines("dc-0")
    engine.event_interval_s = 0.05
    host = fleet.hosts[0]
    await host.stop()
    monkeypatch.setenv("TURMERICFLOW_NODE_FILE", str(host.path))
    listeners = partial(process_module.listeners, metrics_port=host.ports[4])
    monkeypatch.setattr(process_module, "listeners", listeners)
    process = asyncio.create_task(
        process_module._serve(
            read_settings(host.path), process_module.modification_time(host.path)
        )
    )
    async with asyncio.timeout(5):
        while await _status(fleet, "/nowhere/", "probe") != 404:
            await asyncio.sleep(0.02)
    async with fleet.request("/stream/1") as resp:

        def fail(tables, now):
            if tables is other.tables:
                return []
            raise KeyError("an entry that is gone")

        monkeypatch.setattr(silence, "find_silent_streams", fail)
        await fleet.until(lambda: _state(other, host.name) == HostState.LEAVING)
        assert (await resp.read()).count(b"id: ") == 20
        assert not process.done()
    assert await asyncio.wait_for(process, 5) == process_module.EXIT_CRASHED


def _state(host: HostStandIn, peer: str) -> int | None:
    """Return the state of a peer that a host knows."""
    row = host.tables.hosts.rows.get(peer)
    return row.status.state if row is not None and row.status is not None else None


async def _status(fleet: Fleet, path: str, id: str) -> int | None:
    try:
        async with fleet.request(path, id) as resp:
            return resp.status
    except aiohttp.ClientConnectionError:
        return None


# Guards against connections that were established while the process was stopped, and
# are reset as the listener closes before it has accepted them.
async def test_a_listener_accepts_what_was_established_during_a_stop_before_it_closes(
    fleet: Fleet, kept: Connection, stall: Callable[[float], None]
):
    leaving = asyncio.create_task(_leave(fleet))
    await asyncio.sleep(0.5)
    sock = socket.create_connection(("127.0.0.1", fleet.hosts[0].ports[0]))
    sock.send(HEAD % (b"order", 300, b"new"))
    stall(0.6)
    reader, writer = await asyncio.open_connection(sock=sock)
    assert (await reader.read()).startswith(b"HTTP/1.1 200")
    writer.close()
    await leaving


# Guards against a request that has arrived, and whose connection is closed as idle
# before it is read.
async def test_idle_connections_are_closed_after_what_arrived_is_read(
    fleet: Fleet, kept: Connection
):
    kept.writer.write(HEAD % (b"order", 300, b"next"))
    fleet.hosts[0].daemon._callers.close_idle_connections()
    await kept.reader.readuntil(b"plain-0 next")
