"""Cost model of a resume: lateness weighed against repeated work."""

from __future__ import annotations

import math
from dataclasses import dataclass

from turmericflow.profile import Urgency

LOSSES_PER_S = 1e-4  # rate at which one target is lost, before any silence
TAIL_EXPONENT = 3.0
SINGLE_STREAM_TAIL_EXPONENT = 2.0
EXPONENT_PER_DOUBLING = 0.25
MAX_DOUBLINGS = 4.0
MIN_SPREAD_S = 0.06
SINGLE_STREAM_MIN_SPREAD_S = 0.25
MIN_PREFILL_S = 0.02

LATENESS_WEIGHT: dict[Urgency, float] = {
    Urgency.URGENT: 3.0,
    Urgency.NORMAL: 0.5,
    Urgency.THRIFTY: 0.02,
}
"""Seconds of an engine's work that one second of lateness is worth."""


@dataclass(slots=True, frozen=True)
class Silence:
    """How long a target or a stream has been silent, against its usual gaps.

    Attributes
    ----------
    silence_s
        Time without output, beyond any prefill that explains it.
    gap_s
        Mean gap between outputs of one stream.
    spread_s
        Scale of the deviation of a live target's gaps from the mean.
    streams
        Number of streams that are silent together; 0 for one stream that is
        silent while others are not, or before its first token.
    """

    silence_s: float
    gap_s: float
    spread_s: float
    streams: int


def _tail(silence: Silence) -> tuple[float, float]:
    """Return the exponent and the scale of the power-law tail of live gaps."""
    if silence.streams == 0:
        return SINGLE_STREAM_TAIL_EXPONENT, max(
            silence.spread_s, SINGLE_STREAM_MIN_SPREAD_S
        )
    doublings = min(MAX_DOUBLINGS, math.log2(silence.streams))
    exponent = TAIL_EXPONENT + EXPONENT_PER_DOUBLING * doublings
    return exponent, max(silence.spread_s, MIN_SPREAD_S)


def dead_odds(silence: Silence) -> float:
    """Return the odds that a target with this silence is dead."""
    excess_s = max(0.0, silence.silence_s - silence.gap_s)
    exponent, spread = _tail(silence)
    alive = (1 + excess_s / spread) ** -exponent
    return LOSSES_PER_S * max(0.0, silence.silence_s) / alive


def should_resume(silence: Silence, prefill_s: float, weight: float) -> bool:
    """Return whether resuming now costs less than waiting longer.

    Waiting costs lateness if the target is dead.  Resuming costs the prefill of
    the prefix if the target is alive and about to send output.

    Parameters
    ----------
    silence
        The silence of the target or stream.
    prefill_s
        Time in seconds that another target needs to prefill the prefix.
    weight
        Seconds of work that one second of lateness is worth.
    """
    excess_s = silence.silence_s - silence.gap_s
    if excess_s <= 0:
        return False
    exponent, spread = _tail(silence)
    outputs_per_s = exponent / (spread + excess_s)
    waste = outputs_per_s * max(prefill_s, MIN_PREFILL_S)
    return weight * dead_odds(silence) >= waste
