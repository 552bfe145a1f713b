"""Requests that crash the targets that run them, known by their content.

The same content comes again under other names and at other hosts, so a crash is
noted against a fingerprint, with the life of the target that crashed, and told
to the other hosts.  An answer clears a content: what crashes its targets has none.
"""

from __future__ import annotations

import xxhash

from turmericflow.relay._call import Call

LOSSES_TO_REFUSE = 3
MOST_FINGERPRINTS = 20_000
REMEMBERED_S = 60.0  # beyond this a caller's repeats are new work


def fingerprint(call: Call, customer: str | None) -> str:
    """Return the name of a request's content, the same under every attempt."""
    digest = xxhash.xxh3_128()
    for part in (call.method, call.host, call.path, customer or ""):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(call.body)
    return digest.hexdigest()


class Crashes:
    """Targets that crashed while they ran a content, by fingerprint."""

    __slots__ = ("_losses", "_cleared", "_seen")

    def __init__(self) -> None:
        self._seen: list[tuple[str, str, float]] = []
        self._losses: dict[str, dict[str, float]] = {}
        self._cleared: dict[str, float] = {}

    @property
    def any(self) -> bool:
        """Whether there are suspects at all; without one no content need be hashed."""
        return bool(self._losses)

    def note(self, content: str, target: str, at: float) -> bool:
        """Note a crash; return whether it was not known before."""
        if at <= self._cleared.get(content, float("-inf")):
            return False
        losses = self._losses.setdefault(content, {})
        known = target in losses
        losses.setdefault(target, at)
        if len(self._losses) > MOST_FINGERPRINTS:
            del self._losses[next(iter(self._losses))]
        return not known

    def note_seen(self, content: str, target: str, at: float) -> None:
        """Note a crash that this host itself has seen, to be told to the others."""
        if self.note(content, target, at):
            self._seen.append((content, target, at))

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
        lately = sum(1 for at in losses.values() if now - at < REMEMBERED_S)
        return lately >= LOSSES_TO_REFUSE

    def seen_lately(self, age_s: float, now: float) -> list[tuple[str, str, float]]:
        """Return what this host saw in the last seconds: content, target and age."""
        self._seen = [each for each in self._seen if now - each[2] < age_s]
        return [(content, target, now - at) for content, target, at in self._seen]

    def expire(self, now: float) -> None:
        """Forget what no longer counts."""
        for content, losses in list(self._losses.items()):
            if all(now - at >= REMEMBERED_S for at in losses.values()):
                del self._losses[content]
        for content, at in list(self._cleared.items()):
            if now - at >= REMEMBERED_S:
                del self._cleared[content]
