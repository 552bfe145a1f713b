"""Tests of connections from callers: what is logged, and when they are closed."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from structlog.testing import capture_logs

from turmericflow.tests.platform_stand_ins import Fleet


async def test_a_cut_at_the_end_of_a_drain_is_not_logged_as_the_callers_doing(
    fleet: Fleet,
):
    (engine,) = await fleet.add_engines("dc-0")
    engine.event_interval_s = 1.0
    host = fleet.hosts[0]
    request = await fleet.request("/stream/1")
    with capture_logs() as lines:
        await host.daemon.leave()
        await host.daemon.close()
        with pytest.raises(aiohttp.ClientPayloadError):
            await request.read()
    events = {line["event"]: line for line in lines}
    assert "caller_left" not in events
    assert events["request_cut"]["request"] == "r1"
    assert events["request_cut"]["closed_by"] == "leaving"
    assert events["leaving"]["connections"] == 1


async def test_a_caller_that_leaves_is_logged_as_such(fleet: Fleet):
    (engine,) = await fleet.add_engines("dc-0")
    engine.event_interval_s = 1.0
    with capture_logs() as lines:
        request = await fleet.request("/stream/1")
        request.close()
        await fleet.until(lambda: any(e["event"] == "caller_left" for e in lines))
        await asyncio.sleep(0.05)
    assert not [line for line in lines if line["event"] == "request_cut"]
