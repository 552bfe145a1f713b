"""Tests of targets of the product's own interface that send bytes without end.

The platform's answers are read in the same way.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable

import aiohttp
import pytest

from turmericflow import _body_memory as body_memory
from turmericflow._responses import READ_BYTES, use_connection
from turmericflow.cfg import Address
from turmericflow.profile import Profile, ProfileKind
from turmericflow.services import _engine as engine
from turmericflow.services._engine import EngineClient, EngineOutput
from turmericflow.services._plain import PlainClient
from turmericflow.services._platform import PlatformClient, PlatformError
from turmericflow.services._runner import _check_length
from turmericflow.tables import RequestId, RequestRow
from turmericflow.tests.platform_stand_ins import ENDLESS, endless_bytes
from turmericflow.verdict import TargetFailed

IP = "127.0.0.1"
FAILED_WITHIN_S = 5.0
CALLERS = 40
# What the sockets' buffers of a connection hold, on both sides.
BUFFERED_BYTES = 8_000_000
CHUNK_BYTES = 4 * READ_BYTES  # that a body may hand over at once
WHOLE = {"excess", "excess answers"}
LINE = b'{"i":0,"t":"'
OK = b"HTTP/1.1 200 OK\r\n\r\n"


class EndlessServer:
    """Sends bytes without end on each connection, until it is closed."""

    def __init__(self, pieces) -> None:
        self._pieces = pieces
        self.sent_bytes = 0

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._serve, IP, 0)
        return Address(IP, self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            for piece in self._pieces():
                writer.write(piece)
                await writer.drain()
                self.sent_bytes += len(piece)
        except OSError:
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        self._server.close()


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    connector = aiohttp.TCPConnector(limit=0)
    use_connection(connector)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield session


async def fail_all(pieces, call, number: int = 1) -> int:
    """Let calls fail at an endless server; return the bytes that it could send."""
    server = EndlessServer(pieces)
    address = await server.start()
    async with asyncio.timeout(FAILED_WITHIN_S):
        found = await asyncio.gather(
            *(call(address) for _ in range(number)), return_exceptions=True
        )
    server.stop()
    assert all(isinstance(each, TargetFailed | PlatformError) for each in found)
    return server.sent_bytes


def accept(output: EngineOutput) -> bool:
    return True


def repeat(head: bytes, piece: bytes):
    def pieces() -> Iterable[bytes]:
        yield head
        while True:
            yield piece * (65_536 // len(piece))

    return pieces


# Guards against bytes without end that are kept until the caller's time is over.
@pytest.mark.parametrize("kind", [kind for kind in ENDLESS if kind not in WHOLE])
async def test_endless_bytes_of_a_plain_service_fail_the_call(
    session: aiohttp.ClientSession, kind: str
):
    client = PlainClient(session)
    sent = await fail_all(
        lambda: endless_bytes(kind, {}),
        lambda address: client.call(address, "k", "{}", accept),
    )
    assert sent <= body_memory.MAX_ANSWER_BYTES + BUFFERED_BYTES


# Guards against memory that grows with the callers of a faulty service.
async def test_endless_answers_of_many_calls_share_their_memory(
    session: aiohttp.ClientSession, monkeypatch: pytest.MonkeyPatch
):
    client, peak_bytes, add = PlainClient(session), 0, body_memory.OpenBody.add

    def add_and_note(self, size: int) -> None:
        nonlocal peak_bytes
        add(self, size)
        peak_bytes = max(peak_bytes, client._memory._held_bytes)

    monkeypatch.setattr(body_memory.OpenBody, "add", add_and_note)
    await fail_all(
        lambda: endless_bytes("body", {}),
        lambda address: client.call(address, "k", "{}", accept),
        CALLERS,
    )
    assert peak_bytes <= body_memory.MAX_HELD_BYTES + CALLERS * CHUNK_BYTES
    assert (client._memory._held_bytes, client._memory._bodies) == (0, 0)


@pytest.mark.parametrize(
    ("head", "piece", "max_bytes"),
    [
        (OK + LINE, b"x", engine.MAX_LINE_BYTES),
        (OK, b"no line", engine.MAX_LINE_BYTES),
        (OK, b"\n", engine.MAX_STREAM_BYTES),
        (b"HTTP/1.1 500 Failed\r\n\r\n", b"x", engine.MAX_MESSAGE_BYTES),
    ],
)
async def test_endless_bytes_of_an_engine_end_the_stream(
    session: aiohttp.ClientSession, head: bytes, piece: bytes, max_bytes: int
):
    client = EngineClient(session)
    sent = await fail_all(
        repeat(head, piece), lambda address: client.attach(address, "g", 0, accept)
    )
    assert sent <= max_bytes + BUFFERED_BYTES
    assert client._stream_memory._held_bytes == 0


# Guards against lines that are complete, each of them, and never end.
async def test_endless_tokens_end_the_stream(session: aiohttp.ClientSession):
    def tokens() -> Iterable[bytes]:
        yield OK
        number = 0
        while True:
            lines = [b'{"i":%d,"t":"a "}\n' % n for n in range(number, number + 1000)]
            yield b"".join(lines)
            number += 1000

    profile = Profile("p", "s", idempotent=True, kind=ProfileKind.GENERATION)
    row = RequestRow(RequestId("c", "k"), profile, "g", 1, b"", "", 256, 0.0)

    def check(output: EngineOutput) -> bool:
        _check_length(row, output)
        return True

    client = EngineClient(session)
    sent = await fail_all(tokens, lambda address: client.attach(address, "g", 0, check))
    assert sent <= BUFFERED_BYTES


async def test_endless_reports_fail(session: aiohttp.ClientSession):
    client = EngineClient(session)
    sent = await fail_all(repeat(OK, b"["), client.fetch_load)
    assert sent <= engine.MAX_REPORT_BYTES + BUFFERED_BYTES
    sent = await fail_all(repeat(b"HTTP/1.1 409 Stale\r\n\r\n", b"x"), order(client))
    assert sent <= BUFFERED_BYTES


def order(client: EngineClient):
    return lambda address: client.send_order(address, 1, [])


async def test_endless_answers_of_the_platform_fail(session: aiohttp.ClientSession):
    def hosts(address: Address):
        return PlatformClient(session, address).hosts()

    sent = await fail_all(repeat(OK, b"["), hosts)
    assert sent <= body_memory.MAX_ANSWER_BYTES + BUFFERED_BYTES


# Guards against answers that are counted together, on a connection that is used again.
async def test_many_answers_on_one_connection_are_whole(
    session: aiohttp.ClientSession,
):
    body = b'{"running": 1}'
    data = b"HTTP/1.1 200 OK\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s" % (
        b"x" * 4000,
        len(body),
        body,
    )
    connections = 0

    async def serve(reader, writer):
        nonlocal connections
        connections += 1
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)

    server = await asyncio.start_server(serve, IP, 0)
    address = Address(IP, server.sockets[0].getsockname()[1])
    client = EngineClient(session)
    for _ in range(100):
        assert (await client.fetch_load(address)).running == 1
    server.close()
    assert connections == 1
