"""Steps of an order, from the first requests to the end."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from turmericflow.relay.rollouts._share import COMPLETED, IN_PROGRESS, ROLLED_BACK
from turmericflow.relay.rollouts._verdict import Bad, Undecided, Verdict

CANARY_FACTOR = 0.8  # of `canaryShare`: the rest is for `load` and `all`
TRIAL_ANSWERS = 5  # five failures of five are nearly enough for a verdict
TRIAL_S = 2.0  # with at least one answer; little traffic gives no more
LOAD_S = 6.0  # of which 2 s pass until the step shows in the evidence
MIN_LOAD_S = 1.5  # queues of a target at its limit grow within it
VIEW_DELAY_S = 2.0  # until the hosts know of a step: age of views and evidence
SLACK_SHARE = 0.4  # of `canarySlack`; initial credits may be unused until now
ALL_VERDICT_S = 2.5  # age of the evidence, 1 s, of the views, 1 s, and some answers
RESERVE_SHARE = 1 / 3  # of the exposure; `load` finds more than `all` with it
MAX_LOAD_SHARE = 0.5  # the old side stays comparable
LOAD_EXCESS = 1.2  # load of an old target, and the noise of the shares
SETTLED_ANSWERS = 300  # a version that fails three times as often showed by then
SAVING_CHANGE = 0.9  # smaller savings aren't worth a step
SETTLED_SHARE = 0.25  # of the exposure, with little traffic
MIN_CANARY_FACTOR = 0.4  # of `canaryShare`: a version that turns bad late still shows
ALL_OBSERVED_S = 6.0  # of which 2 s pass until `all` shows in the evidence
ALL_MARGIN_S = 3.0  # to see the new version with all traffic
MAX_DRAIN_S = 8.0  # longest stream that the end waits for
COMPLETE_MARGIN_S = 1.0  # before the end, to write the status
NO_ANSWER_MARGIN_S = 2.0  # before the end
# Until the last answers of `all` are known: age of the views and of the evidence.
RETURN_S = 2.5


class StepName(enum.StrEnum):
    """Names of the steps."""

    TRIAL = "trial"
    CANARY = "canary"
    LOAD = "load"
    ALL = "all"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds from the settings: `canaryShare`, `canarySlack`, `rollbackMs` in s."""

    canary_share: float = 0.1
    canary_slack: int = 50
    rollback_s: float = 5.0


@dataclass(slots=True, frozen=True)
class Order:
    """An operator's order.

    Attributes
    ----------
    service, target
        Service and its new version.
    duration_s
        Time from the order to its end, in seconds.
    created
        Revision of the store at which the order was created.
    seen_at
        Time at which the order was given, on the clock of `now`, in seconds.
    """

    service: str
    target: str
    duration_s: float
    created: int
    seen_at: float

    @property
    def ends_at(self) -> float:
        """Time at which the order ends."""
        return self.seen_at + self.duration_s


@dataclass(slots=True, frozen=True)
class Step:
    """A step.

    Attributes
    ----------
    name
        Its name.
    share
        Share of the requests that may go to the new version.
    began_at
        Time at which it began, in seconds.
    reason
        Why it began, for logs.
    before
        Share before all traffic moved, in `all` and after a return from it.
    """

    name: StepName
    share: float
    began_at: float
    reason: str = ""
    before: float | None = None

    @classmethod
    def first(cls, now: float) -> Step:
        """Return the step in which an order begins."""
        return cls(StepName.TRIAL, 0.0, now, "order")

    @property
    def state(self) -> str:
        """State for the object's status and the view."""
        match self.name:
            case StepName.COMPLETED:
                return COMPLETED
            case StepName.ROLLED_BACK:
                return ROLLED_BACK
            case _:
                return IN_PROGRESS


