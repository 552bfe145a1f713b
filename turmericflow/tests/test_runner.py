"""Tests of the runner: admission of duplicates, and hedged attempts."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from turmericflow.services._claimant import NewRequest
from turmericflow.services._dispatch import Dispatch
from turmericflow.services._engine import TargetFailed
from turmericflow.services._execution import Attempt, AttemptFailed, Execution
from turmericflow.services._runner import Runner
from turmericflow.services._stats import Stats
from turmericflow.tables import RequestRow, StreamRow
from turmericflow.testing import make_profile, make_tables, make_work
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict

NO_OWNER = Failure(ErrorCode.NO_OWNER, Verdict.MAY_HAVE_RUN, "no owner", 1.0)


class RemoteClaimant:
    """Claimant of requests that other hosts run, or that have no owner."""

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
    unused = (None,) * 4
    return Runner(tables, claimant, *unused, dispatch, None, Stats(None)), dispatch


@pytest.mark.parametrize("failure", [None, NO_OWNER])
def test_duplicates_run_by_other_hosts_do_not_refuse_new_requests(failure):
    """Duplicates of running requests must not count as queued work."""
    tables = make_tables(1, 2)
    runner, dispatch = make_runner(tables, RemoteClaimant(failure))

    async def submit_all():
        duplicates = [runner.submit(new_request(number)) for number in range(20)]
        await asyncio.gather(*duplicates, return_exceptions=True)
        return dispatch.admit(new_request(20))

    assert asyncio.run(submit_all()) is None


def add_attempt(execution, target, number, suspected):
    profile = execution.row.profile
    stream = StreamRow(
        execution.row.request_id, number, target.name, profile.urgency, 0.0, 0.0, 0, 0.0
    )
    stream.suspected = suspected
    attempt = Attempt(number, target, 0, stream)
    execution.add(attempt)
    return attempt


@pytest.mark.parametrize("recovered", [False, True])
def test_silence_is_reported_again_when_its_hedge_is_lost(recovered):
    """An engine that was sent a hedged request dies before the silent one recovers.

    Without a second report no further attempt would start.
    """
    tables = make_tables(2, 2)
    runner, _ = make_runner(tables, RemoteClaimant())
    new = new_request(0)
    row = RequestRow(new.request_id, new.profile, "g", 1, b"", new.prompt, 60, 1.0)
    execution = Execution(row, "content")
    first, second = list(tables.targets.rows.values())[:2]
    silent = add_attempt(execution, first, 1001, suspected=not recovered)
    hedge = add_attempt(execution, second, 1002, suspected=False)
    refused = TargetFailed(Verdict.NOT_RUN, "connection refused", True)
    asyncio.run(runner._handle(execution, AttemptFailed(hedge, refused)))
    assert execution.attempts == [silent]
    assert not silent.stream.suspected
