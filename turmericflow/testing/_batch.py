"""Continuous batching of the stand-in engine, without input or output."""

from __future__ import annotations

import re
import time
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from random import Random

from turmericflow.services._execution import ATTEMPTS_PER_EPOCH
from turmericflow.systems import prefixes
from turmericflow.testing._sampling import next_token, run_of_token


@dataclass(slots=True, frozen=True)
class EngineSpeed:
    """Speed and capacity of the stand-in engine.

    Attributes
    ----------
    step_ms
        Duration of a step with one stream in the batch, in milliseconds.
    slow_down
        Relative growth of a step's duration for each further stream.
    slots
        Maximum number of streams in the batch.
    prefill_tokens_s
        Prefill rate for uncached prompt tokens, in tokens per second.
    cache_blocks
        Capacity of the prefix cache, in blocks of 16 words.
    """

    step_ms: float = 20.0
    slow_down: float = 0.01
    slots: int = 32
    prefill_tokens_s: float = 20_000.0
    cache_blocks: int = 4096


@dataclass(slots=True)
class Stream:
    """One attempt of a generation.

    Attributes
    ----------
    length
        Number of output tokens.
    planned_fault
        Kind of fault and the token index at which it occurs, or None.
    label
        Name that the prompt gives itself, or empty.
    listeners
        Callbacks for new tokens and for cancellation.
    """

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
        """Whether all output tokens are generated."""
        return len(self.tokens) >= self.length

    def notify_listeners(self) -> None:
        """Call every listener."""
        for notify in self.listeners:
            notify()


class PrefixCache:
    """Cached blocks of prompt prefixes, with LRU eviction."""

    __slots__ = ("_blocks", "_limit", "events")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self.events: list[tuple[str, str]] = []

    def hits(self, blocks: list[str]) -> int:
        """Return the number of leading blocks that are cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def add(self, blocks: list[str]) -> None:
        """Add blocks, and evict the least recently used above the limit."""
        for block in blocks:
            if block not in self._blocks:
                self.events.append(("add", block))
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            block, _ = self._blocks.popitem(last=False)
            self.events.append(("drop", block))


def output_length(prompt: str, max_tokens: int) -> int:
    """Return the number of output tokens; ``len=N`` in the prompt lowers it."""
    match = re.search(r"\blen=(\d+)\b", prompt)
    return min(max_tokens, int(match[1])) if match else max_tokens


def parse_planned_fault(prompt: str, attempt: int) -> tuple[str, int] | None:
    """Return the fault that a prompt asks for, such as ``die_at=3``.

    Only a first attempt fails, so that each prompt takes down one engine.
    """
    match = re.search(r"\b(die|silent)_at=(\d+)\b", prompt)
    is_first = attempt % ATTEMPTS_PER_EPOCH == 1
    return (match[1], int(match[2])) if match and is_first else None


def parse_label(prompt: str) -> str:
    """Return the name in a prompt's ``id=NAME``, or an empty string."""
    match = re.search(r"\bid=(\S+)", prompt)
    return match[1] if match else ""


class Batch:
    """Streams that one engine queues and runs.

    Parameters
    ----------
    stamp
        Whether each token's nonce is the system's monotonic clock, in
        nanoseconds, instead of a random number.
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
        """Queue a stream, and cancel an older attempt of its generation."""
        previous = self.streams.get(generation)
        if previous is not None:
            self.cancel(previous)
        words = prompt.split() + [text.strip() for text in prefix]
        blocks = prefixes.block_names(words)
        uncached = len(words) - self.cache.hits(blocks) * prefixes.BLOCK_TOKENS
        run = run_of_token(prefix[0]) if prefix else f"{self._rng.getrandbits(32):08x}"
        self._arrivals += 1
        stream = Stream(
            generation,
            attempt,
            priority,
            output_length(prompt, max_tokens),
            run,
            list(prefix),
            max(1.0, uncached),
            blocks,
            self._arrivals,
        )
        stream.planned_fault = parse_planned_fault(prompt, attempt)
        stream.label = parse_label(prompt)
        if stream.label and not prefix:
            self.fresh_starts[stream.label] += 1
        self.streams[generation] = stream
        self.queue.append(stream)
        self.queue.sort(key=lambda stream: (stream.priority, stream.arrival))
        return stream

    def cancel(self, stream: Stream) -> None:
        """Cancel a stream and free its slot."""
        stream.cancelled = True
        if stream in self.queue:
            self.queue.remove(stream)
        if stream in self.running:
            self.running.remove(stream)
        stream.notify_listeners()

    def step_s(self) -> float:
        """Return the duration of the next step, in seconds."""
        others = max(0, len(self.running) - 1)
        return self.speed.step_ms * (1 + self.speed.slow_down * others) / 1000

    def step(self) -> None:
        """Run one step: admit streams, prefill prompts, decode a token for each."""
        while self.queue and len(self.running) < self.speed.slots:
            self.running.append(self.queue.pop(0))
        budget = self.speed.prefill_tokens_s * self.step_s()
        for stream in sorted(self.running, key=lambda stream: stream.priority):
            if stream.prefill_tokens_left > 0:
                prefilled = min(budget, stream.prefill_tokens_left)
                budget -= prefilled
                stream.prefill_tokens_left -= prefilled
                self.prefilled += prefilled
                if stream.prefill_tokens_left <= 0:
                    self.cache.add(stream.blocks)
                continue
            self._decode(stream)
        self.running = [stream for stream in self.running if not stream.done]

    def _decode(self, stream: Stream) -> None:
        if not stream.done:
            nonce = time.monotonic_ns() if self._stamp else self._rng.getrandbits(16)
            stream.tokens.append(next_token(stream.sampling_run, stream.tokens, nonce))
            self.generated += 1
        stream.notify_listeners()
