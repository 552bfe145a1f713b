"""Tests of burn rates, from counting requests to the report."""

from __future__ import annotations

import json

import pytest

from turmericflow.profile import Objectives, Profile
from turmericflow.report import render_page
from turmericflow.systems import burn
from turmericflow.tables import AttemptStart, BurnTable, RequestId, RequestRow
from turmericflow.verdict import ErrorCode, Failure, Verdict

NOW = 1_000_000_000.0
PROFILE = Profile("quotation", "redactor", deadline_s=10)


def make_row(first=1.0, last=5.0, customer="norte", failure=None, resumes=()):
    row = RequestRow(RequestId(customer, "k"), PROFILE, "g", 1, b"", "", 9, 100.0)
    row.attempts = [AttemptStart(1, 0, "redactor-0")]
    row.first_committed_at, row.committed_at = 100.0 + first, 100.0 + last
    row.resumes_s = list(resumes)
    row.complete, row.ended, row.failure = failure is None, True, failure
    return row


def failed(code):
    return Failure(code, Verdict.MAY_HAVE_RUN, "")


@pytest.fixture
def table():
    return BurnTable()


def count(table, *rows, wall=NOW):
    for row in rows:
        burn.count(table, row, wall)


def rate(table, objective, window="1h", customer="", wall=NOW):
    found = burn.rates(table, {"quotation": Objectives()}, wall)
    return next(
        each.rates[window]
        for each in found
        if (each.customer, each.objective) == (customer, objective)
    )


def test_rate_is_share_missed_over_share_allowed(table):
    count(table, *(make_row() for _ in range(98)), make_row(last=11.0))
    count(table, make_row(failure=failed(ErrorCode.TARGET_FAILED)))
    assert rate(table, "whole_in_time") == pytest.approx(0.02 / 0.001)
    assert rate(table, "first_token") == 0


def test_late_first_tokens_and_resumes(table):
    count(table, make_row(first=2.5), make_row(resumes=[1.0, 7.0]))
    assert rate(table, "first_token") == pytest.approx(0.5 / 0.01)
    assert rate(table, "resume") == pytest.approx(0.5 / 0.01)


@pytest.mark.parametrize("code", [ErrorCode.CANCELLED, ErrorCode.REPLACED])
def test_cancelled_and_replaced_are_not_counted(table, code):
    count(table, make_row(failure=failed(code)))
    assert not table.cells


def test_windows_leave_older_cells_out(table):
    count(table, make_row(last=99.0), wall=NOW - 2 * 3600)
    count(table, make_row())
    assert rate(table, "whole_in_time", "1h") == 0
    assert rate(table, "whole_in_time", "6h") == pytest.approx(500)


def test_compacting_changes_no_total_within_three_days(table):
    for age in (0, 3000, 5000, 20_000, 100_000, 250_000):
        count(table, make_row(), wall=NOW - age)
    count(table, make_row(), wall=NOW - 400_000)
    small = burn.compact(table, NOW)
    total = sum(c.whole_in_time.total for r in small.cells.values() for c in r.values())
    assert total == 6
    assert {length for _, length in small.cells} == {60, 600, 3600}
    again = burn.compact(small, NOW)
    assert burn.to_value(again) == burn.to_value(small)


def test_value_is_bounded_over_many_customers(table):
    for number in range(500):
        count(table, make_row(customer=f"c{number}"))
    small = burn.compact(table, NOW)
    (rows,) = small.cells.values()
    assert len(rows) == burn.MAX_SERIES + 1
    assert rows["quotation", burn.OTHERS].whole_in_time.total == 500 - burn.MAX_SERIES


def test_tables_merge_through_values(table):
    count(table, make_row(), make_row(resumes=[0.2]))
    value = json.loads(json.dumps(burn.to_value(table)))
    both = burn.from_value(value)
    both.add(burn.from_value(value))
    (rows,) = both.cells.values()
    assert rows["quotation", "norte"].whole_in_time.total == 4
    assert both.latencies["quotation", "resume"].total_count == 2


@pytest.mark.parametrize("value", [None, {}, {"cells": [[1]], "times": []}])
def test_damaged_value_raises_value_error(value):
    with pytest.raises(
        ValueError, match="expected a stored burn table, got damaged data"
    ):
        burn.from_value(value)


def test_page_holds_plots_and_escapes_names(table):
    count(table, make_row(customer="<b>"))
    page = render_page(table, {}, NOW)
    assert page.count("<svg") == 1
    assert "&lt;b&gt;" in page and "<b>" not in page
