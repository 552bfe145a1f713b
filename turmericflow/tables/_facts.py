"""Facts gossiped to every router, with digests for anti-entropy."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from turmericflow.wire import FactVersion, Rumour

BUCKETS = 64


def _bucket_of(kind: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{kind}\0{name}".encode()) % BUCKETS


def _digest(rumour: Rumour) -> int:
    text = f"{rumour.kind}\0{rumour.name}\0{rumour.version}"
    return xxhash.xxh3_64_intdigest(text.encode())


@dataclass(slots=True)
class FactTable:
    """The newest version of each fact.

    Attributes
    ----------
    permanent
        Facts without a time to live, by bucket; these are compared by digests.
    expiring
        Facts with a time to live, with the time at which they expire.
    buckets
        Digest of the permanent facts in each bucket.
    root
        Digest of all permanent facts.
    """

    permanent: list[dict[tuple[str, str], Rumour]] = field(
        default_factory=lambda: [{} for _ in range(BUCKETS)]
    )
    expiring: dict[tuple[str, str], tuple[float, Rumour]] = field(default_factory=dict)
    buckets: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    root: int = 0

    def get(self, kind: str, name: str) -> Rumour | None:
        """Return the fact of a kind and name, or None."""
        found = self.permanent[_bucket_of(kind, name)].get((kind, name))
        if found is None and (kind, name) in self.expiring:
            return self.expiring[kind, name][1]
        return found

    def learn(self, rumour: Rumour, now: float) -> bool:
        """Store a fact if it is newer than the stored version.

        Returns
        -------
        bool
            Whether it was newer.
        """
        stored = self.get(rumour.kind, rumour.name)
        if stored is not None and stored.version >= rumour.version:
            return False
        if rumour.ttl_s > 0:
            expires_at = now + rumour.ttl_s
            self.expiring[rumour.kind, rumour.name] = (expires_at, rumour)
            return True
        number = _bucket_of(rumour.kind, rumour.name)
        delta = _digest(rumour)
        if stored is not None:
            delta ^= _digest(stored)
        self.permanent[number][rumour.kind, rumour.name] = rumour
        self.buckets[number] ^= delta
        self.root ^= delta
        return True

    def drop_expired(self, now: float) -> None:
        """Drop the facts whose time to live has passed."""
        expired = [name for name, (at, _) in self.expiring.items() if at <= now]
        for name in expired:
            del self.expiring[name]

    def differing_buckets(self, buckets: list[int]) -> list[int]:
        """Return the numbers of the buckets whose digests differ from these."""
        pairs = enumerate(zip(self.buckets, buckets))
        return [number for number, (own, other) in pairs if own != other]

    def versions(self, buckets: list[int]) -> list[FactVersion]:
        """Return the names and versions of the facts in some buckets."""
        return [
            FactVersion(rumour.kind, rumour.name, rumour.version)
            for number in buckets
            if 0 <= number < BUCKETS
            for rumour in self.permanent[number].values()
        ]

    def compare(
        self, buckets: list[int], versions: list[FactVersion]
    ) -> tuple[list[FactVersion], list[Rumour]]:
        """Compare some buckets with another host's versions.

        Returns
        -------
        tuple
            Names and versions of facts that are newer at the other host, and
            the facts that are newer here.
        """
        other_versions = {(each.kind, each.name): each.version for each in versions}
        newer_there, newer_here = [], []
        for each in versions:
            stored = self.get(each.kind, each.name)
            if stored is None or stored.version < each.version:
                newer_there.append(each)
        for number in buckets:
            for name, rumour in self.permanent[number].items():
                if other_versions.get(name, -1) < rumour.version:
                    newer_here.append(rumour)
        return newer_there, newer_here
