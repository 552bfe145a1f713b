"""Counters and timers, sent to a statsd server."""

from __future__ import annotations

import statsd

from turmericflow.cfg import Settings

PREFIX = "turmericflow"


class Stats:
    """Count events, in memory and at a statsd server if one is configured.

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
        """Create the counters from the settings of a daemon."""
        if settings.statsd is None:
            return cls(None)
        address = settings.statsd
        client = statsd.StatsClient(
            address.ip, address.port, prefix=PREFIX, ipv6=":" in address.ip
        )
        return cls(client)

    def count(self, name: str, number: int = 1) -> None:
        """Add a number to a counter."""
        self.counts[name] = self.counts.get(name, 0) + number
        if self._client is not None:
            self._client.incr(name, number)

    def time(self, name: str, seconds: float) -> None:
        """Record a duration, in seconds, at the statsd server."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)
