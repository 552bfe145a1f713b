"""Tests of a host whose targets fall silent for a second or so and then go on."""

from __future__ import annotations

import asyncio
import socket

import aiohttp
import pytest

from turmericflow.tests.platform_stand_ins import (
    LOOPBACK,
    EngineStandIn,
    Fleet,
    TargetStandIn,
    deployment,
)
from turmericflow.verdict import TargetFailed, Verdict

SILENCE_S = 1.3
WHOLE_STREAM = list(range(1, 21))
BEFORE_FIRST_EVENT, WITHIN_STREAM = "pause 0", "pause 7"


def _event_ids(body: bytes) -> list[int]:
    lines = body.split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


async def _read(fleet: Fleet, id: str = "r1") -> list[int]:
    async with fleet.request("/stream/1", id, data=b"prompt") as resp:
        assert resp.status == 200
        return _event_ids(await resp.read())


async def _read_all(fleet: Fleet, number: int) -> list[list[int] | BaseException]:
    """Read streams at the same time; return their events or why they failed."""
    reads = (_read(fleet, f"r{n}") for n in range(number))
    return await asyncio.gather(*reads, return_exceptions=True)


async def _deploy(fleet: Fleet, **changes: object) -> None:
    """Change the route of the streams."""
    routes = deployment()["routes"]
    routes[0] |= changes
    fleet.store.put("config", "main", deployment(5, routes=routes))
    tables = [host.tables.deployment for host in fleet.hosts]
    await fleet.until(lambda: all(t.value and t.value.version == 5 for t in tables))


def _runs(engines: list[EngineStandIn]) -> int:
    return sum(len(engine.received) for engine in engines)


def _retries(fleet: Fleet) -> int:
    host = fleet.hosts[0]
    usage = host.tables.retry_budgets.usage(host.ctx.clock.now())
    return usage["model"].retries


# Streams that cannot go on elsewhere


# Guards against a stream that is cut, as its silent engine may not run it again.
@pytest.mark.parametrize("fault", [BEFORE_FIRST_EVENT, WITHIN_STREAM])
async def test_a_silent_stream_that_may_not_be_resumed_is_not_ended(
    fleet: Fleet, fault: str
):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2")
    await _deploy(fleet, streamResume=False)
    for engine in engines:
        engine.injected.always = fault
    assert await _read(fleet) == WHOLE_STREAM
    assert _runs(engines) == 1


# Guards against a data centre that counts as lost because one engine is silent for
# longer than its backoff, and against new work there meanwhile.
async def test_a_long_silence_is_one_loss(fleet: Fleet):
    (engine,) = await fleet.add_engines("dc-0")
    engine.pause_s = 2.5
    engine.injected.faults = [WITHIN_STREAM]
    host = fleet.hosts[0]
    (target,) = host.tables.targets.by_service["model"]
    read = asyncio.create_task(_read(fleet))
    await fleet.until(lambda: target.silent)
    for _ in range(20):
        await asyncio.sleep(0.05)
        assert host.ctx.clock.now() < target.backoff_until
        assert target.failures == 1
    assert await read == WHOLE_STREAM


# Guards against a stream that is cut in its only attempt, as its engine is silent.
@pytest.mark.parametrize("fault", [BEFORE_FIRST_EVENT, WITHIN_STREAM])
async def test_a_silent_stream_is_not_ended_in_its_only_attempt(
    fleet: Fleet, fault: str
):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2")
    await _deploy(fleet, maxAttempts=1)
    for engine in engines:
        engine.injected.always = fault
    assert await _read(fleet) == WHOLE_STREAM
    assert _runs(engines) == 1


# Guards against a stream that is cut in its last attempt, as each engine is silent.
@pytest.mark.parametrize("fault", [BEFORE_FIRST_EVENT, WITHIN_STREAM])
async def test_a_silent_stream_is_not_ended_in_its_last_attempt(
    fleet: Fleet, fault: str
):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2")
    await _deploy(fleet, maxAttempts=2)
    for engine in engines:
        engine.injected.always = fault
        engine.pause_s = 2.5
    assert await _read(fleet) == WHOLE_STREAM
    assert _runs(engines) <= 2


