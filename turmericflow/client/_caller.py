"""A caller's side of the HTTP interface."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

from turmericflow.verdict import ErrorCode, Failure, Verdict

RECONNECT_WAIT_S = 0.05
GIVE_UP_S = 30.0


@dataclass(slots=True, frozen=True)
class Token:
    """One token and the time at which it came, in seconds of a local clock."""

    index: int
    text: str
    at: float


@dataclass(slots=True)
class Answer:
    """What a caller has received.

    Attributes
    ----------
    tokens
        The tokens in order.
    last_id
        Id of the last token's event.
    whole
        Whether the end came and its count and digest match.
    failure
        The error that ended the request, or None.
    reconnects
        How often the caller went on at another address.
    """

    tokens: list[Token] = field(default_factory=list)
    last_id: str = ""
    whole: bool = False
    failure: Failure | None = None
    reconnects: int = 0

    @property
    def text(self) -> str:
        """The whole text so far."""
        return "".join(token.text for token in self.tokens)

    @property
    def ended(self) -> bool:
        """Whether nothing more comes."""
        return self.whole or self.failure is not None


def parse_failure(error: dict) -> Failure:
    """Return the failure that a JSON error stands for."""
    return Failure(
        ErrorCode(error["code"]),
        Verdict(error["verdict"]),
        error["message"],
        error.get("retry_after_s"),
    )


class Caller:
    """Sends requests to any of several addresses.

    Parameters
    ----------
    session
        The HTTP session to use.
    addresses
        Entry addresses as ``IP:PORT``, the preferred one first.
    customer
        Name of the customer.
    """

    def __init__(
        self, session: aiohttp.ClientSession, addresses: list[str], customer: str
    ) -> None:
        self._session = session
        self._addresses = list(addresses)
        self._customer = customer

    async def generate(
        self,
        profile: str,
        prompt: str,
        key: str,
        max_tokens: int = 256,
        on_token: Callable[[Token], None] | None = None,
    ) -> Answer:
        """Run a generation to its end, over lost connections.

        Returns
        -------
        Answer
            The answer, with its failure if it was refused or failed.
        """
        body = {"profile": profile, "prompt": prompt, "max_tokens": max_tokens}
        answer = Answer()
        until = time.monotonic() + GIVE_UP_S
        number = 0
        while not answer.ended and time.monotonic() < until:
            address = self._addresses[number % len(self._addresses)]
            try:
                await self._connect(address, body, key, answer, on_token)
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
            if not answer.ended:
                number += 1
                answer.reconnects += 1
                await asyncio.sleep(RECONNECT_WAIT_S)
        return answer

    async def _connect(
        self,
        address: str,
        body: dict,
        key: str,
        answer: Answer,
        on_token: Callable[[Token], None] | None,
    ) -> None:
        headers = {"X-Customer": self._customer, "Idempotency-Key": key}
        if answer.last_id:
            headers["Last-Event-ID"] = answer.last_id
        url = f"http://{address}/v1/generate"
        async with self._session.post(url, json=body, headers=headers) as resp:
            if resp.status != 200:
                failure = parse_failure((await resp.json())["error"])
                if failure.code not in (ErrorCode.NO_OWNER, ErrorCode.REPLACED):
                    answer.failure = failure
                return
            await self._read(resp, answer, on_token)

    async def _read(
        self,
        resp: aiohttp.ClientResponse,
        answer: Answer,
        on_token: Callable[[Token], None] | None,
    ) -> None:
        event, event_id = "", ""
        async for raw in resp.content:
            name, _, value = raw.decode().rstrip("\n").partition(": ")
            match name:
                case "event":
                    event = value
                case "id":
                    event_id = value
                case "data":
                    data = json.loads(value)
                    self._take(event, event_id, data, answer, on_token)
                    event, event_id = "", ""
            if answer.ended:
                return

    def _take(
        self,
        event: str,
        event_id: str,
        data: dict,
        answer: Answer,
        on_token: Callable[[Token], None] | None,
    ) -> None:
        match event:
            case "end":
                digest = hashlib.sha256(answer.text.encode()).hexdigest()
                same = digest == data["digest"] and data["count"] == len(answer.tokens)
                answer.whole = same
            case "error":
                failure = parse_failure(data["error"])
                if failure.code is not ErrorCode.REPLACED:
                    answer.failure = failure
            case "":
                token = Token(data["index"], data["text"], time.monotonic())
                answer.tokens.append(token)
                answer.last_id = event_id
                if on_token is not None:
                    on_token(token)
