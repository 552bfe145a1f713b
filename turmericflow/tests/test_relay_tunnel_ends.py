"""Tests of who ends an answer that passes another host on its way.

An answer without a length ends with its connection, and is whole only if the target
has ended it. The tests speak both forms of tunnels, as hosts of two versions serve
side by side while they are replaced.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path
from random import Random

import aiohttp
import msgpack
import msgspec
import pytest

from turmericflow.platform._targets import HttpTargets, TargetConnector
from turmericflow.relay import (
    Call,
    FrameDecoder,
    HostEntry,
    TargetConnection,
    _paths as paths,
)
from turmericflow.relay._call import Dispatch
from turmericflow.tests.platform_stand_ins import (
    KEY,
    LOOPBACK,
    EngineStandIn,
    Fleet,
    StoreStandIn,
    deployment,
)
from turmericflow.tests.soak._fleet import INTERNAL_PORTS, HostProcess
from turmericflow.verdict import TargetFailed

HEAD = b"HTTP/1.1 200 OK\r\nX-Turmericflow-Attempt-Id: r1\r\n\r\n"
EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
GRACE_S = 4.0
READY_S = 20.0


def frame(data: bytes) -> bytes:
    return len(data).to_bytes(4, "big") + data


class Carrier:
    """A host that carries a connection and sends what a test gives it.

    Hosts of the earlier version send the target's bytes as they are, and close.
    """

    def __init__(self, framed: bool, data: bytes) -> None:
        self._framed, self._data = framed, data
        self.requests: list[list] = []

    async def start(self) -> HostEntry:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        address = "%s:%d" % self._server.sockets[0].getsockname()
        return HostEntry("other", 1, "dc-1", "127.0.0.1:1", address)

    async def _serve(self, reader, writer) -> None:
        self.requests.append(msgspec.msgpack.decode(await reader.read(65_536)))
        reply = ["tunnelled", "", False] + [True] * self._framed
        writer.write(msgspec.msgpack.encode(reply))
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._data)
        await writer.drain()
        writer.close()

    def stop(self) -> None:
        self._server.close()


@pytest.fixture
async def targets() -> AsyncIterator[HttpTargets]:
    """Return a client of targets, as a host has it."""
    connector = TargetConnector(force_close=True)
    connector._factory = partial(TargetConnection, asyncio.get_running_loop())
    async with aiohttp.ClientSession(connector=connector) as session:
        yield HttpTargets(session)


async def read_through(targets: HttpTargets, carrier: Carrier) -> bytes:
    """Return the body of an answer that passes another host."""
    dispatch = Dispatch("t", "127.0.0.1:9", 5.0)
    dispatch.via = await carrier.start()
    try:
        reply = await targets.send(Call("r1", "GET", "h", "/"), dispatch)
        return b"".join([chunk async for chunk in reply.chunks()])
    finally:
        carrier.stop()


# Guards against a body that is passed on as whole though a host on its way ended it.
@pytest.mark.parametrize("framed", [False, True])
async def test_a_body_that_another_host_ends_is_not_whole(
    targets: HttpTargets, framed: bool
):
    data = frame(HEAD + EVENTS) if framed else HEAD + EVENTS
    with pytest.raises(TargetFailed) as caught:
        await read_through(targets, Carrier(framed, data))
    assert caught.value.lost


# Guards against a body that is held for broken although its target ended it.
@pytest.mark.parametrize("size", [1, 3, 1000])
async def test_a_body_that_the_target_ends_is_whole(targets: HttpTargets, size: int):
    sent = HEAD + EVENTS
    frames = [frame(sent[i : i + size]) for i in range(0, len(sent), size)]
    carrier = Carrier(True, b"".join(frames) + frame(b""))
    assert await read_through(targets, carrier) == EVENTS
    assert carrier.requests == [["tunnel", "127.0.0.1:9", True]]


# Guards against a body with a length that is refused through an earlier version.
async def test_a_body_with_a_length_is_whole_through_an_earlier_host(
    targets: HttpTargets,
):
    head = HEAD[:-2] + b"Content-Length: %d\r\n\r\n" % len(EVENTS)
    assert await read_through(targets, Carrier(False, head + EVENTS)) == EVENTS


# Guards against a frame that is cut and passes for the end of the connection.
async def test_a_cut_frame_is_no_end(targets: HttpTargets):
    cut = frame(HEAD + EVENTS) + frame(b"more")[:2]
    with pytest.raises(TargetFailed):
        await read_through(targets, Carrier(True, cut))


# Guards against bytes of another host that are taken for those of the target.
@pytest.mark.parametrize("data", [frame(HEAD) + b"\xff" * 9, frame(b"") + HEAD])
async def test_bytes_that_are_no_frames_fail_the_request(
    targets: HttpTargets, data: bytes
):
    with pytest.raises(TargetFailed):
        await read_through(targets, Carrier(True, data))


# Guards against answers that cannot be told to be whole while another way is there.
async def test_hosts_that_say_who_ends_a_connection_are_asked_first(
    fleet_of_three: Fleet,
):
    fleet, rng = fleet_of_three, Random(1)
    tables = fleet.hosts[0].tables
    await fleet.until(
        lambda: [row.status is not None for row in tables.hosts.rows.values()]
        == [True, True]
    )
    tables.hosts.rows["host-1"].status.protocol = 0
    now = asyncio.get_running_loop().time()
    found = [paths.choose_host(tables, "plain", (), now, rng) for _ in range(20)]
    assert {entry.name for entry in found} == {"host-2"}
    found = paths.choose_host(tables, "plain", {"host-2"}, now, rng)
    assert found.name == "host-1"


class Process:
    """A host's process with an engine whose streams have no length."""

    def __init__(self, folder: Path) -> None:
        self.store, self.engine = StoreStandIn(), EngineStandIn("e", "dc-0")
        self._folder = folder

    async def start(self) -> None:
        await self.store.start()
        await self.engine.start()
        self.engine.injected.always = "unframed"
        self.engine.event_interval_s = 0.05
        self.store.put("config", "main", deployment())
        self.store.put("servers", "e", self.engine.entry())
        pid = os.getpid()
        ip = f"127.{1 + pid // 250 % 250}.{pid % 250}.9"
        self.host = HostProcess(9, ip, self.store.address, GRACE_S, self._folder)
        self.keeper = asyncio.create_task(self.host.keep_running())
        async with asyncio.timeout(READY_S):
            await self.host.ready.wait()

    async def open_tunnel(self, framed: bool):
        """Ask for a connection to the engine as a host does, and send a request."""
        reader, writer = await asyncio.open_connection(self.host.ip, INTERNAL_PORTS[0])
        request = ["tunnel", self.engine.address] + [True] * framed
        writer.write(msgspec.msgpack.encode(request))
        reply, received = None, b""
        while reply is None:
            received += await reader.read(65_536)
            unpacker = msgpack.Unpacker()
            unpacker.feed(received)
            found = [each for each in unpacker if each[0] == "tunnelled"]
            reply = found[0] if found else None
        assert reply[1] == ""
        assert not framed or reply[3]
        writer.write(
            b"POST /stream/a HTTP/1.1\r\nHost: h\r\nX-Turmericflow-Attempt-Id: r1\r\n"
            b"X-Turmericflow-Expect-Instance: e\r\nContent-Length: 0\r\n\r\n"
        )
        return reader, writer

    async def stop(self) -> None:
        self.keeper.cancel()
        await asyncio.gather(self.keeper, return_exceptions=True)
        await self.engine.stop()
        await self.store.stop()


