"""Tests of the changes that a host applies when the store answers again."""

from __future__ import annotations

import pytest

from turmericflow.relay import (
    Change,
    Changes,
    Kind,
    Row,
    StoreFailed,
    TargetEntry,
    _discovery as discovery,
    _store_watch as store_watch,
)
from turmericflow.relay._store_watch import StoreWatch
from turmericflow.tests.platform_stand_ins import Fleet


async def test_changes_older_than_the_table_do_not_restore_a_target(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(store_watch, "MIN_OUTAGE_S", 0.0)
    ctx = fleet.hosts[0].ctx
    table = ctx.tables.targets
    entry = TargetEntry("left", 0, "plain", "127.0.0.1:1", "dc-0", 6)
    watch = StoreWatch(ctx, Kind.TARGETS)
    watch._mark_unreachable(StoreFailed("connection refused"))
    discovery.replace(table, [], table.revision + 10, now=0.0)
    table_revision = table.revision
    watch._mark_reachable()
    put = Change(Row("left", table_revision - 2, entry), False)
    removed = Change(Row("left", table_revision - 1, entry), True)
    watch._apply_changes(
        Changes(table_revision + 1, (put, removed)), table_revision - 3
    )
    assert entry.key not in table.rows and not table.lapsed
