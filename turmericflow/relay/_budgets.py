"""Budget of sends beyond the first of a request, shared by hosts without a centre.

Each host may spend a share of the requests that it took in a window itself, and
an equal part of the number that all hosts have besides.  No host need know what
another has spent.
"""

from __future__ import annotations

from collections import deque

SAFETY = 0.7  # share of the limit that hosts spend; windows differ between observers


class _Window:
    __slots__ = ("requests", "repeats")

    def __init__(self) -> None:
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()


class Budgets:
    """Requests and repeats of a window, by service."""

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
        for times in (window.requests, window.repeats):
            while times and now - times[0] > self.window_s:
                times.popleft()
        return window

    def took(self, service: str, now: float) -> None:
        """Note a caller's request for a service."""
        self._window(service, now).requests.append(now)

    def spend(self, service: str, hosts: int, now: float) -> bool:
        """Take one more send out of the budget; False if it is used up.

        Parameters
        ----------
        service
            The service that is sent to.
        hosts
            Number of hosts that share the budget.
        now
            Time in seconds.
        """
        window = self._window(service, now)
        limit = self.ratio * len(window.requests) + self.slack / max(1, hosts)
        if len(window.repeats) + 1 > SAFETY * limit:
            return False
        window.repeats.append(now)
        return True
