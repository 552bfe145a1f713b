"""A caller's request, what is sent for it, and what comes back."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Protocol

from multidict import CIMultiDict

from turmericflow.relay._model import EngineReport


class Call:
    """One request of a caller.

    Attributes
    ----------
    id
        Name of the caller's attempt, new for each retry.
    path
        Path and query, exactly as received.
    headers
        Headers that are passed on; none that this system sets itself.
    key
        Customer's key, or None.
    timeout_s
        Time for which the caller waits, in seconds, or None.
    prompt_tokens, output_tokens
        Size of the prompt, and the largest size of the output.
    last_event_id
        Id of the last event that the caller has, or None.
    arrived_at
        Time of arrival on the event loop's clock, in seconds.
    """

    __slots__ = (
        "id",
        "method",
        "host",
        "path",
        "headers",
        "body",
        "key",
        "timeout_s",
        "prompt_tokens",
        "output_tokens",
        "last_event_id",
        "arrived_at",
    )

    def __init__(self, id: str, method: str, host: str, path: str) -> None:
        self.id = id
        self.method = method
        self.host = host
        self.path = path
        self.headers: CIMultiDict[str] = CIMultiDict()
        self.body = b""
        self.key: str | None = None
        self.timeout_s: float | None = None
        self.prompt_tokens = 0
        self.output_tokens = 0
        self.last_event_id: int | None = None
        self.arrived_at = 0.0


class KvCopy:
    """A copy of a run's memory.

    Attributes
    ----------
    holder
        Address of the engine that holds it.
    origin, name
        Address and name under which the holder knows it.
    """

    __slots__ = ("holder", "origin", "name")

    def __init__(self, holder: str, origin: str, name: str) -> None:
        self.holder = holder
        self.origin = origin
        self.name = name


class Dispatch:
    """One sending of a request to a target.

    Attributes
    ----------
    target, address
        The target's id, which it checks, and its IP:PORT.
    timeout_s
        Time that the target is given, in seconds.
    priority
        Urgency at an engine, 0 (first) to 9, or None for the engine's own.
    backup
        Address of the engine that is to keep a copy of the run's memory.
    kv_copy
        KvCopy of the run's memory to go on from.
    last_event_id
        Id of the event after which the stream goes on.
    """

    __slots__ = (
        "target",
        "address",
        "timeout_s",
        "customer",
        "priority",
        "backup",
        "kv_copy",
        "last_event_id",
    )

    def __init__(self, target: str, address: str, timeout_s: float) -> None:
        self.target = target
        self.address = address
        self.timeout_s = timeout_s
        self.customer: str | None = None
        self.priority: int | None = None
        self.backup: str | None = None
        self.kv_copy: KvCopy | None = None
        self.last_event_id: int | None = None


class Reply(Protocol):
    """A target's answer, of which the body is still to be read.

    Attributes
    ----------
    not_run
        Whether the target states that it did not run the request.
    misdirected
        Whether another target than the expected one answered.
    genuine
        Whether the answer is to this request and bears the target's receipt.
    """

    status: int
    headers: CIMultiDict[str]
    not_run: bool
    misdirected: bool
    genuine: bool

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises `TargetFailed` if it is cut off."""
        ...

    def close(self) -> None:
        """Drop the connection if the body was not read to its end."""
        ...


class TargetClient(Protocol):
    """Sends requests to targets."""

    async def send(self, call: Call, dispatch: Dispatch) -> Reply:
        """Send a request and return the head of the answer.

        Raises
        ------
        TargetFailed
            If no answer came; the verdict says whether it may have run.
        """
        ...

    async def copy_kv_cache(self, call: Call, source: str, holder: str) -> KvCopy:
        """Copy the memory of a request's run to another engine; the run goes on.

        Raises
        ------
        TargetFailed
            If there is no such run or no room, or no answer came.
        """
        ...

    async def fetch_report(self, address: str, health_path: str) -> EngineReport | None:
        """Return what the engine at an address says of itself, or None."""
        ...

    async def accepts_connections(self, address: str) -> bool:
        """Return whether a target takes connections, or may only be out of reach."""
        ...

    async def probe(self, address: str, timeout_s: float) -> bool:
        """Return whether a target answers at all."""
        ...
