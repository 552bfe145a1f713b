"""Client for callers, which goes on at another address by itself."""

from __future__ import annotations

from turmericflow.client._answer import Answer, BadReply, Token
from turmericflow.client._caller import Access, Caller

__all__ = (
    # Requests
    "Access",
    "Caller",
    # Answers
    "Answer",
    "BadReply",
    "Token",
)
