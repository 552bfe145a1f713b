"""Input and output: services that carry the decisions."""

from __future__ import annotations

from turmericflow.services._daemon import Daemon

__all__ = ("Daemon",)
