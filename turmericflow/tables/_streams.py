"""Streams of output that this host reads from targets."""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericflow.profile import Urgency
from turmericflow.tables._slots import RequestId

StreamId = tuple[RequestId, int]


@dataclass(slots=True)
class StreamRow:
    """One attempt's stream of output.

    Attributes
    ----------
    request_id, attempt
        The attempt that the stream belongs to.
    target
        Name of the target that sends it.
    urgency
        Urgency of the request's profile.
    opened_at
        Time at which it was asked for, in seconds of the listening clock.
    prefill_s
        Time that the target is expected to need before the first token.
    prefix_tokens
        Tokens that a resume would have to take in now, prompt included.
    last_output_at
        Time of the last output, or of the opening before the first.
    outputs
        Number of pieces of output so far.
    suspected
        Whether its silence was reported since the last output.
    hedged
        Whether a second attempt was allowed for it, of which it is not known
        yet whether it was needed.
    call_hedge_delay_s
        For a call to a plain service, the time after which it is tried at
        another target; None for a generation.
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
    """All streams from one target, and the gaps that it shows.

    Attributes
    ----------
    rows
        Open streams, by request and attempt.
    last_output_at
        Time of the last output on any of them.
    gap_s, gap_dev_s
        Smoothed gap between outputs of one stream, and its mean deviation.
    peak_s, peak_at
        Largest recent gap, which fades, and the time it was seen.
    open_hedges
        Number of its streams that are hedged now.
    hedge_wins
        Hedges that gave output first since one last turned out to be needless.
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
    """How long a profile's calls took: smoothed time and mean deviation."""

    mean_s: float
    dev_s: float


@dataclass(slots=True)
class StreamTable:
    """All streams that this host reads, by target.

    Attributes
    ----------
    targets
        The streams.
    calls
        Times that calls to plain services took, by profile.
    """

    targets: dict[str, TargetStreams] = field(default_factory=dict)
    calls: dict[str, CallTimes] = field(default_factory=dict)
