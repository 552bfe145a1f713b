"""Continuous batching of the stand-in engine, as plain state and steps."""

from __future__ import annotations

import re
import time
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from random import Random

from turmericflow.services._course import ATTEMPTS_PER_EPOCH
from turmericflow.systems import prefixes
from turmericflow.testing._sampling import next_token, run_of_token


@dataclass(slots=True, frozen=True)
class EngineSpeed:
    """How fast the stand-in is.

    Attributes
    ----------
    step_ms
        Time of a step with one stream in the batch, in milliseconds.
    slow_down
        Growth of a step's time with each further stream, as a share.
    slots
        Largest batch.
    prefill_tokens_s
        Rate at which uncached prompt is taken in, in tokens per second.
    cache_blocks
        Blocks of 16 words that the prefix cache holds.
    """

    step_ms: float = 20.0
    slow_down: float = 0.01
    slots: int = 32
    prefill_tokens_s: float = 20_000.0
    cache_blocks: int = 4096


@dataclass(slots=True)
class Stream:
    """One attempt of a generation."""

    generation: str
    attempt: int
    priority: int
    length: int
    sampling_run: str
    tokens: list[str]
    prefill_tokens_left: float
    blocks: list[str]
    arrival: int
    cancelled: bool = False
    planned_fault: tuple[str, int] | None = None
    label: str = ""
    listeners: list = field(default_factory=list)

    @property
    def done(self) -> bool:
        """Whether the output has ended."""
        return len(self.tokens) >= self.length

    def notify_listeners(self) -> None:
        """Tell the stream's readers."""
        for notify in self.listeners:
            notify()


class PrefixCache:
    """Blocks of prompt prefixes, the least recently used dropped first."""

    __slots__ = ("_blocks", "_limit", "events")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[str, str]] = []

    def hits(self, blocks: list[str]) -> int:
        """Return how many blocks from the start are cached."""
        number = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            number += 1
        return number

    def add(self, blocks: list[str]) -> None:
        """Put blocks in, dropping old ones."""
        for block in blocks:
            if block not in self._blocks:
                self.events.append(("add", block))
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            block, _ = self._blocks.popitem(last=False)
            self.events.append(("drop", block))


def output_length(prompt: str, max_tokens: int) -> int:
    """Return an output's length; ``len=N`` in the prompt makes it shorter."""
    found = re.search(r"\blen=(\d+)\b", prompt)
    return min(max_tokens, int(found[1])) if found else max_tokens


def parse_planned_fault(prompt: str, attempt: int) -> tuple[str, int] | None:
    """Return the fault that a prompt plans, such as ``die_at=3``.

    Only a first attempt fails, so that each prompt costs one engine.
    """
    found = re.search(r"\b(die|silent)_at=(\d+)\b", prompt)
    first = attempt % ATTEMPTS_PER_EPOCH == 1
    return (found[1], int(found[2])) if found and first else None


def parse_label(prompt: str) -> str:
    """Return the name that a prompt gives itself by ``id=NAME``, or nothing."""
    found = re.search(r"\bid=(\S+)", prompt)
    return found[1] if found else ""


class Batch:
    """The streams of one engine.

    With ``stamp``, each token's nonce is the time of the system's monotonic
    clock, in nanoseconds.
    """

    def __init__(self, speed: EngineSpeed, seed: int, stamp: bool = False) -> None:
        self.speed = speed
        self._stamp = stamp
        self.cache = PrefixCache(speed.cache_blocks)
        self.streams: dict[str, Stream] = {}
        self.queue: list[Stream] = []
        self.running: list[Stream] = []
        self.prefilled = 0.0
        self.generated = 0
        self.fresh_starts: Counter[str] = Counter()
        self._rng = Random(seed)
        self._arrivals = 0

    def add(
        self,
        generation: str,
        attempt: int,
        prompt: str,
        prefix: list[str],
        max_tokens: int,
        priority: int,
    ) -> Stream:
        """Take a stream in; an older attempt of the generation is cancelled."""
        older = self.streams.get(generation)
        if older is not None:
            self.cancel(older)
        words = prompt.split() + [text.strip() for text in prefix]
        blocks = prefixes.block_names(words)
        left = len(words) - self.cache.hits(blocks) * prefixes.BLOCK_TOKENS
        run = run_of_token(prefix[0]) if prefix else f"{self._rng.getrandbits(32):08x}"
        self._arrivals += 1
        stream = Stream(
            generation,
            attempt,
            priority,
            output_length(prompt, max_tokens),
            run,
            list(prefix),
            max(1.0, left),
            blocks,
            self._arrivals,
        )
        stream.planned_fault = parse_planned_fault(prompt, attempt)
        stream.label = parse_label(prompt)
        if stream.label and not prefix:
            self.fresh_starts[stream.label] += 1
        self.streams[generation] = stream
        self.queue.append(stream)
        self.queue.sort(key=lambda each: (each.priority, each.arrival))
        return stream

    def cancel(self, stream: Stream) -> None:
        """Free a stream's place."""
        stream.cancelled = True
        if stream in self.queue:
            self.queue.remove(stream)
        if stream in self.running:
            self.running.remove(stream)
        stream.notify_listeners()

    def step_s(self) -> float:
        """Return the time of the next step, in seconds."""
        others = max(0, len(self.running) - 1)
        return self.speed.step_ms * (1 + self.speed.slow_down * others) / 1000

    def step(self) -> None:
        """Do one step: admit, take prompts in, and give each stream a token."""
        while self.queue and len(self.running) < self.speed.slots:
            self.running.append(self.queue.pop(0))
        budget = self.speed.prefill_tokens_s * self.step_s()
        for stream in sorted(self.running, key=lambda each: each.priority):
            if stream.prefill_tokens_left > 0:
                used = min(budget, stream.prefill_tokens_left)
                budget -= used
                stream.prefill_tokens_left -= used
                self.prefilled += used
                if stream.prefill_tokens_left <= 0:
                    self.cache.add(stream.blocks)
                continue
            self._decode(stream)
        self.running = [each for each in self.running if not each.done]

    def _decode(self, stream: Stream) -> None:
        if not stream.done:
            nonce = time.monotonic_ns() if self._stamp else self._rng.getrandbits(16)
            stream.tokens.append(next_token(stream.sampling_run, stream.tokens, nonce))
            self.generated += 1
        stream.notify_listeners()
