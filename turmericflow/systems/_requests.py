"""Retention of this host's ended requests."""

from __future__ import annotations

from collections.abc import Iterator

from turmericflow.tables import RequestRow, Tables

ENDED_KEEP_S = 60.0


def uncounted(tables: Tables) -> Iterator[RequestRow]:
    """Yield the ended requests that the service levels do not count yet."""
    for row in tables.requests.rows.values():
        if row.ended and not row.counted_at:
            yield row


def drop_expired(tables: Tables, now: float) -> int:
    """Drop requests that ended long ago; their owners hold the answers.

    Returns
    -------
    int
        Number of requests dropped.
    """
    expired = [
        request_id
        for request_id, row in tables.requests.rows.items()
        if row.counted_at and now - row.counted_at > ENDED_KEEP_S and not row.listeners
    ]
    for request_id in expired:
        del tables.requests.rows[request_id]
    return len(expired)
