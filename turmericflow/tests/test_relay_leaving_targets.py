"""Tests of targets that say in their answers that they leave, or want nothing."""

from __future__ import annotations

import asyncio

import pytest

from turmericflow.tests.platform_stand_ins import Fleet, TargetStandIn

HOSTS = 7
DRAIN_S = 2.0
GOSSIP_S = 0.5


@pytest.fixture
async def serving_fleet(fleet_of_seven: Fleet) -> Fleet:
    """Run one host more than watch the targets, with three plain targets."""
    fleet = fleet_of_seven
    await fleet.add_plain(3)
    return fleet


class Load:
    """Requests at all hosts in turn, with the statuses of their responses."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._sent = 0
        self.statuses: list[int] = []
        self.retry_after: list[float] = []

    async def send(self, number: int, path: str = "/order/a") -> None:
        hosts = self._fleet.hosts
        await asyncio.gather(
            *(self._send(path, (self._sent + n) % len(hosts)) for n in range(number))
        )

    async def _send(self, path: str, host: int) -> None:
        self._sent += 1
        id = f"r{self._sent}"
        async with self._fleet.request(path, id, host=host) as resp:
            await resp.read()
            self.statuses.append(resp.status)
            if "Retry-After" in resp.headers:
                self.retry_after.append(float(resp.headers["Retry-After"]))


def now() -> float:
    return asyncio.get_running_loop().time()


async def until_it_says_so(fleet: Fleet, target: TargetStandIn) -> None:
    """Send requests until a target has said in an answer that it leaves."""
    target.leaving = True
    load, received = Load(fleet), len(target.received)
    while len(target.received) == received:
        await load.send(1)


# Guards against requests at a target that leaves, as only its answers say so.
@pytest.mark.parametrize("path", ["/order/a", "/state/a"])
async def test_no_host_sends_to_a_target_that_said_in_an_answer_that_it_leaves(
    serving_fleet: Fleet, path: str
):
    fleet, load = serving_fleet, Load(serving_fleet)
    target = fleet.targets["plain-0"]
    await load.send(30, path)
    await until_it_says_so(fleet, target)
    await asyncio.sleep(GOSSIP_S)
    received = len(target.received)
    await load.send(60, path)
    assert len(target.received) == received
    assert set(load.statuses) == {200}


# Guards against a target that leaves and whose refusals and errors are not heard.
@pytest.mark.parametrize("fault", ["shed", "error"])
async def test_a_refusal_or_an_error_says_that_a_target_leaves(
    serving_fleet: Fleet, fault: str
):
    fleet, load = serving_fleet, Load(serving_fleet)
    target = fleet.targets["plain-0"]
    target.leaving, target.injected.always = True, fault
    while not target.received and not target.shed:
        await load.send(1, "/state/a")
    await asyncio.sleep(GOSSIP_S)
    received = len(target.received), len(target.shed)
    await load.send(60, "/state/a")
    assert (len(target.received), len(target.shed)) == received


# Guards against an entry of a target that leaves, but is not marked in the store.
async def test_an_entry_does_not_undo_what_a_target_said(serving_fleet: Fleet):
    fleet, load = serving_fleet, Load(serving_fleet)
    target = fleet.targets["plain-0"]
    await until_it_says_so(fleet, target)
    await asyncio.sleep(GOSSIP_S)
    received = len(target.received)
    fleet.store.put("servers", target.name, target.entry() | {"slots": 7})
    await asyncio.sleep(GOSSIP_S)
    await load.send(40)
    fleet.store.remove("servers", target.name)
    await asyncio.sleep(GOSSIP_S)
    fleet.store.put("servers", target.name, target.entry() | {"slots": 8})
    await asyncio.sleep(GOSSIP_S)
    await load.send(40)
    assert len(target.received) == received


# Guards against a new process that gets nothing, as the one before it left.
async def test_a_target_that_started_again_under_its_id_is_used(serving_fleet: Fleet):
    fleet, load = serving_fleet, Load(serving_fleet)
    target = fleet.targets["plain-0"]
    await until_it_says_so(fleet, target)
    await asyncio.sleep(GOSSIP_S)
    received = len(target.received)
    target.leaving = False
    fleet.store.put("servers", target.name, target.entry() | {"born": 1})
    await asyncio.sleep(GOSSIP_S)
    await load.send(60)
    assert len(target.received) > received


# Guards against streams and copies at an engine that leaves.
async def test_streams_and_copies_avoid_an_engine_that_said_that_it_leaves(
    fleet_of_three: Fleet,
):
    fleet = fleet_of_three
    engines = await fleet.add_engines("dc-0", "dc-1", "dc-2")
    engine = engines[0]
    engine.leaving = True
    load = Load(fleet)
    while not engine.received:
        await load.send(3, "/stream/a?events=2&interval_s=0.01")
    await asyncio.sleep(GOSSIP_S)
    received = len(engine.received)
    sent = [len(each.received) for each in engines]
    await load.send(30, "/stream/a?events=2&interval_s=0.01")
    backups = {
        each.headers.get("X-Turmericflow-Kv-Backup")
        for other, number in zip(engines, sent)
        for each in other.received[number:]
    }
    assert len(engine.received) == received
    assert engine.address not in backups


# Guards against requests at a target that has said for how long it wants none.
@pytest.mark.parametrize("name", ["1.5", "1"])
async def test_a_full_target_gets_nothing_for_as_long_as_it_says(
    serving_fleet: Fleet, name: str
):
    fleet, load = serving_fleet, Load(serving_fleet)
    target = fleet.targets["plain-0"]
    target.injected.always, target.retry_after = "shed", name
    since = now()
    while now() < since + 3.0:
        await load.send(HOSTS, "/state/a")
        await asyncio.sleep(0.05)
    # Each host may meet the refusal once in each of the target's waits.
    assert len(target.shed) <= HOSTS * (3.0 / float(name) + 1)
    assert set(load.statuses) == {200}


# Guards against callers that wait, or come back too early or all at once.
async def test_a_request_is_refused_at_once_while_all_targets_are_full(fleet: Fleet):
    targets = await fleet.add_plain(3)
    load = Load(fleet)
    for number, target in enumerate(targets):
        target.injected.always, target.retry_after = "shed", str(1.0 + number)
    await load.send(1)
    load.statuses.clear(), load.retry_after.clear()
    sent_at, received = now(), sum(len(target.shed) for target in targets)
    await load.send(20)
    assert now() - sent_at < 0.3
    assert set(load.statuses) == {503}
    assert sum(len(target.shed) for target in targets) == received
    assert 0.5 < min(load.retry_after)
    assert len({round(each, 2) for each in load.retry_after}) > 5


# Guards against a value that closes a target for good, or ends the host.
@pytest.mark.parametrize("value", ["-1", "soon", "", "nan", "1e400", "9" * 400])
async def test_a_time_that_cannot_be_used_closes_no_target_for_good(
    fleet: Fleet, value: str
):
    (target,) = await fleet.add_plain(1)
    target.retry_after = value
    target.injected.faults = ["shed"]
    load = Load(fleet)
    await load.send(1)
    await asyncio.sleep(0.6)
    await load.send(1)
    assert load.statuses == [503, 200]
