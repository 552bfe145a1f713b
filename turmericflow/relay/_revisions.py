"""Revisions of the store with its era, packed into one integer.

When the store comes back from an older copy, its era rises, and its revisions go back
and are used again. Packed revisions are ordered by era, then by the store's own
revision, also for hosts of a version that does not know of eras.
"""

from __future__ import annotations

NUMBER_BITS = 48


def with_era(era: int, number: int) -> int:
    """Return a revision of the store in an era."""
    return (era << NUMBER_BITS) + number


def era_of(revision: int) -> int:
    """Return the era of a revision, or -1 for the revision -1 of an empty table."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the revision without its era, as the store numbers it."""
    return revision & ((1 << NUMBER_BITS) - 1)
