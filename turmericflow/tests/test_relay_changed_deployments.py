"""Tests of requests that run while the deployment changes."""

from __future__ import annotations

import asyncio

import pytest

from turmericflow.relay import _watchdog as watchdog
from turmericflow.tests.platform_stand_ins import Fleet

EVENTS = 20


# Guards against the end of a host's process, and of all that runs on it, when a run
# ends or its service is removed as its lost KV cache copy is about to be made again.
@pytest.mark.parametrize("change", ["run ended", "service removed"])
async def test_a_copy_is_made_again_although_its_run_or_service_is_gone(
    fleet: Fleet, change: str
):
    await fleet.add_engines("dc-0", "dc-1")
    host = fleet.hosts[0]
    async with fleet.request("/stream/1") as resp:
        (run,) = host.tables.runs
        assert run.backup is not None
        (service,) = [
            child
            for child in host.daemon._children
            if isinstance(child, watchdog.Watchdog)
        ]
        service.add_future(service._copy_kv_cache(run))
        if change == "run ended":
            run.drop_copy()
        else:
            host.tables.deployment.services = {}
        await asyncio.sleep(0.05)
        assert not host.daemon.crashed and not service.crashed
        assert (await resp.read()).count(b"id: ") == EVENTS
