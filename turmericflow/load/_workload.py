"""Workloads declared in YAML, and the arrivals that a seed makes of them."""

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

BURST_S = 2.0


class WorkloadError(Exception):
    """Raised when a workload file is not as declared workloads are."""


@dataclass(slots=True, config=_CONFIG)
class Stream:
    """Requests of one kind from one customer.

    Attributes
    ----------
    profile, customer
        Whose requests they are and what they need.
    share
        Share of the workload's requests.
    median_tokens, sigma
        Lengths of outputs: a log-normal distribution, cut at ``max_tokens``.
    max_tokens
        What a request asks for.
    shared_words, own_words
        Prompt that all requests on a subject have in common, and the rest.
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
        """Mean length of the outputs, with the cut, by numerical integration."""
        steps = 2000
        total = 0.0
        for step in range(steps):
            z = -5.0 + 10.0 * (step + 0.5) / steps
            density = math.exp(-z * z / 2) / math.sqrt(2 * math.pi) * 10.0 / steps
            length = max(1.0, self.median_tokens * math.exp(self.sigma * z))
            total += density * min(self.max_tokens, length)
        return total


@dataclass(slots=True, config=_CONFIG)
class Phase:
    """A part of a workload.

    Attributes
    ----------
    length_s
        How long it lasts, in seconds.
    load
        Arrivals over what the fleet can serve.
    one_subject
        Whether all requests concern the same subject.
    """

    length_s: Annotated[float, Field(gt=0, le=3600)]
    load: Share
    one_subject: bool = False


@dataclass(slots=True, config=_CONFIG)
class Loss:
    """The loss of one engine or one router, by number."""

    at_s: Annotated[float, Field(ge=0)]
    what: Annotated[str, Field(pattern="^(engine|router)$")]
    number: Annotated[int, Field(ge=0)] = 0


@dataclass(slots=True, config=_CONFIG)
class Workload:
    """A declared workload.

    Attributes
    ----------
    name
        Its name.
    profiles, customers
        Declarations that go with it.
    streams
        What arrives.
    phases
        How much arrives, and when.
    losses
        What is lost, and when.
    subjects, skew
        Number of subjects, and the exponent of their Zipf distribution.
    burst
        Growth and fall of the rate by turns, as a share.
    caller_retries
        How often a caller comes again after a refusal.
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
        """Read and check a workload.

        Raises
        ------
        WorkloadError
            If the file is not a workload; the message names the field.
        """
        try:
            raw = yaml.safe_load(path.read_text("utf-8"))
            return _ADAPTER.validate_python(raw)
        except (OSError, yaml.YAMLError) as exc:
            raise WorkloadError(f"{path}: cannot be read as YAML: {exc}") from None
        except ValidationError as exc:
            first = exc.errors()[0]
            name = ".".join(str(part) for part in first["loc"])
            got = f"{path}: {name}: got {first['input']!r}: {first['msg']}"
            raise WorkloadError(got) from None

    @property
    def length_s(self) -> float:
        """Length of the whole workload, in seconds."""
        return sum(phase.length_s for phase in self.phases)

    @property
    def mean_tokens(self) -> float:
        """Mean length of all outputs, in tokens."""
        total = sum(each.share for each in self.streams)
        return sum(each.share * each.mean_tokens for each in self.streams) / total


_ADAPTER = TypeAdapter(Workload)


@dataclass(slots=True)
class Arrival:
    """One request: when it comes, and what it is."""

    at_s: float
    key: str
    stream: Stream
    subject: int
    tokens: int

    @property
    def prompt(self) -> str:
        """The prompt, which tells a stand-in how long the output is."""
        shared = [f"s{self.subject}w{word}" for word in range(self.stream.shared_words)]
        own = [f"{self.key}w{word}" for word in range(self.stream.own_words - 1)]
        return " ".join([*shared, *own, f"len={self.tokens}"])


def _length(stream: Stream, rng: Random) -> int:
    length = stream.median_tokens * math.exp(rng.gauss(0.0, stream.sigma))
    return max(1, min(stream.max_tokens, round(length)))


def arrivals(workload: Workload, served_per_s: float, seed: int) -> list[Arrival]:
    """Return a workload's arrivals.

    Parameters
    ----------
    workload
        The workload.
    served_per_s
        What the fleet can serve, in requests per second.
    seed
        The same seed makes the same arrivals.
    """
    rng = Random(seed)
    weights = [1 / (number + 1) ** workload.skew for number in range(workload.subjects)]
    popular = list(itertools.accumulate(weights))
    shares = list(itertools.accumulate(each.share for each in workload.streams))
    found: list[Arrival] = []
    start = 0.0
    for phase in workload.phases:
        at = start
        while True:
            wave = 1 if int(at / BURST_S) % 2 else -1
            rate = served_per_s * phase.load * (1 + wave * workload.burst)
            at += rng.expovariate(max(rate, 1e-9))
            if at >= start + phase.length_s:
                break
            stream = workload.streams[bisect.bisect(shares, rng.random() * shares[-1])]
            subject = bisect.bisect(popular, rng.random() * popular[-1])
            subject = 0 if phase.one_subject else subject
            tokens = _length(stream, rng)
            found.append(Arrival(at, f"k{len(found)}", stream, subject, tokens))
        start += phase.length_s
    return found
