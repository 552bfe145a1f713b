"""Outcomes of the requests of a run in virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field

from turmericflow.load import Arrival
from turmericflow.systems import prefixes
from turmericflow.verdict import Failure


@dataclass(slots=True)
class Outcome:
    """Outcome of one request; times in seconds since the start.

    Attributes
    ----------
    refuse_s
        Time that the router took to refuse the request, in seconds.
    """

    arrival: Arrival
    prompt: str
    words: int
    blocks: list[str]
    tries: int = 0
    tried_at: float = 0.0
    accepted: bool = False
    first_at: float | None = None
    done_at: float | None = None
    failure: Failure | None = None
    refuse_s: float = 0.0
    refused_at: list[float] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether the request was answered whole and in time."""
        return self.done_at is not None


@dataclass(slots=True)
class Run:
    """Results of one workload under one policy.

    Attributes
    ----------
    decisions
        Request key and target name of each attempt sent.
    """

    outcomes: list[Outcome]
    attempts: int = 0
    accepted: int = 0
    prompt_tokens: float = 0.0
    prefilled: float = 0.0
    decisions: list[tuple[str, str]] = field(default_factory=list)


def outcome_of(arrival: Arrival) -> Outcome:
    """Return the initial outcome of a request that has not arrived yet."""
    prompt = arrival.prompt
    words = prompt.split()
    return Outcome(arrival, prompt, len(words), prefixes.block_names(words))
