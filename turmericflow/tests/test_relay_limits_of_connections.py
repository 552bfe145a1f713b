"""Tests of the limits of callers' connections, and of requests beside them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest

from turmericflow.tests.platform_stand_ins import Fleet, deployment

LINES = (
    b"POST /order/1 HTTP/1.1\r\nHost: site.example\r\nX-Turmericflow-Key: key-of-a\r\n"
    b"X-Turmericflow-Deadline-Ms: 2000\r\nX-Turmericflow-Attempt-Id: %s\r\n"
)
HEAD = LINES + b"Content-Length: 0\r\n\r\n"


class Connection:
    """A caller's connection."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, fleet: Fleet) -> Connection:
        port = fleet.hosts[0].ports[0]
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self) -> tuple[int, bytes]:
        """Return the status and body of the next answer that has a length."""
        async with asyncio.timeout(5):
            head = await self.reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
            return status, await self.reader.readexactly(int(length))

    async def request(self, id: bytes) -> tuple[int, bytes]:
        self.send(HEAD % id)
        return await self.answer()

    async def is_open(self, wait_s: float = 0.01) -> bool:
        """Return whether the host sends and closes nothing for a time."""
        try:
            async with asyncio.timeout(wait_s):
                await self.reader.read(1)
        except TimeoutError:
            return True
        except ConnectionError:
            pass
        return False


Limit = Callable[..., Awaitable[Connection]]


@pytest.fixture
async def limited(fleet: Fleet) -> Limit:
    """Return a function that sets limits and opens a connection under them."""
    await fleet.add_plain(1)
    versions = iter(range(5, 100))

    async def apply(opens: bool = True, **limits: int) -> Connection | None:
        version = next(versions)
        config = deployment(version, limits={"maxBodyBytes": 10_000} | limits)
        fleet.store.put("config", "main", config)
        table = fleet.hosts[0].tables.deployment
        await fleet.until(lambda: table.value.version == version)
        return await Connection.open(fleet) if opens else None

    return apply


# Guards against a whole request that is closed without an answer, as the time for its
# head ends in the pass of the event loop in which the rest of the head is read.
@pytest.mark.parametrize("stall_s", [0.31, 1.0])
async def test_a_head_that_is_read_whole_after_a_stall_is_answered(
    limited: Limit, stall_s: float
):
    conn = await limited(headerTimeoutMs=300)
    conn.send(HEAD[:60])
    await asyncio.sleep(0.1)
    conn.send(HEAD[60:] % b"a")
    time.sleep(stall_s)
    assert await conn.answer() == (200, b"plain-0 a")


# Guards against a connection on which the rest of a body, after an early answer, counts
# as the head of another request that never ends.
async def test_the_rest_of_a_body_is_no_head(limited: Limit):
    conn = await limited(headerTimeoutMs=300)
    conn.send(LINES % b"large" + b"Content-Length: 40000\r\n\r\n")
    for _ in range(4):
        conn.send(b"b" * 10_000)
        await asyncio.sleep(0.05)
    assert (await conn.answer())[0] == 413
    assert await conn.is_open(0.5)
    assert await conn.request(b"next") == (200, b"plain-0 next")


# Guards against a connection that is closed as if a head were late, when the caller has
# sent only the empty lines that HTTP allows between requests.
async def test_empty_lines_between_requests_are_no_head(limited: Limit):
    conn = await limited(headerTimeoutMs=300)
    assert await conn.request(b"first") == (200, b"plain-0 first")
    conn.send(b"\r\n")
    assert await conn.is_open(0.5)
    assert await conn.request(b"next") == (200, b"plain-0 next")


# Guards against a head that arrives in time and is closed by the idle timeout.
async def test_the_idle_timeout_ends_with_the_first_bytes_of_a_head(limited: Limit):
    conn = await limited(idleTimeoutMs=1_000)
    assert await conn.request(b"first") == (200, b"plain-0 first")
    await asyncio.sleep(0.7)
    conn.send(HEAD[:60])
    await asyncio.sleep(0.6)
    conn.send(HEAD[60:] % b"next")
    assert await conn.answer() == (200, b"plain-0 next")


# Guards against a request that arrives while the process is stopped, and is closed
# unread, as the timers that are due run before the connections are read.
async def test_a_head_that_arrives_while_the_process_is_stopped_is_answered(
    limited: Limit, stall: Callable[[float], None]
):
    conn = await limited(headerTimeoutMs=300)
    conn.send(HEAD[:60])
    await asyncio.sleep(0.1)
    conn.send(HEAD[60:] % b"a")
    stall(1.0)
    assert await conn.answer() == (200, b"plain-0 a")


