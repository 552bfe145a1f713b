"""Tests of the propagation of configuration, with real processes."""

from __future__ import annotations

import pytest

from turmericflow.testing import Cluster, member_states, small_plan

QUOTATION = "profile/quotation"
ENTRIES = ("entry-1", "entry-2", "entry-3")


def _change(cluster: Cluster, urgency: str, version: int) -> int:
    value = {**cluster.plan.objects[QUOTATION], "urgency": urgency}
    return cluster.put(QUOTATION, value, version)["version"]


def _has(version: int):
    return lambda status: status["versions"].get(QUOTATION) == version


def _has_recent_view(status: dict) -> bool:
    return status["view_age_s"] < 3.0


@pytest.mark.integration
@pytest.mark.parametrize("declared_dead", [False, True])
def test_restarted_host_ignores_old_answers_of_the_platform(cluster, declared_dead):
    old = cluster.status("entry-1")["versions"][QUOTATION]
    newest = _change(cluster, "urgent", old)
    cluster.wait_for_status(_has(newest))
    cluster.set_platform_fault(fault="old", version=old)
    cluster.kill("entry-3")
    if declared_dead:
        cluster.wait_for_status(
            lambda status: member_states(status)["entry-3"] == "dead",
            ["entry-1", "entry-2"],
        )
    cluster.start_router("entry-3")
    cluster.wait_router("entry-3")
    assert cluster.status("entry-3")["versions"][QUOTATION] == newest
    cluster.wait_for_status(
        lambda status: status["counts"].get("platform.old_answers", 0)
    )
    cluster.wait_for_status(_has(newest))
    cluster.set_platform_fault()
    next_version = _change(cluster, "thrifty", newest)
    cluster.wait_for_status(_has(next_version))


@pytest.mark.integration
def test_outage_changes_nothing_and_a_restarted_host_learns_from_peers(cluster):
    version = cluster.status("entry-1")["versions"][QUOTATION]
    cluster.set_platform_fault(fault="outage")
    cluster.kill("entry-2")
    cluster.wait_for_status(
        lambda status: member_states(status)["entry-2"] == "dead",
        ["entry-1", "entry-3"],
    )
    before = cluster.status("entry-1")["incarnation"]
    cluster.start_router("entry-2")
    cluster.wait_router("entry-2")
    cluster.wait_for_status(_has(version))
    cluster.wait_for_status(lambda status: status["view_age_s"] > 4.5)
    assert all(cluster.status(host)["may_dispatch"] for host in ENTRIES)
    cluster.set_platform_fault(delay_s=1.0)
    later = _change(cluster, "urgent", version)
    cluster.wait_for_status(_has(later))
    assert cluster.status("entry-1")["incarnation"] == before


@pytest.mark.integration
def test_start_while_the_platform_is_down_and_then_loses_replies():
    plan = small_plan()
    plan.wait_ready = False
    plan.initial_platform_fault = {"fault": "outage"}
    with Cluster(plan) as cluster:
        cluster.wait_for_status(lambda status: status["counts"].get("platform.errors"))
        assert not any(cluster.status(host)["ready"] for host in ENTRIES)
        cluster.set_platform_fault(fault="lose_reply")
        for host in ENTRIES:
            cluster.wait_router(host)
        assert {len(cluster.status(host)["versions"]) for host in ENTRIES} == {3}


@pytest.mark.integration
def test_partitioned_host_stops_dispatching_and_recovers(cluster):
    cluster.wait_for_status(_has_recent_view)
    version = cluster.status("entry-1")["versions"][QUOTATION]
    cluster.set_platform_fault(fault="outage")
    cluster.partition(["entry-3"], ["entry-1", "entry-2"])
    cluster.wait_for_status(lambda status: not status["may_dispatch"], ["entry-3"])
    cluster.wait_for_status(
        lambda status: member_states(status)["entry-3"] == "dead",
        ["entry-1", "entry-2"],
    )
    cluster.wait_for_status(
        lambda status: status["view_age_s"] > 4.5, ["entry-1", "entry-2"]
    )
    assert all(cluster.status(host)["may_dispatch"] for host in ENTRIES[:2])
    cluster.heal()
    cluster.wait_for_status(
        lambda status: set(member_states(status).values()) == {"alive"}
    )
    cluster.wait_for_status(lambda status: status["may_dispatch"])
    cluster.set_platform_fault()
    later = _change(cluster, "urgent", version)
    cluster.wait_for_status(_has(later))


@pytest.mark.integration
def test_deletion_reaches_all_hosts_and_survives_a_restart(cluster):
    cluster.put("customer/sur", {"name": "sur"})
    path = "customer/sur"
    cluster.wait_for_status(lambda status: path in status["versions"])
    version = cluster.status("entry-1")["versions"][path]
    deleted = cluster.delete(path, version)["version"]
    cluster.wait_for_status(lambda status: status["versions"][path] == deleted)
    cluster.kill("entry-1")
    cluster.start_router("entry-1")
    cluster.wait_router("entry-1")
    assert cluster.status("entry-1")["versions"][path] == deleted
