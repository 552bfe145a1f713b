"""Validation of callers' request headers."""

from __future__ import annotations

import re

from aiohttp import web

from turmericflow.verdict import ErrorCode, not_run

FIRST_TRY = 1
_PATTERNS = {
    "Idempotency-Key": (r"[!-~]{1,200}", "1 to 200 visible ASCII characters"),
    "X-Customer": (r"[a-z0-9][a-z0-9.-]{0,62}", "a customer's name"),
    "X-Try": (r"[1-9][0-9]{0,5}", "an integer from 1 to 999999"),
    "Last-Event-ID": (
        r"[0-9A-Za-z-]{1,64}\.[0-9]{1,12}\.[0-9]{1,9}",
        "GENERATION.ATTEMPT.INDEX",
    ),
    "Authorization": (r"(?i:bearer) [!-~]{1,200}", "Bearer and a key"),
}
_SECRET = "Authorization"


def read_header(headers, name: str) -> str | None:
    """Return a header's value, or None if it is absent.

    Raises
    ------
    RequestFailed
        If the header is malformed, or is given more than once.
    """
    values = headers.getall(name, [])
    if not values:
        return None
    pattern, expected = _PATTERNS[name]
    if len(values) == 1 and re.fullmatch(pattern, values[0]):
        return values[0]
    got = "a malformed value" if name == _SECRET else ascii(values[0][:80])
    if len(values) > 1:
        got = f"{len(values)} values"
    raise not_run(ErrorCode.BAD_REQUEST, f"{name}: got {got}, expected {expected}")


def read_path_key(request: web.Request) -> str:
    """Return the idempotency key in a request's path.

    Raises
    ------
    RequestFailed
        If the key is malformed.
    """
    key = request.match_info["key"]
    pattern, expected = _PATTERNS["Idempotency-Key"]
    if not re.fullmatch(pattern, key):
        message = f"key in the path: got {ascii(key[:80])}, expected {expected}"
        raise not_run(ErrorCode.BAD_REQUEST, message)
    return key


def read_try(request: web.Request) -> int:
    """Return the number of the caller's deliberate try, from ``X-Try``; 1 if absent."""
    value = read_header(request.headers, "X-Try")
    return FIRST_TRY if value is None else int(value)
