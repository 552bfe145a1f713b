"""Resume latency against extra work: the cost model's curve, and measurements."""

from __future__ import annotations

from pathlib import Path

import msgspec

from turmericflow.profile import Urgency
from turmericflow.systems import resume

STEP_S = 0.01
MAX_SILENCE_S = 10.0
MIN_WEIGHT = 0.001
WEIGHTS = [MIN_WEIGHT * 1.3**n for n in range(45)]
GAP_S = 0.02
GAP_DEVIATION_S = 0.02
PREFIX_TOKENS = 500
PREFILL_S = 0.025
COLOURS = {
    Urgency.URGENT: "tab:red",
    Urgency.NORMAL: "tab:orange",
    Urgency.THRIFTY: "tab:blue",
}
AXIS_MARGIN = 1.25
MARKERS = {"montevideo": "s", "amman": "^"}


class Point(msgspec.Struct):
    """Measurements of one run of the benchmark.

    ``extra_work_idle`` is the extra work of the same load without losses, which
    comes from false suspicions alone.
    """

    deployment: str
    urgency: str
    silent_losses: int
    silent_ms_p50: float
    silent_ms_p99: float
    extra_work: float
    extra_work_idle: float
    useful_tokens: int


def save(points: list[Point], path: Path) -> None:
    """Write measured points to a JSON file."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(points)) + b"\n")


def model_point(weight: float, streams: int = 2) -> tuple[float, float]:
    """Return the model's latency in seconds and extra work per useful token.

    Extra work comes from false suspicions: the probability that a live engine's
    gap lasts until the resume starts, times the prefix's tokens.
    """
    silence_s = GAP_S
    while silence_s < MAX_SILENCE_S:
        silence = resume.Silence(silence_s, GAP_S, GAP_DEVIATION_S, streams)
        if resume.should_resume(silence, PREFILL_S, weight):
            break
        silence_s += STEP_S
    odds_per_loss = resume.LOSSES_PER_S * silence_s
    false_suspicions = odds_per_loss / resume.dead_odds(silence)
    return silence_s + PREFILL_S, false_suspicions * PREFIX_TOKENS


def _draw_model(axes) -> None:
    latencies, works = zip(*(model_point(weight) for weight in WEIGHTS))
    axes.plot(works, latencies, color="grey")
    for urgency in Urgency:
        latency, work = model_point(resume.LATENESS_WEIGHT[urgency])
        axes.plot([work], [latency], "o", color=COLOURS[urgency], label=urgency.value)
    axes.set_title("cost model, not measured")
    axes.set_xscale("log")
    axes.set_xlabel("extra work of false suspicions,\ntokens per useful token")
    axes.set_ylabel("silence to next token, seconds")
    axes.legend()


def _draw_measured(axes, points: list[Point]) -> None:
    for each in points:
        marker = MARKERS[each.deployment]
        colour = COLOURS[Urgency(each.urgency)]
        seconds = each.silent_ms_p50 / 1000
        axes.plot([each.extra_work], [seconds], marker, color=colour)
    for name, marker in MARKERS.items():
        axes.plot([], [], marker, color="black", label=name)
    axes.set_title("measured, median of each run")
    axes.set_xlim(0.0, AXIS_MARGIN * max(each.extra_work for each in points))
    axes.set_xlabel("extra work, tokens per useful token,\na tenth of generations lost")
    axes.legend()


def draw(path: Path, points: list[Point]) -> None:
    """Draw the model's curve and the measured points."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (model, measured) = pyplot.subplots(1, 2, figsize=(9, 4), sharey=True)
    _draw_model(model)
    _draw_measured(measured, points)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=100)
