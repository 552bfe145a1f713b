"""Tests of membership, the overlay, freshness and addresses, without processes."""

from __future__ import annotations

from random import Random

import pytest

from turmericflow.cfg import Address
from turmericflow.systems import addresses, freshness, membership, overlay
from turmericflow.systems._membership import MemberInfo, pack_version
from turmericflow.tables import PeerState, Tables

CENTRES = ("mvd-cordon", "mvd-aguada", "mvd-carrasco")


def _info(number: int) -> MemberInfo:
    ip = f"10.0.{number // 250}.{number % 250 + 1}"
    return MemberInfo(CENTRES[number % 3], Address(ip, 8000), Address(ip, 8001))


def _tables(host: str, hosts: int) -> Tables:
    number = int(host.removeprefix("entry-"))
    tables = Tables(host, CENTRES[number % 3])
    tables.peers.incarnation = 100
    for other in range(hosts):
        if other != number:
            version = pack_version(100, 0, PeerState.ALIVE)
            membership.learn(tables, f"entry-{other}", version, _info(other), 0.0)
    return tables


def _learn(tables: Tables, number: int, version: int, now: float = 0.0) -> bool:
    return membership.learn(tables, f"entry-{number}", version, _info(number), now)


def test_versions_survive_packing_and_sort_by_precedence():
    numbers = [
        (100, 0, PeerState.ALIVE),
        (100, 0, PeerState.SUSPECT),
        (100, 0, PeerState.DEAD),
        (100, 1, PeerState.ALIVE),
        (100, 1, PeerState.LEAVING),
        (101, 0, PeerState.ALIVE),
    ]
    packed = [pack_version(*each) for each in numbers]
    assert packed == sorted(packed)
    assert [membership.unpack_version(each) for each in packed] == numbers
    assert pack_version(2**42, 5, PeerState.DEAD) < 2**63


def test_unanswered_suspicion_ends_in_death_and_a_refuted_one_does_not():
    tables = _tables("entry-0", 3)
    for number in (1, 2):
        version = membership.suspect(tables, f"entry-{number}", 50.0, 0.0)
        assert _learn(tables, number, version, 50.0)
    assert membership.live_hosts(tables) == ["entry-0", "entry-1", "entry-2"]
    assert _learn(tables, 2, pack_version(100, 1, PeerState.ALIVE), 50.5)
    assert (
        membership.expired_suspects(tables, 50.0 + membership.SUSPICION_TIMEOUT_S / 2)
        == []
    )
    found = membership.expired_suspects(tables, 50.0 + membership.SUSPICION_TIMEOUT_S)
    assert [host for host, _ in found] == ["entry-1"]
    assert _learn(tables, 1, found[0][1], 51.0)
    assert not _learn(tables, 1, pack_version(100, 0, PeerState.ALIVE), 52.0)
    assert membership.live_hosts(tables) == ["entry-0", "entry-2"]


def test_host_refutes_its_death_even_after_its_clock_went_back():
    tables = _tables("entry-0", 2)
    assert not membership.refute(tables, pack_version(100, 0, PeerState.ALIVE))
    assert membership.refute(tables, pack_version(100, 4, PeerState.DEAD))
    assert (tables.peers.incarnation, tables.peers.revision) == (100, 5)
    assert membership.refute(tables, pack_version(900, 2, PeerState.ALIVE))
    assert membership.own_version(tables) > pack_version(900, 2, PeerState.DEAD)


def test_restart_raises_the_incarnation_and_refutation_does_not():
    tables = _tables("entry-0", 2)
    _learn(tables, 1, pack_version(100, 7, PeerState.ALIVE))
    assert tables.peers.rows["entry-1"].incarnation == 100
    _learn(tables, 1, pack_version(101, 0, PeerState.ALIVE))
    assert tables.peers.rows["entry-1"].incarnation == 101


def test_leaving_host_is_live_but_not_staying():
    tables = _tables("entry-0", 3)
    _learn(tables, 1, pack_version(100, 1, PeerState.LEAVING))
    _learn(tables, 1, pack_version(100, 1, PeerState.SUSPECT))
    assert "entry-1" in membership.live_hosts(tables)
    assert membership.staying_hosts(tables) == ["entry-0", "entry-2"]
    assert membership.set_leaving(tables, True)
    assert membership.staying_hosts(tables) == ["entry-2"]


