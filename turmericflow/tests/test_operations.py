"""Tests of the command-line tool against real routers."""

from __future__ import annotations

import asyncio
import hashlib
import json
import socket
import time
from pathlib import Path

import aiohttp
import pytest

from turmericflow.cli.main import main
from turmericflow.client import Access, Caller
from turmericflow.testing import Cluster, ClusterPlan, EngineSpec, check_answer
from turmericflow.testing._cluster import http_json

PROFILE = {"name": "quotation", "service": "redactor", "model": "sable"}
PROFILE |= {"adapter": "none", "version": "1"}
ORDER = {"name": "order", "service": "mostrador", "kind": "call"}
ORDER |= {"idempotent": False}
CUSTOMERS = {f"customer/{name}": {"name": name} for name in ("norte", "sur", "este")}
WAIT_TIMEOUT_S = 10.0
# ESTABLISHED and CLOSE_WAIT (closed by the caller only) in /proc/net/tcp.
OPEN_TCP_STATES = ("01", "08")


@pytest.fixture(scope="module")
def cluster():
    args = ["--model", "sable/none/1", "--step-ms", "2"]
    plan = ClusterPlan(
        routers={"entry-1": "north", "entry-2": "south", "entry-3": "west"},
        targets=[
            EngineSpec("redactor-0", "redactor", "north", args),
            EngineSpec("mostrador-0", "mostrador", "north", role="service"),
        ],
        objects={"profile/quotation": PROFILE, "profile/order": ORDER, **CUSTOMERS},
        settings={"burn_save_s": 0.2},
    )
    with Cluster(plan) as cluster:
        yield cluster


@pytest.fixture
def run(cluster, capsys, monkeypatch):
    """Run the tool; return exit code, stdout and stderr."""
    monkeypatch.setenv("TURMERICFLOW_PLATFORM", cluster.processes["platform"].address)
    monkeypatch.setenv("TURMERICFLOW_ADDRESSES", cluster.router_addresses["entry-1"])
    monkeypatch.setenv("TURMERICFLOW_CUSTOMER", "norte")

    def run(*argv):
        code = main([str(arg) for arg in argv])
        return code, *capsys.readouterr()

    yield run
    cluster.set_platform_fault()


