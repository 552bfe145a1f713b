"""Retry budgets shared by all hosts without a coordinator.

Each host gossips its requests and retries of a sliding window. A host may use the
remaining budget of all hosts, divided by the number of hosts, for retries that the
others do not know of yet. So all hosts together cannot overspend while usage
propagates, and a host that loses many streams at once can use what the others left.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

SAFETY_FACTOR = 0.85  # of the limit; the usage of a lost host is no longer counted
# In retries; from this share on, a host without recent retries may send one.
MIN_FIRST_RETRY_SHARE = 0.5


class RetryUsage(msgspec.Struct, array_like=True):
    """Requests and retries of one host in the window, for one service."""

    requests: int = 0
    retries: int = 0


class PeerRetryUsage(NamedTuple):
    """Usage of the other hosts that share the budget.

    Attributes
    ----------
    usages
        Usage of each live host other than this one.
    hosts
        Number of all hosts, including this one and those that are not live.
    propagation_s
        Time after which all hosts know the usage of a host, in seconds.
    """

    usages: Sequence[RetryUsage]
    hosts: int
    propagation_s: float


class _Window:
    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()


class RetryBudgets:
    """Limit retries to a share of the requests plus a constant, by service.

    Attributes
    ----------
    ratio
        Allowed retries per request.
    window_s
        Length of the sliding window, in seconds.
    slack
        Retries allowed in a window in addition, for all hosts together.
    """

    __slots__ = ("_windows", "ratio", "window_s", "slack")

    def __init__(
        self, ratio: float = 0.8, window_s: float = 10.0, slack: float = 150.0
    ) -> None:
        self._windows: dict[str, _Window] = {}
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        for times in (window.requests, window.retries):
            while times and now - times[0] > self.window_s:
                times.popleft()
        return window

    def record_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._window(service, now).requests.append(now)

    def usage(self, now: float) -> dict[str, RetryUsage]:
        """Return this host's usage in the window by service, to be gossiped."""
        usage = {}
        for service in self._windows:
            window = self._window(service, now)
            if window.requests or window.retries:
                usage[service] = RetryUsage(len(window.requests), len(window.retries))
        return usage

    def _limit(self, window: _Window, others: PeerRetryUsage) -> float:
        """Return how many retries all hosts together may send in a window.

        Hosts whose usage is unknown may use their part of the slack.
        """
        requests = len(window.requests) + sum(each.requests for each in others.usages)
        live_share = (1 + len(others.usages)) / max(1, others.hosts)
        return SAFETY_FACTOR * (
            self.ratio * requests + self.slack * min(1.0, live_share)
        )

    def try_spend(self, service: str, others: PeerRetryUsage, now: float) -> bool:
        """Charge one retry to the budget.

        Parameters
        ----------
        service
            Service that the retry is sent to.
        others
            Usage of the other hosts.
        now
            Time in seconds.

        Returns
        -------
        bool
            Whether the retry is allowed; False if the budget is used up for now.
        """
        window = self._window(service, now)
        unpropagated = sum(
            1 for at in window.retries if now - at < others.propagation_s
        )
        propagated = len(window.retries) - unpropagated
        propagated += sum(each.retries for each in others.usages)
        share = (self._limit(window, others) - propagated) / max(1, others.hosts)
        if unpropagated + 1 > share and (unpropagated or share < MIN_FIRST_RETRY_SHARE):
            return False
        window.retries.append(now)
        return True
