"""Declarations of operators: profiles, customers and marks, checked."""

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
    """Whether a text has the form of a declared object's name."""
    return re.fullmatch(NAME_PATTERN, text) is not None


class ProfileKind(enum.StrEnum):
    """Whether a profile's work is a generation or a call to a plain service."""

    GENERATION = "generation"
    CALL = "call"


class Urgency(enum.StrEnum):
    """Urgency classes, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    THRIFTY = "thrifty"


@dataclass(slots=True, config=_CONFIG)
class Objectives:
    """Service-level objectives, as shares of accepted requests.

    Attributes
    ----------
    whole_in_time
        Share answered whole and within the deadline.
    first_token_s
        Time within which the first token is due, in seconds.
    first_token
        Share whose first token is in time.
    resume_s
        Time within which output goes on after a loss, in seconds.
    resume
        Share of losses resumed in time.
    """

    whole_in_time: Share = 0.999
    first_token_s: Seconds = 2.0
    first_token: Share = 0.99
    resume_s: Seconds = 6.0
    resume: Share = 0.99


@dataclass(slots=True, config=_CONFIG)
class Profile:
    """What a class of work needs.

    Attributes
    ----------
    name
        Name that callers give.
    service
        Name of the service whose targets run the work.
    kind
        Generation, or call to a plain service.
    model, adapter, version
        What the target must have loaded; empty for calls.
    urgency
        Decides between resume latency and extra work after a loss.
    idempotent
        Whether the work may run more than once.
    wait_s
        How long a caller waits for the first output, in seconds.
    deadline_s
        How long the whole answer may take, in seconds.
    max_tokens
        Largest output that a caller may ask for, in tokens.
    retired
        Whether new requests are refused; running work finishes.
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
        """What a target must have loaded, as ``model/adapter/version``."""
        return f"{self.model}/{self.adapter}/{self.version}"

    def with_model_spec(self, spec: str) -> Profile:
        """Return the same profile for other weights."""
        model, adapter, version = spec.split("/")
        return replace(self, model=model, adapter=adapter, version=version)


@dataclass(slots=True, config=_CONFIG)
class Customer:
    """A customer, its share and its limits.

    Attributes
    ----------
    name
        Name of the customer.
    weight
        Weight of its fair share within a profile.
    rate_per_s
        Largest sustained rate over all routers, in requests per second.
    burst
        Requests that may come at once above the rate.
    key_hashes
        SHA-256 hex digests of the customer's keys; empty means no key is
        asked for.
    """

    name: Name
    weight: Annotated[Number, Field(gt=0, le=1000)] = 1.0
    rate_per_s: Annotated[Number, Field(gt=0, le=1_000_000)] = 1000.0
    burst: Annotated[Number, Field(gt=0, le=1_000_000)] = 1000.0
    key_hashes: list[KeyHash] = Field(default_factory=list)


@dataclass(slots=True, config=_CONFIG)
class Mark:
    """A mark on a target that is to leave.

    Attributes
    ----------
    name
        Name of the target.
    leaving
        Whether the target receives no new work.
    """

    name: Name
    leaving: Flag = True


PROFILE_ADAPTER = TypeAdapter(Profile)
CUSTOMER_ADAPTER = TypeAdapter(Customer)
MARK_ADAPTER = TypeAdapter(Mark)
