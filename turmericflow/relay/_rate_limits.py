"""Rate limits that targets name in their answers, for all hosts together.

Each limit is divided among a few hosts, which all hosts determine by rendezvous
hashing of the live hosts, so that nothing is agreed upon while requests are sent.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

MIN_RATE = 0.05  # in requests per second; the end of a lower limit is noticed late
EXTRA_HOLDERS = 4  # hosts with a share, beyond one for each request per second
MAX_TOKENS = 1.0  # requests that a host may send at once
FORGET_AFTER_S = 30.0  # limits of targets that no entry names
DEMAND_WINDOW_S = 4.0
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 10.0
_HASH_RANGE = 2.0**64


@dataclass(slots=True, frozen=True)
class LimitNamed:
    """An answer names the rate that its target takes from all hosts, per second."""

    rate: float


@dataclass(slots=True, frozen=True)
class LimitAbsent:
    """An answer names no limit, which ends an earlier one."""


@dataclass(slots=True, frozen=True)
class LimitInvalid:
    """An answer names a limit that cannot be read, which changes nothing."""

    text: str


LimitNotice = LimitNamed | LimitAbsent | LimitInvalid


class LimitNews(msgspec.Struct, array_like=True):
    """A limit as told to other hosts: target key, rate or None, and age in seconds."""

    key: str
    rate: float | None
    age_s: float


def share_per_s(
    key: str, rate: float, own: str, live: Collection[str], known: int
) -> float:
    """Return this host's part of a limit, in requests per second.

    Parameters
    ----------
    key
        Key of the target.
    rate
        Requests per second that the target takes from all hosts.
    own
        Name of this host.
    live
        Names of the live hosts, this one included.
    known
        Number of all known hosts. The live hosts share only their part of the limit,
        so that the sides of a network partition do not exceed it together.
    """
    holders = min(len(live), int(rate) + EXTRA_HOLDERS)
    chosen = heapq.nsmallest(
        holders,
        live,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()),
    )
    if own not in chosen:
        return 0.0
    return max(rate, MIN_RATE) * len(live) / known / holders


class TargetLimit:
    """The limit of one incarnation of a target, and this host's share of it.

    Attributes
    ----------
    rate
        Requests per second that the target takes from all hosts, or None if its last
        answer named no limit.
    heard_at
        Time of the newest answer that named the limit or ended it.
    own_heard_at
        Time of the newest such answer to this host.
    share_per_s, shared_at
        This host's share in requests per second, and the time of its computation.
    """

    __slots__ = (
        "rate",
        "heard_at",
        "own_heard_at",
        "share_per_s",
        "shared_at",
        "_tokens",
        "_refilled_at",
    )

    def __init__(self, tokens: float, now: float) -> None:
        self.rate: float | None = None
        self.heard_at = self.own_heard_at = float("-inf")
        self.share_per_s = 0.0
        self.shared_at = float("-inf")
        self._tokens = tokens
        self._refilled_at = now

    def _refill(self, now: float) -> None:
        gained = self.share_per_s * (now - self._refilled_at)
        self._tokens = min(MAX_TOKENS, self._tokens + gained)
        self._refilled_at = now

    def set_share(self, per_s: float, now: float) -> None:
        """Change this host's share; tokens that it has are kept."""
        self._refill(now)
        self.share_per_s, self.shared_at = per_s, now

    def has_token(self, now: float) -> bool:
        """Return whether this host may send a request now."""
        self._refill(now)
        return self.share_per_s > 0 and self._tokens >= 1.0

    def take_token(self, now: float) -> None:
        """Count a request that is sent."""
        self._refill(now)
        self._tokens -= 1.0

    def record(self, notice: LimitNotice, sent_at: float, now: float) -> bool:
        """Record what an answer says; return whether the limit changed.

        Answers overtake each other. A lower limit holds at once. A limit is raised
        or ended only by an answer to a request that was sent after it was named.

        Parameters
        ----------
        notice
            What the answer says.
        sent_at
            Time at which the request was sent, in seconds.
        now
            Time of the answer, in seconds.
        """
        match notice:
            case LimitNamed(rate):
                found: float | None = rate
            case LimitAbsent():
                found = None
            case LimitInvalid():
                return False
        if found is None and self.rate is None:
            return False
        raised = self.rate is not None and (found is None or found > self.rate)
        if raised and sent_at < self.heard_at:
            return False
        changed = found != self.rate
        self.rate = found
        self.heard_at = self.own_heard_at = now
        return changed


