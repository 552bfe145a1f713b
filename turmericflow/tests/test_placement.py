"""Tests of when a host may change the owner map, and how it spreads the slots."""

from __future__ import annotations

from collections import Counter

import pytest

from turmericflow.cfg import Address
from turmericflow.systems import placement
from turmericflow.tables import Peer, PeerState, SlotEntry, Tables

CENTRES = dict(zip("abcde", ("dc-0", "dc-1", "dc-2", "dc-0", "dc-1")))
ROUNDS = 40


@pytest.fixture
def tables():
    tables = Tables("entry-3", "south")
    for number in (1, 2):
        host = f"entry-{number}"
        address = Address("127.0.0.1", number)
        row = Peer(host, f"north-{number}", address, address, incarnation=1)
        row.last_contact_at = 9.0
        tables.peers.rows[host] = row
    tables.peers.change_count += 1
    return tables


def mark_lost(tables, host, now, state=PeerState.DEAD):
    row = tables.peers.rows[host]
    row.state, row.changed_at = state, now
    tables.peers.change_count += 1


def test_host_that_reaches_all_contacts_may_write(tables):
    assert placement.may_write(tables, 10.0)


def test_host_that_is_being_cut_off_may_not_write(tables):
    mark_lost(tables, "entry-1", 10.0)
    assert not placement.may_write(tables, 10.1)
    mark_lost(tables, "entry-2", 10.5)
    assert not placement.may_write(tables, 20.0)


def test_host_may_write_once_the_others_respond_after_a_loss(tables):
    mark_lost(tables, "entry-1", 10.0)
    tables.peers.rows["entry-2"].last_contact_at = 10.2
    assert placement.may_write(tables, 10.3)


def test_host_that_suspects_its_contacts_may_not_write(tables):
    mark_lost(tables, "entry-1", 10.0, PeerState.SUSPECT)
    assert not placement.may_write(tables, 10.1)
    mark_lost(tables, "entry-2", 10.4, PeerState.SUSPECT)
    assert not placement.may_write(tables, 10.9)
    for row in tables.peers.rows.values():
        row.state, row.last_contact_at = PeerState.ALIVE, 11.0
    assert placement.may_write(tables, 11.1)


def test_planned_stop_of_a_host_does_not_block_writes(tables):
    mark_lost(tables, "entry-1", 10.0, PeerState.SUSPECT)
    tables.peers.rows["entry-1"].leaving = True
    assert placement.may_write(tables, 10.1)


def own_changes(host, entries):
    """Return the changes that a host wants while all live and hold their slots."""
    tables = Tables(host, CENTRES[host])
    tables.peers.incarnation = 1
    for number, (other, centre) in enumerate(CENTRES.items(), 1):
        if other != host:
            address = Address("127.0.0.1", number)
            row = Peer(other, centre, address, address, incarnation=1)
            tables.peers.rows[other] = row
    tables.peers.change_count += 1
    tables.slots.entries = entries
    for slot, entry in enumerate(entries):
        tables.slots.held_epochs[slot] = tables.slots.synced_epochs[slot] = entry.epoch
    return placement.own_changes(tables)


# Guards against a host that is back and owns no slot for good, as it is the backup of
# none of those that own too many.
def test_a_host_that_is_back_gets_slots_of_those_that_have_too_many():
    pairs = (
        [("e", "a")] * 11
        + [("e", "c")] * 11
        + [("a", "b")] * 8
        + [("a", "c")] * 8
        + [("b", "d")] * 7
        + [("b", "a")] * 6
        + [("c", "d")] * 5
        + [("c", "e")] * 8
    )
    entries = [SlotEntry(*pair, 2, 2, 2) for pair in pairs]
    for _ in range(ROUNDS):
        changes = [change for host in CENTRES for change in own_changes(host, entries)]
        entries = placement.merge(entries, changes)
    owners = Counter(entry.owner for entry in entries)
    share = len(entries) / len(CENTRES)
    assert owners["d"] > share / 2 and owners["e"] <= share + 1
    assert not changes
    assert all(CENTRES[each.owner] != CENTRES[each.backup] for each in entries)
