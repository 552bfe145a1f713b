"""Tests of targets that send bytes without end until the host closes the connection.

An answer must be whole or missing, and in time; a request that may run elsewhere is
answered by another target.
"""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from turmericflow.tests.platform_stand_ins import (
    ENDLESS,
    Fleet,
    InjectedFaults,
    TargetStandIn,
)

ROUTE_TIMEOUT_S = 0.8  # of the plain routes
STREAM_TIMEOUT_S = 2.0
LATE_S = 0.5  # after its timeout, a request must have its answer
CLOSE_S = 0.2  # from an answer to the close of the target's connection

EVENTS = {"one event", "event id", "comments", "comment blocks", "blank lines"}
EVENTS |= {"blocks without id", "seen events"}
WHOLE = {"excess", "excess answers", "later excess"}
NOT_RUN = {"refusal", "misdirected"}
PLAIN = [kind for kind in ENDLESS if kind not in EVENTS]
PLAIN += ["later excess", "later broken chunks", "later chunk size", "later trailers"]
STREAM = [kind for kind in ENDLESS if kind not in WHOLE]
STREAM += ["later broken chunks", "later chunk size", "later trailers"]


def _event_ids(body: bytes) -> list[int]:
    lines = body.split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


def _share_faults(targets: list[TargetStandIn], *faults: str) -> None:
    """Inject faults into the next requests, whichever target gets them."""
    injected = InjectedFaults(faults=[f"endless {fault}" for fault in faults])
    for target in targets:
        target.injected = injected


async def _check_closed(targets: list[TargetStandIn], number: int = 1) -> None:
    """Check that the connections of endless answers are closed."""
    sends = [send for target in targets for send in target.endless_sends]
    assert len(sends) == number
    await Fleet.until(lambda: all(send.closed_at for send in sends), CLOSE_S)


# Guards against endless bytes that are taken for an answer, or hold a request beyond
# its route's timeout.
@pytest.mark.parametrize("kind", PLAIN)
async def test_endless_bytes_of_a_plain_service_are_no_answer(fleet: Fleet, kind: str):
    targets = await fleet.add_plain(1)
    _share_faults(targets, kind)
    started_at = asyncio.get_running_loop().time()
    async with fleet.request("/order/1") as resp:
        body = await resp.read()
    assert asyncio.get_running_loop().time() - started_at < ROUTE_TIMEOUT_S + LATE_S
    if kind in WHOLE:
        assert (resp.status, body) == (200, b"whole")
    else:
        assert resp.status == (503 if kind in NOT_RUN else 502)
    await _check_closed(targets)


# Guards against a request that waits for the end of endless bytes instead of running
# at another target.
@pytest.mark.parametrize("kind", [kind for kind in PLAIN if kind not in WHOLE])
async def test_a_request_runs_elsewhere_after_endless_bytes(fleet: Fleet, kind: str):
    targets = await fleet.add_plain(2)
    _share_faults(targets, kind)
    async with fleet.request("/state/1", method="GET") as resp:
        assert resp.status == 200
        assert (await resp.read()).endswith(b" r1")
    await _check_closed(targets)


# Guards against endless bytes that reach the caller of a stream, or end it.
@pytest.mark.parametrize("kind", STREAM)
async def test_a_stream_runs_elsewhere_after_endless_bytes(fleet: Fleet, kind: str):
    engines = await fleet.add_engines("dc-0", "dc-1")
    _share_faults(engines, kind)
    headers = {"X-Turmericflow-Deadline-Ms": "5000"}
    async with fleet.request("/stream/1", headers=headers) as resp:
        assert resp.status == 200
        body = await resp.read()
    assert _event_ids(body) == list(range(1, 21))
    lines = set(body.replace(b"id: ", b"data: token-").split(b"\n"))
    assert lines - {b"", b": c"} == {b"data: token-%d" % n for n in range(1, 21)}
    await _check_closed(engines)


# Guards against an endless stream of valid events that outlasts its timeout.
async def test_endless_events_end_with_the_streams_timeout(fleet: Fleet):
    engines = await fleet.add_engines("dc-0")
    _share_faults(engines, "events")
    headers = {"X-Turmericflow-Deadline-Ms": str(int(STREAM_TIMEOUT_S * 1000))}
    started_at = asyncio.get_running_loop().time()
    last = 0
    with pytest.raises(aiohttp.ClientPayloadError):
        async with fleet.request("/stream/1", headers=headers) as resp:
            async for line in resp.content:
                if line.startswith(b"id: "):
                    assert int(line[4:]) == last + 1
                    last += 1
    assert asyncio.get_running_loop().time() - started_at < STREAM_TIMEOUT_S + LATE_S
    await _check_closed(engines)
