"""Budgets of work done again: shares of the accepted work."""

from __future__ import annotations

from turmericflow.tables import Budget, LoadTable

RETRY_SHARE = 0.05
RESUME_SHARE = 0.5
LARGEST_RETRIES = 20.0
LARGEST_RESUMES = 2000.0


def fill(load: LoadTable) -> None:
    """Start both budgets full, as on a host that has just started."""
    load.retries.tokens = LARGEST_RETRIES
    load.resumes.tokens = LARGEST_RESUMES


def earn(load: LoadTable) -> None:
    """Add one accepted request's share to both budgets."""
    retries, resumes = load.retries, load.resumes
    retries.tokens = min(LARGEST_RETRIES, retries.tokens + RETRY_SHARE)
    resumes.tokens = min(LARGEST_RESUMES, resumes.tokens + RESUME_SHARE)


def spend(budget: Budget) -> bool:
    """Take one repeat out of a budget; False if it is used up."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True
