"""The callers' HTTP interface in this process, with a stand-in runner."""

from __future__ import annotations

import asyncio
import hashlib
import time

from aiohttp.test_utils import TestClient, TestServer

from turmericflow.cfg import Address, Settings
from turmericflow.profile import Customer, Profile
from turmericflow.services._caller_handler import CallerHandler
from turmericflow.services._claimant import NewRequest
from turmericflow.services._stats import Stats
from turmericflow.tables import AttemptStart, RequestId, RequestRow, Tables
from turmericflow.verdict import Failure, RequestFailed

TOKENS = ["Acrylic ", "letters "]


class ImmediateRunner:
    """A stand-in runner that completes each request at once with `TOKENS`."""

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self.seen: list[NewRequest] = []

    async def submit(
        self, new: NewRequest, refusal: Failure | None = None
    ) -> RequestRow:
        """Return a completed row, or raise the refusal."""
        if refusal is not None:
            raise RequestFailed(refusal)
        self.seen.append(new)
        row = RequestRow(
            new.request_id,
            new.profile,
            "g1",
            1,
            new.body,
            new.prompt,
            new.max_tokens,
            time.monotonic(),
            [AttemptStart(1, 0, "redactor-0")],
            list(TOKENS),
            len(TOKENS),
        )
        row.complete = row.ended = True
        self._tables.requests.rows[RequestId("norte", new.request_id.key)] = row
        return row


def hash_key(key: str) -> str:
    """Return the hash of a key, as a customer's declaration holds it."""
    return hashlib.sha256(key.encode()).hexdigest()


async def _serve(entry: CallerHandler) -> TestClient:
    client = TestClient(TestServer(entry.app()))
    await client.start_server()
    return client


class CallerHandlerApp:
    """A caller handler on a loopback port, and a client for its HTTP interface."""

    def __init__(self, **settings: object) -> None:
        addresses = [Address("127.0.3.1", port) for port in (1, 2, 3)]
        self.settings = Settings("entry-1", "north", *addresses, **settings)
        self.tables = Tables("entry-1", "north")
        config = self.tables.config
        config.profiles["quotation"] = Profile("quotation", "redactor", max_tokens=9)
        config.profiles["order"] = Profile("order", "redactor", idempotent=False)
        config.profiles["old"] = Profile("old", "redactor", retired=True)
        config.customers["norte"] = Customer("norte")
        config.customers["sur"] = Customer("sur", key_hashes=[hash_key("s3cret")])
        self.stats = Stats(None)
        self.runner = ImmediateRunner(self.tables)
        self.loop = asyncio.new_event_loop()
        entry = CallerHandler(self.settings, self.tables, self.runner, self.stats)
        self._client = self.loop.run_until_complete(_serve(entry))

    def call(self, method: str, path: str, **kwargs: object):
        """Send one request and return the status, headers and body."""

        async def run():
            async with self._client.request(method, path, **kwargs) as resp:
                return resp.status, resp.headers, await resp.read()

        return self.loop.run_until_complete(run())

    def close(self) -> None:
        """Stop the server and close the event loop."""
        self.loop.run_until_complete(self._client.close())
        self.loop.close()
