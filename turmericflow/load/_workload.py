"""Workloads declared in YAML, and arrivals drawn from a seed."""

from __future__ import annotations

import bisect
import itertools
import math
from dataclasses import field
from pathlib import Path
from random import Random
from typing import Annotated

import yaml
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from turmericflow.profile import Customer, Name, Profile

_CONFIG = ConfigDict(extra="forbid")

Share = Annotated[float, Field(ge=0, le=1000)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]

BURST_HALF_PERIOD_S = 2.0


class WorkloadError(Exception):
    """Raised when a workload file cannot be read or is invalid."""


@dataclass(slots=True, config=_CONFIG)
class Stream:
    """Requests of one kind from one customer.

    Attributes
    ----------
    profile, customer
        Profile and customer of the requests.
    share
        Weight of the stream among the workload's requests.
    median_tokens, sigma
        Log-normal distribution of output lengths, truncated at ``max_tokens``.
    max_tokens
        Output limit of each request, in tokens.
    shared_words, own_words
        Prompt words shared by all requests on a subject, and words of one request.
    """

    profile: Name
    customer: Name
    share: Share
    median_tokens: Annotated[float, Field(gt=0)] = 70.0
    sigma: Annotated[float, Field(ge=0, le=3)] = 0.8
    max_tokens: Count = 600
    shared_words: Annotated[int, Field(ge=0)] = 480
    own_words: Count = 32

    @property
    def mean_tokens(self) -> float:
        """Mean length of the truncated outputs in tokens, by numerical integration."""
        n_steps = 2000
        total = 0.0
        for step in range(n_steps):
            z = -5.0 + 10.0 * (step + 0.5) / n_steps
            density = math.exp(-z * z / 2) / math.sqrt(2 * math.pi) * 10.0 / n_steps
            length = max(1.0, self.median_tokens * math.exp(self.sigma * z))
            total += density * min(self.max_tokens, length)
        return total


@dataclass(slots=True, config=_CONFIG)
class Phase:
    """A time span of a workload with a constant mean load.

    Attributes
    ----------
    length_s
        Duration, in seconds.
    load
        Arrival rate relative to the fleet's capacity.
    one_subject
        Whether all requests concern the same subject.
    """

    length_s: Annotated[float, Field(gt=0, le=3600)]
    load: Share
    one_subject: bool = False


@dataclass(slots=True, config=_CONFIG)
class Loss:
    """Loss of one engine or router, given by its index."""

    at_s: Annotated[float, Field(ge=0)]
    what: Annotated[str, Field(pattern="^(engine|router)$")]
    number: Annotated[int, Field(ge=0)] = 0


@dataclass(slots=True, config=_CONFIG)
class Workload:
    """A declared workload.

    Attributes
    ----------
    name
        Name of the workload.
    profiles, customers
        Declarations that the workload needs.
    streams
        Streams of requests that arrive.
    phases
        Load over time.
    losses
        Losses of engines and routers.
    subjects, skew
        Number of prompt subjects, and the exponent of their Zipf distribution.
    burst
        Amplitude of a square wave on the arrival rate, relative to its mean.
    caller_retries
        Number of times that a caller retries after a refusal.
    """

    name: Annotated[str, Field(pattern=r"^[a-z0-9_]+$")]
    profiles: list[Profile]
    customers: list[Customer]
    streams: list[Stream]
    phases: list[Phase]
    losses: list[Loss] = field(default_factory=list)
    subjects: Count = 40
    skew: Annotated[float, Field(ge=0, le=3)] = 0.8
    burst: Annotated[float, Field(ge=0, lt=1)] = 0.3
    caller_retries: Annotated[int, Field(ge=0, le=5)] = 0

    @classmethod
    def from_file(cls, path: Path) -> Workload:
        """Read and validate a workload file.

        Raises
        ------
        WorkloadError
            If the file is invalid; the message names the first invalid field.
        """
        try:
            raw = yaml.safe_load(path.read_text("utf-8"))
            return _ADAPTER.validate_python(raw)
        except (OSError, yaml.YAMLError) as exc:
            raise WorkloadError(f"{path}: cannot be read as YAML: {exc}") from None
        except ValidationError as exc:
            first = exc.errors()[0]
            name = ".".join(str(part) for part in first["loc"])
            message = f"{path}: {name}: got {first['input']!r}: {first['msg']}"
            raise WorkloadError(message) from None

    @property
    def length_s(self) -> float:
        """Total duration of the workload, in seconds."""
        return sum(phase.length_s for phase in self.phases)

    @property
    def mean_tokens(self) -> float:
        """Mean output length over all streams, in tokens."""
        total = sum(each.share for each in self.streams)
        return sum(each.share * each.mean_tokens for each in self.streams) / total


_ADAPTER = TypeAdapter(Workload)


@dataclass(slots=True)
class Arrival:
    """One request, with its arrival time."""

    at_s: float
    key: str
    stream: Stream
    subject: int
    tokens: int

    @property
    def prompt(self) -> str:
        """Prompt text; its last word sets the output length of a simulated engine."""
        shared_words = [
            f"s{self.subject}w{word}" for word in range(self.stream.shared_words)
        ]
        own_words = [f"{self.key}w{word}" for word in range(self.stream.own_words - 1)]
        return " ".join([*shared_words, *own_words, f"len={self.tokens}"])


def _output_tokens(stream: Stream, rng: Random) -> int:
    length = stream.median_tokens * math.exp(rng.gauss(0.0, stream.sigma))
    return max(1, min(stream.max_tokens, round(length)))


def arrivals(workload: Workload, capacity_per_s: float, seed: int) -> list[Arrival]:
    """Return the arrivals of a workload, in order of time.

    Parameters
    ----------
    workload
        Workload to draw from.
    capacity_per_s
        Capacity of the fleet, in requests per second.
    seed
        Seed of the random numbers; equal seeds give equal arrivals.
    """
    rng = Random(seed)
    weights = [1 / (number + 1) ** workload.skew for number in range(workload.subjects)]
    subject_weights = list(itertools.accumulate(weights))
    stream_shares = list(itertools.accumulate(each.share for each in workload.streams))
    generated: list[Arrival] = []
    start = 0.0
    for phase in workload.phases:
        at = start
        while True:
            sign = 1 if int(at / BURST_HALF_PERIOD_S) % 2 else -1
            rate = capacity_per_s * phase.load * (1 + sign * workload.burst)
            at += rng.expovariate(max(rate, 1e-9))
            if at >= start + phase.length_s:
                break
            stream = workload.streams[
                bisect.bisect(stream_shares, rng.random() * stream_shares[-1])
            ]
            subject = bisect.bisect(subject_weights, rng.random() * subject_weights[-1])
            subject = 0 if phase.one_subject else subject
            tokens = _output_tokens(stream, rng)
            generated.append(Arrival(at, f"k{len(generated)}", stream, subject, tokens))
        start += phase.length_s
    return generated
