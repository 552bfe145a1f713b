"""Tests of the tool against real routers, with the platform up and down."""

from __future__ import annotations

import json
import time

import pytest

from turmericflow.cli.main import main
from turmericflow.testing import Cluster, ClusterPlan, EngineSpec, check_answer

PROFILE = {"name": "quotation", "service": "redactor", "model": "sable"}
PROFILE |= {"adapter": "none", "version": "1"}
CUSTOMERS = {f"customer/{name}": {"name": name} for name in ("norte", "sur")}
IN_FORCE_S = 10.0


@pytest.fixture(scope="module")
def cluster():
    args = ["--model", "sable/none/1", "--step-ms", "2"]
    plan = ClusterPlan(
        routers={"entry-1": "north", "entry-2": "south", "entry-3": "west"},
        targets=[EngineSpec("redactor-0", "redactor", "north", args)],
        objects={"profile/quotation": PROFILE, **CUSTOMERS},
        settings={"burn_save_s": 0.2},
    )
    with Cluster(plan) as cluster:
        yield cluster


@pytest.fixture
def run(cluster, capsys, monkeypatch):
    """Run the tool; return code, output and errors."""
    monkeypatch.setenv("TURMERICFLOW_PLATFORM", cluster.processes["platform"].address)
    monkeypatch.setenv("TURMERICFLOW_ADDRESSES", cluster.entries["entry-1"])
    monkeypatch.setenv("TURMERICFLOW_CUSTOMER", "norte")

    def run(*argv):
        code = main([str(arg) for arg in argv])
        return code, *capsys.readouterr()

    yield run
    cluster.fault()


def wait_for(check):
    """Wait until a check holds."""
    until = time.monotonic() + IN_FORCE_S
    while not check():
        assert time.monotonic() < until, "did not come about in time"
        time.sleep(0.05)


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
        run(*argv, "--address", address)[1] for address in cluster.entries.values()
    }
    assert len(answers) == 1


@pytest.mark.integration
def test_errors_have_the_exit_code_of_their_verdict(run):
    code, out, errors = run("generate", "unknown", "x", "--json")
    assert code == 3
    assert json.loads(out)["error"]["verdict"] == "NOT_RUN"
    assert "NOT_RUN: unknown_profile: profile: got 'unknown'" in errors


@pytest.mark.integration
def test_status_and_get_work_without_the_platform(run, cluster):
    cluster.fault(fault="outage")
    code, out, _ = run("status", "--json")
    hosts = json.loads(out)["hosts"]
    assert code == 0
    assert {each["host"] for each in hosts.values()} == set(cluster.entries)
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
            if each["customer"] == "sur"
        }

    cluster.fault(fault="lose_reply")
    for address in cluster.entries.values():
        for number in range(4):
            argv = ("-k", f"burn-{number}", "--max-tokens", 3, "--customer", "sur")
            assert (
                run("generate", "quotation", "x", *argv, "--address", address)[0] == 0
            )
    # The keys are the same at each address: four requests, not twelve.
    wait_for(lambda: counted().get("whole_in_time", 0) >= 4)
    cluster.fault()
    time.sleep(1.0)
    assert counted()["whole_in_time"] == counted()["first_token"] == 4
    page = tmp_path / "burn.html"
    code, out, _ = run("report", "burn", "--page", page)
    assert code == 0 and "quotation" in out
    assert "<svg" in page.read_text()


@pytest.mark.integration
def test_status_says_why_a_target_is_shut_out(run):
    assert run("leave", "redactor-0")[0] == 0
    wait_for(lambda: "shut out: marked as leaving" in run("status")[1])
    assert run("leave", "redactor-0", "--undo")[0] == 0
    wait_for(lambda: "1 targets, 0 shut out somewhere" in run("status")[1])


@pytest.mark.integration
def test_retired_profile_refuses_new_work(run):
    argv = ("generate", "quotation", "x", "--max-tokens", 3, "--json")
    assert run("retire", "quotation")[0] == 0
    wait_for(lambda: run(*argv)[0] == 3)
    assert json.loads(run(*argv)[1])["error"]["code"] == "retired"
