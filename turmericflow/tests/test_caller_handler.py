"""Tests of the HTTP interface for callers with malformed and random input."""

from __future__ import annotations

import json

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from turmericflow.testing._caller_handler_app import CallerHandlerApp, hash_key

VALID_BODY = {"profile": "quotation", "prompt": "site notes", "max_tokens": 4}
NORTE_HEADERS = {"X-Customer": "norte", "Idempotency-Key": "k1"}
FUZZ = settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


@pytest.fixture(scope="module")
def app():
    app = CallerHandlerApp(max_body_bytes=2000)
    yield app
    app.close()


def post(app, body=None, headers=None, **changes):
    data = json.dumps({**VALID_BODY, **changes}) if body is None else body
    return app.call(
        "POST", "/v1/generate", data=data, headers={**NORTE_HEADERS, **(headers or {})}
    )


def check_error(answer, status, code, verdict="NOT_RUN"):
    got, headers, raw = answer
    error = json.loads(raw)["error"]
    assert headers["Content-Type"].startswith("application/json")
    assert (got, error["code"], error["verdict"]) == (status, code, verdict)
    assert len(error["message"]) < 500


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"", "bad_request"),
        (b"not json", "bad_request"),
        (b"\xff\xfe", "bad_request"),
        (b"[]", "bad_request"),
        (b"[" * 1500, "bad_request"),
        (b'{"profile": "quotation"}', "bad_request"),
        (b"x" * 3000, "too_large"),
    ],
)
def test_malformed_bodies_are_refused(app, body, code):
    check_error(post(app, body), 413 if code == "too_large" else 400, code)


@pytest.mark.parametrize(
    ("changes", "status", "code"),
    [
        ({"max_tokens": 0}, 400, "bad_request"),
        ({"max_tokens": -4}, 400, "bad_request"),
        ({"max_tokens": 10}, 400, "bad_request"),
        ({"max_tokens": 10**30}, 400, "bad_request"),
        ({"max_tokens": 1.5}, 400, "bad_request"),
        ({"max_tokens": "4"}, 400, "bad_request"),
        ({"max_tokens": True}, 400, "bad_request"),
        ({"prompt": ""}, 400, "bad_request"),
        ({"prompt": 7}, 400, "bad_request"),
        ({"stream": "yes"}, 400, "bad_request"),
        ({"colour": 1}, 400, "bad_request"),
        ({"profile": "unknown"}, 404, "unknown_profile"),
        ({"profile": "old"}, 410, "retired"),
    ],
)
def test_invalid_fields_are_refused(app, changes, status, code):
    check_error(post(app, **changes), status, code)


@pytest.mark.parametrize(
    "headers",
    [
        {"Idempotency-Key": ""},
        {"Idempotency-Key": "a b"},
        {"Idempotency-Key": "é"},
        {"Idempotency-Key": "k" * 201},
        {"X-Try": "0"},
        {"X-Try": "-1"},
        {"X-Try": "²"},
        {"X-Try": "9" * 5000},
        {"Last-Event-ID": "g1"},
        {"Last-Event-ID": "g1.².1"},
        {"Last-Event-ID": "g1.1." + "9" * 5000},
        {"X-Customer": "N" * 100},
        {"Authorization": "Basic abc"},
        {"Authorization": "Bearer"},
    ],
)
def test_malformed_headers_are_refused(app, headers):
    check_error(post(app, headers=headers), 400, "bad_request")


def test_missing_key_of_non_idempotent_work(app):
    body = json.dumps({**VALID_BODY, "profile": "order"})
    answer = app.call("POST", "/v1/generate", data=body, headers={"X-Customer": "sur"})
    check_error(answer, 401, "unauthorized")
    headers = {"X-Customer": "norte"}
    answer = app.call("POST", "/v1/generate", data=body, headers=headers)
    check_error(answer, 400, "key_required")


def test_unknown_customer_with_key_may_have_run(app):
    answer = post(app, headers={"X-Customer": "oeste"})
    check_error(answer, 401, "unknown_customer", "MAY_HAVE_RUN")


def test_host_without_configuration_refuses_with_stale_view(app, monkeypatch):
    monkeypatch.setattr(app.tables.config, "bootstrapped", False)
    check_error(post(app), 503, "stale_view", "MAY_HAVE_RUN")


def test_unknown_paths_and_methods(app):
    check_error(app.call("GET", "/nothing"), 404, "not_found")
    check_error(app.call("PUT", "/v1/generate"), 405, "method_not_allowed")


def test_event_id_of_another_generation_is_refused(app):
    answer = post(app, headers={"Last-Event-ID": "g2.1.0"})
    check_error(answer, 409, "generation_mismatch", "RAN")


def test_stream_resumes_after_last_event(app):
    status, _, raw = post(app, headers={"Last-Event-ID": "g1.1.0"})
    assert status == 200
    events = [event for event in raw.split(b"\n\n") if b"data: " in event]
    assert events[0] == b'id: g1.1.1\ndata: {"index":1,"text":"letters "}'
    assert [event[:10] for event in events[1:]] == [b"event: end"]


@pytest.mark.parametrize("scheme", ["Bearer", "bearer"])
def test_replaced_key_is_refused(app, scheme):
    customer = app.tables.config.customers["sur"]

    def call(key):
        headers = {"X-Customer": "sur", "Authorization": f"{scheme} {key}"}
        return post(app, headers=headers)

    customer.key_hashes = [hash_key("s3cret"), hash_key("n3w")]
    assert call("s3cret")[0] == call("n3w")[0] == 200
    customer.key_hashes = [hash_key("n3w")]
    check_error(call("s3cret"), 401, "unauthorized", "MAY_HAVE_RUN")
    assert call("n3w")[0] == 200
    customer.key_hashes = [hash_key("s3cret")]


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=5,
)
FIELDS = st.fixed_dictionaries(
    {},
    optional={
        "profile": st.sampled_from(["quotation", "order", "old"]) | JSON,
        "prompt": JSON,
        "max_tokens": st.integers() | JSON,
        "stream": JSON,
    },
)
# The client refuses to send control characters.
SENDABLE = st.characters(min_codepoint=32, max_codepoint=255, exclude_categories=["Cc"])
HEADER = st.text(SENDABLE, max_size=30)


@FUZZ
@given(
    body=st.binary(max_size=80) | FIELDS.map(lambda body: json.dumps(body).encode()),
    headers=st.dictionaries(
        st.sampled_from(["Idempotency-Key", "X-Try", "Last-Event-ID", "X-Customer"]),
        HEADER | st.sampled_from(["norte", "sur", "1", "g1.1.0"]),
    ),
)
def test_any_input_gives_an_answer_or_typed_error(app, body, headers):
    status, _, raw = post(app, body, headers)
    assert status == 200 or 400 <= status < 500
    if status != 200:
        error = json.loads(raw)["error"]
        assert error["verdict"] in ("NOT_RUN", "MAY_HAVE_RUN", "RAN")
    assert not app.stats.counts.get("entry.internal_errors")
