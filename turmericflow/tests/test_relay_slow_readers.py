"""Tests of callers that read a stream more slowly than its engine sends it."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from turmericflow.tests.platform_stand_ins import (
    KEY,
    EngineStandIn,
    Fleet,
    deployment,
)

CALLERS, STAGGER_S = 26, 0.1
# The last bytes of some of these streams wait in the host, whatever the system holds.
FIRST_EVENTS, MORE_EVENTS = 112, 1
EVENT_BYTES = 2500
READ_BYTES, READ_PAUSE_S = 5000, 0.1
RECEIVE_BUFFER_BYTES = 8192
SEGMENT_BYTES = 1460  # as on an ordinary network; larger ones hold more


class LargeEvents(EngineStandIn):
    def event(self, received, number: int) -> bytes:
        return b"id: %d\ndata: " % number + b"x" * EVENT_BYTES + b"\n\n"


async def read_slowly(address: tuple[str, int], number: int, events: int) -> bytes:
    await asyncio.sleep(number * STAGGER_S)
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setblocking(False)
    try:
        await loop.sock_connect(sock, address)
        head = (
            f"POST /stream/x?events={events}&interval_s=0.001 HTTP/1.1\r\n"
            f"Host: site.example\r\nX-Turmericflow-Attempt-Id: s{number}\r\n"
            f"X-Turmericflow-Key: {KEY}\r\nX-Turmericflow-Deadline-Ms: 20000\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        await loop.sock_sendall(sock, head.encode())
        data = b""
        while not data.endswith(b"0\r\n\r\n"):
            if not (received := await loop.sock_recv(sock, READ_BYTES)):
                break
            data += received
            await asyncio.sleep(READ_PAUSE_S)
        return data
    finally:
        sock.close()


# Guards against finished streams that are cut and sent again while their callers read.
async def test_finished_streams_wait_for_slow_readers(tmp_path: Path):
    fleet = Fleet(tmp_path)
    await fleet.start(1)
    fleet.store.put("config", "main", deployment_with_long_streams())
    for number in range(4):
        await fleet.add_target(LargeEvents(f"engine-{number}", f"dc-{number % 3}"))
    await fleet.until(lambda: fleet.all_hosts_have_targets("model", 4))
    await asyncio.sleep(0.5)
    host, _, port = fleet.hosts[0].url.removeprefix("http://").partition(":")
    sizes = [FIRST_EVENTS + n * MORE_EVENTS for n in range(CALLERS)]
    answers = await asyncio.gather(
        *(read_slowly((host, int(port)), n, size) for n, size in enumerate(sizes))
    )
    received = sum(len(each.received) for each in fleet.targets.values())
    await fleet.stop()
    assert [data.count(b"id: ") for data in answers] == sizes
    assert all(data.endswith(b"0\r\n\r\n") for data in answers)
    assert received == CALLERS


def deployment_with_long_streams() -> dict[str, object]:
    found = deployment() | {"version": 2}
    for route in found["routes"]:
        if route["name"] == "stream":
            route["timeoutMs"] = 20_000
    return found
