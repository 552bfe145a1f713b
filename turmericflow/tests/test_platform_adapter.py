"""Tests of the adapter to the users' platform and of its separation from the rest."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest
from multidict import CIMultiDict

import turmericflow
from turmericflow.platform._objects import (
    decode_deployment,
    decode_host,
    decode_target,
    encode_host,
)
from turmericflow.platform._process import EXIT_SETTINGS
from turmericflow.platform._settings import PATH_VARIABLE, read_settings
from turmericflow.platform._targets import decode_limit
from turmericflow.relay import (
    HostEntry,
    LimitAbsent,
    LimitInvalid,
    LimitNamed,
    LimitNotice,
    SettingsInvalid,
    WorkKind,
)
from turmericflow.tests.platform_stand_ins import TargetStandIn, deployment

as_json = msgspec.json.encode
PACKAGE = Path(turmericflow.__file__).parent
PLATFORM_NAMES = (
    "x-turmericflow",
    "apikeys",
    "pathprefix",
    "maxattempts",
    "routetype",
    "streamresume",
    "healthpath",
    "kv-move",
    "kv-from",
    "kv-events",
    "hold-take",
    "storerevision",
    "waitms",
    "ttls",
    "turmericflow_node_file",
    "nodename",
    "internalports",
    "coldremainingms",
    "gaptargetms",
    "server-limit",
)


def _modules_outside_the_adapter() -> list[Path]:
    return [
        path
        for path in PACKAGE.rglob("*.py")
        if not {"platform", "tests"} & set(path.relative_to(PACKAGE).parts[:-1])
    ]


@pytest.mark.parametrize("name", PLATFORM_NAMES)
def test_no_other_module_contains_a_platform_name(name: str):
    assert [
        str(path)
        for path in _modules_outside_the_adapter()
        if name in path.read_text("utf-8").lower()
    ] == []


def test_the_adapter_is_small():
    def lines(paths) -> int:
        return sum(len(path.read_text("utf-8").splitlines()) for path in paths)

    adapter = lines((PACKAGE / "platform").rglob("*.py"))
    assert adapter <= lines([*_modules_outside_the_adapter()]) / 8


def test_the_daemon_imports_nothing_of_keyed_requests_or_reports():
    code = (
        "import sys, turmericflow.platform._process\n"
        "names = ('pydantic', 'yaml', 'numpy', 'matplotlib', 'hdrh', 'statsd',"
        " 'turmericflow.cfg', 'turmericflow.wire', 'turmericflow.systems',"
        " 'turmericflow.tables', 'turmericflow.services', 'turmericflow.testing')\n"
        "print([name for name in names if name in sys.modules])"
    )
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert run.stdout.strip() == "[]"


def test_a_deployment_is_translated_with_units_and_kinds():
    decoded = decode_deployment(as_json(deployment(3)))
    stream, order, state = decoded.routes
    assert decoded.version == 3
    assert (stream.kind, stream.resumable, stream.gap_s) == (
        WorkKind.STREAM,
        True,
        0.7,
    )
    assert stream.repeatable and state.repeatable and not order.repeatable
    assert (order.timeout_s, order.objective_s) == (0.8, 0.2)
    model, plain = decoded.services
    assert model.engine.memory_tokens == 88_000 and plain.engine is None


@pytest.mark.parametrize(
    "changes",
    [{"routes": 4}, {"version": "x"}, {"backends": None}, {"routes": [{"name": "a"}]}],
)
def test_an_unusable_deployment_says_what_is_wrong(changes: dict):
    with pytest.raises(ValueError, match="got an unusable configuration"):
        decode_deployment(as_json(deployment(3) | changes))


def test_a_restarted_target_with_the_same_name_has_another_key():
    entry = TargetStandIn("w", "z").entry()
    first = decode_target("w", as_json(entry | {"born": 1}))
    restarted = decode_target("w", as_json(entry | {"born": 2}))
    assert first.key != restarted.key


# Guards against an entry of a host that ends all other hosts, as they cannot dial it.
@pytest.mark.parametrize("address", ["nonsense", "10.0.0.1:", "10.0.0.1:65536", ":1"])
def test_an_entry_with_an_unusable_address_is_refused(address: str):
    host = encode_host(HostEntry("h", 1, "z", "10.0.0.1:1", address))
    with pytest.raises(ValueError, match="IP:PORT"):
        decode_host("h", as_json(host))
    target = TargetStandIn("t", "z").entry() | {"address": address}
    with pytest.raises(ValueError, match="IP:PORT"):
        decode_target("t", as_json(target))


def test_settings_are_read_and_unknown_fields_ignored(tmp_path: Path):
    path = tmp_path / "settings.json"
    listen = {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"}
    settings = {
        "nodeName": "a",
        "ip": "10.0.0.1",
        "zone": "z",
        "region": "r",
        "listen": listen,
        "internalPorts": [7200, 7215],
        "seeds": ["10.0.0.2:9"],
        "provider": {"address": "10.9.9.9:1"},
        "bounds": {"graceS": 8, "drainMs": 2000},
        "unheardOf": {"a": 1},
    }
    path.write_text(json.dumps(settings))
    found = read_settings(path)
    assert (found.peers, found.seeds) == ("10.0.0.1:7200", ("10.0.0.2:7200",))
    assert (found.leave_s, found.store) == (8.0, "10.9.9.9:1")
    path.write_text(json.dumps(settings | {"nodeName": 4}))
    with pytest.raises(SettingsInvalid, match="nodeName"):
        read_settings(path)


def test_reload_signal_during_the_start_does_not_end_the_process(
    tmp_path: Path,
) -> None:
    env = os.environ | {PATH_VARIABLE: str(tmp_path / "missing.json")}
    command = (sys.executable, "-m", "turmericflow.platform")
    process = subprocess.Popen(command, env=env, stderr=subprocess.DEVNULL)
    maps = Path(f"/proc/{process.pid}/maps")
    while "aiohttp" not in maps.read_text():  # until the imports have begun
        time.sleep(0.002)
    process.send_signal(signal.SIGHUP)
    assert process.wait(10) == EXIT_SETTINGS


@pytest.mark.parametrize(
    ("values", "notice"),
    [
        ([], LimitAbsent()),
        (["2.3"], LimitNamed(2.3)),
        (["0"], LimitNamed(0.0)),
        ([".5"], LimitNamed(0.5)),
        (["40", " 4.6 "], LimitNamed(4.6)),
        (["-1"], LimitInvalid("-1")),
        (["nan"], LimitInvalid("nan")),
        (["inf"], LimitInvalid("inf")),
        (["1e3"], LimitInvalid("1e3")),
        (["1,5"], LimitInvalid("1,5")),
        (["\u0663"], LimitInvalid("\u0663")),
        ([""], LimitInvalid("")),
        (["2.3", "x"], LimitInvalid("2.3, x")),
        (["9" * 5000], LimitInvalid("9" * 100)),
    ],
)
def test_a_targets_limit_is_a_decimal_number(values: list[str], notice: LimitNotice):
    headers = CIMultiDict([("Server-Limit", value) for value in values])
    assert decode_limit(headers) == notice
