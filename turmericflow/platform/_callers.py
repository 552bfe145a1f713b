"""Headers of callers' requests and responses on the platform."""

from __future__ import annotations

from aiohttp import web
from multidict import CIMultiDict

from turmericflow.relay import Call, RequestInvalid

ATTEMPT_ID = "X-Turmericflow-Attempt-Id"
DEADLINE_MS = "X-Turmericflow-Deadline-Ms"
API_KEY = "X-Turmericflow-Key"
PROMPT_PARTS = "X-Turmericflow-Prefix-Hash"
TOKEN_USAGE = "X-Turmericflow-Token-Usage"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
TARGET_SIGNATURE = "X-Turmericflow-Upstream-Signature"
NOT_EXECUTED = "X-Turmericflow-Not-Executed"
CUSTOMER = "X-Turmericflow-Tenant"
EXPECTED_INSTANCE = "X-Turmericflow-Expect-Instance"
EXPECTED_VERSION = "X-Turmericflow-Expect-Version"
TARGET_RATE = "Server-Limit"
TARGET_LEAVING = "Server-Leaving"
TARGET_BRITTLE = "Server-Brittle"
RETRY_AFTER = "Retry-After"
STORE_ERA = "Store-Era"
INSTANCE_ID = "X-Turmericflow-Instance-Id"
REQUEST_PRIORITY = "X-Turmericflow-Request-Priority"
HOLD = "X-Turmericflow-Hold"
PIN_MS = "X-Turmericflow-Pin-Ms"
KV_BACKUP = "X-Turmericflow-Kv-Backup"
KV_SOURCE = "Kv-From"
KV_FETCH = "Kv-Fetch"

MAX_INTEGER_DIGITS = 18  # any longer number is not one that a caller can mean
MAX_PARTS = 32  # of a prompt; further ones are ignored
MAX_PART_ID_LENGTH = 64

_HOP_BY_HOP = {
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
# Headers that this system reads, sets for targets, or expects from targets; a
# caller's own are not forwarded.
_RESERVED = {
    name.lower()
    for name in (
        DEADLINE_MS,
        API_KEY,
        CUSTOMER,
        EXPECTED_INSTANCE,
        EXPECTED_VERSION,
        REQUEST_PRIORITY,
        HOLD,
        PIN_MS,
        KV_BACKUP,
        KV_SOURCE,
        KV_FETCH,
        LAST_EVENT_ID,
        NOT_EXECUTED,
        TARGET_SIGNATURE,
    )
}
_DROPPED = _HOP_BY_HOP | _RESERVED


def _connection_options(headers) -> set[str]:
    return {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }


def end_to_end_headers(headers, dropped: set[str]) -> CIMultiDict[str]:
    """Return the headers to forward, without hop-by-hop and dropped ones."""
    dropped = dropped | _connection_options(headers)
    forwarded: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in dropped:
            forwarded.add(name, value)
    return forwarded


def _parse_integer(text: str | None) -> int | None:
    if not text or len(text) > MAX_INTEGER_DIGITS:
        return None
    return int(text) if text.isascii() and text.isdecimal() else None


def _shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of a prompt's parts, without the last one and invalid ones."""
    ids = [entry.partition(":")[0].strip().lower() for entry in text.split(",")]
    parts = [id for id in ids[:-1] if id and len(id) <= MAX_PART_ID_LENGTH]
    return tuple(dict.fromkeys(parts[:MAX_PARTS]))


def decode_call(request: web.BaseRequest) -> Call:
    """Build a call from the line and headers of a caller's request, without its body.

    Raises
    ------
    RequestInvalid
        If there is not exactly one attempt id.
    """
    headers = request.headers
    id = headers.get(ATTEMPT_ID, "")
    if not id or len(headers.getall(ATTEMPT_ID)) > 1:
        raise RequestInvalid(f"got {id!r} as {ATTEMPT_ID}, expected one attempt id")
    host = headers.get("Host", "").lower()
    call = Call(id, request.method, host, request.raw_path)
    call.headers = end_to_end_headers(headers, _DROPPED)
    keys = headers.getall(API_KEY, ())
    call.key = keys[0] if len(keys) == 1 else None
    timeout_ms = _parse_integer(headers.get(DEADLINE_MS))
    call.timeout_s = None if timeout_ms is None else timeout_ms / 1000
    call.last_event_id = _parse_integer(headers.get(LAST_EVENT_ID))
    call.resumes = headers.get(RESUMES)
    call.shared_parts = _shared_parts(headers.get(PROMPT_PARTS, ""))
    prompt, _, output = headers.get(TOKEN_USAGE, "").partition(",")
    call.prompt_tokens = _parse_integer(prompt.strip()) or 0
    call.output_tokens = _parse_integer(output.strip()) or 0
    return call


def response_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Return the headers of a target's response to forward to the caller."""
    return end_to_end_headers(headers, _HOP_BY_HOP)


def refusal_headers(retry_after_s: float | None) -> dict[str, str]:
    """Return the headers of a refusal, with the delay before a retry if given."""
    if retry_after_s is None:
        return {}
    return {RETRY_AFTER: f"{retry_after_s:.3f}"}
