"""Fuzz tests of peer streams, YAML files and platform objects."""

from __future__ import annotations

import json

import msgpack
import msgspec
import pytest
from hypothesis import HealthCheck, given, settings, strategies as st
from pydantic import ValidationError

from turmericflow import wire
from turmericflow._yaml import YamlError, parse
from turmericflow.cfg import Settings, SettingsError
from turmericflow.declare import ADAPTERS, read_declarations
from turmericflow.services._platform import ObjectList
from turmericflow.systems import burn

FUZZ = settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
SCALAR = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8)
)
VALUE = st.recursive(
    SCALAR,
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)
TAGS = st.sampled_from(["hello", "claim", "append", "granted", "rumours", "seal"])
FRAME = st.builds(lambda tag, rest: msgpack.packb([tag, *rest]), TAGS, st.lists(VALUE))
NAMES = ["name", "service", "kind", "weight", "wait_s", "objectives", "key_hashes"]
OBJECT = st.dictionaries(st.sampled_from(NAMES) | st.text(max_size=5), VALUE)
FIELDS = ["host", "data_centre", "entry", "peer", "platform", "peers", "log", "tls"]
HELLO = wire.Hello("entry-1", "north", 0)


@FUZZ
@given(st.lists(st.binary(max_size=40) | FRAME, min_size=1, max_size=4))
def test_peer_bytes_are_messages_or_one_error(chunks):
    decoder = wire.Decoder()
    try:
        for chunk in chunks:
            for message in decoder.feed(chunk):
                assert isinstance(message, wire.Message)
    except wire.WireError as exc:
        assert "got invalid message bytes" in str(exc)


@pytest.mark.parametrize(
    "data",
    [
        b"\x91" * 5000,
        b"\xdd\xff\xff\xff\xff",
        msgpack.packb(["hello"]),
        msgpack.packb(["unknown", 1]),
        msgpack.packb({"hello": 1}),
        msgpack.packb(["hello", 1, 2, 3]),
        b"\xa1\xff",
    ],
)
def test_broken_frames_are_one_error(data):
    with pytest.raises(wire.WireError):
        wire.Decoder().feed(data)


@FUZZ
@given(st.integers(0, 30))
def test_messages_decode_from_any_split(split):
    decoder = wire.Decoder()
    data = wire.encode(HELLO) * 2
    found = decoder.feed(data[:split]) + decoder.feed(data[split:])
    assert found == [HELLO, HELLO]


def test_frames_are_limited_in_size():
    decoder = wire.Decoder()
    with pytest.raises(wire.WireError):
        for _ in range(6):
            decoder.feed(b"\xc6\x7f\xff\xff\xff" + b"x" * (wire.MAX_MESSAGE_BYTES // 4))


@FUZZ
@given(st.text(max_size=60).map(str.encode) | st.binary(max_size=60))
def test_yaml_is_documents_or_one_error(raw):
    try:
        parse(raw)
    except YamlError as exc:
        assert str(exc).startswith("got ") and exc.line >= 1


@FUZZ
@given(st.dictionaries(st.sampled_from(FIELDS) | st.text(max_size=5), VALUE))
def test_settings_load_or_fail_with_one_line(tmp_path, fields):
    path = tmp_path / "settings.yaml"
    path.write_text(json.dumps(fields, default=repr), "utf-8")
    try:
        Settings.from_file(path)
    except SettingsError as exc:
        assert str(exc).startswith(str(path)) and "\n" not in str(exc)
        assert "got " in str(exc) and "expected " in str(exc)


@FUZZ
@given(
    st.dictionaries(
        st.sampled_from(["profiles", "customers", "marks"]), st.lists(OBJECT | VALUE)
    )
)
def test_declarations_are_valid_or_listed_as_faults(tmp_path, content):
    path = tmp_path / "declared.yaml"
    path.write_text(json.dumps(content, default=repr), "utf-8")
    declared, faults = read_declarations([path])
    listed = sum(len(items) for items in content.values())
    assert len(declared) + len(faults) >= listed
    assert all("expected " in str(fault) for fault in faults)


@FUZZ
@given(st.sampled_from(sorted(ADAPTERS)), OBJECT | VALUE)
def test_platform_objects_are_checked_or_one_error(kind, value):
    try:
        ADAPTERS[kind].validate_python(value)
    except ValidationError:
        pass


@FUZZ
@given(
    st.binary(max_size=80) | VALUE.map(lambda v: json.dumps(v, default=repr).encode())
)
def test_platform_answers_are_checked_or_one_error(raw):
    try:
        msgspec.json.decode(raw, type=ObjectList)
    except (msgspec.DecodeError, UnicodeDecodeError):
        pass


@FUZZ
@given(st.dictionaries(st.sampled_from(["cells", "times", "batch"]), VALUE))
def test_burn_values_are_tables_or_one_error(value):
    try:
        burn.from_value(value)
    except ValueError as exc:
        assert str(exc).startswith("expected a stored burn table, got damaged data")
