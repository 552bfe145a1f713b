"""Decides among which versions the ids of streams choose."""

from __future__ import annotations

MAX_SETS = 4  # all subsets of two versions fit


class Sets:
    """Sets of versions among which the ids of a service's streams choose.

    An id has chosen a version if it chooses the same one in each set. The hosts are
    always told all sets that the store holds, so that a stream without a record began
    at the version that its id chooses in the oldest set of the store.

    Attributes
    ----------
    told
        Sets that the hosts are told, newest first.
    stored
        Sets that the store is to hold once the hosts follow those that they are told.
    """

    __slots__ = ("told", "stored")

    def __init__(self, told: list[list[str]], stored: list[list[str]]) -> None:
        self.told = told
        self.stored = stored


def next_sets(names: list[str], stored: list[list[str]], may_shrink: bool) -> Sets:
    """Return the sets after one step towards a single set.

    A set is added to those that the hosts are told before the store holds it, and
    leaves the store before the hosts are told so.

    Parameters
    ----------
    names
        The versions that new streams are to choose among.
    stored
        The sets that the store holds.
    may_shrink
        Whether the sets in the store have been there for long enough for all hosts,
        and all streams that began before them are known.
    """
    if may_shrink and len(stored) > 1:
        return Sets(stored, stored[:1])
    if stored[:1] == [names]:
        return Sets(stored, stored)
    grown = [names, *(each for each in stored if each != names)]
    if len(grown) > MAX_SETS:
        return Sets(stored, stored)
    return Sets(grown, grown)
