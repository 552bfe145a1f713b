"""Tests of what a host takes in when the store answers it again."""

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


async def test_changes_that_the_view_already_has_bring_no_target_back(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
):
    monkeypatch.setattr(store_watch, "OUTAGE_S", 0.0)
    parts = fleet.hosts[0].parts
    table = parts.tables.targets
    left = TargetEntry("left", 0, "plain", "127.0.0.1:1", "dc-0", 6)
    feed = StoreWatch(parts, Kind.TARGETS)
    feed._note_lost(StoreFailed("turned away"))
    discovery.replace(table, [], table.revision + 10)
    seen = table.revision
    feed._note_regained()
    put = Change(Row("left", seen - 2, left), False)
    removed = Change(Row("left", seen - 1, left), True)
    feed._apply(Changes(seen + 1, (put, removed)), seen - 3)
    assert left.key not in table.rows and not table.lapsed
