"""Tests of refusals and errors that reach a host in the wrong place."""

from __future__ import annotations

import aiohttp
import pytest

from turmericflow.tests.platform_stand_ins import Fleet


# Guards against "not run" said of a request that ran, or runs at a second target.
@pytest.mark.parametrize("path", ["/order/a", "/state/a"])
async def test_a_refusal_of_another_request_says_nothing_of_this_one(
    fleet: Fleet, path: str
):
    targets = await fleet.add_plain(2)
    for target in targets:
        target.injected.always = "other refusal"
    async with fleet.request(path) as resp:
        status = resp.status
    runs = sum(len(target.received) for target in targets)
    assert (status, runs) == (502, 1 if path == "/order/a" else 2)


# Guards against an error within a stream, or a stream that ends as if complete.
@pytest.mark.parametrize(
    "fault", ["error", "not found", "text", "other refusal", "shed", "unsigned"]
)
async def test_an_error_of_the_next_engine_stays_out_of_the_stream(
    fleet: Fleet, fault: str
):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2")
    for engine in engines:
        engine.injected.faults, engine.injected.always = [], ""
    path = "/stream/a?events=9&interval_s=0.05"
    async with fleet.request(path) as resp:
        body = await resp.content.readuntil(b"\n\n")
        (first,) = [engine for engine in engines if engine.received]
        for engine in engines:
            engine.injected.always = fault
        await first.stop()
        with pytest.raises(aiohttp.ClientPayloadError):
            while chunk := await resp.content.readany():
                body += chunk
    events = [event for event in body.split(b"\n\n") if event]
    ids = [int(event.split(b"\n")[0].removeprefix(b"id:")) for event in events]
    assert ids == list(range(1, len(ids) + 1))
    assert all(b"data: token" in event for event in events)