@dataclass(slots=True, frozen=True)
class Figures:
    """Figures of the service, over all hosts, that the decider knows.

    Attributes
    ----------
    requests, new_requests
        Requests to the service since the order, and those sent to the new version.
    rate_per_s
        Requests to the service per second.
    new_answers
        Answers of the new version (`Evidence.answers`).
    new_targets, old_targets
        Number of live targets.
    old_running
        Requests and streams that run on the old version.
    drain_s
        Longest stream of the old version so far, in seconds.
    bounds
        Bounds from the settings.
    lacking
        Routes without enough evidence.
    """

    requests: int
    new_requests: int
    rate_per_s: float
    new_answers: int
    new_targets: int
    old_targets: int
    old_running: int
    drain_s: float
    bounds: Bounds = Bounds()
    lacking: tuple[str, ...] = ()


def _unused(order: Order, figures: Figures, now: float) -> float:
    """Return how many requests the new version may still get before `all`.

    Counted on the requests so far, because traffic may end; and on those expected until
    the end, less what `all` needs until a verdict, within `RESERVE_SHARE`. Nothing is
    kept for `all` while a route lacks evidence: all traffic uses it up within the age
    of the views, before it shows a version that fails a few times more often.
    """
    bounds = figures.bounds
    slack = bounds.canary_slack * SLACK_SHARE
    so_far = bounds.canary_share * figures.requests + slack - figures.new_requests
    coming = figures.rate_per_s * max(0.0, order.ends_at - now)
    expected = so_far + bounds.canary_share * coming
    reserve = min(figures.rate_per_s * ALL_VERDICT_S, RESERVE_SHARE * expected)
    if figures.lacking:
        reserve = 0.0
    return min(so_far, expected - reserve)


def _wanted_load_share(figures: Figures) -> float:
    """Return the share with which one new target gets the load of an old one."""
    canary_share = CANARY_FACTOR * figures.bounds.canary_share
    wanted = LOAD_EXCESS / (1 + figures.old_targets)
    return max(canary_share, min(MAX_LOAD_SHARE, wanted))


def _load_share(order: Order, figures: Figures, now: float) -> float:
    """Return the wanted share, or what the unused exposure allows."""
    wanted = _wanted_load_share(figures)
    if figures.lacking:
        requests = figures.rate_per_s * (LOAD_S + VIEW_DELAY_S)
        evenly = _unused(order, figures, now) / requests if requests > 0 else wanted
        evenly += figures.bounds.canary_share  # exposure that grows meanwhile
        wanted = max(wanted, min(MAX_LOAD_SHARE, evenly))
    # If the exposure does not last until `all`, a short time at the full load shows
    # more than a long one at half the load.
    expected = figures.rate_per_s * (MIN_LOAD_S + VIEW_DELAY_S)
    affordable = _unused(order, figures, now) / expected if expected > 0 else wanted
    return max(_low_share(figures), min(wanted, affordable))


def _low_share(figures: Figures) -> float:
    return MIN_CANARY_FACTOR * figures.bounds.canary_share


def _is_settled(order: Order, figures: Figures, now: float) -> bool:
    """Return whether a version that is bad from the start would have shown."""
    if figures.lacking:
        return False
    coming = figures.rate_per_s * max(0.0, order.ends_at - now)
    allowed = figures.bounds.canary_share * (figures.requests + coming)
    allowed += figures.bounds.canary_slack
    return figures.new_answers >= min(SETTLED_ANSWERS, SETTLED_SHARE * allowed)


def _saving_share(order: Order, figures: Figures, load_at: float, now: float) -> float:
    """Return the share until `load` that leaves the exposure that `load` needs."""
    canary_share = CANARY_FACTOR * figures.bounds.canary_share
    requests = figures.rate_per_s * (load_at - now)
    if requests <= 0:
        return canary_share
    needed = (LOAD_S + VIEW_DELAY_S) * _wanted_load_share(figures) * figures.rate_per_s
    # Exposure that grows with the requests until `load`, and what is left of it now.
    left = _unused(order, figures, now) + figures.bounds.canary_share * requests
    share = (left - needed) / requests
    return max(_low_share(figures), min(canary_share, share))


