"""Tests of the message streams between routers."""

from __future__ import annotations

import asyncio

from turmericflow import wire
from turmericflow.services._peers import Peers
from turmericflow.services._stats import Stats
from turmericflow.tables import Tables


async def test_call_to_an_unknown_host_gets_none():
    peers = Peers(None, Tables("entry-1", "north"), Stats(None))
    answer = asyncio.get_running_loop().create_future()
    peers.call_nowait("entry-9", wire.Append(7, []), answer.set_result)
    assert await asyncio.wait_for(answer, 10) is None


async def test_call_to_this_host_is_answered_by_its_handler():
    peers = Peers(None, Tables("entry-1", "north"), Stats(None))
    peers.handle(wire.Append, lambda msg, reply: reply(wire.Appended(msg.rid, [0])))
    answer = asyncio.get_running_loop().create_future()
    peers.call_nowait("entry-1", wire.Append(7, []), answer.set_result)
    reply = await asyncio.wait_for(answer, 10)
    assert reply.refused == [0]
