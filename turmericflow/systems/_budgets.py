"""Token budgets of retries, resumes and wasted hedges, earned by accepted requests."""

from __future__ import annotations

from turmericflow.tables import Budget, LoadTable

RETRY_RATIO = 0.05
RESUME_RATIO = 0.5
MAX_RETRY_TOKENS = 20.0
MAX_RESUME_TOKENS = 2000.0
WASTED_HEDGE_RATIO = 0.05
WASTED_HEDGES_PER_S = 0.2
MAX_WASTED_HEDGE_TOKENS = 8.0


def fill(load: LoadTable) -> None:
    """Fill all budgets, for a host that has just started."""
    load.retries.tokens = MAX_RETRY_TOKENS
    load.resumes.tokens = MAX_RESUME_TOKENS
    load.wasted_hedges.tokens = MAX_WASTED_HEDGE_TOKENS


def earn(load: LoadTable) -> None:
    """Add the tokens that one accepted request earns to all budgets."""
    retries, resumes = load.retries, load.resumes
    retries.tokens = min(MAX_RETRY_TOKENS, retries.tokens + RETRY_RATIO)
    resumes.tokens = min(MAX_RESUME_TOKENS, resumes.tokens + RESUME_RATIO)
    _earn_wasted_hedges(load, WASTED_HEDGE_RATIO)


def earn_by_time(load: LoadTable, seconds: float) -> None:
    """Add the tokens that time alone earns to the budget of wasted hedges.

    They let a host with few requests hedge too.
    """
    _earn_wasted_hedges(load, WASTED_HEDGES_PER_S * seconds)


def _earn_wasted_hedges(load: LoadTable, tokens: float) -> None:
    load.wasted_hedges.tokens = min(
        MAX_WASTED_HEDGE_TOKENS, load.wasted_hedges.tokens + tokens
    )


def spend(budget: Budget) -> bool:
    """Take one token out of a budget; return False if there is none."""
    if budget.tokens < 1.0:
        return False
    budget.tokens -= 1.0
    return True
