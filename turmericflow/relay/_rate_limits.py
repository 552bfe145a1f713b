"""Rate limits that targets name in their answers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class LimitNamed:
    """An answer names the rate that its target takes from all hosts, per second."""

    rate: float


@dataclass(slots=True, frozen=True)
class LimitAbsent:
    """An answer names no limit, which ends an earlier one."""


@dataclass(slots=True, frozen=True)
class LimitInvalid:
    """An answer names a limit that cannot be read, which changes nothing."""

    text: str


LimitNotice = LimitNamed | LimitAbsent | LimitInvalid


class TargetLimit:
    """What a host knows of the limit of one incarnation of a target.

    Attributes
    ----------
    rate
        Requests per second that the target takes from all hosts, or None if its last
        answer named no limit.
    heard_at
        Time of the newest answer that named the limit or ended it.
    """

    __slots__ = ("rate", "heard_at")

    def __init__(self) -> None:
        self.rate: float | None = None
        self.heard_at = float("-inf")

    def record(self, notice: LimitNotice, sent_at: float, now: float) -> bool:
        """Record what an answer says; return whether the limit changed.

        Answers overtake each other. A lower limit holds at once. A limit is raised
        or ended only by an answer to a request that was sent after it was named.

        Parameters
        ----------
        notice
            What the answer says.
        sent_at
            Time at which the request was sent, in seconds.
        now
            Time of the answer, in seconds.
        """
        match notice:
            case LimitNamed(rate):
                found: float | None = rate
            case LimitAbsent():
                found = None
            case LimitInvalid():
                return False
        if found is None and self.rate is None:
            return False
        raised = self.rate is not None and (found is None or found > self.rate)
        if raised and sent_at < self.heard_at:
            return False
        changed = found != self.rate
        self.rate, self.heard_at = found, now
        return changed


class RateLimits:
    """Limits of all targets, by target key."""

    __slots__ = ("_by_key",)

    def __init__(self) -> None:
        self._by_key: dict[str, TargetLimit] = {}

    def find(self, key: str) -> TargetLimit | None:
        """Return the limit in force for a target, or None."""
        limit = self._by_key.get(key)
        return limit if limit is not None and limit.rate is not None else None

    def record(self, key: str, notice: LimitNotice, sent_at: float, now: float) -> bool:
        """Record what an answer of a target says; see `TargetLimit.record`."""
        limit = self._by_key.get(key)
        if limit is None:
            if not isinstance(notice, LimitNamed):
                return False
            limit = self._by_key[key] = TargetLimit()
        return limit.record(notice, sent_at, now)
