"""Budgets of work done again: shares of the accepted work."""

from __future__ import annotations

from turmericflow.tables import Budget, LoadTable

RETRY_SHARE = 0.05
RESUME_SHARE = 0.5
LARGEST_RETRIES = 20.0
LARGEST_RESUMES = 2000.0
NEEDLESS_SHARE = 0.05
NEEDLESS_PER_S = 0.2
LARGEST_NEEDLESS = 8.0


def fill(load: LoadTable) -> None:
    """Start all budgets full, as on a host that has just started."""
    load.retries.tokens = LARGEST_RETRIES
    load.resumes.tokens = LARGEST_RESUMES
    load.wasted_hedges.tokens = LARGEST_NEEDLESS


def earn(load: LoadTable) -> None:
    """Add one accepted request's share to all budgets."""
    retries, resumes = load.retries, load.resumes
    retries.tokens = min(LARGEST_RETRIES, retries.tokens + RETRY_SHARE)
    resumes.tokens = min(LARGEST_RESUMES, resumes.tokens + RESUME_SHARE)
    _earn_needless(load, NEEDLESS_SHARE)


def earn_by_time(load: LoadTable, seconds: float) -> None:
    """Add what a host with few requests gets: needless second attempts only."""
    _earn_needless(load, NEEDLESS_PER_S * seconds)


def _earn_needless(load: LoadTable, tokens: float) -> None:
    load.wasted_hedges.tokens = min(
        LARGEST_NEEDLESS, load.wasted_hedges.tokens + tokens
    )


def spend(budget: Budget) -> bool:
    """Take one repeat out of a budget; False if it is used up."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True
