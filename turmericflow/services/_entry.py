"""The callers' HTTP interface."""

from __future__ import annotations

import hashlib
import secrets
import time
from random import Random

import msgspec
from aiohttp import web
from mode import Service

from turmericflow.cfg import Settings
from turmericflow.profile import ProfileKind
from turmericflow.services._answer import (
    error_response,
    start_after,
    stream_answer,
    whole_answer,
)
from turmericflow.services._claimant import NewRequest
from turmericflow.services._runner import Runner
from turmericflow.services._stats import Stats
from turmericflow.systems import addresses, freshness
from turmericflow.tables import RequestId, RequestRow, Tables
from turmericflow.verdict import ErrorCode, RequestFailed, not_run

FINISH_S = 86_400.0


class GenerateBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/generate``."""

    profile: str
    prompt: str
    max_tokens: int = 256
    stream: bool = True


class Entry(Service):
    """Takes requests from callers and gives them their answers."""

    def __init__(
        self, settings: Settings, tables: Tables, runner: Runner, stats: Stats
    ) -> None:
        super().__init__()
        self._settings = settings
        self._tables = tables
        self._run = runner
        self._stats = stats
        self._web: web.AppRunner | None = None
        self._rng = Random()

    async def on_start(self) -> None:
        app = web.Application(client_max_size=self._settings.max_body_bytes)
        app.router.add_get("/v1/addresses", self._addresses)
        app.router.add_get("/v1/status", self._status)
        app.router.add_post("/v1/generate", self._generate)
        self._web = web.AppRunner(app, access_log=None, shutdown_timeout=FINISH_S)
        await self._web.setup()
        address = self._settings.entry
        await web.TCPSite(self._web, address.ip, address.port).start()

    async def on_stop(self) -> None:
        await self._web.cleanup()

    async def _addresses(self, request: web.Request) -> web.Response:
        centre = request.query.get("data_centre", self._tables.data_centre)
        found = addresses.in_order(
            self._tables, self._settings.entry, centre, self._rng
        )
        return web.json_response(
            {
                "addresses": [str(address) for address in found],
                "keep_s": self._settings.addresses_keep_s,
            }
        )

    async def _status(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        ready = bool(self._tables.slots.entries and self._tables.config.profiles)
        return web.json_response(
            {
                "host": self._tables.host,
                "ready": ready,
                "versions": self._tables.config.versions,
                "age_s": round(freshness.age_s(self._tables, now), 3),
                "may_dispatch": freshness.may_dispatch(self._tables, now),
                "incarnation": self._tables.peers.incarnation,
                "members": {
                    row.host: row.state for row in self._tables.peers.rows.values()
                },
                "leaving": sorted(
                    row.name
                    for row in self._tables.targets.rows.values()
                    if row.leaving
                ),
                "counts": self._stats.counts,
            }
        )

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        try:
            row, body = await self._submit(request)
        except RequestFailed as exc:
            self._stats.count(f"entry.refused.{exc.failure.code}")
            return error_response(exc.failure)
        self._stats.count("entry.accepted")
        if body.stream:
            try:
                start = start_after(request.headers.get("Last-Event-ID"), row)
            except RequestFailed as exc:
                return error_response(exc.failure)
            return await stream_answer(request, row, start)
        return await whole_answer(row)

    async def _submit(self, request: web.Request) -> tuple[RequestRow, GenerateBody]:
        if self._tables.stopping:
            message = f"{self._tables.host} is about to stop; use another address"
            raise not_run(ErrorCode.STOPPING, message, 0.0)
        raw = await request.read()
        try:
            body = msgspec.json.decode(raw, type=GenerateBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise not_run(ErrorCode.BAD_REQUEST, f"body: {exc}") from exc
        profile = self._tables.config.profiles.get(body.profile)
        if profile is None or profile.kind is not ProfileKind.GENERATION:
            message = f"profile: got {body.profile!r}, expected a declared one"
            raise not_run(ErrorCode.UNKNOWN_PROFILE, message)
        if not 1 <= body.max_tokens <= profile.max_tokens:
            message = (
                f"max_tokens: got {body.max_tokens}, "
                f"expected 1 to {profile.max_tokens}"
            )
            raise not_run(ErrorCode.BAD_REQUEST, message)
        customer = request.headers.get("X-Customer", "")
        if customer not in self._tables.config.customers:
            message = f"X-Customer: got {customer!r}, expected a declared customer"
            raise not_run(ErrorCode.UNKNOWN_CUSTOMER, message)
        key = request.headers.get("Idempotency-Key", "")
        if not key and not profile.idempotent:
            message = f"profile {profile.name!r} expects an Idempotency-Key"
            raise not_run(ErrorCode.KEY_REQUIRED, message)
        new = NewRequest(
            RequestId(customer, key or secrets.token_hex(16)),
            profile,
            body.prompt,
            body.max_tokens,
            raw,
            hashlib.sha256(raw).hexdigest(),
            1,
        )
        row = await self._run.submit(new)
        return row, body
