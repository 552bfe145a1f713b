"""Tests of a daemon's settings, by starting the program."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys

import pytest

from turmericflow.testing._cluster import free_port

BASE = {
    "host": "entry-1",
    "data_centre": "north",
    "entry": "127.0.3.1:7001",
    "peer": "127.0.3.1:7002",
    "platform": "127.0.3.1:7003",
}
PEER = "[{host: %s, data_centre: south, entry: '%s', peer: '127.0.3.2:7002'}]"
IP_PORT = "expected IP:PORT with an IP number, not a host name"
# By case: the fields that differ from BASE, and text that the error must contain.
INVALID_FIELDS = {
    "unknown": ({"colour": "1"}, "7: colour: got the unknown field 'colour'"),
    "unknown_inner": ({"log": "{lvl: x}"}, "log.lvl: got the unknown field"),
    "text_for_integer": ({"slots": "'5'"}, "slots: got '5', expected an integer"),
    "flag_for_integer": ({"slots": "true"}, "slots: got True, expected an integer"),
    "float_for_integer": ({"slots": "5.5"}, "slots: got 5.5, expected an integer"),
    "too_small": ({"slots": "0"}, "got 0, expected a value of at least 1"),
    "integer_for_flag": ({"log": "{json: 1}"}, "got 1, expected true or false"),
    "bad_name": ({"host": "Entry_1"}, "2: host: got 'Entry_1', expected text"),
    "host_name": ({"entry": "localhost:7001"}, f"'localhost:7001', {IP_PORT}"),
    "no_port": ({"peer": "127.0.3.1"}, "peer: got '127.0.3.1', expected IP:PORT"),
    "bad_port": ({"peer": "127.0.3.1:0"}, "expected IP:PORT with a port from 1"),
    "equal": ({"peer": "127.0.3.1:7001"}, "got 127.0.3.1:7001, the same as entry"),
    "equal_v6": (
        {"entry": "'[::1]:1'", "peer": "'[0:0::1]:1'"},
        "peer: got [::1]:1, the same as entry",
    ),
    "equal_peer": (
        {"peers": PEER % ("entry-2", "127.0.3.1:7003")},
        "peers.0.entry: got 127.0.3.1:7003, the same as platform",
    ),
    "equal_hosts": (
        {"peers": PEER % ("entry-1", "127.0.3.2:7001")},
        "peers.0.host: got 'entry-1' twice, expected a name of its own",
    ),
    "missing": ({"host": None}, "host: got nothing, expected a value"),
    "open": ({"entry": "10.0.0.1:80"}, "got 10.0.0.1:80 without tls, expected"),
    "not_yaml": ({"slots": "["}, "got invalid YAML"),
    "alias": ({"host": "&a b", "slots": "*a"}, "got an alias, expected plain"),
}
INVALID_FILES = {
    "absent": (None, "got No such file or directory, expected a YAML file"),
    "empty": (b"", "got 0 documents, expected one mapping"),
    "binary": (b"\x00\xff\x00", "got bytes that are not UTF-8, expected text"),
    "list": (b"[1]", "got [1], expected a mapping of fields"),
    "twice": (b"host: a\nhost: b\n", "2: (whole file): got field 'host' twice"),
    "deep": (b"[" * 5000, "got too many levels"),
}


def _settings_file(changes):
    fields = {**BASE, **changes}
    lines = [f"{key}: {value}" for key, value in fields.items() if value is not None]
    return "\n".join(["# settings", *lines, ""]).encode()


def _start(path):
    argv = [sys.executable, "-m", "turmericflow.services.main", "--config", str(path)]
    return subprocess.Popen(argv, stderr=subprocess.PIPE, text=True)


@pytest.fixture(scope="module")
def outcomes(tmp_path_factory):
    """Return path, exit code and standard error of the daemon for each invalid file."""
    folder = tmp_path_factory.mktemp("settings")
    texts = {
        case: _settings_file(changes) for case, (changes, _) in INVALID_FIELDS.items()
    }
    texts.update({case: text for case, (text, _) in INVALID_FILES.items()})
    processes = {}
    for case, text in texts.items():
        path = folder / f"{case}.yaml"
        if text is not None:
            path.write_bytes(text)
        processes[case] = path, _start(path)
    results = {}
    for case, (path, process) in processes.items():
        _, errors = process.communicate(timeout=60)
        results[case] = path, process.returncode, errors
    return results


@pytest.mark.integration
@pytest.mark.parametrize("case", [*INVALID_FIELDS, *INVALID_FILES])
def test_invalid_settings_give_one_line(outcomes, case):
    expected = (INVALID_FIELDS.get(case) or INVALID_FILES[case])[1]
    path, code, errors = outcomes[case]
    assert code == 2
    assert errors.startswith(f"turmericflowd: {path}:")
    assert errors.count("\n") == 1
    assert expected in errors


@pytest.mark.integration
def test_address_in_use_gives_one_line(tmp_path):
    path = tmp_path / "taken.yaml"
    with socket.create_server(("127.0.3.1", 0)) as taken:
        entry = f"127.0.3.1:{taken.getsockname()[1]}"
        peer = f"127.0.3.1:{free_port('127.0.3.1')}"
        path.write_bytes(_settings_file({"entry": entry, "peer": peer}))
        process = _start(path)
        _, errors = process.communicate(timeout=60)
    assert process.returncode == 1
    lines = [line for line in errors.splitlines() if "turmericflowd: " in line]
    assert len(lines) == 1 and "already in use" in lines[0]
    assert "Traceback" not in errors


@pytest.mark.integration
def test_sigterm_stops_with_exit_code_0(tmp_path):
    path = tmp_path / "ok.yaml"
    fields = {name: f"127.0.3.1:{free_port('127.0.3.1')}" for name in ("entry", "peer")}
    path.write_bytes(
        _settings_file({"log": "{json: true}", "addresses_keep_s": "0.1", **fields})
    )
    process = _start(path)
    try:
        for line in process.stderr:
            if '"event": "started"' in line:
                break
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=60)
    finally:
        process.kill()
    assert process.returncode == 0
    assert "Traceback" not in errors
