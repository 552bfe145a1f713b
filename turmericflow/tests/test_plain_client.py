"""Tests of the client of plain services with answers that are none."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator

import aiohttp
import pytest

from turmericflow._responses import use_connection
from turmericflow.cfg import Address
from turmericflow.services._engine import TargetFailed
from turmericflow.services._plain import PlainClient
from turmericflow.verdict import Verdict

IP = "127.0.0.1"
UPLOAD = "x" * 3_000_000
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
RESET = struct.pack("ii", 1, 0)


@pytest.fixture
async def client() -> AsyncIterator[PlainClient]:
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    use_connection(connector)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield PlainClient(session)


async def call(client: PlainClient, payload: str, serve) -> list[str]:
    """Call a service that handles its connections with `serve`; return the output."""
    server = await asyncio.start_server(serve, IP, 0)
    address = Address(IP, server.sockets[0].getsockname()[1])
    texts = []

    def on_output(output) -> bool:
        texts.extend(output.texts)
        return True

    async with server, asyncio.timeout(5.0):
        await client.call(address, "key", payload, on_output)
    return texts


def answer(data: bytes, reset: bool = False, after_s: float = 0.0):
    """Return a handler that sends some bytes without reading more than the head."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(after_s)
        if reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.close()

    return serve


# Guards against a part of an answer that is taken for the whole, when the service
# resets the connection while the call is still being sent.
@pytest.mark.parametrize("after_s", [0.0, 0.01, 0.1])
@pytest.mark.parametrize("payload", ["x", UPLOAD])
async def test_an_answer_that_is_reset_is_not_whole(
    client: PlainClient, payload: str, after_s: float
):
    with pytest.raises(TargetFailed) as found:
        await call(client, payload, answer(UNFRAMED + b"a part", True, after_s))
    assert found.value.verdict is Verdict.MAY_HAVE_RUN


async def test_an_answer_without_a_length_ends_with_its_connection(client: PlainClient):
    assert await call(client, "x", answer(UNFRAMED + b"whole")) == ["whole"]


# Guards against answers whose status is none.
@pytest.mark.parametrize(
    "status", [b"000", b"099", b"199", b"600", b"999", b"1000", b"20", b"2OO", b"-200"]
)
async def test_a_status_that_is_none_is_no_answer(client: PlainClient, status: bytes):
    data = b"HTTP/1.1 %s OK\r\nContent-Length: 2\r\n\r\nok" % status
    with pytest.raises(TargetFailed) as found:
        await call(client, "x", answer(data))
    assert found.value.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("status", [b"101", b"103"])
async def test_an_interim_status_is_no_final_one(client: PlainClient, status: bytes):
    with pytest.raises(TargetFailed):
        await call(client, "x", answer(b"HTTP/1.1 %s OK\r\n\r\n" % status))
