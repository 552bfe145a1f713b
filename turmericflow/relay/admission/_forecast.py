"""Decisions to send a new stream, let it wait or refuse it, from known figures."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

# About one stream's time, so that a full turn of the places is counted.
RATE_WINDOW_S = 5.0
# Above this share of free places callers need no refusal: a burst of the same size as
# the whole load still fits.
MIN_FREE_SHARE = 0.5
# Of the caller's time-out: with less left, a caller is better served by a retry.
MIN_LATE_TIMEOUT_SHARE = 0.75
# Of the time that the caller has left, so that two more tries fit.
MAX_RETRY_AFTER_SHARE = 1 / 3
MIN_RETRY_SPREAD = 0.5  # callers come back spread over the upper half of that time


class FreePlaces:
    """Places of a service that became free, or were taken, in the last seconds.

    Parameters
    ----------
    since
        Time from which on they are recorded, in seconds.
    """

    __slots__ = ("_since", "_freed", "_taken")

    def __init__(self, since: float) -> None:
        self._since = since
        self._freed: deque[tuple[float, int]] = deque()
        self._taken: deque[tuple[float, int]] = deque()

    def record(self, freed: int, taken: int, now: float) -> None:
        """Record numbers of places that became free and that were taken."""
        for events, number in ((self._freed, freed), (self._taken, taken)):
            if number:
                self._drop_old(events, now)
                events.append((now, number))

    def rate(self, now: float) -> float | None:
        """Return the places that became free per second, or None if not known yet."""
        window_s = min(RATE_WINDOW_S, now - self._since)
        rate = self._per_s(self._freed, now)
        return rate if rate or window_s >= RATE_WINDOW_S else None

    def taken_rate(self, now: float) -> float:
        """Return the places that were taken per second."""
        return self._per_s(self._taken, now)

    @staticmethod
    def _drop_old(events: deque[tuple[float, int]], now: float) -> None:
        while events and events[0][0] <= now - RATE_WINDOW_S:
            events.popleft()

    def _per_s(self, events: deque[tuple[float, int]], now: float) -> float:
        self._drop_old(events, now)
        window_s = min(RATE_WINDOW_S, max(now - self._since, 1.0))
        return sum(number for _, number in events) / window_s


def expected_wait_s(ahead: int, rate: float | None) -> float:
    """Return the expected wait behind a number of streams, in seconds.

    Parameters
    ----------
    ahead
        Streams that are served before.
    rate
        Places that become free per second, or None if not known, which gives 0.
    """
    if not ahead or rate is None:
        return 0.0
    return ahead / rate if rate else math.inf


def place_share(places: int, ahead: int, competitors: float) -> float:
    """Return how many of the free places this host may take.

    Parameters
    ----------
    places
        Free places.
    ahead
        Streams of a better rank that wait at other hosts.
    competitors
        Other hosts that may take one of the places before this host knows of it.
    """
    return max(0, places - ahead) / (1.0 + competitors)


class PlaceCredit:
    """Places of a service that this host may take before it learns of others' choices.

    The credit grows to the host's share of the free places within the time until all
    hosts know of a choice; a part of a place is taken with that probability.
    """

    __slots__ = ("_credit", "_updated_at")

    def __init__(self) -> None:
        self._credit = 0.0
        self._updated_at = -math.inf

    def take(
        self, share: float, propagation_s: float, now: float, chance: float
    ) -> bool:
        """Return whether to take a place now.

        Parameters
        ----------
        share
            The host's share of the free places, see `place_share`.
        propagation_s
            Time until all hosts know of a choice, in seconds.
        now
            Time in seconds.
        chance
            Random number from 0 to 1.
        """
        elapsed = min(1.0, (now - self._updated_at) / propagation_s)
        self._updated_at = now
        credit = min(share, self._credit + share * elapsed)
        takes = chance < credit
        # Also a chance that was missed is used up.
        self._credit = max(0.0, credit - 1.0)
        return takes


@dataclass(slots=True, frozen=True)
class Inputs:
    """What a decision is based on.

    Attributes
    ----------
    free, total
        Free places, and all places of engines that are not in backoff.
    ahead
        Streams that wait on all hosts and are served before.
    rate
        Places that became free per second, or None if not known.
    left_s
        Time left until the stream must be sent to meet its objective, in seconds.
    remaining_s, timeout_s
        Time that the caller still waits, and its whole time-out, in seconds.
    blocked
        Whether a stream that waits at this host is to take the free places before.
    turn
        Whether the stream may take a place that other hosts want as well.
    backlog, own_rate
        Streams of its customer ahead of it that exceed the customer's share, and the
        places per second that become free for this customer, or None if not known.
    """

    free: int
    total: int
    ahead: int
    rate: float | None
    left_s: float
    remaining_s: float
    timeout_s: float
    blocked: bool
    turn: bool
    backlog: int = 0
    own_rate: float | None = None

    @property
    def expected_wait_s(self) -> float:
        """Expected wait behind all streams and behind its customer's, in seconds."""
        return max(
            expected_wait_s(self.ahead, self.rate),
            expected_wait_s(self.backlog, self.own_rate),
        )


@dataclass(slots=True, frozen=True)
class Send:
    """The stream may be sent now."""


@dataclass(slots=True, frozen=True)
class Wait:
    """The stream waits until it gets a place, or for a number of seconds."""

    until_s: float


@dataclass(slots=True, frozen=True)
class Refuse:
    """The stream is refused; `reason` is ``expected_wait`` or ``late``."""

    retry_after_s: float
    reason: str


Decision = Send | Wait | Refuse


def is_ample(free: int, total: int) -> bool:
    """Return whether so many places are free that no stream waits or is refused."""
    return free >= MIN_FREE_SHARE * total


def retry_after_s(remaining_s: float, spread: float) -> float:
    """Return after which time a refused caller comes back, in seconds.

    Parameters
    ----------
    remaining_s
        Time that the caller has left, in seconds.
    spread
        Random number from 0 to 1.
    """
    share = MIN_RETRY_SPREAD + (1 - MIN_RETRY_SPREAD) * spread
    return max(0.0, remaining_s) * MAX_RETRY_AFTER_SHARE * share


def decide(inputs: Inputs, arrives: bool, spread: float) -> Decision:
    """Return what happens to a stream now.

    Parameters
    ----------
    inputs
        The figures.
    arrives
        Whether the stream has not waited yet; only then its expected wait counts.
    spread
        Random number from 0 to 1, which spreads callers' returns.
    """
    ample = is_ample(inputs.free, inputs.total)
    if not inputs.blocked and (inputs.turn or ample):
        return Send()
    if ample:
        return Wait(inputs.remaining_s)  # for those before it, which are sent now
    if inputs.left_s <= 0:
        patient = inputs.remaining_s >= MIN_LATE_TIMEOUT_SHARE * inputs.timeout_s
        if patient and inputs.free:
            return Wait(inputs.remaining_s)
        return Refuse(retry_after_s(inputs.remaining_s, spread), "late")
    if arrives and inputs.expected_wait_s > inputs.left_s:
        return Refuse(retry_after_s(inputs.remaining_s, spread), "expected_wait")
    return Wait(inputs.left_s)
