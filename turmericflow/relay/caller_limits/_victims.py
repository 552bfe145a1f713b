"""Which connections give way when memory or connections are used up.

A request that a target may have run is never refused, as the refusal would not be
true. So requests whose bodies are still read give way first. An answer that its caller
does not read is cut off only if nothing else can give way.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

SMALL_BYTES = 65_536  # requests up to this size are not made to wait or refused first
MIN_WRITING_S = 0.5  # a caller that reads takes a piece of an answer within this time

K = TypeVar("K")


class Phase(enum.IntEnum):
    """What a connection is doing; the lower ones give up their connection first."""

    HEAD = 0  # an incomplete head
    SILENT = 1  # nothing was received yet
    IDLE = 2  # all requests are answered
    READING = 3  # the body of a request that has not been sent to a target
    WRITING = 4  # an answer that its caller is slow to read
    RUNNING = 5  # a request that a target may have run


@dataclass(slots=True, frozen=True)
class Holding(Generic[K]):
    """What a connection holds.

    Attributes
    ----------
    key
        Identifies the connection.
    size
        Bytes held.
    since
        Time since when it has held any, or since when it has been idle or writing, in
        seconds.
    address
        Address of the caller.
    """

    key: K
    phase: Phase
    size: int
    since: float
    address: str = ""


def _most_for_longest(holding: Holding, now: float) -> float:
    return holding.size * max(now - holding.since, 1e-3)


def choose_for_memory(
    holdings: Iterable[Holding[K]], excess_bytes: int, now: float, full: bool
) -> list[K]:
    """Return the connections that give way until enough bytes are free.

    Parameters
    ----------
    holdings
        What the connections hold.
    excess_bytes
        Bytes to be freed.
    now
        Time in seconds.
    full
        Whether all memory is used, so that also small requests and answers give way.
    """
    large, unread, small = [], [], []
    for holding in holdings:
        match holding.phase:
            case Phase.READING if holding.size > SMALL_BYTES:
                large.append(holding)
            case Phase.WRITING if holding.size and now - holding.since > MIN_WRITING_S:
                unread.append(holding)
            case Phase.READING | Phase.HEAD if holding.size:
                small.append(holding)
    chosen: list[K] = []
    for group in (large, unread, small) if full else (large,):
        group.sort(key=lambda each: _most_for_longest(each, now), reverse=True)
        for holding in group:
            if excess_bytes <= 0:
                return chosen
            chosen.append(holding.key)
            excess_bytes -= holding.size
    return chosen


def choose_for_connection(holdings: Iterable[Holding[K]], now: float) -> K | None:
    """Return the connection to close in favour of a new one, or None.

    Of several in the same phase it is one of the address with most connections, the
    one that has been in that phase for longest.
    """
    holdings = list(holdings)
    by_address = Counter(each.address for each in holdings)
    candidates = [
        each
        for each in holdings
        if each.phase < Phase.WRITING
        or (each.phase is Phase.WRITING and now - each.since > MIN_WRITING_S)
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda each: (each.phase, -by_address[each.address], each.since),
    ).key
