"""HTTP routes for calls, and to attach to and cancel requests."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Callable
from typing import Annotated

import msgspec
from aiohttp import web

from turmericflow import wire
from turmericflow.profile import Profile, ProfileKind
from turmericflow.services._answer import start_after, stream_answer, whole_answer
from turmericflow.services._auth import authenticate
from turmericflow.services._claimant import NewRequest
from turmericflow.services._headers import read_header, read_path_key, read_try
from turmericflow.services._http import read_body
from turmericflow.services._peers import Peers, PeerUnreachable, Reply
from turmericflow.services._runner import Runner
from turmericflow.tables import RequestId, Tables
from turmericflow.verdict import ErrorCode, Failure, RequestFailed, Verdict, not_run

FindProfile = Callable[[str, ProfileKind], tuple[Profile, Failure | None]]


class CallBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /v1/call``; the payload is forwarded unchanged."""

    profile: Annotated[str, msgspec.Meta(max_length=63)]
    payload: msgspec.Raw


class RequestRoutes:
    """HTTP handlers of calls, and of requests addressed by their key."""

    __slots__ = ("_find_profile", "_peers", "_runner", "_tables")

    def __init__(
        self, tables: Tables, runner: Runner, peers: Peers, find_profile: FindProfile
    ) -> None:
        self._tables = tables
        self._runner = runner
        self._peers = peers
        self._find_profile = find_profile
        peers.handle(wire.Cancel, self._on_cancel)

    def add_to(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_post("/v1/call", self._call)
        app.router.add_get("/v1/requests/{key}", self._attach)
        app.router.add_delete("/v1/requests/{key}", self._cancel)

    async def _call(self, request: web.Request) -> web.Response:
        customer = authenticate(request, self._tables)
        key = read_header(request.headers, "Idempotency-Key")
        try_no = read_try(request)
        raw, body = await read_body(request, CallBody)
        profile, refusal = self._find_profile(body.profile, ProfileKind.CALL)
        if refusal is None and profile.retired:
            message = f"profile: got {profile.name!r}, which is retired"
            refusal = Failure(ErrorCode.RETIRED, Verdict.NOT_RUN, message)
        if key is None and refusal is None and not profile.idempotent:
            message = f"Idempotency-Key: got none, profile {profile.name!r} expects one"
            raise not_run(ErrorCode.KEY_REQUIRED, message)
        new = NewRequest(
            RequestId(customer.name, key or secrets.token_hex(16)),
            profile,
            bytes(body.payload).decode(),
            1,
            raw,
            hashlib.sha256(raw).hexdigest(),
            try_no,
            bool(key),
        )
        return await whole_answer(await self._runner.submit(new, refusal))

    def _request_id(self, request: web.Request) -> RequestId:
        customer = authenticate(request, self._tables)
        return RequestId(customer.name, read_path_key(request))

    async def _attach(self, request: web.Request) -> web.StreamResponse:
        request_id = self._request_id(request)
        last_id = read_header(request.headers, "Last-Event-ID")
        row = await self._runner.attach(request_id)
        if request.query.get("stream", "true") == "false":
            return await whole_answer(row)
        return await stream_answer(request, row, start_after(last_id, row))

    async def _cancel(self, request: web.Request) -> web.Response:
        request_id = self._request_id(request)
        runner = await self._runner.runner_of(request_id)
        if runner is None:
            return web.json_response({"cancelled": False})
        rid = self._peers.next_rid()
        msg = wire.Cancel(rid, request_id.customer, request_id.key)
        try:
            answer = await self._peers.call(runner, msg)
        except PeerUnreachable as exc:
            message = f"the router that runs this request cannot be reached: {exc}"
            failure = Failure(ErrorCode.NO_OWNER, Verdict.MAY_HAVE_RUN, message, 1.0)
            raise RequestFailed(failure) from exc
        return web.json_response({"cancelled": answer.found})

    def _on_cancel(self, msg: wire.Cancel, reply: Reply) -> None:
        request_id = RequestId(msg.customer, msg.key)
        message = "cancelled by its caller"
        found = self._runner.stop(request_id, ErrorCode.CANCELLED, message)
        reply(wire.Cancelled(msg.rid, found))
