"""Tests of the engine client with broken responses."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from turmericflow.cfg import Address
from turmericflow.services._engine import EngineClient, TargetFailed
from turmericflow.verdict import Verdict

IP = "127.0.0.1"
OK = b"HTTP/1.1 200 OK\r\n\r\n"
FIRST = b'{"i":2,"t":"a "}\n'


def collect_into(texts):
    def on_output(output):
        texts.extend(output.texts)
        return True

    return on_output


async def read_output(response):
    """Attach to an engine that sends some bytes and closes the connection."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        writer.close()

    server = await asyncio.start_server(serve, IP, 0)
    address = Address(IP, server.sockets[0].getsockname()[1])
    texts = []
    async with server, aiohttp.ClientSession() as session:
        await EngineClient(session).attach(address, "g", 2, collect_into(texts))
    return texts


@pytest.mark.parametrize(
    ("response", "verdict", "lost"),
    [
        (b"HTTP/1.1 409 No\r\n\r\n", Verdict.NOT_RUN, False),
        (b"HTTP/1.1 429 No\r\n\r\n", Verdict.NOT_RUN, False),
        (b"HTTP/1.1 503 No\r\n\r\n", Verdict.NOT_RUN, False),
        (b"HTTP/1.1 500 No\r\n\r\n", Verdict.MAY_HAVE_RUN, False),
        (b"HTTP/1.1 404 No\r\n\r\n", Verdict.MAY_HAVE_RUN, False),
        (b"", Verdict.MAY_HAVE_RUN, True),
        (b"nonsense\r\n\r\n", Verdict.MAY_HAVE_RUN, True),
        (OK + FIRST, Verdict.MAY_HAVE_RUN, True),
        (OK + b'{"i":3,"t":"gap "}\n', Verdict.MAY_HAVE_RUN, False),
        (OK + b'{"i":1,"t":"old "}\n', Verdict.MAY_HAVE_RUN, False),
        (OK + b"not json\n", Verdict.MAY_HAVE_RUN, False),
        (OK + b"\xff\xfe\n", Verdict.MAY_HAVE_RUN, False),
        (OK + FIRST + b'{"done":9}\n', Verdict.MAY_HAVE_RUN, False),
        (OK + b'{"error":"cancelled"}\n', Verdict.MAY_HAVE_RUN, False),
    ],
)
async def test_broken_response(response, verdict, lost):
    with pytest.raises(TargetFailed) as caught:
        await read_output(response)
    assert (caught.value.verdict, caught.value.lost) == (verdict, lost)


# Guards against an output that counts although the answer's status is none.
@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"201", b"600", b"999"])
async def test_an_output_behind_another_status_is_none(status):
    output = FIRST + b'{"done":3}\n'
    with pytest.raises(TargetFailed) as caught:
        await read_output(b"HTTP/1.1 %s x\r\n\r\n%s" % (status, output))
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


async def test_complete_response():
    assert await read_output(OK + FIRST + b'{"done":3}\n') == ["a "]


async def test_refused_connection_is_not_run():
    server = await asyncio.start_server(lambda reader, writer: None, IP, 0)
    address = Address(IP, server.sockets[0].getsockname()[1])
    server.close()
    await server.wait_closed()
    async with aiohttp.ClientSession() as session:
        with pytest.raises(TargetFailed) as caught:
            await EngineClient(session).attach(address, "g", 0, collect_into([]))
    assert caught.value.verdict is Verdict.NOT_RUN
