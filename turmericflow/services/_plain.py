"""How a plain service speaks: the only module that knows its HTTP interface."""

from __future__ import annotations

import aiohttp

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
    if status < 300:
        return
    message = f"{status}: {body[:200].decode(errors='replace')}"
    if status in REFUSED_STATUSES:
        raise TargetFailed(Verdict.NOT_RUN, message)
    if status < 500:
        raise TargetFailed(Verdict.RAN, message)
    raise TargetFailed(Verdict.MAY_HAVE_RUN, message)


class PlainClient:
    """Client of the plain services.

    Each call has a connection of its own: on one that is used again, a call
    could meet the service's closing of it, and would then be in doubt.
    """

    __slots__ = ("_session",)

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def call(
        self, address: Address, key: str, payload: str, on_output: OnOutput
    ) -> None:
        """Make a call and hand on its result as the one token of an output.

        Raises
        ------
        TargetFailed
            If the service refuses or is lost; ``RAN`` if it has answered with
            an error of the caller's.
        """
        headers = {"Idempotency-Key": key, "Content-Type": "application/json"}
        url = f"{address.url}/v1/call"
        try:
            async with self._session.post(
                url, data=payload.encode(), headers=headers
            ) as resp:
                body = await resp.read()
                _check_status(resp.status, body)
        except (aiohttp.ClientError, OSError) as exc:
            raise to_target_failure(exc) from exc
        on_output(EngineOutput(0, [body.decode(errors="replace")], True))
