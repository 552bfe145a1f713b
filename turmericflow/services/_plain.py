"""HTTP client of plain services, the only module that knows their interface."""

from __future__ import annotations

import aiohttp

from turmericflow._body_memory import BodyMemory, BodyTooLong, read_bounded
from turmericflow._responses import FINAL_STATUSES
from turmericflow.cfg import Address
from turmericflow.services._engine import (
    EngineOutput,
    OnOutput,
    TargetFailed,
    to_target_failure,
)
from turmericflow.verdict import Verdict

REFUSED_STATUSES = frozenset({429, 503})


def _check_status(status: int, body: bytes) -> None:
    message = f"{status}: {body[:200].decode(errors='replace')}"
    if status not in FINAL_STATUSES:
        message = f"got the status {message}, expected 200 to 599"
        raise TargetFailed(Verdict.MAY_HAVE_RUN, message)
    if status < 300:
        return
    if status in REFUSED_STATUSES:
        raise TargetFailed(Verdict.NOT_RUN, message)
    if status < 500:
        raise TargetFailed(Verdict.RAN, message)
    raise TargetFailed(Verdict.MAY_HAVE_RUN, message)


class PlainClient:
    """Make calls to plain services.

    The session must open a connection for each call.  On a reused connection, a
    call could coincide with the service closing it, and it would be unknown
    whether the call has run.
    """

    __slots__ = ("_memory", "_session")

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._memory = BodyMemory()
        self._session = session

    async def call(
        self, address: Address, key: str, payload: str, on_output: OnOutput
    ) -> None:
        """Make a call and pass its result to ``on_output`` as a single token.

        Raises
        ------
        TargetFailed
            If the service refuses the call, fails or is lost; with ``RAN`` if it
            answered with a status of 300 to 499 that is no refusal.
        """
        headers = {"Idempotency-Key": key, "Content-Type": "application/json"}
        url = f"{address.url}/v1/call"
        try:
            async with self._session.post(
                url, data=payload.encode(), headers=headers
            ) as resp:
                chunks = resp.content.iter_any()
                body = await read_bounded(chunks, self._memory)
                _check_status(resp.status, body)
        except BodyTooLong as exc:
            raise TargetFailed(Verdict.MAY_HAVE_RUN, str(exc)) from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise to_target_failure(exc) from exc
        on_output(EngineOutput(0, [body.decode(errors="replace")], True))
