"""Failure detector for targets, driven by the silence of their streams."""

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
    """Whether a silence points to the whole target or to one stream."""

    TARGET = "target"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Suspicion:
    """A silent stream whose request is now cheaper to resume elsewhere."""

    stream: StreamRow
    fault: Fault


def prefill_s(targets: TargetTable, target: str, tokens: int) -> float:
    """Return the expected time that a target needs to prefill some tokens."""
    row = targets.rows.get(target)
    rate = row.load.prefill_tokens_s if row is not None else 0.0
    return tokens / (rate or DEFAULT_PREFILL_TOKENS_S)


def prompt_tokens(prompt: str) -> int:
    """Return an estimate of a prompt's length in tokens."""
    return len(prompt) // CHARACTERS_PER_TOKEN + 1


def open_stream(table: StreamTable, stream: StreamRow) -> TargetStreams:
    """Start watching a stream that was just requested."""
    streams = table.targets.setdefault(stream.target, TargetStreams())
    streams.rows[stream.request_id, stream.attempt] = stream
    return streams


def close_stream(table: StreamTable, stream: StreamRow) -> None:
    """Stop watching a stream."""
    streams = table.targets[stream.target]
    streams.rows.pop((stream.request_id, stream.attempt), None)


def on_output(
    streams: TargetStreams, stream: StreamRow, tokens: int, now: float
) -> None:
    """Record that a stream delivered some tokens, which ends its silence."""
    if stream.outputs:
        _learn_gap(streams, now - stream.last_output_at, now)
    stream.outputs += 1
    stream.prefix_tokens += tokens
    stream.last_output_at = streams.last_output_at = now
    stream.suspected = False


def _learn_gap(streams: TargetStreams, gap: float, now: float) -> None:
    """Update the EWMA of the gap and of its deviation, and the fading peak."""
    if gap > streams.peak_s:
        streams.peak_s, streams.peak_at = min(gap, MAX_PEAK_S), now
    if not streams.gap_s:
        streams.gap_s, streams.gap_dev_s = gap, gap / 2
        return
    clip = GAP_CLIP * (streams.gap_s + streams.gap_dev_s) + resume.MIN_SPREAD_S
    error = min(gap, clip) - streams.gap_s
    streams.gap_s += GAP_WEIGHT * error
    streams.gap_dev_s += GAP_WEIGHT * (abs(error) - streams.gap_dev_s)


def _spread(streams: TargetStreams, now: float) -> float:
    faded = streams.peak_s * 0.5 ** ((now - streams.peak_at) / PEAK_HALF_LIFE_S)
    return max(GAP_CLIP * streams.gap_dev_s, (faded - streams.gap_s) / 2)


def _target_silence(streams: TargetStreams, now: float) -> resume.Silence | None:
    """Return the joint silence of a target's streams.

    None if it is too short, or if no stream is past its prefill.
    """
    if now - streams.last_output_at < MIN_SILENCE_S:
        return None
    decoding = sum(1 for stream in streams.rows.values() if stream.outputs)
    if not decoding:
        return None
    waiting = sum(row.prefill_s for row in streams.rows.values() if not row.outputs)
    silence = now - streams.last_output_at - min(waiting, MAX_PREFILL_ALLOWANCE_S)
    return resume.Silence(silence, streams.gap_s, _spread(streams, now), decoding)


def _stream_silence(
    streams: TargetStreams, stream: StreamRow, now: float
) -> resume.Silence:
    """Return the silence of one stream, beyond its expected prefill."""
    silence = now - stream.last_output_at
    if not stream.outputs:
        silence -= PREFILL_MARGIN * stream.prefill_s
    return resume.Silence(silence, streams.gap_s, _spread(streams, now), 0)


def _is_queued(targets: TargetTable, stream: StreamRow) -> bool:
    """Return whether a stream may still wait for a slot in a full batch."""
    row = targets.rows.get(stream.target)
    if row is None or stream.outputs:
        return False
    return row.load.queued > 0 or row.load.running >= row.load.slots


def _is_call_overdue(stream: StreamRow, now: float) -> bool:
    """Return whether a call has no answer after its hedge delay."""
    return (
        not stream.outputs and now - stream.last_output_at > stream.call_hedge_delay_s
    )


def find_silent_streams(
    table: StreamTable, targets: TargetTable, now: float, each_stream: bool
) -> list[Suspicion]:
    """Return the silent streams to resume elsewhere, once for each silence.

    Parameters
    ----------
    table, targets
        The streams, and the targets that send them.
    now
        Time in seconds of the unstalled clock, which stops while this process is
        stalled and can't read output.
    each_stream
        Whether to check single streams as well as whole targets.
    """
    found: list[Suspicion] = []
    for name, streams in table.targets.items():
        silence = _target_silence(streams, now)
        if silence is None and not each_stream:
            continue
        for stream in streams.rows.values():
            if stream.suspected:
                continue
            if stream.call_hedge_delay_s is not None:
                if each_stream and _is_call_overdue(stream, now):
                    found.append(Suspicion(stream, Fault.STREAM))
                continue
            prefill = prefill_s(targets, name, stream.prefix_tokens)
            weight = resume.LATENESS_WEIGHT[stream.urgency]
            if silence is not None and resume.should_resume(silence, prefill, weight):
                found.append(Suspicion(stream, Fault.TARGET))
            elif each_stream and not _is_queued(targets, stream):
                stream_silence = _stream_silence(streams, stream, now)
                if resume.should_resume(stream_silence, prefill, weight):
                    found.append(Suspicion(stream, Fault.STREAM))
    for suspicion in found:
        suspicion.stream.suspected = True
    return found
