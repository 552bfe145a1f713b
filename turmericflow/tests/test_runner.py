"""Tests of the runner's account of what was admitted."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from turmericflow.services._claimant import NewRequest
from turmericflow.services._course import Attempt, Course, Lost
from turmericflow.services._dispatch import Dispatch
from turmericflow.services._engine import TargetFailed
from turmericflow.services._runner import Runner
from turmericflow.services._stats import Stats
from turmericflow.tables import RequestRow, StreamRow
from turmericflow.testing import make_profile, make_tables, make_work
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict

NO_OWNER = Failure(ErrorCode.NO_OWNER, Verdict.MAY_HAVE_RUN, "no owner", 1.0)


class Elsewhere:
    """A claimant whose requests all run at other hosts, or have no owner."""

    def __init__(self, failure=None):
        self.failure = failure

    async def claim(self, new):
        if self.failure is not None:
            raise RequestFailed(self.failure)
        body = (new.request_id, new.profile, "g", 1, new.body, new.prompt)
        return RequestRow(*body, new.max_tokens, 1.0)


def new_request(number):
    request_id = make_work(f"copy-{number}").request_id
    return NewRequest(request_id, make_profile(), "sign", 60, b"", "", 1)


def make_runner(tables, claimant):
    dispatch = Dispatch(tables, Stats(None), Random(1))
    others = (None,) * 4
    return Runner(tables, claimant, *others, dispatch, None, Stats(None)), dispatch


@pytest.mark.parametrize("failure", [None, NO_OWNER])
def test_copies_that_run_elsewhere_do_not_refuse_new_work(failure):
    """The load: a burst of copies of running requests, then new requests."""
    tables = make_tables(1, 2)
    runner, dispatch = make_runner(tables, Elsewhere(failure))

    async def work():
        copies = [runner.submit(new_request(number)) for number in range(20)]
        await asyncio.gather(*copies, return_exceptions=True)
        return dispatch.admit(new_request(20))

    assert asyncio.run(work()) is None


def attempt_at(course, target, number, suspected):
    profile = course.row.profile
    stream = StreamRow(
        course.row.request_id, number, target.name, profile.urgency, 0.0, 0.0, 0, 0.0
    )
    stream.suspected = suspected
    attempt = Attempt(number, target, 0, stream)
    course.add(attempt)
    return attempt


@pytest.mark.parametrize("heard", [False, True])
def test_silence_is_reported_again_when_its_second_attempt_is_lost(heard):
    """The load: an engine dies just after it took over from a silent one."""
    tables = make_tables(2, 2)
    runner, _ = make_runner(tables, Elsewhere())
    new = new_request(0)
    row = RequestRow(new.request_id, new.profile, "g", 1, b"", new.prompt, 60, 1.0)
    course = Course(row, "content")
    first, second = list(tables.targets.rows.values())[:2]
    silent = attempt_at(course, first, 1001, suspected=not heard)
    hedge = attempt_at(course, second, 1002, suspected=False)
    refused = TargetFailed(Verdict.NOT_RUN, "connection refused", True)
    asyncio.run(runner._react(course, Lost(hedge, refused)))
    assert course.attempts == [silent]
    assert not silent.stream.suspected
