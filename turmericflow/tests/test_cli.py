"""Tests of the command-line tool against the platform stand-in."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import aiohttp
import pytest

from turmericflow.cfg import Address
from turmericflow.cli.main import main
from turmericflow.declare import apply_change, compare, read_declarations
from turmericflow.services._platform import PlatformClient
from turmericflow.testing import Cluster, ClusterPlan
from turmericflow.testing._cluster import http_json

EXAMPLES = Path(__file__).parents[2] / "examples"
PROFILE = """\
profiles:
  - name: quotation
    service: redactor
    model: sable
    max_tokens: {tokens}
"""
INVALID = """\
profiles:
  - name: Quotation
    service: redactor
    model: sable
    colour: red
    wait_s: "3"
  - name: proof
    service: redactor
customers:
  - name: norte
    weight: -1
  - name: sur
  - name: sur
"""


@pytest.fixture(scope="module")
def cluster():
    cluster = Cluster(ClusterPlan({}, [], {}))
    try:
        cluster.start_platform()
        yield cluster
    finally:
        cluster.stop()


@pytest.fixture
def run(cluster, capsys, monkeypatch):
    """Run the tool against the stand-in; return exit code, stdout and stderr."""
    monkeypatch.setenv("TURMERICFLOW_PLATFORM", cluster.processes["platform"].address)

    def run(*argv):
        code = main([str(arg) for arg in argv])
        return code, *capsys.readouterr()

    yield run
    cluster.set_platform_fault()


@pytest.fixture
def file(tmp_path):
    """Write a declaration file with a token limit; return its path."""

    def write(tokens):
        path = tmp_path / f"{tokens}.yaml"
        path.write_text(PROFILE.format(tokens=tokens))
        return path

    return write


def put_max_tokens(cluster, tokens):
    """Change the profile on the platform, as another operator would."""
    address = cluster.processes["platform"].address
    value = {"name": "quotation", "service": "redactor", "model": "sable"}
    present = get_profile(address)
    value["max_tokens"] = tokens
    return cluster.put("profile/quotation", value, present["version"])


def get_profile(address):
    try:
        return http_json("GET", f"http://{address}/v1/objects/profile/quotation")
    except OSError:
        return {"version": 0, "value": None}


@pytest.fixture
def stored(cluster):
    """Return a function that reads the stored profile."""
    return lambda: get_profile(cluster.processes["platform"].address)


def test_check_shows_all_faults_at_once(run, tmp_path):
    path = tmp_path / "invalid.yaml"
    path.write_text(INVALID)
    code, out, errors = run("check", path)
    assert code == 2 and out == ""
    for part in (
        "2: profiles.0.name: got 'Quotation', expected text of the form",
        "5: profiles.0.colour: got the unknown field 'colour', expected one of",
        "6: profiles.0.wait_s: got '3', expected a number",
        "11: customers.0.weight: got -1, expected a value greater than 0",
    ):
        assert f"turmericflow: {path}:{part}" in errors
    _, out, _ = run("check", path, "--json")
    faults = json.loads(out)["faults"]
    assert [(fault["line"], fault["field"]) for fault in faults] == [
        (2, "profiles.0.name"),
        (6, "profiles.0.wait_s"),
        (5, "profiles.0.colour"),
        (7, "profiles.1.model"),
        (11, "customers.0.weight"),
        (13, "customers.2.name"),
    ]


def test_examples_are_valid(run):
    assert run("check", EXAMPLES)[0] == 0


def test_apply_is_idempotent_and_shown_by_get(run, file, stored):
    assert run("apply", file(100))[0] == 0
    version = stored()["version"]
    code, out, _ = run("apply", file(100), "--json")
    assert code == 0
    assert json.loads(out)["results"][0]["outcome"] == "unchanged"
    assert stored()["version"] == version
    code, out, _ = run("get", "profile/quotation", "--json")
    assert json.loads(out)["objects"][0]["value"]["max_tokens"] == 100


def test_diff_names_fields(run, file):
    run("apply", file(100))
    code, out, _ = run("diff", file(200))
    assert code == 0
    assert "max_tokens: 100 -> 200" in out


def test_lost_reply_is_resolved_without_a_second_write(run, cluster, file, stored):
    run("apply", file(100))
    version_before = stored()["version"]
    cluster.set_platform_fault(fault="lose_reply")
    code, out, _ = run("apply", file(300))
    assert code == 0, out
    assert stored()["version"] == version_before + 1
    assert stored()["value"]["max_tokens"] == 300


def test_conflicting_change_is_reported_and_not_overwritten(
    run, cluster, file, stored, tmp_path
):
    run("apply", file(100))
    _, plan, _ = run("diff", file(200), "--json")
    path = tmp_path / "plan.json"
    path.write_text(plan)
    put_max_tokens(cluster, 700)
    code, out, errors = run("apply", file(200), "--expect", path)
    assert code == 6
    assert "raced profile/quotation" in out and "max_tokens: 700 -> 200" in out
    assert "1 of 1 objects are not as declared" in errors
    assert stored()["value"]["max_tokens"] == 700


@pytest.mark.parametrize("fault", ["", "lose_reply"])
def test_one_of_two_racing_operators_wins(run, cluster, file, stored, fault):
    run("apply", file(100))
    version_before = stored()["version"]
    address = Address.from_text(cluster.processes["platform"].address)

    async def race():
        async with aiohttp.ClientSession() as session:
            platform = PlatformClient(session, address)
            changes = []
            for tokens in (501, 502):
                (declared,), _ = read_declarations([file(tokens)])
                present = await platform.get("profile", "quotation")
                changes.append(compare(declared, present))
            cluster.set_platform_fault(fault=fault)
            return await asyncio.gather(*(apply_change(platform, c) for c in changes))

    results = asyncio.run(race())
    assert sorted(each.outcome for each in results) == ["applied", "raced"]
    winner = next(each for each in results if each.outcome == "applied")
    now = stored()
    assert now["version"] == version_before + 1
    assert now["value"] == winner.change.declaration.value


def test_platform_outage_changes_nothing(run, cluster, file, stored):
    run("apply", file(100))
    cluster.set_platform_fault(fault="outage")
    code, _, errors = run("apply", file(400))
    assert code == 7 and "503" in errors
    cluster.set_platform_fault()
    assert stored()["value"]["max_tokens"] == 100


def test_retire_and_leave(run, file, stored):
    run("apply", file(100))
    assert run("retire", "quotation")[0] == 0
    assert stored()["value"]["retired"] is True
    assert run("retire", "unknown")[0] == 1
    assert run("leave", "redactor-3")[0] == 0
    _, out, _ = run("get", "mark", "--json")
    assert json.loads(out)["objects"][0]["value"]["leaving"] is True
    assert run("leave", "redactor-3", "--undo")[0] == 0
    _, out, _ = run("get", "mark/redactor-3", "--json")
    assert json.loads(out)["objects"][0]["value"]["leaving"] is False


def test_usage_errors(run, capsys):
    with pytest.raises(SystemExit) as caught:
        main(["get", "--platform", "localhost:80"])
    assert caught.value.code == 2
    assert "expected IP:PORT with an IP number" in capsys.readouterr().err
    assert run("addresses", "--customer", "norte")[0] == 2