class LimitedDemand:
    """Recent demand for a service of which every target names a limit.

    Ranks are numbers; the lowest is served first.
    """

    __slots__ = ("_arrived", "_sent", "_refused")

    def __init__(self) -> None:
        self._arrived: deque[tuple[float, int]] = deque()
        self._sent: deque[tuple[float, int]] = deque()
        self._refused: deque[tuple[float, int]] = deque()

    def _expire(self, now: float) -> None:
        for times in (self._arrived, self._sent, self._refused):
            while times and now - times[0][0] > DEMAND_WINDOW_S:
                times.popleft()

    def admits(self, rank: int, share: float, now: float) -> bool:
        """Record a request; return whether higher ranks leave a part of the share.

        Parameters
        ----------
        rank
            Rank of the request.
        share
            This host's share of the limits of all targets, in requests per second.
        now
            Time in seconds.
        """
        self._expire(now)
        self._arrived.append((now, rank))
        higher = sum(1 for _, other in self._arrived if other < rank)
        sent = sum(1 for _, other in self._sent if other >= rank)
        return not higher or higher + sent < share * DEMAND_WINDOW_S

    def record_sent(self, rank: int, now: float) -> None:
        """Record that a request was sent."""
        self._sent.append((now, rank))

    def refuse(self, rank: int, share: float, now: float) -> float:
        """Record a refusal; return the time in which the refused can be served.

        The parameters are those of `admits`. The time is in seconds.
        """
        self._expire(now)
        self._refused.append((now, rank))
        if share <= 0:
            return MAX_RETRY_AFTER_S
        seconds = len(self._refused) / share
        return min(max(seconds, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


class RateLimits:
    """Limits of all targets by target key, and the demand for limited services."""

    __slots__ = ("_own", "_by_key", "_demand")

    def __init__(self, own: str) -> None:
        self._own = own
        self._by_key: dict[str, TargetLimit] = {}
        self._demand: dict[str, LimitedDemand] = {}

    def __bool__(self) -> bool:
        """Return whether any limit is or was in force."""
        return bool(self._by_key)

    def count_in_force(self) -> int:
        """Return the number of targets that name a limit."""
        return sum(limit.rate is not None for limit in self._by_key.values())

    def demand(self, service: str) -> LimitedDemand:
        """Return the recent demand for a service."""
        return self._demand.setdefault(service, LimitedDemand())

    def _add(self, key: str, now: float) -> TargetLimit:
        # Unequal levels, so that the hosts do not send at the same time.
        digest = xxhash.xxh3_64_intdigest(f"{self._own}/{key}".encode())
        limit = self._by_key[key] = TargetLimit(digest / _HASH_RANGE, now)
        return limit

    def find(self, key: str) -> TargetLimit | None:
        """Return the limit in force for a target, or None."""
        limit = self._by_key.get(key)
        return limit if limit is not None and limit.rate is not None else None

    def record(self, key: str, notice: LimitNotice, sent_at: float, now: float) -> bool:
        """Record what an answer of a target says; see `TargetLimit.record`."""
        limit = self._by_key.get(key)
        if limit is None:
            if not isinstance(notice, LimitNamed):
                return False
            limit = self._add(key, now)
        return limit.record(notice, sent_at, now)

    def apply(self, news: Sequence[LimitNews], now: float) -> None:
        """Apply what another host has told."""
        for each in news:
            limit, heard_at = self._by_key.get(each.key), now - each.age_s
            if limit is None:
                if each.rate is None:
                    continue
                limit = self._add(each.key, now)
            if heard_at > limit.heard_at:
                limit.rate, limit.heard_at = each.rate, heard_at

    def news(self, max_age_s: float, now: float) -> list[LimitNews]:
        """Return what this host has heard from targets recently."""
        return [
            LimitNews(key, limit.rate, now - limit.heard_at)
            for key, limit in self._by_key.items()
            if now - limit.own_heard_at < max_age_s
        ]

    def known(self, now: float) -> list[LimitNews]:
        """Return all limits that this host knows, also from other hosts."""
        return [
            LimitNews(key, limit.rate, now - limit.heard_at)
            for key, limit in self._by_key.items()
        ]

    def expire(self, targets: Collection[str], now: float) -> None:
        """Drop limits that have ended, or whose targets are not in the table."""
        for key, limit in list(self._by_key.items()):
            unused = limit.rate is None or key not in targets
            if unused and now - limit.heard_at > FORGET_AFTER_S:
                del self._by_key[key]