# Guards against a stream that is cut, as no other engine exists to go on at.
@pytest.mark.parametrize("fault", [BEFORE_FIRST_EVENT, WITHIN_STREAM])
async def test_a_silent_stream_of_the_only_engine_is_not_ended(
    fleet: Fleet, fault: str
):
    (engine,) = await fleet.add_engines("dc-0")
    engine.injected.always = fault
    assert await _read(fleet) == WHOLE_STREAM
    assert (_runs([engine]), _retries(fleet)) == (1, 0)


# Guards against a stream that is cut, as the retry budget is used up when it is silent.
@pytest.mark.parametrize("fault", [BEFORE_FIRST_EVENT, WITHIN_STREAM])
async def test_a_silent_stream_is_not_ended_without_a_retry_budget(
    fleet: Fleet, fault: str
):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2")
    budgets = fleet.hosts[0].tables.retry_budgets
    budgets.ratio = budgets.slack = 0.0
    for engine in engines:
        engine.injected.always = fault
    assert await _read(fleet) == WHOLE_STREAM
    assert (_runs(engines), _retries(fleet)) == (1, 0)


# Guards against streams that are ended together, though the retry budget is for one.
async def test_silent_streams_share_what_is_left_of_the_retry_budget(fleet: Fleet):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2")
    budgets = fleet.hosts[0].tables.retry_budgets
    budgets.ratio, budgets.slack = 0.0, 1.5
    for engine in engines:
        engine.injected.always = WITHIN_STREAM
        engine.prefill_s = 0.2
    assert await _read_all(fleet, 9) == [WHOLE_STREAM] * 9
    assert _retries(fleet) <= 1


# Guards against a stream that is cut, as the only engine that is not silent refuses it.
async def test_a_silent_stream_that_other_engines_refuse_goes_on(fleet: Fleet):
    first, second = await fleet.add_engines("dc-0", "dc-1")
    first.injected.faults, second.injected.always = [WITHIN_STREAM], "shed"
    assert await _read(fleet) == WHOLE_STREAM


# Guards against sends in a row to an engine that was silent and now refuses them.
async def test_a_silent_engine_that_then_refuses_a_stream_is_not_tried_again(
    fleet: Fleet,
):
    first, second = await fleet.add_engines("dc-0", "dc-1")
    first.injected.faults = ["silent 7"] + ["shed"] * 20
    second.injected.always = "shed"
    with pytest.raises(aiohttp.ClientError):
        await _read(fleet)
    # The second engine with and without its copy, and the first one once more.
    assert (_runs([first, second]), _retries(fleet)) == (1, 3)


# All engines silent at the same time


# Guards against attempts that are used up one after another while no engine answers.
@pytest.mark.parametrize("max_attempts", [1, 2, 5])
@pytest.mark.parametrize("events", [0, 1])
async def test_a_silence_of_all_engines_ends_no_stream(
    fleet: Fleet, max_attempts: int, events: int
):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2")
    await _deploy(fleet, maxAttempts=max_attempts)

    async def silence_engines() -> None:
        await fleet.until(lambda: _runs(engines) == 6)
        while events and not all(run.events for run in fleet.hosts[0].tables.runs):
            await asyncio.sleep(0.01)
        for engine in engines:
            engine.fall_silent(SILENCE_S)

    for engine in engines:
        engine.event_interval_s = 0.05
    silencing = asyncio.create_task(silence_engines())
    found = await _read_all(fleet, 6)
    await silencing
    assert found == [WHOLE_STREAM] * 6
    assert _runs(engines) <= 6 * min(2, max_attempts)


# Guards against all streams of a host being cut after a longer silence of all engines.
async def test_a_longer_silence_of_all_engines_ends_no_stream(fleet: Fleet):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2")
    for engine in engines:
        engine.event_interval_s = 0.05
    reading = asyncio.create_task(_read_all(fleet, 6))
    runs = fleet.hosts[0].tables.runs
    await fleet.until(lambda: len(runs) == 6 and all(run.events for run in runs))
    for engine in engines:
        engine.fall_silent(2.5)
    assert await reading == [WHOLE_STREAM] * 6


# What a silence does not change


