"""Callers' requests, dispatches to targets and targets' replies."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Protocol

from multidict import CIMultiDict

from turmericflow.relay._model import EngineReport, HostEntry
from turmericflow.relay._rate_limits import LimitNotice
from turmericflow.relay.caller_limits import Body, Hold


class Call:
    """One request of a caller.

    Attributes
    ----------
    id
        Id of the caller's attempt; each retry of the caller has a new one.
    path
        Path and query, exactly as received.
    headers
        Headers to forward, without those that this system sets itself.
    hold
        Bytes that the caller's connection holds.
    key
        Customer's key, or None.
    timeout_s
        Time for which the caller waits, in seconds, or None if not given.
    prompt_tokens, output_tokens
        Length of the prompt, and the maximum length of the output.
    shared_parts
        Ids of the prompt's parts in order, without the last one, which belongs to the
        request or its session alone.
    last_event_id
        Id of the last event that the caller has received, or None.
    resumes
        Id of the caller's attempt that brought the first event of the stream that
        this request takes up, or None if not given.
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
        "hold",
        "key",
        "timeout_s",
        "prompt_tokens",
        "output_tokens",
        "shared_parts",
        "last_event_id",
        "resumes",
        "arrived_at",
    )

    def __init__(self, id: str, method: str, host: str, path: str) -> None:
        self.id = id
        self.method = method
        self.host = host
        self.path = path
        self.headers: CIMultiDict[str] = CIMultiDict()
        self.body = Body()
        self.hold = Hold(None, None)
        self.key: str | None = None
        self.timeout_s: float | None = None
        self.prompt_tokens = 0
        self.output_tokens = 0
        self.shared_parts: tuple[str, ...] = ()
        self.last_event_id: int | None = None
        self.resumes: str | None = None
        self.arrived_at = 0.0


class KvCopy:
    """A copy of a run's KV cache at another engine.

    Attributes
    ----------
    holder
        Address of the engine that holds the copy.
    origin, name
        Address and name that identify the copy at the holder.
    """

    __slots__ = ("holder", "origin", "name")

    def __init__(self, holder: str, origin: str, name: str) -> None:
        self.holder = holder
        self.origin = origin
        self.name = name


class Dispatch:
    """Parameters for sending a request to a target once.

    Attributes
    ----------
    target, address
        Id of the target, which the target verifies, and its IP:PORT.
    timeout_s
        Time limit for the target, in seconds.
    priority
        Priority at an engine, 0 (first) to 9, or None for the engine's default.
    backup
        Address of the engine that receives a copy of the KV cache as it grows.
    kv_copy
        Copy of the KV cache to resume from.
    last_event_id
        Id of the event after which the stream resumes.
    via
        The host through which the connection to the target is made, or None.
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
        "via",
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
        self.via: HostEntry | None = None


class Reply(Protocol):
    """A target's response whose body has not been read yet.

    Attributes
    ----------
    length
        Length of the body in bytes, or None if the response does not name it.
    not_run
        Whether the target states that it did not run the request.
    misdirected
        Whether a target other than the expected one answered.
    genuine
        Whether the response belongs to this request and has the target's receipt.
    limit
        What the response says of the rate that its target takes from all hosts.
    leaving
        Whether the target says that it leaves.
    closed_s
        Time for which the target wants no requests from this host, in seconds, or
        None.
    brittle
        Whether the target says that it falls over when it has to turn many requests
        away.
    """

    status: int
    headers: CIMultiDict[str]
    length: int | None
    not_run: bool
    misdirected: bool
    genuine: bool
    limit: LimitNotice
    leaving: bool
    closed_s: float | None
    brittle: bool

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises `TargetFailed` if the connection fails."""
        ...

    def close(self) -> None:
        """Close the connection unless the body was read completely."""
        ...


class TargetClient(Protocol):
    """Sends requests to targets."""

    async def send(self, call: Call, dispatch: Dispatch) -> Reply:
        """Send a request and return the reply once its headers have arrived.

        Raises
        ------
        TargetFailed
            If there was no reply; the verdict says whether the request may have run.
        """
        ...

    async def copy_kv_cache(self, call: Call, source: str, holder: str) -> KvCopy:
        """Copy the KV cache of a run to another engine while the run continues.

        Raises
        ------
        TargetFailed
            If the run does not exist, the holder is full, or there was no reply.
        """
        ...

    async def fetch_report(self, address: str, health_path: str) -> EngineReport | None:
        """Return the report of the engine at an address, or None on failure."""
        ...

    async def accepts_connections(self, address: str) -> bool:
        """Return False if a target refuses connections, True if it may be running.

        An unreachable target counts as running.
        """
        ...

    async def open_connection(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to a target; raises `OSError` or `TimeoutError`."""
        ...

    async def reaches(self, address: str, via: HostEntry | None) -> bool:
        """Return whether a target accepts a connection, also through another host."""
        ...

    async def probe(self, address: str, timeout_s: float) -> bool:
        """Return whether a target answers within the timeout."""
        ...
