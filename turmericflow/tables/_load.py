"""Queues of work for the targets, and the state of load balancing and limits."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from turmericflow.profile import Profile
from turmericflow.tables._slots import RequestId
from turmericflow.tables._targets import Target
from turmericflow.wire import FlowDemand, PoolDemand


@dataclass(slots=True)
class Work:
    """One attempt, as routing and admission need it.

    Attributes
    ----------
    request_id, profile
        The request, and the profile in force when it was accepted.
    prompt_tokens
        Length of the prompt, in tokens, with the output that a resume sends along.
    blocks
        Chained hashes of the prompt's complete prefix blocks.
    max_tokens
        Maximum number of output tokens still to be generated.
    accepted_at
        Time of acceptance, in seconds of the host's clock.
    expected_tokens
        Expected number of output tokens still to be generated.
    resume
        Whether the attempt continues after output that was already received.
    exclude
        Names of the targets that must not run the attempt.
    keep_free
        Slots that the attempt must leave free on a target.
    """

    request_id: RequestId
    profile: Profile
    prompt_tokens: int
    blocks: list[str]
    max_tokens: int
    accepted_at: float
    expected_tokens: float = 0.0
    resume: bool = False
    exclude: frozenset[str] = frozenset()
    keep_free: int = 0

    @property
    def pool(self) -> str:
        """Name of the pool of targets that can run this work."""
        profile = self.profile
        return f"{profile.service} {profile.model}/{profile.adapter}/{profile.version}"


@dataclass(slots=True)
class QueueEntry:
    """One entry of a pool's queue.

    Attributes
    ----------
    work
        The queued work.
    rank
        Priority class; the lowest rank is served first.
    start_tag
        Start tag of start-time fair queueing within the rank.
    expires_at
        Time at which the entry expires, in seconds of the host's clock.
    removed
        Whether the entry has left the queue.
    """

    work: Work
    rank: int
    start_tag: float
    expires_at: float
    removed: bool = False


@dataclass(slots=True)
class Rate:
    """Rate of an event, as an exponentially weighted moving average.

    Attributes
    ----------
    count
        Number of events since the last update of ``per_s``.
    per_s
        Average number of events per second.
    """

    count: int = 0
    per_s: float = 0.0


@dataclass(slots=True)
class Flow:
    """Queued work and measured demand of one customer within one profile.

    Attributes
    ----------
    finish_tag
        Finish tag of the flow's last work in start-time fair queueing.
    queued
        Number of entries in the queue.
    served, demand
        Rates of served work and of all requests, refused ones included.
    credit
        Number of requests that the flow may still start within its share.
    """

    finish_tag: float = 0.0
    queued: int = 0
    served: Rate = field(default_factory=Rate)
    demand: Rate = field(default_factory=Rate)
    credit: float = 0.0


@dataclass(slots=True)
class Pool:
    """Targets that can run the same work, and their queue.

    Attributes
    ----------
    profile
        One of the profiles whose work the targets run.
    targets
        Members as of the last refresh; each is checked again before use.
    free, slots
        Numbers of free slots and of all slots, as of the last refresh and
        corrected by what was sent since.
    free_over_share
        Free slots that work beyond its customer's share may use.
    resume_reserve
        Slots of each target that are reserved for resumes.
    hold_s, hold_samples
        Mean time for which a request holds a slot, in seconds, and the number
        of requests in that mean.
    busy_slot_s, refreshed_at
        Total slot time used by this host's requests, in seconds, and the time
        of the last refresh, in seconds of the host's clock.
    released
        Rate at which this host's requests release slots.
    measured_at, measurements
        Time of the last measurement of rates, and the number of measurements.
    heap
        Queue entries as ``(rank, start tag, entry number, entry)``.
    by_age
        The same entries in the order of their arrival.
    depth
        Number of queued entries by rank.
    flows
        Flows by ``(profile, customer)``.
    in_flight, peer_in_flight
        Requests on the targets from this host and from other hosts.
    demand
        Rate of requests that reach this host, refused ones included.
    top_flows, top_flows_pending
        Flows with the highest demand on this host, and whether they are still
        to be sent to other hosts.
    peer_demands
        Queue length and demand that other hosts last reported, by host.
    over_share
        Names of the flows whose demand exceeds their share while the pool is
        overloaded; empty otherwise.
    within_share_per_s
        Demand of the flows within their share, summed over all hosts, during
        an overload.
    share_reserve
        Slots of each target reserved for flows within their share.
    assigned_targets
        Names of the targets on which this host may start work beyond its
        customer's share; None if it may use all targets.
    freed_targets
        Names of the targets on which this host's work ended since the last
        refresh.
    last_empty_at
        Time at which the queue was last empty, in seconds of the host's clock.
    virtual_time
        Virtual time of start-time fair queueing, by rank.
    served
        Rate of served work, by rank.
    admitted
        Accepted requests whose first attempt is not yet in the queue, with
        the time of acceptance and their rank.
    """

    profile: Profile
    targets: list[Target] = field(default_factory=list)
    free: int = 0
    slots: int = 0
    free_over_share: int = 0
    resume_reserve: int = 0
    hold_s: float = 0.0
    hold_samples: int = 0
    busy_slot_s: float = 0.0
    refreshed_at: float = float("inf")
    released: Rate = field(default_factory=Rate)
    measured_at: float = float("-inf")
    measurements: int = 0
    heap: list[tuple[int, float, int, QueueEntry]] = field(default_factory=list)
    by_age: deque[QueueEntry] = field(default_factory=deque)
    depth: dict[int, int] = field(default_factory=dict)
    flows: dict[tuple[str, str], Flow] = field(default_factory=dict)
    in_flight: int = 0
    peer_in_flight: int = 0
    demand: Rate = field(default_factory=Rate)
    top_flows: tuple[FlowDemand, ...] = ()
    top_flows_pending: bool = False
    peer_demands: dict[str, PoolDemand] = field(default_factory=dict)
    over_share: set[tuple[str, str]] = field(default_factory=set)
    within_share_per_s: float = 0.0
    share_reserve: int = 0
    assigned_targets: set[str] | None = None
    freed_targets: set[str] = field(default_factory=set)
    last_empty_at: float = float("-inf")
    virtual_time: dict[int, float] = field(default_factory=dict)
    served: dict[int, Rate] = field(default_factory=dict)
    admitted: dict[RequestId, tuple[float, int]] = field(default_factory=dict)


@dataclass(slots=True)
class Budget:
    """Token budget for one kind of repeated request; accepted requests refill it."""

    tokens: float = 0.0


@dataclass(slots=True)
class RateBucket:
    """Token bucket for this host's part of one customer's rate limit.

    Attributes
    ----------
    rate_per_s
        Rate allotted to this host.
    expires_at
        Time at which the allotment expires, in seconds of the host's clock.
    tokens, refilled_at
        Requests that may pass at once, and the time of the last refill, in
        seconds of the host's clock.
    requests
        Number of requests since the last report of demand.
    """

    rate_per_s: float = 0.0
    expires_at: float = float("-inf")
    tokens: float = 0.0
    refilled_at: float = float("-inf")
    requests: int = 0


@dataclass(slots=True)
class Demand:
    """Demand that one host last reported for a customer, and its allotted rate.

    Both rates are in requests per second.
    """

    rate_per_s: float
    reported_at: float
    granted_per_s: float = 0.0


@dataclass(slots=True)
class LoadTable:
    """State of routing, admission, fairness and limits on one host.

    Attributes
    ----------
    pools
        Pools by name.
    mean_output_tokens
        Mean output length by profile, in tokens.
    block_holders
        Targets that hold each prefix block, with the time when the block was
        last seen there, in seconds of the host's clock.
    retries, resumes, wasted_hedges
        Budgets of retries, of resumes and of hedged requests that turn out to
        be unneeded.
    buckets
        Token bucket for this host's part of each customer's rate limit.
    demands
        Reported demand by customer and host, for the customers whose limit
        this host keeps.
    arrivals, arrived_tokens
        Numbers of short and long requests since the policy was last updated,
        and their expected output tokens.
    live_routers
        Number of live routers as of the last measurement.
    counts_received_at, reported_targets
        Time of the last counts of requests in flight from each router, in
        seconds of the host's clock, and the targets with a count above 0.
    last_entry_number
        Number of the last queue entry; breaks ties in the queue's order.
    """

    pools: dict[str, Pool] = field(default_factory=dict)
    mean_output_tokens: dict[str, float] = field(default_factory=dict)
    block_holders: dict[str, dict[str, float]] = field(default_factory=dict)
    retries: Budget = field(default_factory=Budget)
    resumes: Budget = field(default_factory=Budget)
    wasted_hedges: Budget = field(default_factory=Budget)
    buckets: dict[str, RateBucket] = field(default_factory=dict)
    demands: dict[str, dict[str, Demand]] = field(default_factory=dict)
    arrivals: list[float] = field(default_factory=lambda: [0.0, 0.0])
    arrived_tokens: list[float] = field(default_factory=lambda: [0.0, 0.0])
    live_routers: int = 1
    counts_received_at: dict[str, float] = field(default_factory=dict)
    reported_targets: dict[str, set[str]] = field(default_factory=dict)
    last_entry_number: int = 0