@pytest.fixture
async def process(tmp_path: Path) -> AsyncIterator[Process]:
    """Run a host in a process of its own."""
    running = Process(tmp_path)
    await running.start()
    yield running
    await running.stop()


async def read_all(reader: asyncio.StreamReader, framed: bool) -> tuple[bytes, bool]:
    """Return the target's bytes, and whether the target is said to have ended them."""
    decoder, found = FrameDecoder(), b""
    try:
        while data := await reader.read(65_536):
            found += b"".join(decoder.feed(data)) if framed else data
    except ConnectionError:
        return found, False
    return found, decoder.ended or not framed


# Guards against a host whose death looks to another host like the end of an answer.
@pytest.mark.parametrize("framed", [False, True])
async def test_a_killed_host_does_not_end_what_it_carries(
    process: Process, framed: bool
):
    reader, writer = await process.open_tunnel(framed)
    await asyncio.sleep(0.3)
    process.host.kill(0.0)
    _, ended = await read_all(reader, framed)
    writer.close()
    assert not ended


# Guards against a planned stop that cuts what a host carries for others.
@pytest.mark.parametrize("framed", [False, True])
async def test_a_leaving_host_carries_answers_to_their_end(
    process: Process, framed: bool
):
    reader, writer = await process.open_tunnel(framed)
    await asyncio.sleep(0.3)
    stopping = asyncio.create_task(process.host.stop(GRACE_S, 0.0))
    found, ended = await read_all(reader, framed)
    writer.close()
    assert b"id: 20\n" in found
    assert ended
    assert await stopping


# Guards against a planned stop whose end passes for that of a longer answer.
@pytest.mark.parametrize("framed", [False, True])
async def test_a_stopped_host_does_not_end_what_it_carries(
    process: Process, framed: bool
):
    process.engine.events = 1000
    reader, writer = await process.open_tunnel(framed)
    await asyncio.sleep(0.3)
    process.host.signal(signal.SIGTERM)
    _, ended = await read_all(reader, framed)
    writer.close()
    assert not ended


# Guards against a stream that is broken off and whole to a caller without chunks.
async def test_a_broken_stream_is_reset_for_callers_that_read_no_chunks(fleet: Fleet):
    (engine,) = await fleet.add_engines("dc-0")
    engine.injected.always = "cut 3"
    host = fleet.hosts[0]
    reader, writer = await asyncio.open_connection(LOOPBACK, host.ports[0])
    writer.write(
        b"POST /stream/a HTTP/1.0\r\nHost: site.example\r\nContent-Length: 0\r\n"
        b"X-Turmericflow-Attempt-Id: r1\r\nX-Turmericflow-Key: %s\r\n\r\n"
        % KEY.encode()
    )
    with pytest.raises(ConnectionResetError):
        await reader.read(-1)
    writer.close()