def wait_for(condition):
    """Wait until a condition holds."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "condition not met in time"
        time.sleep(0.05)


def open_connections(cluster, host):
    """Return the number of caller connections that a router has open."""
    ip, port = cluster.router_addresses[host].rsplit(":", 1)
    local = f"{socket.inet_aton(ip)[::-1].hex()}:{int(port):04x}".upper()
    rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()]
    return sum(1 for row in rows if row[1] == local and row[3] in OPEN_TCP_STATES)


@pytest.mark.integration
def test_generate_prints_whole_text(run):
    code, out, errors = run("generate", "quotation", "fascia", "--max-tokens", 20)
    assert code == 0 and errors.startswith("turmericflow: idempotency key ")
    tokens = [word + " " for word in out.split()]
    assert check_answer(tokens, 20).ok
    code, out, _ = run("generate", "quotation", "x", "--max-tokens", 5, "--json")
    assert json.loads(out)["count"] == 5


@pytest.mark.integration
def test_same_key_gives_same_answer_at_any_address(run, cluster):
    argv = ("generate", "quotation", "letters", "-k", "k-1", "--max-tokens", 9)
    answers = {
        run(*argv, "--address", address)[1]
        for address in cluster.router_addresses.values()
    }
    assert len(answers) == 1


@pytest.mark.integration
def test_errors_have_the_exit_code_of_their_verdict(run):
    code, out, errors = run("generate", "unknown", "x", "--json")
    assert code == 3
    assert json.loads(out)["error"]["verdict"] == "NOT_RUN"
    assert "NOT_RUN: unknown_profile: profile: got 'unknown'" in errors


@pytest.mark.integration
def test_non_idempotent_call_runs_once(run, cluster):
    answers = {
        run("call", "order", '{"letters": 9}', "-k", "o-1", "--address", address)[:2]
        for address in cluster.router_addresses.values()
    }
    assert answers == {(0, '{"letters": 9}\n')}
    address = cluster.processes["mostrador-0"].address
    assert http_json("GET", f"http://{address}/v1/runs")["o-1"] == 1
    assert run("call", "order", "{", "-k", "o-2")[0] == 2


@pytest.mark.integration
def test_attach_gives_the_recorded_answer_or_its_rest(run):
    key = "a/1?%"
    argv = ("generate", "quotation", "x", "-k", key, "--max-tokens", 6, "--json")
    whole = json.loads(run(*argv)[1])
    assert json.loads(run("attach", key, "--json")[1])["text"] == whole["text"]
    generation, attempt, _ = whole["last_event_id"].split(".")
    middle = f"{generation}.{attempt}.3"
    code, out, _ = run("attach", key, "--last-event-id", middle, "--json")
    assert code == 0 and json.loads(out)["count"] == 2
    assert whole["text"].endswith(json.loads(out)["text"])
    assert run("attach", key, "--last-event-id", f"other.{attempt}.3")[0] == 5
    assert run("attach", key, "--last-event-id", "nonsense")[0] == 2


@pytest.mark.integration
def test_cancel_ends_a_request_everywhere(run, cluster):
    async def work():
        async with aiohttp.ClientSession() as session:
            hosts = list(cluster.router_addresses.values())
            first_token = asyncio.Event()
            owner = Caller(session, hosts, "norte")
            answer = asyncio.ensure_future(
                owner.generate(
                    "quotation", "x", "c-1", 3000, lambda _: first_token.set()
                )
            )
            await first_token.wait()
            other_customer = await Caller(session, hosts, "sur").cancel("c-1")
            cancelled = await Caller(session, hosts[1:], "norte").cancel("c-1")
            return other_customer, cancelled, await answer

    other_customer, cancelled, answer = asyncio.run(work())
    assert other_customer.failure.code == "not_found"
    assert cancelled.body == {"cancelled": True}
    assert answer.failure.code == "cancelled" and 0 < len(answer.tokens) < 3000
    assert run("cancel", "c-1")[0] == 1


@pytest.mark.integration
def test_customers_cannot_detect_requests_of_others(run):
    assert run("generate", "quotation", "x", "-k", "mine", "--max-tokens", 3)[0] == 0
    for command in ("attach", "cancel"):
        outputs = []
        for key in ("mine", "none"):
            code, out, errors = run(command, key, "--customer", "sur", "--json")
            outputs.append((code, (out + errors).replace(key, "KEY")))
        assert outputs[0] == outputs[1]
    assert run("attach", "k" * 201)[0] == run("cancel", "é")[0] == 3
    # The same key under another customer names another request.
    argv = ("-k", "mine", "--max-tokens", 4, "--customer", "sur", "--json")
    assert json.loads(run("generate", "quotation", "y", *argv)[1])["count"] == 4


@pytest.mark.integration
def test_status_and_get_work_without_the_platform(run, cluster):
    cluster.set_platform_fault(fault="outage")
    code, out, _ = run("status", "--json")
    hosts = json.loads(out)["hosts"]
    assert code == 0
    assert {each["host"] for each in hosts.values()} == set(cluster.router_addresses)
    assert sum(each["slots"]["owned"] for each in hosts.values()) == 64
    assert run("get", "--json")[0] == 7
    code, out, _ = run("get", "profile/quotation", "--from-routers", "--json")
    assert json.loads(out)["objects"][0]["value"]["model"] == "sable"


@pytest.mark.integration
def test_report_counts_each_request_once_over_all_routers(run, cluster, tmp_path):
    def counted():
        burn = json.loads(run("report", "burn", "--json")[1])["burn"]
        return {
            each["objective"]: each["totals"]["3d"]
            for each in burn
            if each["customer"] == "este"
        }

    cluster.set_platform_fault(fault="lose_reply")
    for address in cluster.router_addresses.values():
        for number in range(4):
            argv = ("-k", f"burn-{number}", "--max-tokens", 3, "--customer", "este")
            assert (
                run("generate", "quotation", "x", *argv, "--address", address)[0] == 0
            )
    # The keys are the same at each address: four requests, not twelve.
    wait_for(lambda: counted().get("whole_in_time", 0) >= 4)
    cluster.set_platform_fault()
    time.sleep(1.0)
    assert counted()["whole_in_time"] == counted()["first_token"] == 4
    page = tmp_path / "burn.html"
    code, out, _ = run("report", "burn", "--page", page)
    assert code == 0 and "quotation" in out
    assert "<svg" in page.read_text()


def apply_customer_keys(run, path, *keys):
    hashes = [hashlib.sha256(key.encode()).hexdigest() for key in keys]
    customer = {"name": "large", "weight": 9, "key_hashes": hashes}
    path.write_text(json.dumps({"customers": [customer]}))
    assert run("apply", path)[0] == 0


@pytest.mark.integration
def test_leaked_key_is_replaced_while_requests_run(run, cluster, tmp_path, monkeypatch):
    def code(key, name, address):
        monkeypatch.setenv("TURMERICFLOW_KEY", key)
        argv = ("generate", "quotation", "x", "--max-tokens", 5, "-k", name)
        return run(*argv, "--customer", "large", "--address", address)[0]

    def codes(key, name):
        return {code(key, name, each) for each in cluster.router_addresses.values()}

    path = tmp_path / "large.yaml"
    apply_customer_keys(run, path, "old")
    wait_for(lambda: codes("old", "large-1") == {0})
    apply_customer_keys(run, path, "old", "new")
    wait_for(lambda: codes("new", "large-1") == {0})
    assert codes("old", "large-1") == {0}
    apply_customer_keys(run, path, "new")
    # The leaked key no longer gives access to the finished request.
    wait_for(lambda: codes("old", "large-1") == {4})
    assert codes("new", "large-1") == {0}


@pytest.mark.integration
def test_caller_fails_over_from_a_paused_router(cluster):
    async def work():
        async with aiohttp.ClientSession() as session:
            access = Access("norte", learn_addresses=True)
            caller = Caller(session, [cluster.router_addresses["entry-3"]], access)
            first_token = asyncio.Event()
            answer = asyncio.ensure_future(
                caller.generate(
                    "quotation", "long", "paused", 800, lambda _: first_token.set()
                )
            )
            await first_token.wait()
            cluster.pause("entry-3")
            return await answer

    try:
        answer = asyncio.run(work())
    finally:
        cluster.resume("entry-3")
    assert answer.whole and answer.reconnects >= 1
    assert check_answer([token.text for token in answer.tokens], 800).ok


@pytest.mark.integration
def test_aborted_and_malformed_connections_are_closed(cluster, capfd):
    ip, port = cluster.router_addresses["entry-1"].rsplit(":", 1)
    body = json.dumps({"profile": "quotation", "prompt": "x", "max_tokens": 900})
    head = f"POST /v1/generate HTTP/1.1\r\nHost: {ip}\r\nX-Customer: norte\r\n"
    whole = f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()
    open_before = open_connections(cluster, "entry-1")
    incomplete = f"{head}Content-Length: 5000\r\n\r\n{body}".encode()
    for data in [
        whole,
        incomplete,
        b"\x16\x03\x01 not HTTP\r\n\r\n",
        b"G" * 20_000,
    ] * 5:
        with socket.create_connection((ip, int(port)), timeout=5) as conn:
            conn.sendall(data)
            if data is whole:
                assert conn.recv(100).startswith(b"HTTP/1.1 200")
    wait_for(lambda: open_connections(cluster, "entry-1") <= open_before)
    assert "Traceback" not in capfd.readouterr().err


@pytest.mark.integration
def test_status_says_why_a_target_is_shut_out(run):
    assert run("leave", "redactor-0")[0] == 0
    wait_for(lambda: "shut out: marked as leaving" in run("status")[1])
    assert run("leave", "redactor-0", "--undo")[0] == 0
    wait_for(lambda: "2 targets, 0 shut out somewhere" in run("status")[1])


@pytest.mark.integration
def test_retired_profile_refuses_new_work(run):
    argv = ("generate", "quotation", "x", "--max-tokens", 3, "--json")
    assert run("retire", "quotation")[0] == 0
    wait_for(lambda: run(*argv)[0] == 3)
    assert json.loads(run(*argv)[1])["error"]["code"] == "retired"
