"""Streams and engines that are lost in waves or moved, in virtual time."""

from __future__ import annotations

from benchmarks._virtual_steps import FIRST_EVENT_TOKENS, Engine, Stream

MAX_PAUSE_S = 0.7  # callers count a stream with a longer one as late


class WaveStream(Stream):
    """A stream with its pauses, sends and losses."""

    def __init__(self, objective_s: float, arrived_at: float) -> None:
        super().__init__(objective_s, arrived_at)
        self.first_sent_at = 0.0
        self.last_event_at: float | None = None
        self.longest_pause_s = 0.0
        self.sends = 0
        self.hits = 0
        self.prefills = False  # counted in its engine's pending prefill
        self.failed = False
        self.moving = False
        self.lost_at = 0.0
        self.events = 0

    @property
    def served(self) -> bool:
        """Whether it began within its objective, without a long pause, and ended."""
        return super().served and self.longest_pause_s <= MAX_PAUSE_S


class WaveEngine(Engine):
    """An engine from which runs can be moved, and which reports each event."""

    def __init__(self, *args, on_event) -> None:
        super().__init__(*args)
        self._on_event = on_event

    def remove(self, stream: WaveStream) -> None:
        """End a run that goes on elsewhere."""
        self.runs.remove(stream)

    def _end(self, era, prefills, decoding, steps) -> None:
        if era == self._era:
            if prefills not in self.runs:
                prefills = None
            decoding = [stream for stream in decoding if stream in self.runs]
        super()._end(era, prefills, decoding, steps)

    def _begin(self, era: int) -> None:
        if era == self._era:
            for stream in self.runs:
                if stream.tokens // FIRST_EVENT_TOKENS > stream.events:
                    stream.events = stream.tokens // FIRST_EVENT_TOKENS
                    self._on_event(stream)
        super()._begin(era)