def next_step(
    order: Order, step: Step, verdict: Verdict, figures: Figures, now: float
) -> Step:
    """Return the step that follows, or `step` itself if nothing changes.

    A changed share is a new step, also under the same name.
    """
    if step.state != IN_PROGRESS:
        return step
    if isinstance(verdict, Bad):
        return _rolled_back(verdict, now)
    following = _next_good_step(order, step, figures, now)
    if not isinstance(verdict, Undecided):
        return following
    if following.name is not step.name:
        found = verdict.suspect
        if following.name is StepName.ALL:
            found = found or verdict.final
        higher = StepName.LOAD, StepName.ALL, StepName.COMPLETED
        if found is not None and following.name in higher:
            return _rolled_back(found, now)
    elif step.name is StepName.ALL and verdict.alert is not None:
        reason = f"route {verdict.alert.route}: {verdict.alert.reason}"
        share = step.before or 0.0
        if _unused(order, figures, now) <= 0:
            share = 0.0
        return Step(StepName.LOAD, share, now, reason, share)
    return following


def _rolled_back(bad: Bad, now: float) -> Step:
    where = f"route {bad.route}: " if bad.route else ""
    return Step(StepName.ROLLED_BACK, 0.0, now, where + bad.reason)


def _next_good_step(order: Order, step: Step, figures: Figures, now: float) -> Step:
    """Return the step that follows if nothing speaks against the version."""
    if not figures.new_targets or not figures.new_answers:
        if now >= order.ends_at - NO_ANSWER_MARGIN_S:
            return Step(StepName.ROLLED_BACK, 0.0, now, "no targets or no answer")
        return step
    canary_share = CANARY_FACTOR * figures.bounds.canary_share
    all_at = order.ends_at - min(MAX_DRAIN_S, figures.drain_s) - ALL_MARGIN_S
    load_at = all_at - LOAD_S - VIEW_DELAY_S
    elapsed_s = now - step.began_at
    match step.name:
        case StepName.ALL:
            if now >= order.ends_at - COMPLETE_MARGIN_S:
                return Step(StepName.COMPLETED, 1.0, now, "the order ends")
            shown = elapsed_s >= ALL_OBSERVED_S and not figures.lacking
            if not figures.old_running and shown:
                return Step(StepName.COMPLETED, 1.0, now, "nothing runs on the old one")
        case _ if now >= all_at:
            if step.name is StepName.LOAD and step.before is not None:
                if now >= order.ends_at - COMPLETE_MARGIN_S:
                    return Step(StepName.COMPLETED, 1.0, now, "the order ends")
                if elapsed_s < RETURN_S:
                    return step
            reason = "good so far"
            if figures.lacking:
                reason = f"too little evidence on {', '.join(figures.lacking)}"
            return Step(StepName.ALL, 1.0, now, reason, step.share)
        case StepName.TRIAL:
            if figures.new_answers >= TRIAL_ANSWERS or elapsed_s >= TRIAL_S:
                return Step(StepName.CANARY, canary_share, now, "first answers")
        case StepName.CANARY:
            if now >= load_at:
                share = _load_share(order, figures, now)
                return Step(StepName.LOAD, share, now, "load of an old target")
            if step.share >= canary_share and _is_settled(order, figures, now):
                share = _saving_share(order, figures, load_at, now)
                if share < SAVING_CHANGE * canary_share:
                    return Step(StepName.CANARY, share, now, "saves exposure")
        case StepName.LOAD:
            low = _low_share(figures)
            if step.share > low and _unused(order, figures, now) < (
                step.share * figures.rate_per_s * VIEW_DELAY_S
            ):
                return Step(StepName.LOAD, low, now, "exposure used")
    return step
