"""Reports on service-level burn, and the story of one request."""

from __future__ import annotations

from turmericflow.report._page import render_page
from turmericflow.report._story import Line, Logs, read_logs, tell

__all__ = ("Line", "Logs", "read_logs", "render_page", "tell")
