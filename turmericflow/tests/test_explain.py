"""Tests of the log lines shown for a request."""

from __future__ import annotations

import json

from turmericflow.cli.main import main
from turmericflow.report import read_logs, select_lines


def line(host: str, second: float, event: str, **fields: object) -> str:
    at = f"2026-12-04T00:00:{second:06.3f}Z"
    return json.dumps({"host": host, "timestamp": at, "event": event} | fields)


TARGET_LOST_LOG = [
    line("a", 1.0, "store_lost", kind="targets", reason="TimeoutError()"),
    line("a", 1.5, "target_changed", target="e1", removed=False),
    line("a", 1.6, "target_changed", target="e9", removed=False),
    line("a", 2.0, "stream_sent", request="r", target="e1@0", backup="10.0.0.2:1"),
    line("a", 2.1, "stream_sent", request="other", target="e1@0"),
    line("a", 3.0, "target_lost", target="e1@0", evidence="reset"),
    line("a", 3.0, "attempt_ended", request="r", target="e1@0", ending="lost"),
    line("a", 3.1, "request_failed", request="r", verdict="MAY_HAVE_RUN"),
]


def events(texts: list[str], request: str = "r") -> list[str]:
    return [each.event for each in select_lines(read_logs(texts), request)]


def test_a_request_is_shown_with_related_state_changes():
    assert events(TARGET_LOST_LOG) == [
        "store_lost",
        "target_changed",
        "stream_sent",
        "target_lost",
        "attempt_ended",
        "request_failed",
    ]


def test_unreadable_lines_are_counted_and_skipped():
    logs = read_logs(
        [*TARGET_LOST_LOG, '{"host": "a", "eve', "no json", "", "[1]", "{}"]
    )
    assert logs.unreadable_lines == 4
    assert len(select_lines(logs, "r")) == 6


def test_lines_with_a_prefix_are_read():
    assert len(events([f"  12.5 edge-1 {text}" for text in TARGET_LOST_LOG])) == 6


def test_lines_of_one_host_keep_their_order_if_its_clock_steps_back():
    clock_steps_back = [
        line("a", 9.0, "stream_sent", request="r", target="e1@0"),
        line("a", 2.0, "request_failed", request="r"),
        line("b", 5.0, "stream_sent", request="r", target="e2@0"),
    ]
    selected = select_lines(read_logs(clock_steps_back), "r")
    own_events = [each.event for each in selected if each.host == "a"]
    assert own_events == ["stream_sent", "request_failed"] and len(selected) == 3


def test_the_command_prints_the_selected_lines(tmp_path, capsys):
    log = tmp_path / "a.log"
    log.write_text("\n".join([*TARGET_LOST_LOG, "truncated"]))
    assert main(["explain", "r", str(log)]) == 0
    printed = capsys.readouterr()
    assert "request_failed" in printed.out and "e9" not in printed.out
    assert "1 lines could not be read" in printed.err
    assert main(["explain", "nobody", str(log)]) == 1
