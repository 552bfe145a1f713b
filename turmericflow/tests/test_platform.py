"""Tests of the platform's client against its stand-in."""

from __future__ import annotations

import argparse
import asyncio

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from turmericflow.cfg import Address
from turmericflow.services._config import GOSSIPED_KINDS
from turmericflow.services._platform import PlatformClient
from turmericflow.testing.platform import PlatformStandIn

WAIT_S = 60.0


@pytest.fixture
async def client():
    args = argparse.Namespace(
        writes_s=1000, reads_s=1000, host_list_lag_s=0.0, weights_s=1
    )
    async with TestServer(PlatformStandIn(args).app()) as server:
        async with aiohttp.ClientSession() as session:
            yield PlatformClient(session, Address("127.0.0.1", server.port))


async def test_watch_is_not_woken_by_objects_of_other_kinds(client):
    watch = asyncio.ensure_future(client.watch(0, WAIT_S, GOSSIPED_KINDS))
    await client.put("lease", "orders-north", {"holder": "entry-1"}, 0)
    await client.put("burn", "north", {"cells": [], "times": []}, 0)
    await client.put("mark", "redactor-1", {"name": "redactor-1"}, 0)
    answer = await watch
    assert [(each.kind, each.name) for each in answer.items] == [("mark", "redactor-1")]
    assert answer.version == 3


async def test_watch_without_kinds_returns_all_objects(client):
    await client.put("lease", "orders-north", {"holder": "entry-1"}, 0)
    answer = await client.watch(0, WAIT_S)
    assert [each.kind for each in answer.items] == ["lease"]
