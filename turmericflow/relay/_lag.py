"""Tracks for how long a host has lacked what other hosts have announced."""

from __future__ import annotations


class Lag:
    """For how long this host lacks the objects of one kind at an announced revision.

    Newer announcements do not restart the time; only the arrival of the revision that
    is awaited does.

    Attributes
    ----------
    awaited_revision
        Revision that a peer announced and that this host lacks, or -1.
    since
        Time at which it was announced, in seconds.
    requested_at
        Time at which a snapshot was last requested, in seconds.
    """

    __slots__ = ("awaited_revision", "since", "requested_at")

    def __init__(self) -> None:
        self.awaited_revision = -1
        self.since = 0.0
        self.requested_at = float("-inf")

    def update(self, own_revision: int, announced_revision: int, now: float) -> None:
        """Take this host's revision and the highest that its peers announced."""
        if own_revision >= self.awaited_revision:
            self.awaited_revision, self.since = -1, now
        if self.awaited_revision < 0 and announced_revision > own_revision:
            self.awaited_revision, self.since = announced_revision, now

    def is_request_due(self, delay_s: float, retry_s: float, now: float) -> bool:
        """Return whether to request a snapshot now.

        Parameters
        ----------
        delay_s
            Time to wait for the awaited revision before the first request, in seconds.
        retry_s
            Minimum time between two requests, in seconds.
        now
            Time in seconds.
        """
        return (
            self.awaited_revision >= 0
            and now - self.since >= delay_s
            and now - self.requested_at >= retry_s
        )

    def seconds(self, now: float) -> float:
        """Return for how long the awaited revision has been lacking, in seconds."""
        return now - self.since if self.awaited_revision >= 0 else 0.0
