"""Services that do the input and output of the daemon."""

from __future__ import annotations

from turmericflow.services._daemon import Daemon

__all__ = ("Daemon",)
