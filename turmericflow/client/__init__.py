"""Client for callers, which goes on at another address by itself."""

from __future__ import annotations

from turmericflow.client._caller import Answer, Caller, Token

__all__ = ("Answer", "Caller", "Token")
