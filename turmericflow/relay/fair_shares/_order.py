"""Shares of the places, and the order of customers' streams that follows from them."""

from __future__ import annotations

import math
from dataclasses import dataclass

from turmericflow.relay.fair_shares._usage import ByCustomer, Usage


@dataclass(slots=True, frozen=True)
class Standing:
    """A customer's use of a service's places.

    Attributes
    ----------
    usage, waiting
        Streams that run and that wait, over all hosts.
    share
        Places that the customer may use before the others' streams go first; infinite
        while all customers' streams fit.
    part
        The share as a part of all places, at most 1.
    """

    usage: int
    waiting: int
    share: float
    part: float

    @property
    def is_over(self) -> bool:
        """Whether a further stream would exceed the share."""
        return is_over_share(self.usage, self.share)

    @property
    def key(self) -> tuple[bool, float]:
        """See `order_key`."""
        return order_key(self.usage, self.share)

    @property
    def rivals(self) -> int:
        """Other waiting streams of a customer that is under its share.

        When it gets under its share, all its streams do, on all hosts at once, while
        the ranks that hosts have published are still the earlier ones.
        """
        return 0 if self.is_over else self.waiting - 1

    def backlog(self, ahead: int) -> int:
        """Return how many of its streams ahead of a waiting one exceed the share.

        Parameters
        ----------
        ahead
            Streams of all customers that are served before.
        """
        own_ahead = min(self.waiting - 1, ahead)
        room = max(0.0, self.share - self.usage)
        return 0 if own_ahead <= room else math.ceil(own_ahead - room)


def shares(usage: ByCustomer, places: int) -> float:
    """Return the share of each customer in a service's places.

    It is an equal part of the places, raised by what the customers that need less
    leave to the others, and infinite if all streams fit.

    Parameters
    ----------
    usage
        Streams of all customers that run or wait.
    places
        Places that these customers have between them.
    """
    left, number = float(places), len(usage)
    for wanted in sorted(each.running + each.waiting for each in usage.values()):
        if wanted * number > left:
            return left / number
        left -= wanted
        number -= 1
    return math.inf


def is_over_share(usage: int, share: float) -> bool:
    """Return whether a customer with so many runs has no claim to a further place."""
    return usage >= share


def order_key(usage: int, share: float) -> tuple[bool, float]:
    """Return the key by which customers are served; the least is first.

    Customers under their share go first, by least usage over share. The share is the
    same for all, so that usage alone gives that order.
    """
    return is_over_share(usage, share), float(usage)


def standing(usage: ByCustomer, customer: int, share: float, places: int) -> Standing:
    """Return a customer's standing; see `shares`."""
    found = usage.get(customer, Usage())
    part = min(1.0, share / places) if places else 1.0
    return Standing(found.running, found.waiting, share, part)
