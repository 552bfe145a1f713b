"""Tests of the decisions on where streams begin and which version began them."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from turmericflow.platform._objects import decode_versions, encode_versions
from turmericflow.relay import VersionRecord
from turmericflow.relay._stream_versions import StreamVersions, choose_version
from turmericflow.relay.version_binding import (
    MAX_SETS,
    Anywhere,
    At,
    Records,
    Refused,
    ShowAtOnce,
    ShowFrom,
    ShowOnceRecorded,
    View,
    choose_show,
    choose_start,
    next_sets,
)

RECORD = ShowOnceRecorded("s", "b")
BOTH = frozenset("ab")
EARLIER_FIELDS = {"services", "streams", "era", "in_force"}  # at 3e5ea3c


def view(records=Records.AWAY, chosen="a", in_force=True, open=BOTH, seen=BOTH) -> View:
    return View(records, chosen, in_force, open, seen)


@pytest.mark.parametrize(
    ("found", "expected"),
    [
        (view(Records.CURRENT), Anywhere()),
        (view(Records.CURRENT, open=frozenset("b")), Anywhere()),
        (view(), At("a")),
        (view(Records.EXPECTED), At("a")),
        (view(Records.EXPECTED, open=frozenset("b")), Anywhere()),
        (view(open=frozenset("b")), Refused()),
        (view(chosen=None), Refused()),
        (view(chosen=None, in_force=False), Refused()),
        (view(chosen=None, in_force=False, seen=frozenset("b")), Anywhere()),
        (view(open=frozenset(), seen=frozenset(["a", "@key"])), Anywhere()),
    ],
)
def test_where_a_stream_begins(found: View, expected: object):
    assert choose_start(found) == expected


# Guards against a wait that stands for a record.
@pytest.mark.parametrize(
    ("found", "sent_to", "expected"),
    [
        (view(), {"a"}, ShowAtOnce()),
        (view(), {"a", "b"}, RECORD),
        (view(chosen=None), {"b"}, RECORD),
        (view(open=frozenset("b")), {"b"}, RECORD),
        (view(chosen=None, in_force=False), {"b"}, RECORD),
        (view(Records.CURRENT, chosen=None, in_force=False), {"b"}, RECORD),
        (view(chosen=None, in_force=False, seen={"b"}), {"b"}, ShowAtOnce()),
        (view(open=frozenset(), seen={"a", "@key"}), {"@key"}, ShowFrom(7.0)),
    ],
)
def test_when_an_event_is_shown(found: View, sent_to: set, expected: object):
    assert choose_show(found, sent_to, RECORD, 7.0) == expected


def test_sets_are_told_before_they_are_stored_and_leave_the_store_first():
    grown = next_sets(["b"], [["a", "b"]], False)
    assert grown.told == grown.stored == [["b"], ["a", "b"]]
    shrunk = next_sets(["b"], grown.stored, True)
    assert shrunk.told == grown.stored
    assert shrunk.stored == [["b"]]
    many = [[name] for name in "abcd"]
    assert next_sets(["e"], many, False).told == many
    assert next_sets(["e"], many, True).stored == many[:1]


# Guards against a guess from the records of hosts that are told a set no more before it
# leaves the store, and against records that these hosts cannot read.
def test_records_of_earlier_hosts_tell_only_what_all_sets_agree_on():
    sets = {"model": [["b"], ["a", "b"]]}
    stored = encode_versions(VersionRecord({}, {}, 1, sets, True))
    assert decode_versions(msgspec.json.encode(stored)).hosts_follow_all
    earlier = {k: v for k, v in stored.items() if k in EARLIER_FIELDS}
    assert set(earlier) == EARLIER_FIELDS
    record = decode_versions(msgspec.json.encode(earlier))
    ids = [f"s{number}" for number in range(40)]
    versions = StreamVersions()
    versions.apply_records([record], True, 0.0)
    assert {versions.begun_by_id("model", id) for id in ids} == {"b", None}
    # The host that takes over has not written them.
    versions.record_written({}, sets, sets, 0.0)
    assert {versions.begun_by_id("model", id) for id in ids} == {"b", None}
    versions.apply_records([VersionRecord({}, {}, 1, sets, True)], True, 0.0)
    assert {versions.begun_by_id("model", id) for id in ids} == {"a", "b"}


class Model:
    """Hosts, their recorder and a store, in steps of the time until all hosts hear.

    The store holds what the hosts were told a step before.  A host follows what is
    told now, or was told one step ago.

    Attributes
    ----------
    streams
        Versions of streams that hosts know and the store does not hold.
    orphans
        The same of those that only hosts that have died knew, until clients have
        given them up.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.versions = "abc"[: self.rng.choice([2, 3])]
        self.open = set(self.versions)
        self.stored = [sorted(self.open)]
        self.told = self.told_before = self.stored
        self.away = False
        self.knows_all_in = 0  # steps
        self.streams: dict[bytes, str] = {}
        self.orphans: dict[bytes, str] = {}
        self.taken_up = 0

    @property
    def knows_all(self) -> bool:
        return self.knows_all_in <= 0

    def step(self) -> None:
        if self.rng.random() < 0.3:
            self.away = not self.away
        if self.rng.random() < 0.3:
            self.open ^= {self.rng.choice(self.versions)}
        for _ in range(6):
            self.begin()
        self.record()
        if self.rng.random() < 0.1:
            self.lose_all_hosts()
        self.take_up()

    def chosen(self, digest: bytes, sets: list[list[str]]) -> str | None:
        found = {choose_version(digest, names) for names in sets}
        return found.pop() if len(found) == 1 else None

    def begin(self) -> None:
        digest = self.rng.randbytes(8)
        sets = self.rng.choice([self.told, self.told_before])
        records = Records.AWAY if self.away else Records.CURRENT
        chosen = self.chosen(digest, sets)
        found = View(records, chosen, bool(sets), set(self.open), set(self.versions))
        match choose_start(found):
            case At(version):
                pass
            case Anywhere() if self.open:
                version = self.rng.choice(sorted(self.open))
            case _:
                return
        if choose_show(found, {version}, RECORD, 0.0) == ShowAtOnce():
            self.streams[digest] = version

    def record(self) -> None:
        """Let the recorder take one step, which it can only with the store."""
        if self.away:
            return
        settled = self.told == self.told_before
        names = sorted(self.open if self.knows_all else self.versions) or self.stored[0]
        sets = next_sets(names, self.stored, settled and self.knows_all)
        shrinks = sets.stored == self.stored[: len(sets.stored)]
        self.streams.clear()
        if sets.told == self.told and settled or shrinks:
            self.stored = sets.stored
        self.told_before, self.told = self.told, sets.told
        assert len(self.told) <= MAX_SETS
        assert all(names in self.told for names in self.stored)

    def lose_all_hosts(self) -> None:
        self.orphans |= self.streams
        self.streams.clear()
        self.told = self.told_before = self.stored
        self.knows_all_in = 8

    def take_up(self) -> None:
        """Let hosts infer from the store which version began each stream."""
        self.knows_all_in -= 1
        if self.knows_all:
            self.orphans.clear()
        for digest, version in self.orphans.items():
            assert choose_version(digest, self.stored[-1]) == version
            self.taken_up += 1


# Guards against two changes of versions in a row, losses of all hosts before the first
# records, and stores that go away in between, after which a stream is joined.
def test_a_stream_without_a_record_began_at_what_the_oldest_set_tells():
    taken_up = 0
    for seed in range(400):
        model = Model(seed)
        for _ in range(60):
            model.step()
        taken_up += model.taken_up
    assert taken_up > 1000
