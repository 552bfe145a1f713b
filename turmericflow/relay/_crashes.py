"""Requests that crash the targets that run them, known by their content.

The same content comes again under other names and at other hosts, so a crash is
noted against a fingerprint, with the life of the target that crashed, and told
to the other hosts.  An answer clears a content: what crashes its targets has none.
"""

from __future__ import annotations

import xxhash

from turmericflow.relay._call import Call

MIN_CRASHES_TO_REFUSE = 3
MAX_FINGERPRINTS = 20_000
CRASH_RETENTION_S = 60.0  # beyond this a caller's repeats are new work


def fingerprint(call: Call, customer: str | None) -> str:
    """Return the name of a request's content, the same under every attempt."""
    digest = xxhash.xxh3_128()
    for part in (call.method, call.host, call.path, customer or ""):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(call.body)
    return digest.hexdigest()


class CrashTable:
    """Targets that crashed while they ran a content, by fingerprint."""

    __slots__ = ("_losses", "_cleared", "_own")

    def __init__(self) -> None:
        self._own: list[tuple[str, str, float]] = []
        self._losses: dict[str, dict[str, float]] = {}
        self._cleared: dict[str, float] = {}

    @property
    def has_suspects(self) -> bool:
        """Whether there are suspects at all; without one no content need be hashed."""
        return bool(self._losses)

    def record(self, content: str, target: str, at: float) -> bool:
        """Note a crash; return whether it was not known before."""
        if at <= self._cleared.get(content, float("-inf")):
            return False
        losses = self._losses.setdefault(content, {})
        known = target in losses
        losses.setdefault(target, at)
        if len(self._losses) > MAX_FINGERPRINTS:
            del self._losses[next(iter(self._losses))]
        return not known

    def record_own(self, content: str, target: str, at: float) -> None:
        """Note a crash that this host itself has seen, to be told to the others."""
        if self.record(content, target, at):
            self._own.append((content, target, at))

    def clear(self, content: str, now: float) -> None:
        """Note that a content was answered."""
        if self._losses.pop(content, None) is not None:
            self._cleared[content] = now

    def is_suspect(self, content: str) -> bool:
        """Return whether a target crashed that ran a content."""
        return content in self._losses

    def is_refused(self, content: str, now: float) -> bool:
        """Return whether a content has crashed too many targets lately."""
        losses = self._losses.get(content)
        if losses is None:
            return False
        lately = sum(1 for at in losses.values() if now - at < CRASH_RETENTION_S)
        return lately >= MIN_CRASHES_TO_REFUSE

    def recent_own(self, age_s: float, now: float) -> list[tuple[str, str, float]]:
        """Return what this host saw in the last seconds: content, target and age."""
        self._own = [each for each in self._own if now - each[2] < age_s]
        return [(content, target, now - at) for content, target, at in self._own]

    def expire(self, now: float) -> None:
        """Forget what no longer counts."""
        for content, losses in list(self._losses.items()):
            if all(now - at >= CRASH_RETENTION_S for at in losses.values()):
                del self._losses[content]
        for content, at in list(self._cleared.items()):
            if now - at >= CRASH_RETENTION_S:
                del self._cleared[content]
