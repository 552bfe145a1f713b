"""Messages on load: counts, reports of targets, and limits."""

from __future__ import annotations

from typing import Annotated

import msgspec

from turmericflow.wire._base import Message


class FlowDemand(msgspec.Struct, array_like=True, frozen=True):
    """What one customer's work within a profile asks for at one router."""

    profile: str
    customer: str
    demand_per_s: float


class PoolDemand(msgspec.Struct, array_like=True, frozen=True):
    """What a router has waiting for a pool, and what is asked of it there.

    ``hold_s`` is the mean time for which a request holds a place there, 0 if it
    is not known.  ``flows`` are the customers that ask most; None if only
    ``waiting`` is told again.
    """

    waiting: int = 0
    demand_per_s: float = 0.0
    hold_s: float = 0.0
    flows: tuple[FlowDemand, ...] | None = None


class InFlight(Message, tag="in_flight"):
    """Tell how many requests a router has running on targets.

    ``waiting`` tells how many it has in the queue of each pool, and which
    customers ask most.  ``full`` says that it has none on targets that are not
    named; otherwise nothing has changed there.
    """

    host: str
    full: bool
    counts: dict[str, int]
    waiting: dict[str, PoolDemand]


_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class TargetReport(msgspec.Struct, array_like=True):
    """A target's load report as an observer polled it.

    ``age_ms`` is the time since the poll, and ``models`` a digest of what the
    target has loaded.
    """

    target: str
    age_ms: _NonNegativeInt
    running: _NonNegativeInt
    queued: _NonNegativeInt
    slots: _NonNegativeInt
    step_us: _NonNegativeInt
    prefill_tokens_s: _NonNegativeInt
    models: _NonNegativeInt


class TargetReports(Message, tag="observed"):
    """Tell what a router saw of the targets since it last told.

    ``failed`` names targets that did not answer its poll.  An empty message says
    that the router still observes.
    """

    host: str
    reports: list[TargetReport]
    failed: list[str]


class Demands(Message, tag="demands"):
    """Tell the keeper of customers' limits what a router saw, per second."""

    rid: int
    host: str
    rates: dict[str, float]


class Allotments(Message, tag="allotments"):
    """Answers `Demands`: the router's parts of the limits, per second."""

    rid: int
    rates: dict[str, float]
