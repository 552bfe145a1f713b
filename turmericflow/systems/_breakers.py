"""Circuit breakers: shut out targets that fail, and probe them on return."""

from __future__ import annotations

from turmericflow.tables import BreakerState, Target

FIRST_OPEN_S = 1.0
LONGEST_OPEN_S = 30.0


def allows(target: Target, now: float) -> bool:
    """Return whether a breaker lets one more request through."""
    breaker = target.breaker
    match breaker.state:
        case BreakerState.CLOSED:
            return True
        case BreakerState.OPEN:
            return now >= breaker.open_until
        case BreakerState.HALF_OPEN:
            return not breaker.probe_in_flight


def on_sent(target: Target, now: float) -> None:
    """Note that a request goes to a target; the first after a pause probes it."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN and now >= breaker.open_until:
        breaker.state = BreakerState.HALF_OPEN
    if breaker.state is BreakerState.HALF_OPEN:
        breaker.probe_in_flight = True


def on_lost(target: Target, now: float) -> None:
    """Open a breaker, for longer each time in a row."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN and now < breaker.open_until:
        return
    open_s = min(LONGEST_OPEN_S, FIRST_OPEN_S * 2**breaker.consecutive_opens)
    breaker.state = BreakerState.OPEN
    breaker.open_until = now + open_s
    breaker.consecutive_opens += 1
    breaker.probe_in_flight = False


def hold(target: Target, now: float, seconds: float) -> None:
    """Keep an open breaker open, for its target is known not to answer."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN:
        hold_s = min(LONGEST_OPEN_S, seconds)
        breaker.open_until = max(breaker.open_until, now + hold_s)


def on_success(target: Target, sent_at: float, now: float) -> None:
    """Close a breaker after work that was sent since it opened."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN and sent_at < breaker.open_until:
        return
    breaker.state = BreakerState.CLOSED
    breaker.consecutive_opens = 0
    breaker.probe_in_flight = False


def on_return(target: Target, now: float) -> None:
    """Let an open breaker be probed at once, for its target reports again."""
    breaker = target.breaker
    if breaker.state is BreakerState.OPEN:
        breaker.open_until = min(breaker.open_until, now)
