"""The owner's side: answers claims and keeps journals."""

from __future__ import annotations

import time

from turmericflow import wire
from turmericflow.services._peers import Peers, Reply
from turmericflow.services._stats import Stats
from turmericflow.systems import claims, to_failure
from turmericflow.tables import Tables


class Owner:
    """Connects the claim decisions with the peer streams."""

    __slots__ = ("_stats", "_tables")

    def __init__(self, tables: Tables, peers: Peers, stats: Stats) -> None:
        self._tables = tables
        self._stats = stats
        peers.handle(wire.Claim, self._on_claim)
        peers.handle(wire.Append, self._on_append)
        peers.handle(wire.End, self._on_end)

    def _on_claim(self, msg: wire.Claim, reply: Reply) -> None:
        answer = claims.claim(self._tables, msg, time.monotonic())
        self._stats.count(f"claim.{type(answer).__name__.lower()}")
        reply(answer)

    def _on_append(self, msg: wire.Append, reply: Reply) -> None:
        now = time.monotonic()
        refused = [
            number
            for number, entry in enumerate(msg.entries)
            if not claims.append(self._tables, entry, now)
        ]
        reply(wire.Appended(msg.rid, refused))

    def _on_end(self, msg: wire.End, reply: Reply) -> None:
        claims.end(self._tables, msg, to_failure(msg.failure), time.monotonic())
        reply(wire.Ended(msg.rid))
