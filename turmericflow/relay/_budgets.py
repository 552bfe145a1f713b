"""Budget of sends beyond the first of a request, shared by hosts without a centre.

Each host tells what it took and sent again in a window.  What all have left is
divided by the number of hosts, anew each time that what a host has spent is known
to all: together they cannot overspend in the meantime, and a host that loses many
streams at once uses what the others did not.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

SAFETY_FACTOR = 0.85  # of the limit; a host that is lost takes its count along
MIN_FIRST_RETRY_SHARE = (
    0.5  # of one send, from which on a host that sent none may send one
)


class RetryUsage(msgspec.Struct, array_like=True):
    """A host's requests and retries of a window, for one service."""

    requests: int = 0
    retries: int = 0


class PeerRetryUsage(NamedTuple):
    """What a host knows of the others that share the budget.

    Attributes
    ----------
    spent
        What each of those that are heard of has spent.
    hosts
        Number of hosts, this one and silent ones included.
    propagation_s
        Time after which all know what a host has spent, in seconds.
    """

    spent: Sequence[RetryUsage]
    hosts: int
    propagation_s: float


class _Window:
    __slots__ = ("requests", "retries")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()


class RetryBudgets:
    """Requests and retries of a window, by service."""

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
        """Note a caller's request for a service."""
        self._window(service, now).requests.append(now)

    def usage(self, now: float) -> dict[str, RetryUsage]:
        """Return what this host has spent, by service, to be told to the others."""
        found = {}
        for service in self._windows:
            window = self._window(service, now)
            if window.requests or window.retries:
                found[service] = RetryUsage(len(window.requests), len(window.retries))
        return found

    def _limit(self, window: _Window, others: PeerRetryUsage) -> float:
        """Return how many retries of the window's requests all hosts may send.

        Hosts that are not heard of may send their part of the slack meanwhile.
        """
        requests = len(window.requests) + sum(each.requests for each in others.spent)
        heard = (1 + len(others.spent)) / max(1, others.hosts)
        return SAFETY_FACTOR * (self.ratio * requests + self.slack * min(1.0, heard))

    def try_spend(self, service: str, others: PeerRetryUsage, now: float) -> bool:
        """Take one more send out of the budget; False if none is left for now.

        Parameters
        ----------
        service
            The service that is sent to.
        others
            What is known of the other hosts.
        now
            Time in seconds.
        """
        window = self._window(service, now)
        fresh = sum(1 for at in window.retries if now - at < others.propagation_s)
        known = len(window.retries) - fresh
        known += sum(each.retries for each in others.spent)
        share = (self._limit(window, others) - known) / max(1, others.hosts)
        if fresh + 1 > share and (fresh or share < MIN_FIRST_RETRY_SHARE):
            return False
        window.retries.append(now)
        return True
