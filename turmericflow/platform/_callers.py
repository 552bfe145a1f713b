"""Callers' requests and answers on the platform, in the product's terms."""

from __future__ import annotations

from aiohttp import web
from multidict import CIMultiDict

from turmericflow.relay import Call, RequestInvalid

ATTEMPT = "X-Turmericflow-Attempt-Id"
BUDGET = "X-Turmericflow-Deadline-Ms"
KEY = "X-Turmericflow-Key"
TOKENS = "X-Turmericflow-Token-Usage"
LAST_EVENT = "Last-Event-Id"
RECEIPT = "X-Turmericflow-Upstream-Signature"
NOT_EXECUTED = "X-Turmericflow-Not-Executed"
CUSTOMER = "X-Turmericflow-Tenant"
EXPECTED = "X-Turmericflow-Expect-Instance"
EXPECTED_VERSION = "X-Turmericflow-Expect-Version"
INSTANCE = "X-Turmericflow-Instance-Id"
URGENCY = "X-Turmericflow-Request-Priority"
HOLD = "X-Turmericflow-Hold"
PIN = "X-Turmericflow-Pin-Ms"
BACKUP = "X-Turmericflow-Kv-Backup"
COPY = "Kv-From"
FETCH = "Kv-Fetch"

_PER_CONNECTION = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
}
# Set by this system for targets; a caller's own are dropped.
_RESERVED = {
    name.lower()
    for name in (
        BUDGET,
        KEY,
        CUSTOMER,
        EXPECTED,
        EXPECTED_VERSION,
        URGENCY,
        HOLD,
        PIN,
        BACKUP,
        COPY,
        FETCH,
        LAST_EVENT,
        NOT_EXECUTED,
        RECEIPT,
    )
}
_DROPPED = _PER_CONNECTION | _RESERVED


def _named_by_connection(headers) -> set[str]:
    return {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }


def passed_on(headers, dropped: set[str]) -> CIMultiDict[str]:
    """Return the headers that concern more than one connection."""
    dropped = dropped | _named_by_connection(headers)
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept


def _number(text: str | None) -> int | None:
    return int(text) if text and text.isascii() and text.isdecimal() else None


def decode_call(request: web.BaseRequest) -> Call:
    """Translate the head of a caller's request; the body is read later.

    Raises
    ------
    RequestInvalid
        If it has no name, or a number that is none.
    """
    headers = request.headers
    name = headers.get(ATTEMPT, "")
    if not name or len(headers.getall(ATTEMPT)) > 1:
        raise RequestInvalid(f"got {name!r} as {ATTEMPT}, expected one name")
    host = headers.get("Host", "").lower()
    call = Call(name, request.method, host, request.raw_path)
    call.headers = passed_on(headers, _DROPPED)
    keys = headers.getall(KEY, ())
    call.key = keys[0] if len(keys) == 1 else None
    budget_ms = _number(headers.get(BUDGET))
    call.timeout_s = None if budget_ms is None else budget_ms / 1000
    call.last_event_id = _number(headers.get(LAST_EVENT))
    prompt, _, output = headers.get(TOKENS, "").partition(",")
    call.prompt_tokens = _number(prompt.strip()) or 0
    call.output_tokens = _number(output.strip()) or 0
    return call


def answer_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Return the headers of a target's answer that the caller gets."""
    return passed_on(headers, _PER_CONNECTION)


def refusal_headers(retry_after_s: float | None) -> dict[str, str]:
    """Return the headers of an answer of this system's own."""
    if retry_after_s is None:
        return {}
    return {"Retry-After": f"{retry_after_s:.3f}"}
