"""Tests of answers that end somewhere within, at the target or on another host's way.

An answer that is cut anywhere before its end must not reach its caller as whole.
"""

from __future__ import annotations

import asyncio

import pytest

from turmericflow.relay import Call, HostEntry
from turmericflow.relay._call import Dispatch
from turmericflow.tests.platform_stand_ins import LOOPBACK, Fleet
from turmericflow.tests.test_relay_tunnel_ends import frame, targets
from turmericflow.verdict import TargetFailed

__all__ = ("targets",)

LINES = (
    b"HTTP/1.1 200 OK\r\nX-Turmericflow-Attempt-Id: r1\r\n"
    b"X-Turmericflow-Upstream-Signature: receipt\r\nContent-Type: text/plain\r\n"
)
BODY = b"twelve bytes"
ANSWERS = {
    "length": LINES + b"Content-Length: 12\r\n\r\n" + BODY,
    "chunks": LINES + b"Transfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n06\r\n bytes"
    b"\r\n0\r\nX-Trailer: 1\r\n\r\n",
    "neither": LINES + b"\r\n" + BODY,
}


class CutTarget:
    """A target that sends a part of an answer and closes the connection."""

    def __init__(self, answer: bytes, framed: bool = False, pause_s: float = 0) -> None:
        self.answer, self._framed, self._pause_s = answer, framed, pause_s

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        return "%s:%d" % self._server.sockets[0].getsockname()

    async def _serve(self, reader, writer) -> None:
        if self._framed:
            await reader.read(65_536)
            writer.write(b"\x94\xa9tunnelled\xa0\xc2\xc3")
        await reader.readuntil(b"\r\n\r\n")
        data = frame(self.answer) + frame(b"") if self._framed else self.answer
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(self._pause_s)
        writer.close()

    def stop(self) -> None:
        self._server.close()


async def read(
    client, answer: bytes, framed: bool, pause_s: float
) -> tuple[int, bool, bytes]:
    """Return status, genuineness and body of an answer, sent once."""
    target = CutTarget(answer, framed, pause_s)
    address = await target.start()
    dispatch = Dispatch("t", address, 5.0)
    if framed:
        dispatch.via = HostEntry("other", 1, "dc-1", "127.0.0.1:1", address)
    try:
        reply = await client.send(Call("r1", "GET", "h", "/"), dispatch)
        try:
            body = b"".join([chunk async for chunk in reply.chunks()])
        finally:
            reply.close()
    finally:
        target.stop()
    return reply.status, reply.genuine, body


# Guards against an answer of which the client library completes what is missing.
@pytest.mark.parametrize("framed", [False, True])
@pytest.mark.parametrize("pause_s", [0.0, 0.002])
@pytest.mark.parametrize("kind", list(ANSWERS))
async def test_an_answer_that_is_cut_anywhere_is_not_whole(
    targets, kind: str, framed: bool, pause_s: float
):
    answer = ANSWERS[kind]
    assert await read(targets, answer, framed, pause_s) == (200, True, BODY)
    head_end = answer.index(b"\r\n\r\n") + 4
    # Without a length or chunks, what follows the head may end anywhere.
    until = head_end if kind == "neither" else len(answer)
    whole = []
    for size in range(until):
        try:
            found = await read(targets, answer[:size], framed, pause_s)
        except TargetFailed:
            continue
        whole.append((size, found))
    assert whole == []


# Guards against a caller that gets a whole 200 with an empty body.
@pytest.mark.parametrize("kind", ["order", "stream"])
async def test_callers_do_not_get_a_cut_head_as_an_answer(fleet: Fleet, kind: str):
    (target,) = await (
        fleet.add_plain(1) if kind == "order" else fleet.add_engines("dc-0")
    )
    cut = CutTarget(LINES)
    address = await cut.start()
    fleet.store.put("servers", target.name, target.entry() | {"address": address})
    host = fleet.hosts[0]
    await fleet.until(
        lambda: [row.entry.address for row in host.tables.targets.rows.values()]
        == [address]
    )
    begin = LINES.index(b"receipt")
    for size in range(begin, len(LINES) + 1):
        cut.answer = LINES[:size]
        async with fleet.request(f"/{kind}/a", f"r{size}") as resp:
            await resp.read()
            assert resp.status in (502, 503, 504)
    cut.stop()
