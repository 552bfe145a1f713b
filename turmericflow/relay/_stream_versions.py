"""Software versions that began streams, as known to all hosts.

A stream goes on only at the version that began it. Clients take streams up at any
host, so each host tells all others the version to which it sends a stream.
"""

from __future__ import annotations

import xxhash

from turmericflow.relay._model import TargetEntry, VersionRecord

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


def pack(streams: dict[bytes, str]) -> VersionNews:
    """Return streams' versions by digest as digests by version."""
    found: dict[str, list[bytes]] = {}
    for digest, version in streams.items():
        found.setdefault(version, []).append(digest)
    return {version: b"".join(digests) for version, digests in found.items()}


def unpack(news: VersionNews) -> dict[bytes, str]:
    """Return digests by version as streams' versions by digest."""
    return {
        digests[start : start + DIGEST_BYTES]: version
        for version, digests in news.items()
        for start in range(0, len(digests), DIGEST_BYTES)
    }


class StreamVersions:
    """Versions by the id of the request that brought a stream's first event."""

    __slots__ = (
        "_recent",
        "_older",
        "_rotated_at",
        "_own",
        "_seen",
        "_seen_since",
        "_records_applied",
    )

    def __init__(self) -> None:
        self._recent: dict[bytes, str] = {}
        self._older: dict[bytes, str] = {}
        self._rotated_at = float("-inf")
        self._own: list[tuple[float, bytes, str]] = []
        self._seen: dict[str, dict[str, float]] = {}
        self._seen_since: dict[str, float] = {}
        self._records_applied = False

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
        return pack({digest: version for _, digest, version in self._own})

    def streams(self) -> dict[bytes, str]:
        """Return the versions of all streams that this host knows, by digest."""
        return self._older | self._recent

    def known(self) -> VersionNews:
        """Return all that this host knows, also from other hosts."""
        return pack(self.streams())

    def apply(self, news: VersionNews, now: float) -> None:
        """Apply what another host has told."""
        self._rotate(now)
        self._recent |= unpack(news)

    def apply_records(
        self, records: list[VersionRecord], complete: bool, now: float
    ) -> None:
        """Apply what the store holds, oldest first; what hosts told goes before it.

        Parameters
        ----------
        records
            The records.
        complete
            Whether these are all, and not only those that could be decoded.
        now
            Time in seconds.
        """
        found: dict[bytes, str] = {}
        for record in records:
            found |= unpack(record.streams)
            for service, versions in record.services.items():
                self._note(service, set(versions), now)
        self._rotate(now)
        self._recent = found | self._older | self._recent
        self._records_applied |= complete

    def see(self, service: str, entries: list[TargetEntry], now: float) -> set[str]:
        """Return the versions of a service that targets have, or had not long ago.

        Versions are noticed only in calls of this method.
        """
        self._seen_since.setdefault(service, now)
        return self._note(service, {version_of(entry) for entry in entries}, now)

    def _note(self, service: str, versions: set[str], now: float) -> set[str]:
        seen = self._seen.setdefault(service, {})
        seen |= dict.fromkeys(versions, now)
        for version in [v for v, at in seen.items() if now - at > GENERATION_S]:
            del seen[version]
        return set(seen)

    def is_complete(self, service: str, now: float) -> bool:
        """Return whether all versions that can have begun a stream have been seen.

        This host has read the records of the store, or has noticed versions for
        longer than a client can take up a stream.
        """
        since = self._seen_since.get(service, now)
        return self._records_applied or now - since >= GENERATION_S
