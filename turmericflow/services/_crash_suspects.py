"""Gossip about contents that may crash targets, shared by all routers."""

from __future__ import annotations

import itertools
import time

import msgspec
import structlog

from turmericflow import wire
from turmericflow.services._gossip import Gossip
from turmericflow.services._stats import Stats
from turmericflow.systems import crashers
from turmericflow.tables import CrashSuspect, Loss, Tables

LOSS = "loss"
CLEARED = "cleared"
CONVICTED = "convicted"

log = structlog.get_logger()


class _LossFact(msgspec.Struct, array_like=True):
    target: str
    at: float
    contents: list[str]


class CrashSuspects:
    """Publish losses, clearances and convictions, and apply those of peers.

    A content is given by the fingerprint of its prompt and model.
    """

    __slots__ = ("_gossip", "_loss_numbers", "_reported_at", "_stats", "_tables")

    def __init__(self, tables: Tables, gossip: Gossip, stats: Stats) -> None:
        self._tables = tables
        self._gossip = gossip
        self._stats = stats
        self._loss_numbers = itertools.count()
        self._reported_at: dict[str, float] = {}
        gossip.subscribe(LOSS, self._on_loss)
        gossip.subscribe(CLEARED, self._on_cleared)
        gossip.subscribe(CONVICTED, self._on_convicted)

    async def report_loss(self, target: str, contents: list[str]) -> None:
        """Publish the loss of a target with the contents that ran there.

        Further reports within `crashers.DUPLICATE_LOSS_S` are not published.
        """
        now = time.time()
        if now - self._reported_at.get(target, 0.0) < crashers.DUPLICATE_LOSS_S:
            return
        self._reported_at[target] = now
        self._stats.count("suspects.losses")
        value = msgspec.msgpack.encode(_LossFact(target, now, contents))
        name = f"{self._tables.host}/{target}/{next(self._loss_numbers)}-{now}"
        await self._gossip.publish(LOSS, name, 1, value, crashers.SUSPICION_S)

    async def clear(self, content: str) -> None:
        """Publish that a content was answered completely, if it is a suspect."""
        now = time.time()
        if crashers.loss_count(self._tables.suspects, content, now):
            version = round(now * 1000)
            value = msgspec.msgpack.encode(now)
            await self._gossip.publish(
                CLEARED, content, version, value, crashers.SUSPICION_S
            )

    def expire(self) -> None:
        """Remove expired suspicions and loss reports."""
        now = time.time()
        crashers.expire(self._tables.suspects, now)
        for target, at in list(self._reported_at.items()):
            if now - at > crashers.SUSPICION_S:
                del self._reported_at[target]

    def _on_loss(self, rumour: wire.Rumour) -> None:
        fact = msgspec.msgpack.decode(rumour.value, type=_LossFact)
        table, now = self._tables.suspects, time.time()
        crashers.record_loss(table, Loss(fact.target, fact.at), fact.contents, now)
        for content in fact.contents:
            if crashers.is_convicted(table, content, now):
                self._publish_conviction(content, now)

    def _publish_conviction(self, content: str, now: float) -> None:
        """Publish a conviction to routers that missed the losses or start later."""
        self._stats.count("suspects.convicted")
        log.warning("content_convicted", content=content)
        value = msgspec.msgpack.encode(now)
        rumour = wire.Rumour(
            CONVICTED, content, round(now), value, crashers.CONVICTION_S
        )
        self._gossip.spread(rumour)

    def _on_cleared(self, rumour: wire.Rumour) -> None:
        at = msgspec.msgpack.decode(rumour.value, type=float)
        crashers.clear(self._tables.suspects, rumour.name, at)

    def _on_convicted(self, rumour: wire.Rumour) -> None:
        at = msgspec.msgpack.decode(rumour.value, type=float)
        row = self._tables.suspects.rows.setdefault(rumour.name, CrashSuspect())
        row.convicted_at = at if row.convicted_at is None else row.convicted_at
