"""Detection of lost targets by the silence of their streams."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from turmericflow.systems import _resume as resume
from turmericflow.tables import StreamRow, StreamTable, TargetStreams, TargetTable

GAP_WEIGHT = 1 / 16
GAP_CLIP = 4.0
PEAK_HALF_LIFE_S = 20.0
MAX_PEAK_S = 1.0
MIN_SILENCE_S = 0.1
MAX_PREFILL_ALLOWANCE_S = 1.0
PREFILL_MARGIN = 2.0
DEFAULT_PREFILL_TOKENS_S = 10_000.0
CHARACTERS_PER_TOKEN = 4


class Fault(enum.StrEnum):
    """What a silence is taken for."""

    TARGET = "target"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Suspicion:
    """A stream whose request is better resumed elsewhere now."""

    stream: StreamRow
    fault: Fault


def prefill_s(targets: TargetTable, target: str, tokens: int) -> float:
    """Return the expected time that a target needs to take tokens in."""
    row = targets.rows.get(target)
    rate = row.load.prefill_tokens_s if row is not None else 0.0
    return tokens / (rate or DEFAULT_PREFILL_TOKENS_S)


def prompt_tokens(prompt: str) -> int:
    """Return an estimate of a prompt's length in tokens."""
    return len(prompt) // CHARACTERS_PER_TOKEN + 1


def open_stream(table: StreamTable, stream: StreamRow) -> TargetStreams:
    """Add a stream that was just asked for."""
    view = table.targets.setdefault(stream.target, TargetStreams())
    view.rows[stream.request_id, stream.attempt] = stream
    return view


def close_stream(table: StreamTable, stream: StreamRow) -> None:
    """Remove a stream."""
    view = table.targets[stream.target]
    view.rows.pop((stream.request_id, stream.attempt), None)


def on_output(view: TargetStreams, stream: StreamRow, tokens: int, now: float) -> None:
    """Take in that some output came on a stream."""
    if stream.outputs:
        _learn_gap(view, now - stream.last_output_at, now)
    stream.outputs += 1
    stream.prefix_tokens += tokens
    stream.last_output_at = view.last_output_at = now
    stream.suspected = False


def _learn_gap(view: TargetStreams, gap: float, now: float) -> None:
    if gap > view.peak_s:
        view.peak_s, view.peak_at = min(gap, MAX_PEAK_S), now
    if not view.gap_s:
        view.gap_s, view.gap_dev_s = gap, gap / 2
        return
    clip = GAP_CLIP * (view.gap_s + view.gap_dev_s) + resume.MIN_SPREAD_S
    error = min(gap, clip) - view.gap_s
    view.gap_s += GAP_WEIGHT * error
    view.gap_dev_s += GAP_WEIGHT * (abs(error) - view.gap_dev_s)


def _spread(view: TargetStreams, now: float) -> float:
    faded = view.peak_s * 0.5 ** ((now - view.peak_at) / PEAK_HALF_LIFE_S)
    return max(GAP_CLIP * view.gap_dev_s, (faded - view.gap_s) / 2)


def _target_silence(view: TargetStreams, now: float) -> resume.Silence | None:
    """Return the silence of all streams together, or None while it tells nothing."""
    if now - view.last_output_at < MIN_SILENCE_S:
        return None
    decoding = sum(1 for stream in view.rows.values() if stream.outputs)
    if not decoding:
        return None
    waiting = sum(row.prefill_s for row in view.rows.values() if not row.outputs)
    silence = now - view.last_output_at - min(waiting, MAX_PREFILL_ALLOWANCE_S)
    return resume.Silence(silence, view.gap_s, _spread(view, now), decoding)


def _stream_silence(
    view: TargetStreams, stream: StreamRow, now: float
) -> resume.Silence:
    silence = now - stream.last_output_at
    if not stream.outputs:
        silence -= PREFILL_MARGIN * stream.prefill_s
    return resume.Silence(silence, view.gap_s, _spread(view, now), 0)


def _is_queued(targets: TargetTable, stream: StreamRow) -> bool:
    """Return whether a stream waits for its place in a full batch."""
    row = targets.rows.get(stream.target)
    if row is None or stream.outputs:
        return False
    return row.load.queued > 0 or row.load.running >= row.load.slots


def _is_due(stream: StreamRow, now: float) -> bool:
    """Return whether a call has taken longer than such calls do."""
    return (
        not stream.outputs and now - stream.last_output_at > stream.call_hedge_delay_s
    )


def scan(
    table: StreamTable, targets: TargetTable, now: float, each_stream: bool
) -> list[Suspicion]:
    """Return the streams to resume elsewhere, each once for each silence.

    Parameters
    ----------
    table, targets
        The streams, and the targets that send them.
    now
        Time in seconds of the listening clock, which does not run while this
        host itself stands still.
    each_stream
        Whether to look for single silent streams as well.
    """
    found: list[Suspicion] = []
    for name, view in table.targets.items():
        silence = _target_silence(view, now)
        if silence is None and not each_stream:
            continue
        for stream in view.rows.values():
            if stream.suspected:
                continue
            if stream.call_hedge_delay_s is not None:
                if each_stream and _is_due(stream, now):
                    found.append(Suspicion(stream, Fault.STREAM))
                continue
            prefill = prefill_s(targets, name, stream.prefix_tokens)
            weight = resume.LATENESS_WEIGHT[stream.urgency]
            if silence is not None and resume.should_resume(silence, prefill, weight):
                found.append(Suspicion(stream, Fault.TARGET))
            elif each_stream and not _is_queued(targets, stream):
                alone = _stream_silence(view, stream, now)
                if resume.should_resume(alone, prefill, weight):
                    found.append(Suspicion(stream, Fault.STREAM))
    for suspicion in found:
        suspicion.stream.suspected = True
    return found
