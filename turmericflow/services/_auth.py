"""Authentication of customers and operators by key."""

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
    matched = False
    for key_hash in key_hashes:
        matched |= hmac.compare_digest(digest, key_hash)
    return matched


def is_allowed(request: web.Request, key_hashes: list[str]) -> bool:
    """Return whether a request carries one of the keys, or no key is required."""
    value = read_header(request.headers, "Authorization")
    if not key_hashes:
        return True
    return value is not None and _matches(value.partition(" ")[2], key_hashes)


def _auth_error(request: web.Request, code: ErrorCode, message: str) -> RequestFailed:
    # With an idempotency key, an earlier copy may have run before the customer's
    # key was replaced, and an unauthenticated caller must not seal another caller's
    # idempotency key.  Only a request without an idempotency key is known not to
    # have run.
    has_idempotency_key = "Idempotency-Key" in request.headers
    verdict = Verdict.MAY_HAVE_RUN if has_idempotency_key else Verdict.NOT_RUN
    return RequestFailed(Failure(code, verdict, message))


def authenticate(request: web.Request, tables: Tables) -> Customer:
    """Return the customer that sent a request.

    Raises
    ------
    RequestFailed
        If the customer is not declared, if the key does not belong to the customer,
        or if this host has just started and has not received its customers yet.
    """
    name = read_header(request.headers, "X-Customer")
    if not (tables.config.bootstrapped and tables.config.customers):
        message = f"{tables.host} has not learned its configuration yet"
        raise _auth_error(request, ErrorCode.STALE_VIEW, message)
    customer = tables.config.customers.get(name or "")
    if customer is None:
        message = f"X-Customer: got {name!r}, expected a declared customer"
        raise _auth_error(request, ErrorCode.UNKNOWN_CUSTOMER, message)
    if not is_allowed(request, customer.key_hashes):
        message = f"Authorization: expected a key of customer {name!r}"
        raise _auth_error(request, ErrorCode.UNAUTHORIZED, message)
    return customer
