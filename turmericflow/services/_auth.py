"""Keys of customers and operators."""

from __future__ import annotations

import hashlib
import hmac

from aiohttp import web

from turmericflow.profile import Customer
from turmericflow.services._headers import read_header
from turmericflow.tables import Tables
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict


def _matches(key: str, key_hashes: list[str]) -> bool:
    digest = hashlib.sha256(key.encode()).hexdigest()
    found = False
    for key_hash in key_hashes:
        found |= hmac.compare_digest(digest, key_hash)
    return found


def is_allowed(request: web.Request, key_hashes: list[str]) -> bool:
    """Whether a request carries one of the keys, or none is asked for."""
    value = read_header(request.headers, "Authorization")
    if not key_hashes:
        return True
    return value is not None and _matches(value.partition(" ")[2], key_hashes)


def _refused(request: web.Request, code: ErrorCode, message: str) -> RequestFailed:
    # An earlier copy may have run before the key was replaced, and a stranger
    # may not seal another's key: only a request without a key is known not to
    # have run.
    named = "Idempotency-Key" in request.headers
    verdict = Verdict.MAY_HAVE_RUN if named else Verdict.NOT_RUN
    return RequestFailed(Failure(code, verdict, message))


def authenticate(request: web.Request, tables: Tables) -> Customer:
    """Return the customer that a request comes from.

    Raises
    ------
    RequestFailed
        If the customer is not declared, or the key is not one of its own, or
        if this host has only just started and does not know its customers yet.
    """
    name = read_header(request.headers, "X-Customer")
    if not (tables.config.bootstrapped and tables.config.customers):
        message = f"{tables.host} has not learned its configuration yet"
        raise _refused(request, ErrorCode.STALE_VIEW, message)
    customer = tables.config.customers.get(name or "")
    if customer is None:
        message = f"X-Customer: got {name!r}, expected a declared customer"
        raise _refused(request, ErrorCode.UNKNOWN_CUSTOMER, message)
    if not is_allowed(request, customer.key_hashes):
        message = f"Authorization: expected a key of customer {name!r}"
        raise _refused(request, ErrorCode.UNAUTHORIZED, message)
    return customer
