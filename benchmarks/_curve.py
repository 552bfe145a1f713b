"""Latency against extra work over the cost model's range of weights."""

from __future__ import annotations

from pathlib import Path

from turmericflow.profile import Urgency
from turmericflow.systems import resume

STEP_S = 0.01
LONGEST_S = 10.0
LOWEST_WEIGHT = 0.001
WEIGHTS = [LOWEST_WEIGHT * 1.3**n for n in range(45)]
GAP_S = 0.02
SPREAD_S = 0.02
PREFIX_TOKENS = 500
PREFILL_S = 0.025


def point(weight: float, streams: int = 2) -> tuple[float, float]:
    """Return latency in seconds and extra work per useful token, by the model.

    The extra work is that of false suspicions: the chance that a live engine's
    gap lasts until the resume starts, times the prefix's tokens.
    """
    silence_s = GAP_S
    while silence_s < LONGEST_S:
        silence = resume.Silence(silence_s, GAP_S, SPREAD_S, streams)
        if resume.should_resume(silence, PREFILL_S, weight):
            break
        silence_s += STEP_S
    odds_per_loss = resume.LOSSES_PER_S * silence_s
    alive = odds_per_loss / resume.dead_odds(silence)
    return silence_s + PREFILL_S, alive * PREFIX_TOKENS


def draw(path: Path) -> None:
    """Draw the curve, with the place of each urgency on it."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    latencies, works = zip(*(point(weight) for weight in WEIGHTS))
    figure, axes = pyplot.subplots(figsize=(6, 4))
    axes.plot(works, latencies)
    for urgency in Urgency:
        latency, work = point(resume.LATENESS_WEIGHT[urgency])
        axes.plot([work], [latency], "o", label=urgency.value)
    axes.set_xscale("log")
    axes.set_xlabel("extra work of false suspicions, tokens per useful token (model)")
    axes.set_ylabel("silence to next token, seconds (model)")
    axes.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=100)