# Guards against a silent engine that keeps its streams for good where others could.
@pytest.mark.parametrize("max_attempts", [2, 5])
async def test_a_stream_that_stays_silent_goes_on_at_another_engine(
    fleet: Fleet, max_attempts: int
):
    first, second, third = await fleet.add_engines("dc-0", "dc-1", "dc-1")
    await _deploy(fleet, maxAttempts=max_attempts)
    first.injected.always = "silent 7"
    second.prefill_s = third.prefill_s = 3.0
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    assert await _read(fleet) == WHOLE_STREAM
    assert loop.time() - started_at < 1.2


# Guards against a silent stream whose held attempt never ends, or looks complete.
async def test_a_stream_that_stays_silent_is_cut_at_the_deadline(fleet: Fleet):
    (engine,) = await fleet.add_engines("dc-0")
    await _deploy(fleet, timeoutMs=2000)
    engine.injected.always = "silent 7"
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    with pytest.raises(aiohttp.ClientError):
        await _read(fleet)
    assert 1.9 < loop.time() - started_at < 2.5
    await fleet.until(lambda: engine.received[0].outcome == "cancelled")


# Guards against a connection failure that no longer ends a held attempt.
async def test_a_reset_ends_a_silent_stream_at_once(fleet: Fleet):
    first, second = await fleet.add_engines("dc-0", "dc-0")
    budgets = fleet.hosts[0].tables.retry_budgets
    ratio, slack = budgets.ratio, budgets.slack
    budgets.ratio = budgets.slack = 0.0
    first.injected.always = second.injected.always = "silent 7"
    reading = asyncio.create_task(_read(fleet))
    await asyncio.sleep(1.5)
    assert not reading.done()
    (silent,) = [engine for engine in (first, second) if engine.received]
    first.injected.always = second.injected.always = ""
    budgets.ratio, budgets.slack = ratio, slack
    for conn in silent.runner.server.connections:
        conn.transport.abort()
    assert await asyncio.wait_for(reading, 2.0) == WHOLE_STREAM


# Guards against new work that goes to a silent engine, as its streams are not ended.
async def test_new_streams_avoid_a_silent_engine_whose_stream_is_held(fleet: Fleet):
    first, second = await fleet.add_engines("dc-0", "dc-0")
    await _deploy(fleet, maxAttempts=1)
    first.injected.faults, second.injected.faults = ["pause 7"], ["pause 7"]
    first.pause_s = second.pause_s = 3.0
    reading = asyncio.create_task(_read(fleet, "held"))
    await asyncio.sleep(1.3)
    (other,) = [engine for engine in (first, second) if not engine.received]
    other.injected.faults.clear()
    for number in range(4):
        assert await _read(fleet, f"r{number}") == WHOLE_STREAM
    received = len(other.received)
    assert await reading == WHOLE_STREAM
    assert received == 4


# Guards against a sound engine that gets no work for seconds after a silence.
async def test_an_engine_that_was_silent_is_chosen_again_at_once(fleet: Fleet):
    first, second = await fleet.add_engines("dc-0", "dc-0")
    await _deploy(fleet, maxAttempts=1)
    first.event_interval_s = second.event_interval_s = 0.05
    reading = asyncio.create_task(_read_all(fleet, 2))
    rows = fleet.hosts[0].tables.targets.rows.values()
    await fleet.until(lambda: all(row.event_gap_s for row in rows))
    first.fall_silent(SILENCE_S)
    await asyncio.sleep(SILENCE_S + 0.2)
    row = fleet.hosts[0].tables.targets.rows[f"{first.name}@0"]
    failures, backoff_s = (
        row.failures,
        row.backoff_until - fleet.hosts[0].ctx.clock.now(),
    )
    assert await reading == [WHOLE_STREAM] * 2
    assert failures == 0 and backoff_s <= 0


# Plain services and connections


# Guards against a plain request that ends before its deadline for silence.
@pytest.mark.parametrize("path", ["/order/1", "/state/1"])
async def test_a_plain_request_waits_for_its_silent_target(fleet: Fleet, path: str):
    routes = deployment()["routes"]
    for route in routes:
        route["timeoutMs"] = 3000
    fleet.store.put("config", "main", deployment(5, routes=routes))
    table = fleet.hosts[0].tables.deployment
    targets = await fleet.add_plain(3)
    await fleet.until(lambda: table.value.version == 5)
    for target in targets:
        target.injected.always = "pause"
    async with fleet.request(path) as resp:
        assert (resp.status, (await resp.read())[-3:]) == (200, b" r1")
    assert sum(len(target.received) for target in targets) == 1


