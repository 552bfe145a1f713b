"""Counters and timers, sent by statsd."""

from __future__ import annotations

import statsd

from turmericflow.cfg import Settings

PREFIX = "turmericflow"


class Stats:
    """Counts events, in memory and to a statsd server where one is set.

    Attributes
    ----------
    counts
        Totals since the start, by name.
    """

    __slots__ = ("_client", "counts")

    def __init__(self, client: statsd.StatsClient | None) -> None:
        self._client = client
        self.counts: dict[str, int] = {}

    @classmethod
    def from_settings(cls, settings: Settings) -> Stats:
        """Build from a daemon's settings."""
        if settings.statsd is None:
            return cls(None)
        address = settings.statsd
        client = statsd.StatsClient(
            address.ip, address.port, prefix=PREFIX, ipv6=":" in address.ip
        )
        return cls(client)

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + number
        if self._client is not None:
            self._client.incr(name, number)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)
