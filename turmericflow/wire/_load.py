"""Messages for load counts, load reports of targets, and customers' limits."""

from __future__ import annotations

from typing import Annotated

import msgspec

from turmericflow.wire._base import Message


class FlowDemand(msgspec.Struct, array_like=True, frozen=True):
    """Demand of one customer within a profile at one router."""

    profile: str
    customer: str
    demand_per_s: float


class PoolDemand(msgspec.Struct, array_like=True, frozen=True):
    """Queue length and demand of a pool at one router.

    ``hold_s`` is the mean time for which a request occupies a slot, 0 if
    unknown.  ``flows`` are the customers with the highest demand; None if only
    ``waiting`` is an update.
    """

    waiting: int = 0
    demand_per_s: float = 0.0
    hold_s: float = 0.0
    flows: tuple[FlowDemand, ...] | None = None


class InFlight(Message, tag="in_flight"):
    """Share the number of requests that a router has running on each target.

    ``waiting`` holds the queue length and demand of each pool.  ``full`` marks a
    snapshot, in which targets without a count have no requests; otherwise their
    counts have not changed.
    """

    host: str
    full: bool
    counts: dict[str, int]
    waiting: dict[str, PoolDemand]


_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class TargetReport(msgspec.Struct, array_like=True):
    """A target's load report from an observer's poll.

    ``age_ms`` is the time since the poll, and ``models`` a digest of the models
    that the target has loaded.
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
    """Share the load reports that a router has polled since its last message.

    ``failed`` names targets that did not answer a poll.  An empty message is a
    heartbeat: the router still observes.
    """

    host: str
    reports: list[TargetReport]
    failed: list[str]


class Demands(Message, tag="demands"):
    """Report a router's demand, per second, to the keeper of customers' limits."""

    rid: int
    host: str
    rates: dict[str, float]


class Allotments(Message, tag="allotments"):
    """Reply to `Demands` with the router's shares of the limits, per second."""

    rid: int
    rates: dict[str, float]
