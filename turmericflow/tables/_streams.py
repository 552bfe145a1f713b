"""Output streams that this host reads from targets."""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericflow.profile import Urgency
from turmericflow.tables._slots import RequestId

StreamId = tuple[RequestId, int]  # request, number of the attempt


@dataclass(slots=True)
class StreamRow:
    """Output stream of one attempt.

    Attributes
    ----------
    request_id, attempt
        The attempt that the stream belongs to.
    target
        Name of the target that sends it.
    urgency
        Urgency of the request's profile.
    opened_at
        Time of the request, in seconds of the unstalled clock, which stops while
        this process is stalled.
    prefill_s
        Time that the target is expected to need before the first token.
    prefix_tokens
        Tokens that a resume would have to prefill now, prompt included.
    last_output_at
        Time of the last output, or of the request if there was none.
    outputs
        Number of chunks of output so far.
    suspected
        Whether its current silence was reported as a suspicion.
    hedged
        Whether it has an open hedge: a hedged request that has neither won nor
        been wasted yet.
    call_hedge_delay_s
        Time in seconds after which a call to a plain service is hedged; None for a
        generation.
    """

    request_id: RequestId
    attempt: int
    target: str
    urgency: Urgency
    opened_at: float
    prefill_s: float
    prefix_tokens: int
    last_output_at: float
    outputs: int = 0
    suspected: bool = False
    hedged: bool = False
    call_hedge_delay_s: float | None = None


@dataclass(slots=True)
class TargetStreams:
    """Streams of one target, and statistics of the gaps between their outputs.

    Attributes
    ----------
    rows
        Open streams, by request and attempt.
    last_output_at
        Time of the last output on any of them.
    gap_s, gap_dev_s
        EWMA of the gap between outputs of one stream, and of its deviation.
    peak_s, peak_at
        Largest recent gap, which decays, and the time at which it occurred.
    open_hedges
        Number of streams with an open hedge.
    hedge_wins
        Number of hedges that won since the last one that was wasted.
    """

    rows: dict[StreamId, StreamRow] = field(default_factory=dict)
    last_output_at: float = float("-inf")
    gap_s: float = 0.0
    gap_dev_s: float = 0.0
    peak_s: float = 0.0
    peak_at: float = float("-inf")
    open_hedges: int = 0
    hedge_wins: int = 0


@dataclass(slots=True)
class CallTimes:
    """EWMA of the duration of a profile's calls, and of its deviation."""

    mean_s: float
    dev_s: float


@dataclass(slots=True)
class StreamTable:
    """All streams that this host reads, and durations of calls.

    Attributes
    ----------
    targets
        Streams and gap statistics by target.
    calls
        Durations of calls to plain services, by profile.
    """

    targets: dict[str, TargetStreams] = field(default_factory=dict)
    calls: dict[str, CallTimes] = field(default_factory=dict)
