"""Requests of this host that have ended."""

from __future__ import annotations

from collections.abc import Iterator

from turmericflow.tables import RequestRow, Tables

KEEP_S = 60.0


def uncounted(tables: Tables) -> Iterator[RequestRow]:
    """Yield the requests that ended and whose service levels are not counted."""
    for row in tables.requests.rows.values():
        if row.ended and not row.counted_at:
            yield row


def drop_expired(tables: Tables, now: float) -> int:
    """Forget requests that ended long ago; their owners hold the answers.

    Returns
    -------
    int
        How many were forgotten.
    """
    old = [
        request_id
        for request_id, row in tables.requests.rows.items()
        if row.counted_at and now - row.counted_at > KEEP_S and not row.listeners
    ]
    for request_id in old:
        del tables.requests.rows[request_id]
    return len(old)
