"""Client for callers, with automatic failover between router addresses."""

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
