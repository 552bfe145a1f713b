"""What a router and those that share with it have seen of the targets."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class PollState:
    """This host's own dealings with one target.

    Attributes
    ----------
    polled_at, cache_polled_at
        When this host last asked for its load report and its cache events, in
        seconds of the host's clock.
    failures
        Own polls that failed in a row.
    needs_check
        Whether another host's word is to be checked by a poll from here.
    """

    polled_at: float = float("-inf")
    cache_polled_at: float = float("-inf")
    failures: int = 0
    needs_check: bool = False


@dataclass(slots=True)
class ObservationTable:
    """Who shares in the polling of targets, and what came of it.

    Attributes
    ----------
    last_report_at
        When each host last told its sightings, in seconds of the host's clock.
    rows
        Own dealings by target.
    poll_tokens, poll_tokens_at
        Polls that may still be made at once, and when that was so.
    group, group_version
        The other hosts that share, and the value of ``PeerTable.changes`` for
        which that was worked out.
    """

    last_report_at: dict[str, float] = field(default_factory=dict)
    rows: dict[str, PollState] = field(default_factory=dict)
    poll_tokens: float = 0.0
    poll_tokens_at: float = float("-inf")
    group: list[str] = field(default_factory=list)
    group_version: int = -1
