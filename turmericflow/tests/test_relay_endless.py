"""Tests of targets that send bytes without end until the host closes the connection.

An answer must be whole or missing, and in time; a request that may run elsewhere is
answered by another target.
"""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from turmericflow.relay import Call, _silence as silence
from turmericflow.tests.platform_stand_ins import (
    ENDLESS,
    Fleet,
    InjectedFaults,
    TargetStandIn,
)
from turmericflow.verdict import TargetFailed

ROUTE_TIMEOUT_S = 0.8  # of the plain routes
STREAM_TIMEOUT_S = 2.0
LATE_S = 0.5  # after its timeout, a request must have its answer
REPORT_SEND_BYTES = 16_000_000  # with what the sockets' buffers hold
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


# Guards against endless bytes that look like a complete stream.
@pytest.mark.parametrize("kind", STREAM)
async def test_a_stream_of_endless_bytes_is_never_complete(fleet: Fleet, kind: str):
    engines = await fleet.add_engines("dc-0")
    _share_faults(engines, kind)
    headers = {"X-Turmericflow-Deadline-Ms": str(int(STREAM_TIMEOUT_S * 1000))}
    started_at = asyncio.get_running_loop().time()
    resp = await fleet.request("/stream/1", headers=headers)
    if resp.status == 200:
        with pytest.raises(aiohttp.ClientPayloadError):
            await resp.read()
    else:
        assert resp.status == (503 if kind in NOT_RUN else 502)
    assert asyncio.get_running_loop().time() - started_at < STREAM_TIMEOUT_S + LATE_S
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


# Guards against an event that is lost because an invalid one follows in the same read.
@pytest.mark.parametrize("fault", ["skip 7", "garble 7", "long id 7"])
async def test_a_stream_resumes_after_the_last_valid_event(fleet: Fleet, fault: str):
    engines = await fleet.add_engines("dc-0", "dc-1")
    engines[0].injected = engines[1].injected = InjectedFaults(faults=[fault])
    async with fleet.request("/stream/1") as resp:
        body = await resp.read()
    assert _event_ids(body) == list(range(1, 21))
    assert b"skipped" not in body and b"no event" not in body


# Guards against an error response that is written into a body that has begun.
async def test_an_internal_error_within_a_stream_aborts_it(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
):
    await fleet.add_engines("dc-0")
    monkeypatch.setattr(silence, "record_event", _raise_at_third_event)
    async with asyncio.timeout(2):
        with pytest.raises(aiohttp.ClientPayloadError):
            async with fleet.request("/stream/1") as resp:
                await resp.read()


def _raise_at_third_event(tables, run, now) -> None:
    run.events += 1
    if run.events == 3:
        raise ValueError("an internal error")


async def _fetch_report(fleet: Fleet, target: TargetStandIn):
    client = fleet.hosts[0].ctx.target_client
    return await client.fetch_report(target.address, "/healthz")


# Guards against a report that is read without a bound.
@pytest.mark.parametrize("kind", [kind for kind in PLAIN if kind not in WHOLE])
async def test_endless_bytes_are_no_report(fleet: Fleet, kind: str):
    (engine,) = await fleet.add_engines("dc-0")
    engine.injected.report = kind
    assert await _fetch_report(fleet, engine) is None
    await _check_closed([engine])
    assert engine.endless_sends[0].size < REPORT_SEND_BYTES


@pytest.mark.parametrize(
    "kind", ["no HTTP", "headers", "interim", "body", "chunk size"]
)
async def test_endless_bytes_of_a_health_check_are_not_read(fleet: Fleet, kind: str):
    (engine,) = await fleet.add_engines("dc-0")
    engine.injected.health = kind
    report = await _fetch_report(fleet, engine)
    assert report is None if kind not in ("body", "chunk size") else report.id
    await _check_closed([engine])
    assert engine.endless_sends[0].size < REPORT_SEND_BYTES


# Guards against a target that counts as alive because it sends bytes without end.
@pytest.mark.parametrize("kind", [kind for kind in PLAIN if kind not in WHOLE])
async def test_endless_bytes_do_not_answer_a_probe(fleet: Fleet, kind: str):
    (engine,) = await fleet.add_engines("dc-0")
    engine.injected.report = kind
    client = fleet.hosts[0].ctx.target_client
    assert not await client.probe(engine.address, 0.2)
    await _check_closed([engine])
    assert engine.endless_sends[0].size < REPORT_SEND_BYTES


# Guards against the answer to an order to copy that is read without a bound.
@pytest.mark.parametrize("kind", [kind for kind in PLAIN if kind not in WHOLE])
async def test_endless_bytes_are_no_copy(fleet: Fleet, kind: str):
    first, second = await fleet.add_engines("dc-0", "dc-1")
    first.injected.copy = kind
    call = Call("r1", "POST", "site.example", "/stream/1")
    client = fleet.hosts[0].ctx.target_client
    with pytest.raises(TargetFailed):
        await client.copy_kv_cache(call, first.address, second.address)
    await _check_closed([first])
    assert first.endless_sends[0].size < REPORT_SEND_BYTES
