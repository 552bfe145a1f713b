"""Tests of responses that are handed on as they come."""

from __future__ import annotations

import asyncio

import pytest

from turmericflow.cfg import Address
from turmericflow.services._stream import (
    ConnectFailed,
    Request,
    StreamCut,
    read_stream,
)

IP = "127.0.0.1"
ASKED = Request("GET", "/v1/streams/g?from=0")
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
COUNTED = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"


@pytest.fixture
async def serve():
    """Return a function that starts a server of given pieces, sent one by one."""
    servers = []

    async def start(*pieces, closes=True):
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0)
            if closes:
                writer.close()

        server = await asyncio.start_server(answer, IP, 0)
        servers.append(server)
        return Address(IP, server.sockets[0].getsockname()[1])

    yield start
    for server in servers:
        server.close()


async def read(address, until=b"\0"):
    taken = []

    def on_data(data):
        taken.append(data)
        return until in data

    response = await asyncio.wait_for(read_stream(address, ASKED, on_data), 10)
    return response, b"".join(taken)


async def test_bytes_come_in_order_until_enough(serve):
    chunks = b"4\r\none \r\n7\r\ntwo end\r\n"
    response, taken = await read(await serve(CHUNKED + chunks, closes=False), b"end")
    assert (response.status, taken) == (200, b"one two end")


@pytest.mark.parametrize("cut", range(1, len(CHUNKED) + 16))
async def test_pieces_may_be_cut_anywhere(serve, cut):
    whole = CHUNKED + b"4;x=1\r\none \r\n3\r\ntwo\r\n0\r\n\r\n"
    response, taken = await read(await serve(whole[:cut], whole[cut:]))
    assert (response.status, taken) == (200, b"one two")


async def test_body_of_known_length_ends_with_its_last_byte(serve):
    address = await serve(COUNTED + b"one", b" two", closes=False)
    assert (await read(address))[1] == b"one two"


async def test_end_of_connection_ends_the_wait_after_its_last_bytes(serve):
    address = await serve(b"HTTP/1.1 200 OK\r\n\r\nlast")
    assert (await read(address))[1] == b"last"


async def test_answer_before_the_final_one_is_passed_over(serve):
    address = await serve(b"HTTP/1.1 102 Processing\r\n\r\n" + COUNTED + b"one two")
    assert (await read(address))[1] == b"one two"


async def test_text_of_an_error_is_kept(serve):
    address = await serve(b"HTTP/1.1 503 No\r\nContent-Length: 4\r\n\r\nfull")
    response, taken = await read(address)
    assert (response.status, response.text, taken) == (503, "full", b"")


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200",
        b"SSH-2.0\r\n\r\n",
        b"HTTP/1.1 two\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\none two",
        COUNTED + b"one",
        CHUNKED + b"4\r\none \r\n",
        CHUNKED + b"4\r\non",
        CHUNKED + b"-4\r\none \r\n",
        CHUNKED + b"fffffffff\r\none \r\n",
        CHUNKED + b"4\r\none-two\r\n0\r\n\r\n",
        b"x" * 70_000,
    ],
)
async def test_answer_that_is_cut_or_invalid_is_told(serve, answer):
    with pytest.raises(StreamCut):
        await read(await serve(answer))


async def test_refused_connection_is_told_apart(serve):
    server = await asyncio.start_server(lambda reader, writer: None, IP, 0)
    address = Address(IP, server.sockets[0].getsockname()[1])
    server.close()
    await server.wait_closed()
    with pytest.raises(ConnectFailed):
        await read(address)


async def test_error_of_one_reader_leaves_the_others(serve):
    first, second = await serve(COUNTED + b"one two"), await serve(COUNTED + b"one two")

    def fail(data):
        raise KeyError("bad line")

    failing = asyncio.ensure_future(read_stream(first, ASKED, fail))
    _, taken = await read(second)
    with pytest.raises(KeyError):
        await failing
    assert taken == b"one two"
