"""State of a host: the deployment, running requests and all other tables."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Collection, Mapping, Set
from typing import TYPE_CHECKING, Protocol

from turmericflow.relay._budgets import RetryBudgets
from turmericflow.relay._call import Call, KvCopy
from turmericflow.relay._crashes import CrashTable
from turmericflow.relay._crashing_parts import CrashingParts
from turmericflow.relay._host_tables import HostTable
from turmericflow.relay._model import Customer, Deployment, HostEntry, Route, Service
from turmericflow.relay._placement import Demand
from turmericflow.relay._rate_limits import RateLimits
from turmericflow.relay._stream_versions import StreamVersions
from turmericflow.relay._target_tables import Load, Target, TargetTable

if TYPE_CHECKING:
    from turmericflow.relay.fair_shares import FairShares
    from turmericflow.relay.rollouts import RolloutTable

PATH_FAILURE_WINDOW_S = 3.0  # a host without a path is noticed within it


LoadsObserver = Callable[[dict[str, Load], dict[str, Load], float], None]


class WaitingStreams(Protocol):
    """Streams of a service that wait for room at an engine."""

    def counts(self, now: float) -> dict[int, int]:
        """Return the number of streams by the rank that hosts compare."""
        ...


class DeploymentTable:
    """The current deployment with lookup tables."""

    __slots__ = ("value", "revision", "routes_by_host", "customers_by_key", "services")

    def __init__(self) -> None:
        self.value: Deployment | None = None
        self.revision = -1
        self.routes_by_host: dict[str, list[Route]] = {}
        self.customers_by_key: dict[str, Customer] = {}
        self.services: dict[str, Service] = {}

    @property
    def version(self) -> int:
        """Version of the deployment in force, or -1 without one."""
        return self.value.version if self.value is not None else -1


class AbortReason(enum.StrEnum):
    """Why this host cancels an attempt."""

    SILENT = "silent"
    LOST = "lost"
    CRASHING_PART = "crashing_part"


class Run:
    """One attempt of a request at a target.

    Attributes
    ----------
    target, backup
        Target that runs the request, and engine that holds a copy of its KV cache.
    kv_copy
        The copy at `backup`.
    copying
        Whether a copy outside the growing one is in progress.
    copy_due_at
        Time from which on a run without a copy may get one.
    first_event_due_s
        Expected time from the start to the first event, in seconds.
    started_at, last_event_at
        Time of its start and of its last event, or of its start before the first
        event; by the clock that omits stalls.
    events
        Number of chunks with events received in this attempt.
    waiting_on_caller
        Whether a write to the caller is in progress.
    timeout
        Timeout of the attempt; rescheduling it to now cancels the attempt.
    abort_reason
        Why this host cancelled the attempt, or None.
    probed_at
        Time of the last probe of its target.
    prefills_alone
        Whether its target had no other prompt to prefill at the start.
    attempts_left
        Number of attempts that may follow if this one ends without an answer.
    demand
        Constraints on the target of a next attempt.
    follows_silence
        Whether an earlier attempt ended because its target was silent.
    held
        Whether it is silent and continues, as its stream cannot resume elsewhere.
    relayed
        Whether its bytes pass another host.
    customer
        Name of its customer, or None.
    silent_targets
        Keys of the silent targets when this attempt was cancelled.
    """

    __slots__ = (
        "call",
        "route",
        "target",
        "backup",
        "kv_copy",
        "copying",
        "copy_due_at",
        "first_event_due_s",
        "started_at",
        "last_event_at",
        "events",
        "waiting_on_caller",
        "timeout",
        "abort_reason",
        "probed_at",
        "prefills_alone",
        "memory_tokens",
        "attempts_left",
        "demand",
        "follows_silence",
        "held",
        "silent_targets",
        "relayed",
        "customer",
    )

    def __init__(self, call: Call, route: Route, target: Target, now: float) -> None:
        self.call = call
        self.route = route
        self.target = target
        self.backup: Target | None = None
        self.kv_copy: KvCopy | None = None
        self.copying = False
        self.copy_due_at = 0.0
        self.first_event_due_s = 0.0
        self.started_at = now
        self.last_event_at = now
        self.events = 0
        self.waiting_on_caller = False
        self.timeout: asyncio.Timeout | None = None
        self.abort_reason: AbortReason | None = None
        self.probed_at = 0.0
        self.prefills_alone = False
        self.memory_tokens = call.prompt_tokens + call.output_tokens
        self.attempts_left = 0
        self.demand: Demand | None = None
        self.follows_silence = False
        self.held = False
        self.silent_targets: Set[str] = frozenset()
        self.relayed = False
        self.customer: str | None = None

    def has_part(self, parts: Collection[str]) -> bool:
        """Return whether the prompt has one of the parts, named by service and id."""
        service = self.target.entry.service
        return any(f"{service}/{part}" in parts for part in self.call.shared_parts)

    def set_backup(self, backup: Target) -> None:
        """Set the engine to which the run's KV cache is copied as it grows."""
        self._reserve_memory(backup)
        address = backup.entry.address
        self.kv_copy = KvCopy(address, address, self.call.id)

    def set_copy(self, holder: Target, copy: KvCopy) -> None:
        """Set a finished copy of the run's KV cache."""
        self._reserve_memory(holder)
        self.kv_copy = copy

    def drop_copy(self) -> None:
        """Forget the copy and release the memory reserved for it."""
        if self.backup is not None:
            self.backup.own_load.memory_tokens -= self.memory_tokens
        self.backup = self.kv_copy = None

    def _reserve_memory(self, holder: Target) -> None:
        self.drop_copy()
        self.backup = holder
        holder.own_load.memory_tokens += self.memory_tokens