@pytest.mark.parametrize("hosts", [7, 35, 400])
def test_contacts_stay_few_and_reach_every_host(hosts):
    contacts = {}
    tables = _tables("entry-0", hosts)
    membership.learn(
        tables, "entry-0", pack_version(1, 0, PeerState.ALIVE), _info(0), 0
    )
    for number in range(hosts):
        tables.host, tables.data_centre = f"entry-{number}", CENTRES[number % 3]
        own = tables.peers.rows.pop(tables.host)
        tables.peers.change_count += 1
        found = overlay.contacts(tables)
        tables.peers.rows[tables.host] = own
        contacts[f"entry-{number}"] = found
        assert 1 <= len(found) <= 4
    reached, fresh = {"entry-0"}, {"entry-0"}
    hops = 0
    while fresh:
        fresh = {other for host in fresh for other in contacts[host]} - reached
        reached |= fresh
        hops += 1
    assert len(reached) == hosts
    assert hops <= 12


def test_all_hosts_agree_on_two_watchers_in_each_data_centre():
    watchers = [
        host
        for host in (f"entry-{number}" for number in range(30))
        if overlay.is_watcher(_tables(host, 30))
    ]
    assert len(watchers) == overlay.WATCHERS * len(CENTRES)


def _with_dead(hosts: int, dead: int) -> Tables:
    tables = _tables("entry-0", hosts)
    for number in range(1, dead + 1):
        _learn(tables, number, pack_version(100, 0, PeerState.DEAD), 10.0)
    for row in tables.peers.rows.values():
        row.last_contact_at = 12.0
    return tables


@pytest.mark.parametrize(
    ("dead", "platform_age_s", "expected"),
    [
        (0, 60.0, True),
        (3, 60.0, True),
        (4, 60.0, False),
        (6, 60.0, False),
        (6, 1, True),
    ],
)
def test_host_dispatches_with_fresh_configuration_or_in_majority(
    dead, platform_age_s, expected
):
    tables = _with_dead(7, dead)
    tables.config.confirmed_at = 12.0 - platform_age_s
    assert freshness.may_dispatch(tables, 12.0) is expected


def test_host_without_contacts_stops_before_it_considers_them_dead():
    tables = _with_dead(7, 0)
    assert freshness.may_dispatch(tables, 12.0 + freshness.CONTACT_TIMEOUT_S)
    assert not freshness.may_dispatch(tables, 12.1 + freshness.CONTACT_TIMEOUT_S)


def test_peer_confirms_only_the_same_configuration():
    tables = _tables("entry-0", 2)
    freshness.confirm_from_peer(tables, 20.0, 0.5, 9, same_view=False)
    assert freshness.config_age_s(tables, 20.0) == float("inf")
    freshness.confirm_from_peer(tables, 20.0, 0.5, 9, same_view=True)
    freshness.confirm_from_peer(tables, 21.0, 9.0, 7, same_view=True)
    assert freshness.config_age_s(tables, 21.0) == 1.5
    assert tables.config.seen_version == 9


def test_addresses_name_a_host_only_once_it_is_ready():
    tables = _tables("entry-0", 3)
    own = _info(0).entry
    membership.set_ready(tables)
    _learn(tables, 1, pack_version(100, 1, PeerState.ALIVE))
    named = addresses.order_for_caller(tables, own, "", Random(1))
    assert set(named) == {own, _info(1).entry}
    _learn(tables, 1, pack_version(101, 0, PeerState.ALIVE))
    _learn(tables, 2, pack_version(100, 1, PeerState.ALIVE))
    named = addresses.order_for_caller(tables, own, "", Random(1))
    assert set(named) == {own, _info(2).entry}


def test_host_that_is_not_ready_returns_itself_only_if_no_other_is():
    tables = _tables("entry-0", 2)
    own = _info(0).entry
    assert addresses.order_for_caller(tables, own, "", Random(1)) == [own]
    _learn(tables, 1, pack_version(100, 1, PeerState.ALIVE))
    assert addresses.order_for_caller(tables, own, "", Random(1)) == [_info(1).entry]
    membership.set_ready(tables)
    assert own in addresses.order_for_caller(tables, own, "", Random(1))
