"""Reports on service-level burn."""

from __future__ import annotations

from turmericflow.report._page import render_page

__all__ = ("render_page",)
