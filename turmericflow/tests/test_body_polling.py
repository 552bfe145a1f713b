"""Tests of the polling of many response bodies."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp.base_protocol import BaseProtocol

from turmericflow.services._body_polling import BodyPoller


@pytest.fixture
async def content():
    loop = asyncio.get_running_loop()
    return aiohttp.StreamReader(BaseProtocol(loop), 65_536, loop=loop)


async def test_bytes_come_in_order_until_enough(content):
    received = []

    def on_data(data):
        received.append(data)
        return b"end" in data

    reading = asyncio.ensure_future(BodyPoller().read(content, on_data))
    await asyncio.sleep(0)
    content.feed_data(b"one ")
    await asyncio.sleep(0.01)
    content.feed_data(b"two end")
    await reading
    assert b"".join(received) == b"one two end"


async def test_end_of_body_ends_the_wait_after_its_last_bytes(content):
    received = []
    content.feed_data(b"last")
    content.feed_eof()
    await BodyPoller().read(content, received.append)
    assert received == [b"last"]


async def test_error_of_body_is_raised(content):
    reading = asyncio.ensure_future(BodyPoller().read(content, lambda data: False))
    await asyncio.sleep(0)
    content.set_exception(aiohttp.ClientPayloadError("cut"))
    with pytest.raises(aiohttp.ClientPayloadError):
        await reading


async def test_error_of_one_reader_leaves_the_others(content):
    poller = BodyPoller()
    other = aiohttp.StreamReader(content._protocol, 65_536)
    received = []

    def fail(data):
        raise ValueError("bad line")

    first = asyncio.ensure_future(poller.read(content, fail))
    second = asyncio.ensure_future(
        poller.read(other, lambda data: bool(received.append(data)) or True)
    )
    await asyncio.sleep(0)
    content.feed_data(b"x")
    other.feed_data(b"y")
    with pytest.raises(ValueError):
        await first
    await second
    assert received == [b"y"]
