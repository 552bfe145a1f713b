"""Software versions that began streams, as known to all hosts.

A stream goes on only at the version that began it. Clients take streams up at any
host, so each host tells all others the version to which it sends a stream. What must
outlast all hosts is recorded in the store; while it cannot be, a stream goes to the
version that its id chooses, so that the id alone tells it.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from turmericflow.relay._model import TargetEntry, VersionRecord

DIGEST_BYTES = 8
# Streams are known for one to two of these: several times what clients wait.
GENERATION_S = 60.0
MAX_STREAMS = 50_000  # of a generation, a few megabytes

VersionNews = dict[str, bytes]  # concatenated digests of request ids, by version
VersionSets = dict[str, list[list[str]]]  # by service, newest first


def _digest(request_id: str) -> bytes:
    return xxhash.xxh3_64_digest(request_id.encode())


def choose_version(digest: bytes, versions: Iterable[str]) -> str:
    """Return the version that a request's id chooses among some.

    A version that is added or taken away changes the choice of its share only.

    Parameters
    ----------
    digest
        Digest of the id.
    versions
        The versions, one at least.
    """
    return max(versions, key=lambda name: xxhash.xxh3_64_digest(digest + name.encode()))


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
    """Versions by the id of the request that brought a stream's first event.

    Attributes
    ----------
    in_force
        Versions among which ids choose, as the store holds them; empty for services
        of which a host of an earlier version may serve streams.
    stored_sets
        The same as this host last read or wrote them.
    own_sets
        The same if this host records the versions, else empty.
    knows_all
        Whether this host knows all streams that clients may take up: it has run for
        long, no host had run before it, or a host that knew them has told it.
    """

    __slots__ = (
        "_recent",
        "_older",
        "_rotated_at",
        "_own",
        "_seen",
        "_seen_since",
        "_records_applied",
        "_recorded",
        "_recorded_before",
        "_own_recorded",
        "_complete_until",
        "_own_complete_until",
        "in_force",
        "stored_sets",
        "_follow_all",
        "own_sets",
        "knows_all",
        "_snapshots_from",
    )

    def __init__(self) -> None:
        self._recent: dict[bytes, str] = {}
        self._older: dict[bytes, str] = {}
        self._rotated_at = float("-inf")
        self._own: list[tuple[float, bytes, str]] = []
        self._seen: dict[str, dict[str, float]] = {}
        self._seen_since: dict[str, float] = {}
        self._records_applied = False
        self._recorded: dict[bytes, str] = {}
        self._recorded_before: dict[bytes, str] = {}
        self._own_recorded: list[tuple[float, bytes, str]] = []
        # The store holds all that the recorder knew of until then.
        self._complete_until = self._own_complete_until = float("-inf")
        self.in_force: VersionSets = {}
        self.stored_sets: VersionSets = {}
        self._follow_all = False
        self.own_sets: VersionSets = {}
        self.knows_all = False
        # Incarnation by host, or None until its next status.
        self._snapshots_from: dict[str, int | None] = {}

    def _rotate(self, now: float) -> None:
        if now - self._rotated_at >= GENERATION_S or len(self._recent) >= MAX_STREAMS:
            self._recent, self._older = {}, self._recent
            self._recorded, self._recorded_before = {}, self._recorded
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

    def note_snapshot(self, host: str, knows_all: bool) -> None:
        """Record that a host has told all that it knew.

        From then on this host hears of new streams like all others. The snapshot may
        come before the first status.
        """
        self._snapshots_from[host] = None
        self.knows_all |= knows_all

    def note_status(self, host: str, incarnation: int, knows_all: bool) -> None:
        """Record whether a host knows all streams, which it may have found since."""
        if host not in self._snapshots_from:
            return
        told_by = self._snapshots_from[host]
        if told_by is None:
            self._snapshots_from[host] = incarnation
        elif told_by != incarnation:
            del self._snapshots_from[host]  # another process, that knows other streams
            return
        self.knows_all |= knows_all

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
        self._recorded |= found
        self._records_applied |= complete
        if complete:
            self.in_force, self._follow_all = {}, False
            for record in records:
                if record.in_force:
                    self.in_force = record.in_force
                    self._follow_all = record.hosts_follow_all
            self.stored_sets = self.in_force

    def chosen_by_id(self, service: str, request_id: str) -> str | None:
        """Return the version that a request's id chooses, None if that is not clear."""
        digest, sets = _digest(request_id), self.in_force.get(service, ())
        found = {choose_version(digest, names) for names in sets if names}
        return found.pop() if len(found) == 1 else None

    def begun_by_id(self, service: str, request_id: str) -> str | None:
        """Return the version that must have begun a stream without a record.

        Hosts that follow all sets in the store show a stream for which these differ
        only once it is recorded, so that others began while the oldest one held alone.
        """
        digest, sets = _digest(request_id), self.stored_sets.get(service, ())
        if self._follow_all:
            sets = sets[-1:]
        found = {choose_version(digest, names) for names in sets if names}
        return found.pop() if len(found) == 1 else None

    def not_chosen(self, streams: dict[bytes, str]) -> dict[bytes, str]:
        """Return the streams that do not run at the version that their ids choose."""
        sets = [names for each in self.in_force.values() for names in each]
        return {
            digest: version
            for digest, version in streams.items()
            if any(
                version in names and choose_version(digest, names) != version
                for names in sets
            )
            or not any(version in names for names in sets)
        }

    def is_recorded(self, request_id: str, version: str) -> bool:
        """Return whether the store is known to hold the version of a stream."""
        digest = _digest(request_id)
        found = self._recorded.get(digest) or self._recorded_before.get(digest)
        return found == version

    def records_age_s(self, now: float) -> float:
        """Return since when the store may lack what was to be recorded, in seconds."""
        return now - self._complete_until

    def apply_recorder(
        self, sets: VersionSets, recorded: VersionNews, age_s: float, now: float
    ) -> None:
        """Apply what the host that records the versions has told.

        Parameters
        ----------
        sets
            Versions in force.
        recorded
            Streams that the store holds since lately.
        age_s
            Age of what the store holds, in seconds.
        now
            Time in seconds.
        """
        self._rotate(now)
        self.in_force = sets
        self._recorded |= unpack(recorded)
        self._complete_until = max(self._complete_until, now - age_s)

    def record_written(
        self,
        streams: dict[bytes, str],
        sets: VersionSets,
        stored: VersionSets,
        now: float,
    ) -> None:
        """Record that this host has written all that it knows to the store.

        Parameters
        ----------
        streams
            Versions of the streams that it wrote and that others wait for, by digest.
        sets, stored
            The sets of versions to tell other hosts, and those in the store.
        now
            Time in seconds.
        """
        self._rotate(now)
        self._recorded |= streams
        self._own_recorded += [(now, digest, v) for digest, v in streams.items()]
        self.in_force = self.own_sets = sets
        if stored != self.stored_sets:  # else another host may have written them
            self.stored_sets, self._follow_all = stored, True
        self._complete_until = self._own_complete_until = now

    def stop_recording(self) -> None:
        """Record that this host writes to the store no more."""
        self.own_sets = {}
        self._own_complete_until = float("-inf")

    def recorded_news(self, max_age_s: float, now: float) -> VersionNews:
        """Return the streams that this host wrote to the store recently."""
        if not self._own_recorded:
            return {}
        recent = [each for each in self._own_recorded if now - each[0] < max_age_s]
        self._own_recorded = recent
        return pack({digest: version for _, digest, version in recent})

    def own_age_s(self, now: float) -> float:
        """Return the age of what this host has written, infinite if it writes none."""
        return now - self._own_complete_until

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
        return self._records_applied or self.seen_for_s(service, now) >= GENERATION_S

    def seen_for_s(self, service: str, now: float) -> float:
        """Return for how long versions of a service have been noticed, in seconds."""
        return now - self._seen_since.get(service, now)
