"""Tests of answers that are none, from the store, to reports, copies and probes."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from turmericflow import _body_memory as body_memory
from turmericflow.platform._process import open_context
from turmericflow.platform._settings import read_settings
from turmericflow.relay import Call
from turmericflow.relay._context import HostContext
from turmericflow.relay._store import Kind, StoreFailed
from turmericflow.tests.platform_stand_ins import (
    ENDLESS,
    LOOPBACK,
    HostStandIn,
    endless_bytes,
    free_port,
)
from turmericflow.verdict import TargetFailed

BUFFERED_BYTES = 8_000_000  # of a connection, on both sides
WHOLE = {"excess", "excess answers"}
RESET = struct.pack("ii", 1, 0)
LISTING = b'{"items": [], "hasMore": false, "storeRevision": 5}'
REPORT = b'{"models": [{"name": "m"}], "kvTotal": 88000, "born": 7}'
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"


class Peer:
    """Sends the same bytes on each connection, and ends it or resets it."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.pieces = lambda: [b""]
        self.reset = False
        self.sent_bytes = 0

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)

    async def _serve(self, reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            for piece in self.pieces():
                writer.write(piece)
                await writer.drain()
                self.sent_bytes += len(piece)
            if self.reset:
                await asyncio.sleep(0.05)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        except OSError:
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        self._server.close()


@pytest.fixture
async def peer() -> AsyncIterator[Peer]:
    running = Peer(free_port())
    await running.start()
    yield running
    running.stop()


@pytest.fixture
async def ctx(tmp_path: Path, peer: Peer) -> AsyncIterator[HostContext]:
    host = HostStandIn("host-0", "dc-0", peer.address, tmp_path)
    found, sessions = open_context(read_settings(host.path))
    yield found
    for session in sessions:
        await session.close()


# Guards against the store's bytes without end that fill a host's memory.
@pytest.mark.parametrize("kind", [kind for kind in ENDLESS if kind not in WHOLE])
async def test_endless_bytes_of_the_store_fail_the_call(
    ctx: HostContext, peer: Peer, kind: str
):
    peer.pieces = lambda: endless_bytes(kind, {})
    with pytest.raises(StoreFailed):
        await ctx.store.read(Kind.TARGETS)
    assert peer.sent_bytes <= body_memory.MAX_ANSWER_BYTES + BUFFERED_BYTES


# Guards against a part of a list that is taken for the whole.
async def test_no_part_of_a_list_is_the_whole(ctx: HostContext, peer: Peer):
    peer.pieces = lambda: [UNFRAMED + LISTING]
    assert (await ctx.store.read(Kind.TARGETS)).rows == ()
    peer.reset = True
    for end in (0, 1, 12, len(LISTING) - 1, len(LISTING)):
        peer.pieces = lambda: [UNFRAMED + LISTING[:end]]
        with pytest.raises(StoreFailed):
            await ctx.store.read(Kind.TARGETS)


# Guards against the report of a target that answers with a failure, or with nothing.
@pytest.mark.parametrize("status", [b"000", b"099", b"204", b"404", b"500", b"600"])
async def test_a_report_needs_the_status_200(
    ctx: HostContext, peer: Peer, status: bytes
):
    head = b"HTTP/1.1 %s S\r\nContent-Length: %d\r\n\r\n"
    peer.pieces = lambda: [head % (b"200", len(REPORT)) + REPORT]
    report = await ctx.target_client.fetch_report(peer.address, "/health")
    assert report is not None and report.born_ms == 7
    peer.pieces = lambda: [head % (status, len(REPORT)) + REPORT]
    assert await ctx.target_client.fetch_report(peer.address, "/health") is None


@pytest.mark.parametrize("status", [b"000", b"099", b"500", b"503", b"600"])
async def test_a_copy_needs_the_status_200(ctx: HostContext, peer: Peer, status: bytes):
    handle = b'{"handle": "h"}'
    head = b"HTTP/1.1 %s S\r\nContent-Length: %d\r\n\r\n"
    peer.pieces = lambda: [head % (status, len(handle)) + handle]
    call = Call("r1", "POST", "site.example", "/stream/x")
    with pytest.raises(TargetFailed):
        await ctx.target_client.copy_kv_cache(call, peer.address, "127.0.0.1:1")


# Guards against parts of reports and of copies' names that are taken for the whole.
async def test_a_reset_ends_reports_copies_and_probes(ctx: HostContext, peer: Peer):
    client, peer.reset = ctx.target_client, True
    peer.pieces = lambda: [UNFRAMED + REPORT]
    assert await client.fetch_report(peer.address, "/health") is None
    assert not await client.probe(peer.address, 1.0)
    peer.pieces = lambda: [UNFRAMED + b'{"handle": "h"}']
    call = Call("r1", "POST", "site.example", "/stream/x")
    with pytest.raises(TargetFailed):
        await client.copy_kv_cache(call, peer.address, "127.0.0.1:1")
