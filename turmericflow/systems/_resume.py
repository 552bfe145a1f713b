"""Cost model of a resume: lateness weighed against repeated work.

An engine that has said nothing for ``silence_s`` is dead with some odds.  To
wait a moment longer costs lateness if it is dead; to resume now costs the
prefill of the prefix if it is alive and about to speak.  The resume starts
when the first cost passes the second.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from turmericflow.profile import Urgency

LOSSES_PER_S = 1e-4
TAIL_EXPONENT = 3.0
TAIL_EXPONENT_ALONE = 2.0
EXPONENT_PER_DOUBLING = 0.25
MAX_DOUBLINGS = 4.0
MIN_SPREAD_S = 0.06
MIN_SPREAD_ALONE_S = 0.25
MIN_PREFILL_S = 0.02

LATENESS_WEIGHT: dict[Urgency, float] = {
    Urgency.URGENT: 3.0,
    Urgency.NORMAL: 0.5,
    Urgency.THRIFTY: 0.02,
}
"""Seconds of an engine's work that one second of lateness is worth."""


@dataclass(slots=True, frozen=True)
class Silence:
    """What is known of a silence.

    Attributes
    ----------
    silence_s
        How long nothing came, beyond any prefill that explains it.
    gap_s
        The usual gap.
    spread_s
        How far gaps of a live target stray from the usual one.
    streams
        Number of streams that are silent together; 0 for one stream that is
        silent among live ones, or before its first token.
    """

    silence_s: float
    gap_s: float
    spread_s: float
    streams: int


def _tail(silence: Silence) -> tuple[float, float]:
    """Return the exponent and spread of a live target's gaps."""
    if silence.streams == 0:
        return TAIL_EXPONENT_ALONE, max(silence.spread_s, MIN_SPREAD_ALONE_S)
    doublings = min(MAX_DOUBLINGS, math.log2(silence.streams))
    exponent = TAIL_EXPONENT + EXPONENT_PER_DOUBLING * doublings
    return exponent, max(silence.spread_s, MIN_SPREAD_S)


def dead_odds(silence: Silence) -> float:
    """Return the odds that a target this silent is dead."""
    over = max(0.0, silence.silence_s - silence.gap_s)
    exponent, spread = _tail(silence)
    alive = (1 + over / spread) ** -exponent
    return LOSSES_PER_S * max(0.0, silence.silence_s) / alive


def should_resume(silence: Silence, prefill_s: float, weight: float) -> bool:
    """Return whether to start a resume now.

    Parameters
    ----------
    silence
        What is known of the silence.
    prefill_s
        Time that another target needs to take the prefix in.
    weight
        Seconds of work that one second of lateness is worth.
    """
    over = silence.silence_s - silence.gap_s
    if over <= 0:
        return False
    exponent, spread = _tail(silence)
    speaks_per_s = exponent / (spread + over)
    waste = speaks_per_s * max(prefill_s, MIN_PREFILL_S)
    return weight * dead_odds(silence) >= waste
