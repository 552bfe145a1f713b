"""Error-budget reports, and log lines of single requests."""

from __future__ import annotations

from turmericflow.report._page import render_page
from turmericflow.report._request_log import LogLine, Logs, read_logs, select_lines

__all__ = ("LogLine", "Logs", "read_logs", "render_page", "select_lines")
