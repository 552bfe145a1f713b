"""Circuit breakers: shut out targets that fail, and probe them on return."""

from __future__ import annotations

from turmericflow.tables import BreakerState, Target

INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 30.0


def allows(target: Target, now: float) -> bool:
    """Return whether a breaker lets one more request through."""
    breaker = target.breaker
    match breaker.state:
        case BreakerState.CLOSED:
            return True
        case BreakerState.OPEN:
            return now >= breaker.until
        case BreakerState.HALF_OPEN:
            return not breaker.probing


def on_sent(target: Target, now: float) -> None:
    """Note that a request goes to a target; the first after a pause probes it."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN and now >= breaker.until:
        breaker.state = BreakerState.HALF_OPEN
    if breaker.state is BreakerState.HALF_OPEN:
        breaker.probing = True


def on_lost(target: Target, now: float) -> None:
    """Open a breaker, for longer each time in a row."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN and now < breaker.until:
        return
    open_s = min(MAX_OPEN_S, INITIAL_OPEN_S * 2**breaker.opened)
    breaker.state = BreakerState.OPEN
    breaker.until = now + open_s
    breaker.opened += 1
    breaker.probing = False


def extend_open(target: Target, now: float, seconds: float) -> None:
    """Keep an open breaker open, for its target is known not to answer."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN:
        hold_s = min(MAX_OPEN_S, seconds)
        breaker.until = max(breaker.until, now + hold_s)


def on_success(target: Target, sent_at: float, now: float) -> None:
    """Close a breaker after work that was sent since it opened."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN and sent_at < breaker.until:
        return
    breaker.state = BreakerState.CLOSED
    breaker.opened = 0
    breaker.probing = False


def on_recovery(target: Target, now: float) -> None:
    """Let an open breaker be probed at once, for its target reports again."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN:
        breaker.until = min(breaker.until, now)
