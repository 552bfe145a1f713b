"""Tests of a host against stand-ins for the platform's services."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from functools import partial

import pytest
from structlog.testing import capture_logs

from turmericflow.platform import _process as process_module
from turmericflow.platform._process import (
    modification_time,
    reload_settings,
    watch_settings,
)
from turmericflow.platform._settings import read_settings
from turmericflow.relay import _membership as membership
from turmericflow.tests.platform_stand_ins import (
    CRASHING_BODY,
    CUSTOMER,
    EngineStandIn,
    Fleet,
    TargetStandIn,
    deployment,
)


def _event_ids(body: bytes) -> list[int]:
    lines = body.split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


async def test_plain_answer_is_passed_on_whole(fleet: Fleet):
    targets = await fleet.add_plain()
    async with fleet.request("/order/1?a=b", data=b"body") as resp:
        body = await resp.read()
    (seen,) = targets[0].received + targets[1].received
    assert resp.status == 200 and body.endswith(b" r1")
    assert resp.headers["X-Turmericflow-Upstream-Signature"].startswith("receipt-")
    assert (seen.path, seen.body) == ("/order/1?a=b", b"body")
    assert seen.headers["X-Turmericflow-Tenant"] == CUSTOMER
    assert "X-Turmericflow-Key" not in seen.headers
    assert int(seen.headers["X-Turmericflow-Deadline-Ms"]) <= 800


async def test_response_sent_before_a_long_request_body_is_read_is_complete(
    fleet: Fleet,
):
    (target,) = await fleet.add_plain(1)
    target.injected.faults = ["early"]
    async with fleet.request("/order/1", data=b"b" * 90_000) as resp:
        body = await resp.read()
    assert resp.status == 200 and body.endswith(b" r1")
    async with fleet.request("/order/2", "r2", data=b"next") as resp:
        assert (await resp.read()).endswith(b" r2")
    assert [seen.body for seen in target.received] == [b"", b"next"]


# Guards against an internal error for a header that is too long for a number.
async def test_a_number_that_is_too_long_is_ignored(fleet: Fleet):
    await fleet.add_plain(1)
    headers = {"X-Turmericflow-Deadline-Ms": "9" * 5000}
    async with fleet.request("/order/1", headers=headers) as resp:
        assert resp.status == 200


RESERVED = {
    "X-Turmericflow-Tenant": "forged",
    "X-Turmericflow-Hold": "h",
    "X-Turmericflow-Pin-Ms": "9",
    "X-Turmericflow-Kv-Backup": "10.0.0.1:1",
    "Kv-From": "10.0.0.1:1/x",
    "Kv-Fetch": "10.0.0.1:1",
    "X-Turmericflow-Expect-Version": "4",
    "X-Turmericflow-Request-Priority": "0",
    "X-Turmericflow-Expect-Instance": "forged",
    "Connection": "X-Secret",
    "X-Secret": "s",
}


async def test_a_callers_reserved_headers_are_dropped(fleet: Fleet):
    (target,) = await fleet.add_plain(1)
    async with fleet.request("/order/1", headers=RESERVED) as resp:
        assert resp.status == 200
    headers = target.received[0].headers
    assert headers["X-Turmericflow-Tenant"] == CUSTOMER
    assert headers["X-Turmericflow-Expect-Instance"] == target.name
    dropped = set(RESERVED) - {"X-Turmericflow-Tenant", "Connection"}
    dropped.discard("X-Turmericflow-Expect-Instance")
    assert not [name for name in dropped if name in headers]


@pytest.mark.parametrize(
    "path, key, status",
    [
        ("/nowhere/1", "key-of-a", 404),
        ("/order", "key-of-a", 404),
        ("/order/1", "no-key", 401),
        ("/order/1", None, 401),
    ],
)
async def test_unknown_routes_and_keys_are_refused(fleet: Fleet, path, key, status):
    (target,) = await fleet.add_plain(1)
    headers = {"X-Turmericflow-Key": key}
    async with fleet.request(path, headers=headers) as resp:
        assert resp.status == status
    assert not target.received


HEAD = b"POST /order/1 HTTP/1.1\r\nHost: site.example\r\n"
HEAD_WITH_ID = (
    HEAD + b"X-Turmericflow-Attempt-Id: a\r\nX-Turmericflow-Key: key-of-a\r\n"
)
MALFORMED = {
    "no name": HEAD + b"Content-Length: 0\r\n\r\n",
    "two names": HEAD_WITH_ID
    + b"X-Turmericflow-Attempt-Id: b\r\nContent-Length: 0\r\n\r\n",
    "two lengths": HEAD_WITH_ID
    + b"Content-Length: 0\r\nContent-Length: 5\r\n\r\nabcde",
    "length and chunks": HEAD_WITH_ID
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    + HEAD_WITH_ID
    + b"\r\n",
    "no header": HEAD_WITH_ID + b"what is this\r\n\r\n",
    "no request": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
    "chunks cut short": HEAD_WITH_ID + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
}


@pytest.mark.parametrize("name", MALFORMED)
async def test_a_malformed_request_reaches_no_target(fleet: Fleet, name: str):
    (target,) = await fleet.add_plain(1)
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.hosts[0].ports[0])
    writer.write(MALFORMED[name])
    writer.write_eof()
    answer = await asyncio.wait_for(reader.read(), 3)
    assert answer == b"" or answer.startswith((b"HTTP/1.1 400", b"HTTP/1.0 400"))
    writer.close()
    async with fleet.request("/order/1", "good") as resp:
        assert resp.status == 200
    assert [seen.id for seen in target.received] == ["good"]


async def test_a_body_over_the_limit_is_refused(fleet: Fleet):
    await fleet.add_plain(1)
    async with fleet.request("/order/1", data=b"x" * 100_001) as resp:
        assert resp.status == 413
    async with fleet.request("/order/1", headers={"X-A": "x" * 17_000}) as resp:
        assert resp.status == 431


@pytest.mark.parametrize(
    "fault", ["reset", "torn", "other", "unsigned", "unframed torn"]
)
async def test_a_non_idempotent_request_runs_once(fleet: Fleet, fault: str):
    targets = await fleet.add_plain(3)
    for target in targets:
        target.injected.always = fault
    async with fleet.request("/order/1") as resp:
        assert resp.status == 502
    assert sum(len(target.received) for target in targets) == 1


@pytest.mark.parametrize(
    "fault", ["reset", "torn", "other", "unsigned", "error", "unframed torn"]
)
async def test_an_idempotent_request_runs_at_a_second_target(fleet: Fleet, fault: str):
    targets = await fleet.add_plain(3)
    for number in range(6):
        for target in targets:
            target.injected.faults.clear()
            target.received.clear()
        targets[number % 3].injected.faults.append(fault)
        async with fleet.request("/state/1", f"r{number}", method="GET") as resp:
            assert resp.status == 200
            await resp.read()


async def test_a_targets_failure_is_passed_on_if_no_other_can_run_it(fleet: Fleet):
    (target,) = await fleet.add_plain(1)
    target.injected.always = "error"
    async with fleet.request("/state/1", method="GET") as resp:
        assert (resp.status, await resp.read()) == (500, b"failed")
        assert resp.headers["X-Turmericflow-Upstream-Signature"] == "receipt-plain-0"


async def test_a_stream_skips_engines_that_do_not_match_their_entry(
    fleet: Fleet,
):
    engines = await fleet.add_engines(*["dc-0"] * 7)
    for engine in engines[:6]:
        engine.name = "another"
    async with fleet.request("/stream/1") as resp:
        assert _event_ids(await resp.read()) == list(range(1, 21))


@pytest.mark.parametrize("memory, used", [(88_000, True), (1_000, False)])
async def test_a_restarted_engine_is_used_while_the_store_is_unreachable(
    fleet_of_three: Fleet, memory: int, used: bool
):
    """All engines of a data centre restart while no host can read the store."""
    fleet = fleet_of_three
    (engine,) = await fleet.add_engines("dc-0")
    fleet.store.status = 503
    rows = [host.tables.hosts for host in fleet.hosts]
    fleet.store.put("servers", "nudge", {})
    await fleet.until(lambda: all(row.unanswered_kinds for row in rows))
    await fleet.until(lambda: all(len(row.rows) == 2 for row in rows))
    await asyncio.sleep(0.6)
    engine.name, engine.kv_cache_tokens = "engine-again", memory
    async with fleet.request("/stream/1", "r1") as resp:
        assert resp.status == 503
    await asyncio.sleep(0.3)
    for host in range(3):
        async with fleet.request("/stream/1", f"r{host + 2}", host) as resp:
            assert resp.status == (200 if used else 503)
            await resp.read()
    fleet.store.status = None
    await fleet.until(lambda: fleet.all_hosts_have_targets("model", 1))


async def test_lost_engines_are_probed_while_the_store_is_unreachable(fleet: Fleet):
    (engine,) = await fleet.add_engines("dc-0")
    fleet.store.status = 503
    fleet.store.put("servers", "nudge", {})
    tables = fleet.hosts[0].tables
    await fleet.until(lambda: tables.hosts.unanswered_kinds)
    engine.injected.always = "reset"
    async with fleet.request("/stream/1", "r1") as resp:
        assert resp.status == 502
    engine.name, engine.injected.always = "engine-again", ""
    await fleet.until(lambda: "engine-again@0" in tables.targets.rows)
    async with fleet.request("/stream/1", "r2") as resp:
        assert resp.status == 200
        await resp.read()


async def test_a_response_without_a_content_length_is_complete(fleet: Fleet):
    (target,) = await fleet.add_plain(1)
    target.injected.always = "unframed"
    async with fleet.request("/order/1") as resp:
        assert (resp.status, await resp.read()) == (200, b"plain-0 r1")


async def test_a_refused_send_goes_to_another_target(fleet: Fleet):
    targets = await fleet.add_plain(3)
    targets[0].injected.always = targets[1].injected.always = "shed"
    for number in range(6):
        async with fleet.request("/order/1", f"r{number}") as resp:
            assert resp.status == 200
    for target in targets:
        target.injected.always = "shed"
    async with fleet.request("/order/1") as resp:
        assert resp.status == 503 and float(resp.headers["Retry-After"]) > 0


async def test_the_routes_timeout_ends_the_wait(fleet: Fleet):
    (target,) = await fleet.add_plain(1)
    target.injected.always = "mute"
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with fleet.request("/order/1") as resp:
        assert resp.status == 504
    assert 0.7 < loop.time() - started_at < 1.2
    await fleet.until(lambda: target.received[0].outcome == "cancelled")


async def test_a_target_that_timed_out_is_chosen_last(fleet: Fleet):
    targets = await fleet.add_plain(2)
    for target in targets:
        target.injected.faults = ["mute"]
    async with fleet.request("/order/1", "r0") as resp:
        assert resp.status == 504
    (mute,) = [target for target in targets if target.received]
    (other,) = [target for target in targets if not target.received]
    other.injected.faults.clear()
    for number in range(6):
        async with fleet.request("/order/1", f"s{number}") as resp:
            assert resp.status == 200
    assert len(other.received) == 6 and len(mute.received) == 1


async def test_a_replaced_target_is_not_used_again(fleet: Fleet):
    first, second = await fleet.add_plain(2)
    first.name = "other"
    for number in range(4):
        async with fleet.request("/order/1", f"r{number}") as resp:
            assert resp.status == 200
    assert len(second.received) == 4


async def test_a_stream_is_passed_on_as_it_comes(fleet: Fleet):
    await fleet.add_engines("dc-0")
    async with fleet.request("/stream/1", data=b"prompt") as resp:
        assert resp.status == 200
        assert resp.headers["Content-Type"] == "text/event-stream"
        body = await resp.read()
    assert _event_ids(body) == list(range(1, 21))


@pytest.mark.parametrize("fault", ["cut 7", "tear 7", "silent 7", "double 7"])
async def test_a_stream_resumes_from_its_copy_in_another_data_centre(
    fleet: Fleet, fault: str
):
    first, second, third = await fleet.add_engines("dc-0", "dc-1", "dc-1")
    second.injected.always = third.injected.always = ""
    first.injected.always = fault
    second.prefill_s = third.prefill_s = 3.0
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with fleet.request("/stream/1", data=b"prompt") as resp:
        body = await resp.read()
        receipt = resp.headers["X-Turmericflow-Upstream-Signature"]
    assert _event_ids(body) == list(range(1, 21))
    assert receipt == "receipt-engine-0"
    assert loop.time() - started_at < 2.0
    if not fault.startswith("double"):
        (seen,) = second.received + third.received
        assert seen.headers["Last-Event-Id"] in ("6", "7")
        assert seen.headers["Kv-From"].endswith("/r1")


async def test_a_copy_is_replaced_when_its_holder_leaves(fleet: Fleet):
    first, second, third = await fleet.add_engines("dc-0", "dc-1", "dc-2")
    first.event_interval_s, first.injected.always = 0.05, "cut 15"
    async with fleet.request("/stream/1") as resp:
        await resp.content.readany()
        (run,) = fleet.hosts[0].tables.runs
        holder = fleet.targets[run.backup.entry.id]
        other = third if holder is second else second
        fleet.store.put("servers", holder.name, holder.entry("draining"))
        await fleet.until(lambda: first.copies_made == 1)
        assert _event_ids(b"id: 1\n" + await resp.read())[-1] == 20
    assert [seen.headers["Kv-From"] for seen in other.received] == [
        f"{first.address}/move-1"
    ]


@pytest.mark.parametrize("own, sent", [(None, "1"), (3, "3"), (40, "9")])
async def test_a_customers_priority_overrides_its_routes(fleet: Fleet, own, sent: str):
    (engine,) = await fleet.add_engines("dc-0")
    tenant = {"name": CUSTOMER, "apiKeys": ["key-of-a"], "priority": own}
    fleet.store.put("config", "main", deployment(5, tenants=[tenant]))
    table = fleet.hosts[0].tables.deployment
    await fleet.until(lambda: table.value.version == 5)
    headers = {"X-Turmericflow-Request-Priority": "0"}
    async with fleet.request("/stream/1", headers=headers) as resp:
        await resp.read()
    assert engine.received[0].headers["X-Turmericflow-Request-Priority"] == sent


async def test_a_stream_resumes_without_a_copy(fleet: Fleet):
    first, second = await fleet.add_engines("dc-0", "dc-0")
    first.injected.always = "cut 5"
    for number in range(100):
        async with fleet.request("/stream/1", f"r{number}") as resp:
            assert _event_ids(await resp.read()) == list(range(1, 21))
        if first.received:
            break
    assert any(seen.headers.get("Last-Event-Id") == "5" for seen in second.received)


async def test_a_stream_survives_the_loss_of_engine_and_copy(fleet: Fleet):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-1", "dc-2")
    engines[0].injected.faults = ["cut 5"]
    engines[1].injected.faults = ["reset"]
    engines[2].injected.faults = ["reset"]
    async with fleet.request("/stream/1") as resp:
        assert _event_ids(await resp.read()) == list(range(1, 21))


async def test_a_stream_that_cannot_be_resumed_never_looks_complete(fleet: Fleet):
    engines = await fleet.add_engines("dc-0", "dc-1")
    for engine in engines:
        engine.injected.always = "cut 5"
    with pytest.raises(Exception, match="payload|disconnected|reset"):
        async with fleet.request("/stream/1") as resp:
            await resp.read()


async def test_a_stream_that_may_not_be_resumed_runs_once(fleet: Fleet):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2")
    routes = deployment()["routes"]
    routes[0]["streamResume"] = False
    fleet.store.put("config", "main", deployment(5, routes=routes))
    table = fleet.hosts[0].tables.deployment
    await fleet.until(lambda: table.value.version == 5)
    for engine in engines:
        engine.injected.always = "cut 5"
    with pytest.raises(Exception, match="payload|disconnected|reset"):
        async with fleet.request("/stream/1") as resp:
            await resp.read()
    (seen,) = [seen for engine in engines for seen in engine.received]
    assert "X-Turmericflow-Kv-Backup" not in seen.headers


async def test_a_caller_that_leaves_ends_the_run(fleet: Fleet):
    (engine,) = await fleet.add_engines("dc-0")
    engine.event_interval_s = 0.2
    resp = await fleet.request("/stream/1")
    await resp.content.readany()
    resp.close()
    await fleet.until(lambda: engine.received[0].outcome == "cancelled", 0.5)
    assert not fleet.hosts[0].tables.runs


async def test_a_stream_resumed_by_its_caller_goes_on_after_its_last_event(
    fleet: Fleet,
):
    await fleet.add_engines("dc-0")
    headers = {"Last-Event-Id": "12"}
    async with fleet.request("/stream/1", headers=headers) as resp:
        assert _event_ids(await resp.read()) == list(range(13, 21))


async def test_a_content_that_crashes_its_targets_is_refused(fleet: Fleet):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2", "dc-0", "dc-1")
    for number in range(6):
        async with fleet.request("/stream/1", f"r{number}", data=CRASHING_BODY) as resp:
            assert resp.status in (502, 503)
        await asyncio.sleep(0.1)
    assert 3 <= sum(len(engine.received) for engine in engines) <= 5
    async with fleet.request("/stream/1", "good", data=b"good") as resp:
        assert resp.status == 200
        await resp.read()


# Guards against a content that crashes targets again at each host that is restarted.
async def test_a_host_that_has_just_started_refuses_a_content_that_crashed_targets(
    fleet: Fleet,
):
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2", "dc-0", "dc-1")
    for number in range(6):
        async with fleet.request("/stream/1", f"r{number}", data=CRASHING_BODY) as resp:
            assert resp.status in (502, 503)
        await asyncio.sleep(0.1)
    await asyncio.sleep(1.5)  # longer than statuses repeat what is new
    started = await fleet.add_host("started", "dc-1")
    await fleet.until(lambda: started.tables.targets.rows)
    await fleet.until(lambda: started.tables.hosts.rows["host-0"].status is not None)
    await asyncio.sleep(0.5)
    reached = sum(len(engine.received) for engine in engines)
    for number in range(3):
        async with fleet.request(
            "/stream/1", f"again{number}", 1, data=CRASHING_BODY
        ) as resp:
            assert resp.status in (502, 503)
    assert sum(len(engine.received) for engine in engines) == reached


async def test_lost_responses_do_not_block_a_content(fleet: Fleet):
    (target,) = await fleet.add_plain(1)
    for number in range(5):
        target.injected.faults = ["reset"]
        async with fleet.request("/state/1", f"lost{number}", method="GET") as resp:
            assert resp.status == 502
    await asyncio.sleep(0.1)
    async with fleet.request("/state/1", "r1", method="GET") as resp:
        assert resp.status == 200


async def test_a_leaving_target_gets_no_new_work(fleet: Fleet):
    first, second = await fleet.add_plain(2)
    fleet.store.put("servers", first.name, first.entry("draining"))
    rows = fleet.hosts[0].tables.targets.rows
    await fleet.until(lambda: rows[f"{first.name}@0"].entry.leaving)
    for number in range(5):
        async with fleet.request("/order/1", f"r{number}") as resp:
            assert resp.status == 200
    assert not first.received


UNREADABLE = [
    {"backend": "plain"},
    {"backend": "plain", "address": 4, "zone": "z", "state": "ready"},
    {"backend": "plain", "address": "10.0.0.1:1", "zone": "z", "state": "odd"},
    "not an object",
    None,
]


@pytest.mark.parametrize("entry", UNREADABLE)
async def test_an_invalid_entry_does_not_affect_others(fleet: Fleet, entry: object):
    await fleet.add_plain(2)
    fleet.store.put("servers", "odd", entry)
    last = TargetStandIn("last", "dc-0")
    await fleet.add_target(last)
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 3))
    fleet.store.put("servers", last.name, entry)
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 2))


async def test_a_deployment_is_applied_at_all_hosts_and_never_reverts(
    fleet_of_three: Fleet,
):
    fleet = fleet_of_three
    fleet.store.put("config", "main", deployment(5))
    tables = [host.tables.deployment for host in fleet.hosts]
    await fleet.until(lambda: all(t.value and t.value.version == 5 for t in tables), 1)
    fleet.store.put("config", "main", deployment(4))
    await asyncio.sleep(0.3)
    assert [table.value.version for table in tables] == [5, 5, 5]


async def test_a_change_missed_by_a_watch_is_applied_in_time(
    fleet_of_three: Fleet,
):
    fleet = fleet_of_three
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 0))
    fleet.store.watches_stalled = True
    fleet.store.put("config", "main", deployment(9))
    fleet.store.compact_history()
    tables = [host.tables.deployment for host in fleet.hosts]
    await fleet.until(lambda: all(table.value.version == 9 for table in tables), 2.0)


async def test_a_host_without_store_access_learns_from_its_peers(
    fleet_of_three: Fleet,
):
    fleet = fleet_of_three
    await fleet.add_plain(1)
    dead = TargetStandIn("dead-store", "dc-0")
    host = fleet.hosts[2]
    await fleet.until(lambda: len(host.tables.hosts.rows) == 2)
    host.ctx.store._base = f"http://{dead.address}/v1/objects"
    fleet.store.put("config", "main", deployment(7))
    await fleet.until(lambda: host.tables.deployment.value.version == 7, 2.0)


async def test_a_target_removed_while_a_host_had_no_store_access_stays_removed(
    fleet_of_three: Fleet,
):
    fleet = fleet_of_three
    host = fleet.hosts[2]
    await fleet.until(lambda: all(len(h.tables.hosts.rows) == 2 for h in fleet.hosts))
    base, host.ctx.store._base = host.ctx.store._base, "http://127.0.0.1:1"
    nudge = TargetStandIn("nudge", "dc-0")
    await fleet.add_target(nudge)
    await fleet.until(lambda: host.tables.hosts.unanswered_kinds)
    left = TargetStandIn("left", "dc-0")
    await fleet.add_target(left)
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 2))
    fleet.store.remove("servers", left.name)
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 1))
    await asyncio.sleep(0.6)
    host.ctx.store._base = base
    fleet.store.put("servers", "again", {})
    await fleet.until(lambda: not host.tables.hosts.unanswered_kinds)
    for _ in range(20):
        assert fleet.all_hosts_have_targets("plain", 1)
        await asyncio.sleep(0.05)


async def test_a_host_that_does_not_watch_the_store_learns_of_targets_from_peers(
    fleet_of_three: Fleet, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(membership, "WATCHERS", 1)
    monkeypatch.setattr(membership, "RESYNCERS", 1)
    fleet = fleet_of_three
    await fleet.until(lambda: all(len(h.tables.hosts.rows) == 2 for h in fleet.hosts))
    await asyncio.sleep(0.6)
    for number in range(3):
        came = TargetStandIn(f"came-{number}", "dc-0")
        await fleet.add_target(came)
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 3))
    fleet.store.remove("servers", "came-0")
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 2))


async def test_a_host_without_a_deployment_refuses_requests(tmp_path):
    fleet = Fleet(tmp_path)
    fleet.store.status = 503
    await fleet.start()
    try:
        async with fleet.request("/order/1") as resp:
            assert resp.status == 503 and "Retry-After" in resp.headers
        ready = f"http://127.0.0.1:{fleet.hosts[0].ports[1]}/v1/readyz"
        async with fleet.session.get(ready) as resp:
            assert resp.status == 503
        fleet.store.status = None
        await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 0))
        await asyncio.sleep(0.1)
        async with fleet.session.get(ready) as resp:
            assert resp.status == 200
    finally:
        await fleet.stop()


async def test_a_leaving_host_is_no_longer_listed_and_finishes_its_streams(
    fleet_of_three: Fleet,
):
    fleet = fleet_of_three
    (engine,) = await fleet.add_engines("dc-0")
    engine.event_interval_s = 0.05
    resolve = f"http://127.0.0.1:{fleet.hosts[1].ports[2]}/v1/resolve?name=site.example"

    async def listed() -> list[str]:
        async with fleet.session.get(resolve) as resp:
            return (await resp.json())["addresses"] if resp.status == 200 else []

    async with asyncio.timeout(3):
        while len(await listed()) < 3:
            await asyncio.sleep(0.02)
    request = await fleet.request("/stream/1")
    leaving = asyncio.create_task(fleet.hosts[0].daemon.leave())
    await asyncio.sleep(0.2)
    assert len(await listed()) == 2
    async with fleet.request("/stream/1", "r2") as resp:
        assert resp.headers["Connection"] == "close"
        assert _event_ids(await resp.read()) == list(range(1, 21))
    assert _event_ids(await request.read()) == list(range(1, 21))
    await leaving


async def test_a_reload_applies_new_settings_and_ignores_invalid_ones(
    fleet: Fleet,
):
    host = fleet.hosts[0]
    settings = json.loads(host.path.read_text())
    settings["bounds"] |= {"retryBudgetRatio": 0.1, "graceS": 1.5}
    host.path.write_text(json.dumps(settings))
    reload_settings(host.ctx, host.path)
    assert host.tables.retry_budgets.ratio == 0.1 and host.ctx.settings.leave_s == 1.5
    host.path.write_text("{")
    reload_settings(host.ctx, host.path)
    assert host.ctx.settings.leave_s == 1.5


async def test_a_settings_file_that_changes_is_read_without_a_signal(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(process_module, "SETTINGS_CHECK_INTERVAL_S", 0.02)
    host = fleet.hosts[0]
    watch = asyncio.create_task(
        watch_settings(host.ctx, host.path, modification_time(host.path))
    )
    await asyncio.sleep(0.05)
    settings = json.loads(host.path.read_text())
    settings["bounds"]["graceS"] = 1.25
    host.path.write_text(json.dumps(settings))
    await fleet.until(lambda: host.ctx.settings.leave_s == 1.25)
    host.path.unlink()
    await asyncio.sleep(0.1)
    assert not watch.done() and host.ctx.settings.leave_s == 1.25
    watch.cancel()


# Guards against settings that change while the process starts and are never applied.
async def test_settings_that_changed_during_the_start_are_applied(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(process_module, "SETTINGS_CHECK_INTERVAL_S", 0.02)
    host = fleet.hosts[0]
    await host.stop()
    monkeypatch.setenv("TURMERICFLOW_NODE_FILE", str(host.path))
    listeners = partial(process_module.listeners, metrics_port=host.ports[4])
    monkeypatch.setattr(process_module, "listeners", listeners)
    loaded_at = modification_time(host.path)
    old = read_settings(host.path)
    settings = json.loads(host.path.read_text())
    settings["bounds"]["graceS"] = 1.25
    host.path.write_text(json.dumps(settings))
    with capture_logs() as lines:
        process = asyncio.create_task(process_module._serve(old, loaded_at))
        await fleet.until(lambda: any(line["event"] == "reloaded" for line in lines))
    (reloaded,) = [line for line in lines if line["event"] == "reloaded"]
    assert reloaded["settings"].leave_s == 1.25
    os.kill(os.getpid(), signal.SIGTERM)
    assert await asyncio.wait_for(process, 5) == process_module.EXIT_OK


async def test_idle_connections_are_kept_as_long_as_the_deployment_says(fleet: Fleet):
    await fleet.add_plain(1)
    limits = {"idleTimeoutMs": 400, "maxBodyBytes": 10_000}
    fleet.store.put("config", "main", deployment(5, limits=limits))
    table = fleet.hosts[0].tables.deployment
    await fleet.until(lambda: table.value.version == 5)
    ip, port = "127.0.0.1", fleet.hosts[0].ports[0]
    reader, writer = await asyncio.open_connection(ip, port)
    loop = asyncio.get_running_loop()
    head = b"GET /nowhere/ HTTP/1.1\r\nHost: a\r\nX-Turmericflow-Attempt-Id: a\r\n\r\n"
    writer.write(head)
    answer = await reader.readuntil(b"\r\n\r\n")
    answered_at = loop.time()
    assert answer.startswith(b"HTTP/1.1 404")
    await reader.read()
    assert 0.35 < loop.time() - answered_at < 2.0
    writer.close()


async def test_late_headers_close_the_connection(fleet: Fleet):
    (target,) = await fleet.add_plain(1)
    limits = {"headerTimeoutMs": 300, "maxBodyBytes": 10_000}
    fleet.store.put("config", "main", deployment(5, limits=limits))
    table = fleet.hosts[0].tables.deployment
    await fleet.until(lambda: table.value.version == 5)
    target.response_delay_s = 0.5
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.hosts[0].ports[0])
    head = (
        HEAD_WITH_ID + b"X-Turmericflow-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
    )
    for _ in range(2):
        writer.write(head)
        answer = await asyncio.wait_for(reader.readuntil(b"plain-0 a"), 3)
        assert answer.startswith(b"HTTP/1.1 200")
        await asyncio.sleep(0.4)
    writer.write(HEAD_WITH_ID)
    started_at = asyncio.get_running_loop().time()
    await asyncio.wait_for(reader.read(), 3)
    assert 0.2 < asyncio.get_running_loop().time() - started_at < 1.5
    assert len(target.received) == 2
    writer.close()


async def test_streams_that_start_together_go_to_different_engines(
    fleet_of_three: Fleet,
):
    """All hosts send to the remaining engines after a data centre is lost.

    Guards against hosts that all choose the same engine.
    """
    fleet = fleet_of_three
    engines = await fleet.add_engines("dc-0", "dc-0", "dc-1", "dc-1")
    for engine in engines:
        engine.prefill_s = 0.5
    await fleet.until(lambda: all(len(h.tables.hosts.rows) == 2 for h in fleet.hosts))
    await asyncio.sleep(0.3)

    async def send(number: int) -> None:
        await asyncio.sleep(0.03 * number)
        headers = {"X-Turmericflow-Token-Usage": "8000,800"}
        async with fleet.request(
            "/stream/1", f"r{number}", number % 3, headers=headers
        ) as resp:
            await resp.read()

    await asyncio.gather(*(send(number) for number in range(4)))
    assert [len(engine.received) for engine in engines] == [1, 1, 1, 1]


def test_stand_ins_name_their_service():
    assert (TargetStandIn.service, EngineStandIn.service) == ("plain", "model")