# Guards against the same on an idle connection.
async def test_a_request_that_arrives_while_the_process_is_stopped_is_answered(
    limited: Limit, stall: Callable[[float], None]
):
    conn = await limited(idleTimeoutMs=400)
    assert await conn.request(b"first") == (200, b"plain-0 first")
    await asyncio.sleep(0.2)
    conn.send(HEAD % b"next")
    stall(1.0)
    assert await conn.answer() == (200, b"plain-0 next")


# Guards against heads that take any time.
async def test_a_head_that_comes_too_slowly_closes_the_connection(limited: Limit):
    conn = await limited(headerTimeoutMs=300)
    assert await conn.request(b"first") == (200, b"plain-0 first")
    conn.send(HEAD[:60])
    assert await conn.is_open(0.2)
    for _ in range(3):
        conn.send(b"X-A: a\r\n")
        await asyncio.sleep(0.1)
    assert not await conn.is_open()


# Guards against an answer that is cut by the timer of the next head.
async def test_a_head_that_begins_during_an_answer_has_its_time_after_it(
    fleet: Fleet, limited: Limit
):
    conn = await limited(headerTimeoutMs=300)
    fleet.targets["plain-0"].response_delay_s = 0.5
    conn.send(HEAD % b"first")
    await asyncio.sleep(0.1)
    conn.send(HEAD[:60])
    assert await conn.answer() == (200, b"plain-0 first")
    conn.send(HEAD[60:] % b"next")
    assert await conn.answer() == (200, b"plain-0 next")


# Guards against connections that keep the limits under which they were opened, and are
# closed on callers that rely on a longer limit of a later configuration.
async def test_a_longer_idle_timeout_applies_to_open_connections(limited: Limit):
    conn = await limited(idleTimeoutMs=400)
    assert await conn.request(b"first") == (200, b"plain-0 first")
    await limited(idleTimeoutMs=2_000, opens=False)
    assert await conn.is_open(1.2)
    assert await conn.request(b"next") == (200, b"plain-0 next")
    assert await conn.is_open(1.2)
    assert await conn.request(b"last") == (200, b"plain-0 last")


# Guards against a caller that keeps to a newer limit and is cut by an older one.
async def test_a_longer_time_for_heads_applies_to_open_connections(limited: Limit):
    conn = await limited(headerTimeoutMs=300)
    conn.send(HEAD[:60])
    await limited(headerTimeoutMs=2_000, opens=False)
    await asyncio.sleep(0.8)
    conn.send(HEAD[60:] % b"a")
    assert await conn.answer() == (200, b"plain-0 a")


# Guards against a connection that is closed on a caller that cannot know of a shorter
# limit yet, and against one that keeps a longer limit for good.
async def test_a_shorter_idle_timeout_applies_from_the_next_wait_on(limited: Limit):
    conn = await limited(idleTimeoutMs=2_000)
    assert await conn.request(b"first") == (200, b"plain-0 first")
    await limited(idleTimeoutMs=500, opens=False)
    assert await conn.is_open(1.0)
    assert await conn.request(b"next") == (200, b"plain-0 next")
    assert await conn.is_open(0.2)
    assert not await conn.is_open(1.0)


# Guards against pipelined requests that are dropped or cross.
async def test_pipelined_requests_are_all_answered_in_order(limited: Limit):
    conn = await limited()
    no_route = HEAD.replace(b"/order/", b"/nowhere/") % b"no-route"
    no_id = HEAD.replace(b"X-Turmericflow-Attempt-Id: %s\r\n", b"")
    body = LINES % b"large" + b"Content-Length: 12000\r\n\r\n" + b"b" * 12_000
    conn.send(HEAD % b"a" + no_route + no_id + body + HEAD % b"b")
    answers = [await conn.answer() for _ in range(5)]
    assert [status for status, _ in answers] == [200, 404, 400, 413, 200]
    assert answers[-1][1] == b"plain-0 b"


# Guards against work that goes on for a caller that is gone.
async def test_a_caller_that_ends_its_sending_side_counts_as_gone(
    fleet: Fleet, limited: Limit
):
    conn = await limited()
    target = fleet.targets["plain-0"]
    target.response_delay_s = 0.6
    conn.send(HEAD % b"a")
    await fleet.until(lambda: target.received)
    conn.writer.write_eof()
    await fleet.until(lambda: target.received[0].outcome == "cancelled", 0.5)
    assert await conn.reader.read() == b""
