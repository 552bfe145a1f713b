"""Work that waits for a target, and what is known of the load."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from turmericflow.profile import Profile
from turmericflow.tables._slots import RequestId
from turmericflow.tables._targets import Target
from turmericflow.wire import FlowDemand, PoolDemand


@dataclass(slots=True)
class Work:
    """What routing and admission need to know of one attempt.

    Attributes
    ----------
    request_id, profile
        The request, and the profile in force when it was accepted.
    prompt_tokens
        Length of the prompt and of the tokens that a resume carries along.
    blocks
        Names of the prompt's whole blocks, chained.
    max_tokens
        Largest number of tokens still to come.
    accepted_at
        Time of acceptance, in seconds of the host's clock.
    expected_tokens
        Tokens still expected to come.
    resume
        Whether the attempt goes on with output that was taken before.
    exclude
        Targets that must not run it.
    keep_free
        Places that it must leave free on a target.
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
        """Name of the pool of targets that can run it."""
        profile = self.profile
        return f"{profile.service} {profile.model}/{profile.adapter}/{profile.version}"


@dataclass(slots=True)
class QueueEntry:
    """Work in a queue.

    Attributes
    ----------
    work
        The work.
    rank
        Its class; a lower one goes first.
    start_tag
        Its place in the fair order within the class.
    expires_at
        Time at which it is given up, in seconds of the host's clock.
    removed
        Whether it has left the queue.
    """

    work: Work
    rank: int
    start_tag: float
    expires_at: float
    removed: bool = False


@dataclass(slots=True)
class Rate:
    """How often something happens.

    Attributes
    ----------
    count
        How often it happened since the rate was last measured.
    per_s
        Rate, as a moving mean.
    """

    count: int = 0
    per_s: float = 0.0


@dataclass(slots=True)
class Flow:
    """One customer's work within one profile.

    Attributes
    ----------
    finish_tag
        Tag at which its last work ends in the fair order.
    queued
        Work that it has in the queue.
    served, demand
        Work served, and what it asks for, refused requests included.
    credit
        What it may still take within its share, in requests.
    """

    finish_tag: float = 0.0
    queued: int = 0
    served: Rate = field(default_factory=Rate)
    demand: Rate = field(default_factory=Rate)
    credit: float = 0.0


@dataclass(slots=True)
class Pool:
    """Targets that can run the same work, and the queue before them.

    Attributes
    ----------
    profile
        A profile whose work they run.
    targets
        Members, by last refresh; each is checked again when it is used.
    free, slots
        Places free and in all, by last refresh and what was sent since.
    free_over_share
        Places of these that work over its customer's share may take.
    resume_reserve
        Places of each target that are kept for resumes.
    hold_s, hold_samples
        Mean time for which a request holds a place, in seconds, and the number
        of requests that it was learned from.
    busy_s, refreshed_at
        Time for which places were held by this host in all, and the last
        refresh, in seconds of the host's clock.
    released
        Places that come free for this host.
    measured_at, measurements
        When rates were last measured, and how often.
    heap
        Waiting work as ``(rank, start tag, number, entry)``.
    by_age
        The same entries in the order in which they came.
    depth
        Number of waiting entries by rank.
    flows
        Customers within profiles, by ``(profile, customer)``.
    in_flight, peer_in_flight
        Requests of this host and of others on the targets.
    demand
        All requests that came here, refused ones included.
    top_flows, top_flows_pending
        Customers that ask most here, and whether other hosts are still to be
        told.
    peer_demands
        Waiting work and demand that other hosts have told of, by host.
    over_share
        Customers within profiles that want more than their share, while there
        is not enough for all.
    within_share_per_s
        What customers within their share ask for at all hosts meanwhile.
    share_reserve
        Places of each target kept for customers within their share.
    assigned_targets
        Targets whose places this host may fill with work over its share; None
        if it may use all.
    freed_targets
        Targets at which work of this host ended since the last refresh.
    last_empty_at
        When the queue was last seen empty, in seconds of the host's clock.
    virtual_time
        Virtual time of the fair order, by rank.
    served
        Work served, by rank.
    admitted
        Requests accepted whose first attempt is not yet in the queue, with
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
    busy_s: float = 0.0
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
    """Tokens that accepted work earns and repeated work spends."""

    tokens: float = 0.0


@dataclass(slots=True)
class RateBucket:
    """This host's part of one customer's rate.

    Attributes
    ----------
    rate_per_s
        Allotted rate.
    lapses_at
        Time at which the allotment lapses, in seconds of the host's clock.
    tokens, refilled_at
        Requests that may come at once, and when that was so.
    requests
        Requests since the last report of demand.
    """

    rate_per_s: float = 0.0
    lapses_at: float = float("-inf")
    tokens: float = 0.0
    refilled_at: float = float("-inf")
    requests: int = 0


@dataclass(slots=True)
class Demand:
    """What one host last asked of a customer's rate."""

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
        Mean output of each profile, in tokens.
    block_holders
        Targets that hold a prefix block, with the time it was last seen.
    retries, resumes, hedges
        Budgets of repeated work, and of second attempts that help nobody.
    buckets
        This host's part of each customer's rate.
    demands
        Demand by customer and host, where this host keeps the limit.
    arrivals, arrived_tokens
        Short and long requests since they were last looked at, and the tokens
        that they are expected to need.
    live_routers
        Number of live routers, by last look.
    counts_received_at, reported_targets
        When routers last told their counts, in seconds of the host's clock, and
        of which targets they told that they have work there.
    last_entry_number
        Counts entries, for a stable order.
    """

    pools: dict[str, Pool] = field(default_factory=dict)
    mean_output_tokens: dict[str, float] = field(default_factory=dict)
    block_holders: dict[str, dict[str, float]] = field(default_factory=dict)
    retries: Budget = field(default_factory=Budget)
    resumes: Budget = field(default_factory=Budget)
    hedges: Budget = field(default_factory=Budget)
    buckets: dict[str, RateBucket] = field(default_factory=dict)
    demands: dict[str, dict[str, Demand]] = field(default_factory=dict)
    arrivals: list[float] = field(default_factory=lambda: [0.0, 0.0])
    arrived_tokens: list[float] = field(default_factory=lambda: [0.0, 0.0])
    live_routers: int = 1
    counts_received_at: dict[str, float] = field(default_factory=dict)
    reported_targets: dict[str, set[str]] = field(default_factory=dict)
    last_entry_number: int = 0
