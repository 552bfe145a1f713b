"""Circuit breakers of targets."""

from __future__ import annotations

from turmericflow.tables import BreakerState, Target

INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 30.0


def allows(target: Target, now: float) -> bool:
    """Return whether a target's breaker lets another request through."""
    breaker = target.breaker
    match breaker.state:
        case BreakerState.CLOSED:
            return True
        case BreakerState.OPEN:
            return now >= breaker.open_until
        case BreakerState.HALF_OPEN:
            return not breaker.probe_in_flight


def on_sent(target: Target, now: float) -> None:
    """Record a request to a target; the first one after an open period is a probe."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN and now >= breaker.open_until:
        breaker.state = BreakerState.HALF_OPEN
    if breaker.state is BreakerState.HALF_OPEN:
        breaker.probe_in_flight = True


def on_lost(target: Target, now: float) -> None:
    """Open a target's breaker, for twice as long each time in a row."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN and now < breaker.open_until:
        return
    open_s = min(MAX_OPEN_S, INITIAL_OPEN_S * 2**breaker.consecutive_opens)
    breaker.state = BreakerState.OPEN
    breaker.open_until = now + open_s
    breaker.consecutive_opens += 1
    breaker.probe_in_flight = False


def extend_open(target: Target, now: float, seconds: float) -> None:
    """Extend the open period of a breaker while polls of its target fail."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN:
        open_s = min(MAX_OPEN_S, seconds)
        breaker.open_until = max(breaker.open_until, now + open_s)


def on_success(target: Target, sent_at: float, now: float) -> None:
    """Close a breaker, unless the request was sent before its open period ended."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN and sent_at < breaker.open_until:
        return
    breaker.state = BreakerState.CLOSED
    breaker.consecutive_opens = 0
    breaker.probe_in_flight = False


def on_recovery(target: Target, now: float) -> None:
    """End the open period of a breaker whose target reports again."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN:
        breaker.open_until = min(breaker.open_until, now)
