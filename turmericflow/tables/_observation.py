"""State of the polling of targets that is shared by a group of hosts."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class PollState:
    """State of this host's own polls of one target.

    Attributes
    ----------
    polled_at, cache_polled_at
        Time of the last poll of its load report and of its cache events, in
        seconds of the host's clock.
    failures
        Number of polls that failed in a row.
    needs_check
        Whether this host must poll it to check another host's report.
    """

    polled_at: float = float("-inf")
    cache_polled_at: float = float("-inf")
    failures: int = 0
    needs_check: bool = False


@dataclass(slots=True)
class ObservationTable:
    """Hosts that share the polling of targets, and state of this host's polls.

    Attributes
    ----------
    last_report_at
        Time of each host's last message of reports, in seconds of the host's clock.
    rows
        State of this host's polls by target.
    poll_tokens, poll_tokens_at
        Tokens in the bucket of this host's polls, and the time of the last refill.
    group, group_version
        The other hosts of the group, and the value of ``PeerTable.change_count`` for
        which the group was computed.
    """

    last_report_at: dict[str, float] = field(default_factory=dict)
    rows: dict[str, PollState] = field(default_factory=dict)
    poll_tokens: float = 0.0
    poll_tokens_at: float = float("-inf")
    group: list[str] = field(default_factory=list)
    group_version: int = -1
