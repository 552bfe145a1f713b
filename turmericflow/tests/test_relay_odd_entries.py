"""Tests of entries that another writer left among those of the targets."""

from __future__ import annotations

import aiohttp
import pytest
from aiohttp import web

from turmericflow.platform._store import StoreClient
from turmericflow.relay import Kind, StoreFailed
from turmericflow.tests.platform_stand_ins import Fleet, HttpServer, TargetStandIn

DEEP = "[" * 50_000 + "]" * 50_000
GOOD = TargetStandIn("good", "dc-0").entry()
NO_ENTRY = '{"metadata":{"name":"odd","revision":7},"spec":%s}'


def odd_spec(**fields: str) -> str:
    """Return the JSON text of a target's entry with some fields given as JSON text."""
    texts = {
        "backend": '"plain"',
        "address": '"127.0.0.1:9"',
        "zone": '"dc-0"',
        "state": '"ready"',
        "version": '"v1"',
        "slots": "6",
        "coldRemainingMs": "0",
        "sequence": "1",
    } | fields
    return "{" + ",".join(f'"{name}":{text}' for name, text in texts.items()) + "}"


ODD = {
    "deep": NO_ENTRY % DEEP,
    "deep field": NO_ENTRY % odd_spec(unread=DEEP),
    "deep outside": '{"metadata":{"name":"odd","revision":7},"x":%s}' % DEEP,
    "surrogate": NO_ENTRY % odd_spec(zone='"\\ud800"'),
    "large born": NO_ENTRY % odd_spec(born=str(2**70)),
    "large slots": NO_ENTRY % odd_spec(slots=str(2**70)),
    "large float": NO_ENTRY % odd_spec(coldRemainingMs="1e999"),
    "port": NO_ENTRY % odd_spec(address='"127.0.0.1:99999"'),
    "no object": "17",
}


class OddStore(HttpServer):
    """A store that lists a good target and an odd entry, whole or in pages."""

    def __init__(self, odd: str) -> None:
        super().__init__()
        self.odd = odd
        self.paged = False
        self.calls = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls += 1
        good = web.json_response(
            {"metadata": {"name": "good", "revision": 5}, "spec": GOOD}
        ).text
        items, more = [self.odd, good], "false"
        if self.paged:
            items = [good] if "after" in request.query else [self.odd]
            more = "false" if "after" in request.query else "true"
        body = '{"items":[%s],"storeRevision":9,"hasMore":%s}' % (",".join(items), more)
        return web.Response(body=body.encode(), content_type="application/json")


# Guards against a list that cannot be used, or ends the host, for one odd entry.
@pytest.mark.parametrize("paged", [False, True])
@pytest.mark.parametrize("kind", list(ODD))
async def test_an_odd_entry_leaves_the_others_usable(kind: str, paged: bool):
    store = OddStore(ODD[kind])
    store.paged = paged
    await store.start()
    async with aiohttp.ClientSession() as session:
        client = StoreClient(session, store.address)
        if paged and kind == "no object":
            # Without a name there is no next page to ask for.
            with pytest.raises(StoreFailed):
                await client.read(Kind.TARGETS)
        else:
            listing = await client.read(Kind.TARGETS)
            usable = [row.name for row in listing.rows if row.value is not None]
            assert usable == ["good"]
    await store.stop()
    assert store.calls <= 2


# Guards against hosts that end, or no longer follow the list, for one odd entry.
@pytest.mark.parametrize("kind", ["deep", "large born", "surrogate"])
async def test_hosts_follow_the_targets_beside_an_odd_entry(
    fleet_of_three: Fleet, kind: str, monkeypatch: pytest.MonkeyPatch
):
    fleet = fleet_of_three
    await fleet.add_plain(1)
    make_response = fleet.store._json

    def add_odd_entry(body: object, status: int = 200) -> web.Response:
        resp = make_response(body, status)
        if isinstance(body, dict) and "plain-0" in str(body) and "items" in body:
            resp.text = resp.text.replace('"items": [', f'"items": [{ODD[kind]}, ', 1)
        if isinstance(body, dict) and "plain-1" in str(body) and "events" in body:
            event = f'{{"object": {ODD[kind]}}}'
            resp.text = resp.text.replace('"events": [', f'"events": [{event}, ', 1)
        return resp

    monkeypatch.setattr(fleet.store, "_json", add_odd_entry)
    await fleet.add_target(TargetStandIn("plain-1", "dc-1"))
    await fleet.until(lambda: fleet.all_hosts_have_targets("plain", 2))
    for host in range(3):
        async with fleet.request("/order/a", f"r{host}", host=host) as resp:
            assert resp.status == 200
    assert not any(host.daemon.crashed for host in fleet.hosts)
