"""Tests of targets that answer an upload early and break off, or with no status.

Each is called directly, and by a host that reaches targets only through others.
"""

from __future__ import annotations

import asyncio
import socket
import struct

import aiohttp
import pytest

from turmericflow.tests.platform_stand_ins import (
    Cut,
    Fleet,
    TargetStandIn,
    deployment,
)

MAX_BODY_BYTES = 4_000_000
RESET = struct.pack("ii", 1, 0)
EVENTS = b"id: 1\ndata: token-1\n\nid: 2\ndata: token-2\n\n"
KINDS = {"order": b"a part", "stream": EVENTS}


@pytest.fixture(params=["direct", "through another host"])
async def uploads(request: pytest.FixtureRequest, fleet_of_three: Fleet) -> Fleet:
    """Run three hosts, of which the first may reach targets only through others."""
    fleet = fleet_of_three
    limits = {"maxHeaderBytes": 16_384, "maxBodyBytes": MAX_BODY_BYTES}
    fleet.store.put("config", "main", deployment(2, limits=limits))
    await fleet.add_plain(1)
    await fleet.add_engines("dc-0")
    await fleet.until(
        lambda: all(host.tables.deployment.value.version == 2 for host in fleet.hosts)
    )
    if request.param != "direct":
        fleet.hosts[0].cut_off(Cut.REFUSED)
        await fleet.until(lambda: fleet.hosts[0].tables.targets.rows)
        for kind in KINDS:
            await _wait_until_served(fleet, kind)
    for target in fleet.targets.values():
        target.received.clear()
        target.injected.always = "early"
    return fleet


async def _wait_until_served(fleet: Fleet, kind: str) -> None:
    async with asyncio.timeout(8.0):
        for number in range(80):
            async with fleet.request(f"/{kind}/1", f"warm-{kind}-{number}") as resp:
                if resp.status == 200 and await resp.read():
                    return
            await asyncio.sleep(0.1)


def _target(fleet: Fleet, kind: str) -> TargetStandIn:
    service = {"order": "plain", "stream": "model"}[kind]
    (target,) = (each for each in fleet.targets.values() if each.service == service)
    return target


def _answer(target: TargetStandIn, status: bytes, lines: bytes, body: bytes, reset_s):
    """Return a handler that answers at once, and may reset the connection later."""

    async def run(request, received, fault):
        signed = target._signed(request)
        head = b"".join(
            b"%s: %s\r\n" % (n.encode(), v.encode()) for n, v in signed.items()
        )
        request.transport.write(
            b"HTTP/1.1 %s x\r\n%s%s\r\n%s" % (status, head, lines, body)
        )
        if reset_s is not None:
            await asyncio.sleep(reset_s)
            sock = request.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            request.transport.abort()
        await asyncio.sleep(3600)

    return run


async def _call(fleet: Fleet, kind: str, id: str, size: int = 0) -> tuple[int, bool]:
    """Return the status of an upload's answer, and whether its body is whole."""
    async with fleet.request(f"/{kind}/1", id, data=b"x" * size) as resp:
        try:
            await resp.read()
        except aiohttp.ClientPayloadError:
            return resp.status, False
        return resp.status, True


# Guards against a part of an answer that passes for the whole, as the target resets the
# connection while the upload is being written.
@pytest.mark.parametrize("kind", list(KINDS))
async def test_an_answer_that_is_reset_within_the_upload_is_not_whole(
    uploads: Fleet, monkeypatch: pytest.MonkeyPatch, kind: str
):
    target = _target(uploads, kind)
    found = []
    for number, size in enumerate((200_000, 1_000_000, 3_500_000)):
        for reset_s in (0.0, 0.01, 0.12):
            run = _answer(target, b"200", b"", KINDS[kind], reset_s)
            monkeypatch.setattr(target, "run", run)
            found.append(await _call(uploads, kind, f"r{number}-{reset_s}", size))
    assert target.received
    assert (200, True) not in found


# Guards against an answer whose status is none, which callers take for an answer.
@pytest.mark.parametrize("kind", list(KINDS))
async def test_a_status_that_is_none_is_no_answer(
    uploads: Fleet, monkeypatch: pytest.MonkeyPatch, kind: str
):
    target = _target(uploads, kind)
    found = {}
    for status in (b"000", b"099", b"101", b"600", b"999", b"1000", b"20", b"2OO"):
        lines = b"Content-Length: %d\r\n" % len(KINDS[kind])
        run = _answer(target, status, lines, KINDS[kind], None)
        monkeypatch.setattr(target, "run", run)
        found[status], _ = await _call(uploads, kind, status.decode())
    assert target.received
    assert set(found.values()) <= {502, 503, 504}, found


# Guards against bytes behind an answer that has no body, which become the next answer.
@pytest.mark.parametrize("status", [204, 304])
async def test_bytes_behind_an_answer_without_a_body_are_dropped(
    uploads: Fleet, monkeypatch: pytest.MonkeyPatch, status: int
):
    target = _target(uploads, "order")
    for number in range(3):
        lines, excess = b"Content-Length: 5\r\n", b"HTTP/1.1 200 OK\r\n\r\n"
        run = _answer(target, b"%d" % status, lines, excess, None)
        monkeypatch.setattr(target, "run", run)
        async with uploads.request("/order/1", f"r{number}") as resp:
            assert (resp.status, await resp.read()) == (status, b"")
