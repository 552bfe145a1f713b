"""Which requests of a host may go to the new version of a service."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nsmallest

import msgspec
import xxhash

# A third of the time for a rollback: the view may be lost twice in that time.
STALE_SHARE = 1 / 3
# Of `canarySlack`; the other half covers requests under way when a share falls.
INITIAL_CREDIT_SHARE = 0.5
# Share of a route's requests: with three old answers for each new one, more new ones
# hardly make the comparison more certain, and times need two old ones at the same time.
MAX_ROUTE_SHARE = 0.25
# Requests; the credit that other routes leave to the routes in focus. A host gets it
# with some 12 requests, of which a route of 3 in 20 has one with a chance of 6 in 7.
HELD_CREDIT = 1.0
# Requests of the routes in focus, after which any request takes a credit: the others
# still show a version that turns bad late.
FOCUS_TURNS = 3

IN_PROGRESS = "in_progress"
COMPLETED = "completed"
ROLLED_BACK = "rolled_back"


class RolloutView(msgspec.Struct, array_like=True, frozen=True):
    """What the decider of an order publishes.

    Attributes
    ----------
    service, target
        Service and its new version.
    order
        Revision of the store at which the order was created.
    term, number
        Number of take-overs, and of steps; the higher pair is newer.
    share
        Share of the service's requests that may go to the new version, 0 to 1.
    state
        `IN_PROGRESS`, `COMPLETED` or `ROLLED_BACK`.
    focus
        Routes whose requests take the credit first; empty if all are alike. It changes
        within a step. Hosts of the earlier build ignore it.
    """

    service: str
    target: str
    order: int
    term: int
    number: int
    share: float
    state: str
    focus: tuple[str, ...] = ()

    @property
    def stamp(self) -> tuple[int, int]:
        """Term and number."""
        return self.term, self.number


class ShareLedger:
    """Credit counter of one order at one host.

    Parameters
    ----------
    order
        Revision of the store at which the order was created.
    initial_credit
        1 if the host is among the first to try the version, else 0.
    rollback_s
        `rollbackMs` in seconds.
    now
        Present time in seconds.
    """

    __slots__ = (
        "order",
        "view",
        "_credit",
        "_routes",
        "_turns",
        "_stale_after_s",
        "_fresh_at",
    )

    def __init__(
        self, order: int, initial_credit: float, rollback_s: float, now: float
    ) -> None:
        self.order = order
        self.view: RolloutView | None = None
        self._credit = initial_credit
        self._routes: dict[str, float] = {}  # credit by route in focus
        self._turns = 0  # requests of routes in focus since one of any route
        self._stale_after_s = rollback_s * STALE_SHARE
        self._fresh_at = now

    @property
    def state(self) -> str:
        """State of the newest view."""
        return IN_PROGRESS if self.view is None else self.view.state

    def apply(self, view: RolloutView, now: float) -> bool:
        """Take a view that arrived; return whether it is newer than the known one.

        A view of an older (term, number) is ignored, unless it is of a rollback: of two
        deciders, one has found the version bad. The end of an order is final.
        """
        if view.order != self.order:
            return False
        known = self.view
        if known is not None:
            if known.state != IN_PROGRESS:
                return False
            if view.stamp < known.stamp and view.state != ROLLED_BACK:
                return False
            if view.stamp == known.stamp and view.state == known.state:
                self._fresh_at = now
                self.view = view  # the focus may have changed
                return False
        self.view = view
        self._fresh_at = now
        return True

    def is_stale(self, now: float) -> bool:
        """Return whether no view arrived for too long; never after the end."""
        return self.state == IN_PROGRESS and (
            self.view is None or now - self._fresh_at > self._stale_after_s
        )

    def admits(self, now: float, route: str = "") -> bool:
        """Return whether this request may go to the new version; consumes the credit.

        To be called once for each request to the service, also for those that can't go
        to the new version for another reason; their credit is given back by `release`.

        Parameters
        ----------
        now
            Present time in seconds.
        route
            Name of the request's route.
        """
        if self.state != IN_PROGRESS:
            return self.state == COMPLETED
        if self.is_stale(now):
            return False
        share, focus = self.view.share, self.view.focus
        self._credit += share
        if share >= 1.0 or not focus:
            needed = 1.0
        elif route in focus:
            needed = 1.0
            # The first request of the route may go.
            left = self._routes.get(route, 1.0) + max(share, MAX_ROUTE_SHARE)
            self._routes[route] = left = min(2.0, left)
            if left < 1.0:
                return False
        elif self._turns >= FOCUS_TURNS:
            needed = 1.0
        else:
            needed = 1.0 + HELD_CREDIT
        if self._credit < needed:
            return False
        self._credit -= 1.0
        self._turns = 0 if self._turns >= FOCUS_TURNS else self._turns + 1
        if route in self._routes:
            self._routes[route] -= 1.0
        return True

    def release(self) -> None:
        """Give back the credit of a request that was not sent to the new version."""
        # More than one unused credit would become a burst.
        self._credit = min(1.0, self._credit + 1.0)


def _rank(name: str, salt: str) -> int:
    return xxhash.xxh64_intdigest(f"{salt}/{name}".encode())


def initial_credit(
    host: str, hosts: Iterable[str], service: str, order: int, slack: int
) -> float:
    """Return a host's first credit: 1 at the first hosts by hash, else 0.

    Parameters
    ----------
    host, hosts
        Name of this host, and names of all live hosts.
    service, order
        Service, and revision of the store at which the order was created.
    slack
        `canarySlack`, in requests.
    """
    count = int(slack * INITIAL_CREDIT_SHARE)
    salt = f"{service}/{order}"
    first = nsmallest(count, {*hosts, host}, key=lambda name: _rank(name, salt))
    return 1.0 if host in first else 0.0


def canary_targets(share: float, new_targets: int, old_targets: int) -> int:
    """Return on how many new targets the canary requests are concentrated.

    So few that each has at least the load of an old target, to show a version that is
    bad only under load; at least one.
    """
    if share >= 1.0 or not old_targets:
        return new_targets
    return max(1, min(new_targets, int(share * old_targets / (1.0 - share))))


def concentrated(targets: Iterable[str], count: int, service: str) -> list[str]:
    """Return the `count` targets that receive the canary requests, by hash.

    All hosts with the same targets choose the same; a lost one is replaced by the next.
    """
    return nsmallest(count, targets, key=lambda key: _rank(key, service))
