"""Detection of requests whose content crashes the targets that run them.

Callers retry the same content under new ids and at other hosts. So crashes are
recorded by a fingerprint of the content, with the key of the crashed target, and
gossiped to the other hosts. Output clears its fingerprint, since a content that
crashes its targets never has any.
"""

from __future__ import annotations

import xxhash

from turmericflow.relay._call import Call

MIN_CRASHES_TO_REFUSE = 3
MAX_FINGERPRINTS = 20_000
CRASH_RETENTION_S = 60.0  # later retries count as new requests
MAX_TOLD_FINGERPRINTS = 256  # to a host that has just started


def fingerprint(call: Call, customer: str | None) -> str:
    """Return a hash of a request's content, equal for all retries of a customer."""
    digest = xxhash.xxh3_128()
    for part in (call.method, call.host, call.path, customer or ""):
        digest.update(part.encode())
        digest.update(b"\0")
    for block in call.body.blocks:
        digest.update(block)
    return digest.hexdigest()


class CrashTable:
    """Crashed targets by the fingerprint of the content that they were running."""

    __slots__ = ("_crashes", "_cleared_at", "_own_crashes")

    def __init__(self) -> None:
        self._own_crashes: list[tuple[str, str, float]] = []
        self._crashes: dict[str, dict[str, float]] = {}
        self._cleared_at: dict[str, float] = {}

    @property
    def has_crashes(self) -> bool:
        """Whether any crash is recorded; if not, contents need not be hashed."""
        return bool(self._crashes)

    def record(self, fingerprint: str, target: str, at: float) -> bool:
        """Record a crash; return whether it is new."""
        if at <= self._cleared_at.get(fingerprint, float("-inf")):
            return False
        crashed_at = self._crashes.setdefault(fingerprint, {})
        known = target in crashed_at
        crashed_at.setdefault(target, at)
        if len(self._crashes) > MAX_FINGERPRINTS:
            del self._crashes[next(iter(self._crashes))]
        return not known

    def record_own(self, fingerprint: str, target: str, at: float) -> None:
        """Record a crash that this host detected, to be gossiped."""
        if self.record(fingerprint, target, at):
            self._own_crashes.append((fingerprint, target, at))

    def clear(self, fingerprint: str, now: float) -> None:
        """Remove the crashes of a content that had output.

        Crashes from before ``now`` that are gossiped later are ignored.
        """
        if self._crashes.pop(fingerprint, None) is not None:
            self._cleared_at[fingerprint] = now

    def is_recorded(self, fingerprint: str) -> bool:
        """Return whether a crash of a target that ran a content is recorded."""
        return fingerprint in self._crashes

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Return whether a content recently crashed too many targets."""
        crashed_at = self._crashes.get(fingerprint)
        if crashed_at is None:
            return False
        recent = sum(1 for at in crashed_at.values() if now - at < CRASH_RETENTION_S)
        return recent >= MIN_CRASHES_TO_REFUSE

    def recent_own(self, age_s: float, now: float) -> list[tuple[str, str, float]]:
        """Return this host's crashes of the last `age_s`: fingerprint, target, age."""
        self._own_crashes = [
            each for each in self._own_crashes if now - each[2] < age_s
        ]
        return [
            (fingerprint, target, now - at)
            for fingerprint, target, at in self._own_crashes
        ]

    def known(self, now: float) -> list[tuple[str, str, float]]:
        """Return the last crashes of all hosts: fingerprint, target, age."""
        recent = [
            (fingerprint, target, now - at)
            for fingerprint, crashed_at in list(self._crashes.items())[
                -MAX_TOLD_FINGERPRINTS:
            ]
            for target, at in crashed_at.items()
        ]
        return [crash for crash in recent if crash[2] < CRASH_RETENTION_S]

    def expire(self, now: float) -> None:
        """Remove records older than `CRASH_RETENTION_S`."""
        for fingerprint, crashed_at in list(self._crashes.items()):
            if all(now - at >= CRASH_RETENTION_S for at in crashed_at.values()):
                del self._crashes[fingerprint]
        for fingerprint, at in list(self._cleared_at.items()):
            if now - at >= CRASH_RETENTION_S:
                del self._cleared_at[fingerprint]
