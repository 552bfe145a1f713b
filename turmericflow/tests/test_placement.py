"""Tests of the condition under which a host may change the owner map."""

from __future__ import annotations

import pytest

from turmericflow.cfg import Address
from turmericflow.systems import placement
from turmericflow.tables import Peer, PeerState, Tables


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
