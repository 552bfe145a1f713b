"""Tests that a request ends in one whole answer, or visibly without one."""

from __future__ import annotations

import asyncio
import gzip

import pytest
from structlog.testing import capture_logs

from turmericflow.relay import _stream as stream
from turmericflow.tests.platform_stand_ins import Fleet

LINES = (
    b"POST /%s/1 HTTP/1.1\r\nHost: site.example\r\nX-Turmericflow-Key: key-of-a\r\n"
    b"X-Turmericflow-Deadline-Ms: 500\r\nX-Turmericflow-Attempt-Id: a\r\n"
)


async def _send(fleet: Fleet, data: bytes) -> tuple[asyncio.StreamReader, ...]:
    port = fleet.hosts[0].ports[0]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    return reader, writer


# Guards against the head of a second response within the body of the first.
async def test_an_error_within_a_stream_cuts_it(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
):
    (engine,) = await fleet.add_engines("dc-0")
    feed = stream.EventReader.feed

    def fail(self, chunk: bytes):
        if b"token-5" in chunk:
            raise LookupError("injected")
        return feed(self, chunk)

    monkeypatch.setattr(stream.EventReader, "feed", fail)
    reader, writer = await _send(
        fleet, LINES % b"stream" + b"Content-Length: 0\r\n\r\n"
    )
    with capture_logs() as lines:
        answer = await asyncio.wait_for(reader.read(), 3)
        await fleet.until(lambda: engine.received[0].outcome == "cancelled")
    writer.close()
    assert b"token-4" in answer and answer.count(b"HTTP/1.1") == 1
    assert not answer.endswith(b"0\r\n\r\n")
    (line,) = [line for line in lines if line["event"] == "request_crashed"]
    assert line["begun"]


# Guards against an error that counts as the caller's closing, so that the caller gets
# no answer.
@pytest.mark.parametrize("error", [ConnectionResetError, asyncio.CancelledError])
@pytest.mark.parametrize("route", ["stream", "order"])
async def test_an_error_that_is_not_the_callers_is_answered(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, error: type, route: str
):
    await fleet.add_plain(1)
    await fleet.add_engines("dc-0")

    async def send(*args: object) -> None:
        raise error("injected")

    client = type(fleet.hosts[0].ctx.target_client)
    monkeypatch.setattr(client, "send", send)
    async with fleet.request(f"/{route}/1") as resp:
        assert resp.status == 502


# Guards against requests whose body never ends and that have no answer for ever.
@pytest.mark.parametrize(
    "framing", [b"Content-Length: 9", b"Transfer-Encoding: chunked"]
)
async def test_a_body_that_comes_too_slowly_is_refused(fleet: Fleet, framing: bytes):
    (target,) = await fleet.add_plain(1)
    reader, writer = await _send(
        fleet, LINES % b"order" + framing + b"\r\n\r\n3\r\nabc\r\n"
    )
    started_at = asyncio.get_running_loop().time()
    answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
    assert answer.startswith(b"HTTP/1.1 408") and b"Connection: close" in answer
    assert 0.4 < asyncio.get_running_loop().time() - started_at < 1.0
    assert await asyncio.wait_for(reader.read(), 3) == b""
    assert not target.received
    writer.close()


# Guards against a request without an answer, as the error in its body is noticed only
# by the parser.
async def test_a_malformed_body_is_a_bad_request(fleet: Fleet):
    (target,) = await fleet.add_plain(1)
    reader, writer = await _send(
        fleet, LINES % b"order" + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    )
    await asyncio.sleep(0.1)
    writer.write(b"zz\r\n")
    answer = await asyncio.wait_for(reader.read(), 3)
    assert answer.startswith(b"HTTP/1.1 400")
    assert answer.count(b"HTTP/1.") == 1 and not target.received
    writer.close()


# Guards against a body that a target gets decoded, or that is refused as it cannot be.
@pytest.mark.parametrize(
    "body", [gzip.compress(b"body"), b"not encoded"], ids=["encoded", "plain"]
)
async def test_an_encoded_body_is_passed_on_unchanged(fleet: Fleet, body: bytes):
    (target,) = await fleet.add_plain(1)
    headers = {"Content-Encoding": "gzip"}
    async with fleet.request("/order/1", data=body, headers=headers) as resp:
        assert resp.status == 200
    assert target.received[0].headers["Content-Encoding"] == "gzip"
    assert target.received[0].body == body


# Guards against a connection that is closed without an answer, or a response that never
# ends, as the head that a target sent cannot be passed on.
@pytest.mark.parametrize(
    "status",
    [
        b"200 OK",
        b"101 Switching Protocols",
        b"000 None",
        b"099 None",
        b"600 None",
        b"999 None",
    ],
)
@pytest.mark.parametrize("route", [b"order", b"stream"])
async def test_a_targets_head_that_cannot_be_passed_on_is_a_failure(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, route: bytes, status: bytes
):
    targets = [*await fleet.add_plain(1), *await fleet.add_engines("dc-0")]
    header = b"X-A: a\x01b" if status.startswith(b"200") else b"X-A: ab"

    async def run(request, received, fault):
        request.transport.write(
            b"HTTP/1.1 %s\r\n%s\r\nX-Turmericflow-Attempt-Id: a\r\n"
            b"X-Turmericflow-Upstream-Signature: receipt\r\n"
            b"Content-Length: 7\r\n\r\nid: 1\n\n" % (status, header)
        )
        await asyncio.sleep(3600)

    for target in targets:
        monkeypatch.setattr(target, "run", run)
    reader, writer = await _send(fleet, LINES % route + b"Content-Length: 0\r\n\r\n")
    answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
    assert answer.startswith(b"HTTP/1.1 502")
    assert sum(len(target.received) for target in targets) == 1
    writer.close()


# Guards against targets that count as lost because of what a caller sent.
async def test_a_callers_control_character_is_a_bad_request(fleet: Fleet):
    (target,) = await fleet.add_plain(1)
    reader, writer = await _send(
        fleet, LINES % b"order" + b"X-A: a\x01b\r\nContent-Length: 0\r\n\r\n"
    )
    answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
    writer.close()
    assert answer.startswith((b"HTTP/1.1 400", b"HTTP/1.0 400"))
    (row,) = fleet.hosts[0].tables.targets.by_service["plain"]
    assert not row.failures and not target.received