class CrashSuspect:
    """A request that may have crashed the target, as the connection failed.

    Attributes
    ----------
    fingerprint, parts
        Fingerprint of its content, and the shared parts of its prompt.
    target, at
        The target, and the time of the failure.
    writing
        Whether the target had begun to write an answer and had sent no event.
    """

    __slots__ = ("fingerprint", "parts", "target", "at", "writing")

    def __init__(
        self,
        fingerprint: str,
        parts: tuple[str, ...],
        target: Target,
        at: float,
        writing: bool,
    ) -> None:
        self.fingerprint = fingerprint
        self.parts = parts
        self.target = target
        self.at = at
        self.writing = writing


class Paths:
    """Services whose targets this host cannot reach itself.

    Attributes
    ----------
    cut_off
        Services from which this host is cut off.
    """

    __slots__ = ("cut_off", "_failures")

    def __init__(self) -> None:
        self.cut_off: set[str] = set()
        self._failures: dict[str, dict[str, float]] = {}

    def failed(self, service: str) -> Collection[str]:
        """Return the keys of targets that were not reached since one was."""
        return self._failures.get(service, {}).keys()

    def record_failure(self, service: str, key: str, now: float) -> None:
        """Record that a new connection to a target could not be made."""
        recent = {
            other: at
            for other, at in self._failures.get(service, {}).items()
            if now - at < PATH_FAILURE_WINDOW_S
        }
        self._failures[service] = recent | {key: now}

    def record_success(self, service: str, sent_at: float) -> None:
        """Record that a target answered a request that was sent at a time."""
        failures = self._failures.get(service)
        if failures:
            later = {key: at for key, at in failures.items() if at > sent_at}
            self._failures[service] = later

    def end(self, service: str) -> None:
        """Record that this host reaches a service again."""
        self.cut_off.discard(service)
        self._failures.pop(service, None)


class Tables:
    """All tables of one host.

    Attributes
    ----------
    waiting
        Streams that wait at this host for room, by service; None if none ever waits.
    on_loads
        Called with another host's earlier and new loads and the time, or None.
    rollouts
        Orders to roll out versions, or None if this host follows none.
    fair_shares
        Streams of customers on all hosts, or None if none ever waits.
    """

    __slots__ = (
        "deployment",
        "targets",
        "hosts",
        "runs",
        "crashes",
        "crashing_parts",
        "retry_budgets",
        "rate_limits",
        "stream_versions",
        "paths",
        "waiting",
        "on_loads",
        "rollouts",
        "fair_shares",
    )

    def __init__(self, own: HostEntry) -> None:
        self.deployment = DeploymentTable()
        self.targets = TargetTable()
        self.hosts = HostTable(own)
        self.runs: set[Run] = set()
        self.crashes = CrashTable()
        self.crashing_parts = CrashingParts()
        self.retry_budgets = RetryBudgets()
        self.rate_limits = RateLimits(own.name)
        self.stream_versions = StreamVersions()
        self.paths = Paths()
        self.waiting: Mapping[str, WaitingStreams] | None = None
        self.on_loads: LoadsObserver | None = None
        self.rollouts: RolloutTable | None = None
        self.fair_shares: FairShares | None = None
