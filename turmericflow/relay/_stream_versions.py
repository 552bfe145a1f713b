"""Software versions that began streams, as known to all hosts.

A stream goes on only at the version that began it. Clients take streams up at any
host, so each host tells all others the version to which it sends a stream.
"""

from __future__ import annotations

import xxhash

from turmericflow.relay._model import TargetEntry

DIGEST_BYTES = 8
# Streams are known for one to two of these: several times what clients wait.
GENERATION_S = 60.0
MAX_STREAMS = 50_000  # of a generation, a few megabytes

VersionNews = dict[str, bytes]  # concatenated digests of request ids, by version


def _digest(request_id: str) -> bytes:
    return xxhash.xxh3_64_digest(request_id.encode())


def version_of(entry: TargetEntry) -> str:
    """Return what binds a stream of a target: its version, or its key if unknown."""
    return entry.version or f"@{entry.key}"


def fits(entry: TargetEntry, version: str | None) -> bool:
    """Return whether a stream that is bound to a version may go on at a target."""
    return version is None or version in (entry.version, f"@{entry.key}")


def _pack(streams: dict[bytes, str]) -> VersionNews:
    found: dict[str, list[bytes]] = {}
    for digest, version in streams.items():
        found.setdefault(version, []).append(digest)
    return {version: b"".join(digests) for version, digests in found.items()}


class StreamVersions:
    """Versions by the id of the request that brought a stream's first event."""

    __slots__ = ("_recent", "_older", "_rotated_at", "_own", "_seen")

    def __init__(self) -> None:
        self._recent: dict[bytes, str] = {}
        self._older: dict[bytes, str] = {}
        self._rotated_at = float("-inf")
        self._own: list[tuple[float, bytes, str]] = []
        self._seen: dict[str, dict[str, float]] = {}

    def _rotate(self, now: float) -> None:
        if now - self._rotated_at >= GENERATION_S or len(self._recent) >= MAX_STREAMS:
            self._recent, self._older = {}, self._recent
            self._rotated_at = now

    def record(self, request_id: str, version: str, now: float) -> None:
        """Record that this host sends a stream to a version."""
        self._rotate(now)
        digest = _digest(request_id)
        self._recent[digest] = version
        self._own.append((now, digest, version))

    def find(self, request_id: str) -> str | None:
        """Return the version that began a stream, or None if it is not known."""
        digest = _digest(request_id)
        return self._recent.get(digest) or self._older.get(digest)

    def news(self, max_age_s: float, now: float) -> VersionNews:
        """Return what this host recorded recently."""
        if not self._own:
            return {}
        self._own = [each for each in self._own if now - each[0] < max_age_s]
        return _pack({digest: version for _, digest, version in self._own})

    def known(self) -> VersionNews:
        """Return all that this host knows, also from other hosts."""
        return _pack(self._older | self._recent)

    def apply(self, news: VersionNews, now: float) -> None:
        """Apply what another host has told."""
        self._rotate(now)
        for version, digests in news.items():
            for start in range(0, len(digests), DIGEST_BYTES):
                self._recent[digests[start : start + DIGEST_BYTES]] = version

    def see(self, service: str, entries: list[TargetEntry], now: float) -> set[str]:
        """Return the versions of a service that targets have, or had not long ago.

        Versions are noticed only in calls of this method.
        """
        seen = self._seen.setdefault(service, {})
        for entry in entries:
            seen[version_of(entry)] = now
        for version in [v for v, at in seen.items() if now - at > GENERATION_S]:
            del seen[version]
        return set(seen)
