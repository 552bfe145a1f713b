"""Facts that every router is to know, with digests to compare them by."""

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

    Facts that last stand in ``permanent`` and are compared by digests; facts with
    a time to live stand in ``expiring``, with the time at which they lapse.

    Attributes
    ----------
    buckets
        Digest of the lasting facts in each bucket.
    root
        Digest of all lasting facts.
    """

    permanent: list[dict[tuple[str, str], Rumour]] = field(
        default_factory=lambda: [{} for _ in range(BUCKETS)]
    )
    expiring: dict[tuple[str, str], tuple[float, Rumour]] = field(default_factory=dict)
    buckets: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    root: int = 0

    def get(self, kind: str, name: str) -> Rumour | None:
        """Return the fact of a name, or None."""
        found = self.permanent[_bucket_of(kind, name)].get((kind, name))
        if found is None and (kind, name) in self.expiring:
            return self.expiring[kind, name][1]
        return found

    def learn(self, rumour: Rumour, now: float) -> bool:
        """Take a fact in, if it is newer than what is known.

        Returns
        -------
        bool
            Whether it was newer.
        """
        known = self.get(rumour.kind, rumour.name)
        if known is not None and known.version >= rumour.version:
            return False
        if rumour.ttl_s > 0:
            lapses_at = now + rumour.ttl_s
            self.expiring[rumour.kind, rumour.name] = (lapses_at, rumour)
            return True
        number = _bucket_of(rumour.kind, rumour.name)
        change = _digest(rumour)
        if known is not None:
            change ^= _digest(known)
        self.permanent[number][rumour.kind, rumour.name] = rumour
        self.buckets[number] ^= change
        self.root ^= change
        return True

    def drop_expired(self, now: float) -> None:
        """Forget the facts whose time to live is over."""
        lapsed = [name for name, (at, _) in self.expiring.items() if at <= now]
        for name in lapsed:
            del self.expiring[name]

    def differing_buckets(self, buckets: list[int]) -> list[int]:
        """Return the numbers of the buckets whose digest differs from these."""
        pairs = enumerate(zip(self.buckets, buckets))
        return [number for number, (own, other) in pairs if own != other]

    def versions(self, buckets: list[int]) -> list[FactVersion]:
        """Return the versions held in some buckets."""
        return [
            FactVersion(rumour.kind, rumour.name, rumour.version)
            for number in buckets
            if 0 <= number < BUCKETS
            for rumour in self.permanent[number].values()
        ]

    def compare(
        self, buckets: list[int], versions: list[FactVersion]
    ) -> tuple[list[FactVersion], list[Rumour]]:
        """Compare with what another host holds in some buckets.

        Returns
        -------
        tuple
            What the other holds newer, and what this host holds newer.
        """
        other = {(each.kind, each.name): each.version for each in versions}
        newer_there, newer_here = [], []
        for each in versions:
            known = self.get(each.kind, each.name)
            if known is None or known.version < each.version:
                newer_there.append(each)
        for number in buckets:
            for name, rumour in self.permanent[number].items():
                if other.get(name, -1) < rumour.version:
                    newer_here.append(rumour)
        return newer_there, newer_here