def _listen_with_full_queue(target: TargetStandIn) -> list[socket.socket]:
    """Listen at a target's address, but let no further connection be set up.

    Returns the listening socket, and those whose connections fill its queue.
    """
    listener = socket.create_server((LOOPBACK, target.port), backlog=0)
    listener.setblocking(False)
    found = [listener]
    for _ in range(3):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex((LOOPBACK, target.port))
        found.append(sock)
    return found


async def _read_all_connections(listener: socket.socket) -> bytes:
    """Accept connections until none is set up for a while; return what they hold."""
    loop = asyncio.get_running_loop()
    received = b""
    while True:
        try:
            conn, _ = await asyncio.wait_for(loop.sock_accept(listener), 1.5)
        except TimeoutError:
            return received
        try:
            received += await asyncio.wait_for(loop.sock_recv(conn, 1000), 0.1)
        except TimeoutError:
            continue
        finally:
            conn.close()


# Guards against a stream that is cut, as the only engine left accepts no connection.
async def test_a_lost_stream_waits_for_an_engine_that_accepts_no_connection(
    fleet: Fleet,
):
    first, second = EngineStandIn("first", "dc-0"), EngineStandIn("second", "dc-0")
    first.injected.faults = ["cut 7"]
    await fleet.add_target(first)
    queue = _listen_with_full_queue(second)
    fleet.store.put("servers", second.name, second.entry())
    await fleet.until(lambda: fleet.all_hosts_have_targets("model", 2))
    reading = asyncio.create_task(_read(fleet))
    await fleet.until(lambda: first.received)
    await asyncio.sleep(SILENCE_S)
    for sock in queue:
        sock.close()
    await second.start()
    fleet.targets[second.name] = second
    assert await reading == WHOLE_STREAM
    assert [len(engine.received) for engine in (first, second)] == [1, 1]


# Guards against an engine that accepts no connection and is chosen for each new stream,
# as the events of its running streams end its backoff.
async def test_events_do_not_end_the_backoff_of_an_engine_that_accepts_no_connection(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
):
    (engine,) = await fleet.add_engines("dc-0")
    engine.event_interval_s = 0.05
    host = fleet.hosts[0]
    (target,) = host.tables.targets.by_service["model"]
    running = asyncio.create_task(_read(fleet, "running"))
    await fleet.until(lambda: target.last_event_at > 0)

    async def send(self, call, dispatch):
        raise TargetFailed(Verdict.NOT_RUN, "no connection", lost=True, silent=True)

    monkeypatch.setattr(type(host.ctx.target_client), "send", send)
    async with fleet.request("/stream/1", "refused", data=b"prompt") as resp:
        assert resp.status == 503
    lost_at = host.ctx.clock.now()
    await fleet.until(lambda: target.last_event_at > lost_at + 0.1)
    assert target.failures == 1 and target.backoff_until > lost_at + 0.4
    assert await running == WHOLE_STREAM


# Guards against a request that is said not to have run, though its target received it.
@pytest.mark.parametrize("others, status", [(0, 503), (1, 200)])
async def test_a_target_that_accepts_no_connection_receives_no_request(
    fleet: Fleet, others: int, status: int
):
    targets = await fleet.add_plain(others)
    silent = TargetStandIn("silent", "dc-0")
    listener, *queued = _listen_with_full_queue(silent)
    fleet.store.put("servers", silent.name, silent.entry())
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 1 + others))
    loop = asyncio.get_running_loop()
    for number in range(4):
        started_at = loop.time()
        async with fleet.request("/order/1", f"r{number}") as resp:
            assert resp.status == status
            assert status == 200 or float(resp.headers["Retry-After"]) > 0
        assert loop.time() - started_at < 0.7
    assert await _read_all_connections(listener) == b""
    assert sum(len(target.received) for target in targets) == 4 * others
    for sock in [listener, *queued]:
        sock.close()
