"""Validated declarations of operators: profiles, customers and marks."""

from __future__ import annotations

import enum
import re
from dataclasses import replace
from typing import Annotated

from pydantic import ConfigDict, Field, Strict, TypeAdapter
from pydantic.dataclasses import dataclass

_CONFIG = ConfigDict(extra="forbid")

NAME_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}$"
Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Text = Annotated[str, Field(max_length=256)]
Flag = Annotated[bool, Strict()]
Int = Annotated[int, Strict()]
Number = Annotated[float, Strict(), Field(allow_inf_nan=False)]
Seconds = Annotated[Number, Field(gt=0, le=86_400)]
Share = Annotated[Number, Field(gt=0, lt=1)]
KeyHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


def is_valid_name(text: str) -> bool:
    """Return whether a text is valid as the name of a declared object."""
    return re.fullmatch(NAME_PATTERN, text) is not None


class ProfileKind(enum.StrEnum):
    """Kind of a profile's work: a generation or a call to a plain service."""

    GENERATION = "generation"
    CALL = "call"


class Urgency(enum.StrEnum):
    """Urgency classes, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    THRIFTY = "thrifty"


@dataclass(slots=True, config=_CONFIG)
class Objectives:
    """Service-level objectives as shares of the accepted requests.

    Attributes
    ----------
    whole_in_time
        Share answered completely and within the deadline.
    first_token_s
        Time limit for the first token, in seconds.
    first_token
        Share whose first token arrives within ``first_token_s``.
    resume_s
        Time limit for output to resume after the loss of a target, in seconds.
    resume
        Share of losses after which output resumes within ``resume_s``.
    """

    whole_in_time: Share = 0.999
    first_token_s: Seconds = 2.0
    first_token: Share = 0.99
    resume_s: Seconds = 6.0
    resume: Share = 0.99


@dataclass(slots=True, config=_CONFIG)
class Profile:
    """Requirements of a class of work.

    Attributes
    ----------
    name
        Name that callers send in a request.
    service
        Name of the service whose targets run the work.
    kind
        Generation, or call to a plain service.
    model, adapter, version
        Model, adapter and version that the target must have loaded; empty for calls.
    urgency
        Trade-off between resume latency and extra work after the loss of a target.
    idempotent
        Whether the work may run more than once.
    wait_s
        Time that a caller waits for the first output, in seconds.
    deadline_s
        Time limit for the complete answer, in seconds.
    max_tokens
        Maximum output that a caller may request, in tokens.
    retired
        Whether new requests are refused; requests in progress finish.
    """

    name: Name
    service: Name
    kind: ProfileKind = ProfileKind.GENERATION
    model: Text = ""
    adapter: Text = ""
    version: Text = ""
    urgency: Urgency = Urgency.NORMAL
    idempotent: Flag = True
    wait_s: Seconds = 5.0
    deadline_s: Seconds = 600.0
    max_tokens: Annotated[Int, Field(gt=0, le=1_000_000)] = 4096
    retired: Flag = False
    objectives: Objectives = Field(default_factory=Objectives)

    @property
    def model_spec(self) -> str:
        """Weights that a target must have loaded, as ``model/adapter/version``."""
        return f"{self.model}/{self.adapter}/{self.version}"

    def with_model_spec(self, spec: str) -> Profile:
        """Return a copy of the profile for weights ``model/adapter/version``."""
        model, adapter, version = spec.split("/")
        return replace(self, model=model, adapter=adapter, version=version)


@dataclass(slots=True, config=_CONFIG)
class Customer:
    """A customer with its fair-share weight and rate limit.

    Attributes
    ----------
    name
        Name of the customer.
    weight
        Weight of the customer's fair share within a profile.
    rate_per_s
        Maximum sustained rate over all routers, in requests per second.
    burst
        Number of requests that may arrive at once above the rate.
    key_hashes
        SHA-256 hex digests of the customer's keys; if empty, no key is required.
    """

    name: Name
    weight: Annotated[Number, Field(gt=0, le=1000)] = 1.0
    rate_per_s: Annotated[Number, Field(gt=0, le=1_000_000)] = 1000.0
    burst: Annotated[Number, Field(gt=0, le=1_000_000)] = 1000.0
    key_hashes: list[KeyHash] = Field(default_factory=list)


@dataclass(slots=True, config=_CONFIG)
class Mark:
    """A mark on a target that operators want to drain.

    Attributes
    ----------
    name
        Name of the target.
    leaving
        Whether the target gets no new work.
    """

    name: Name
    leaving: Flag = True


PROFILE_ADAPTER = TypeAdapter(Profile)
CUSTOMER_ADAPTER = TypeAdapter(Customer)
MARK_ADAPTER = TypeAdapter(Mark)
