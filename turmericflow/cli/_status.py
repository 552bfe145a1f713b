"""Commands that ask the routers, and so work while the platform is down."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp

from turmericflow.cli._access import (
    add_router_options,
    addresses_of,
    key_of,
    tls_of,
)
from turmericflow.cli._exit import CommandError, Exit
from turmericflow.cli._output import print_error, print_json, print_table

ROUTER_TIMEOUT_S = 3.0


class _Routers:
    """Asks routers for their accounts."""

    def __init__(
        self, session: aiohttp.ClientSession, scheme: str, options: dict
    ) -> None:
        self._session = session
        self._scheme = scheme
        self._options = options

    async def get(self, address: str, path: str) -> dict:
        url = f"{self._scheme}://{address}{path}"
        async with self._session.get(url, **self._options) as resp:
            body = await resp.json()
            if resp.status != 200:
                message = body["error"]["message"]
                raise CommandError(f"{address}: {message}", Exit.NOT_RUN)
            return body

    async def try_get(self, address: str, path: str) -> dict | None:
        try:
            return await self.get(address, path)
        except (aiohttp.ClientError, OSError, ValueError, KeyError):
            return None


@contextlib.asynccontextmanager
async def _open_routers(args: argparse.Namespace) -> AsyncIterator[_Routers]:
    key, tls = key_of(args), tls_of(args)
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    options = {"headers": headers, "ssl": tls or True}
    timeout = aiohttp.ClientTimeout(total=ROUTER_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield _Routers(session, "https" if tls else "http", options)


async def fetch_objects(args: argparse.Namespace) -> list[dict]:
    """Return the declarations in force at the first router that answers."""
    addresses = addresses_of(args)
    async with _open_routers(args) as routers:
        for address in addresses:
            found = await routers.try_get(address, "/v1/config")
            if found is not None:
                return found["objects"]
    raise CommandError(f"none of {', '.join(addresses)} answered", Exit.UNREACHABLE)


async def _ask_all(routers: _Routers, addresses: list[str]) -> dict[str, dict | None]:
    """Ask the addresses, and all members that their answers name."""
    found: dict[str, dict | None] = {}
    left = set(addresses)
    while left:
        asked = sorted(left)
        answers = await asyncio.gather(
            *(routers.try_get(address, "/v1/status") for address in asked)
        )
        found.update(zip(asked, answers))
        for answer in answers:
            members = (answer or {}).get("members", [])
            left.update(m["entry"] for m in members if m["state"] != "dead")
        left -= found.keys()
    return found


def _in_force(answers: list[dict]) -> list[tuple[str, str, str]]:
    paths = sorted({path for each in answers for path in each["versions"]})
    rows = []
    for path in paths:
        versions = {each["host"]: each["versions"].get(path, 0) for each in answers}
        newest = max(versions.values())
        behind = [
            f"{host} has {version}"
            for host, version in sorted(versions.items())
            if version < newest
        ]
        rows.append((path, str(newest), ", ".join(behind) or "all hosts"))
    return rows


def _print_hosts(found: dict[str, dict | None]) -> None:
    rows = []
    for address, answer in sorted(found.items()):
        if answer is None:
            rows.append(("?", "", address, "unreachable", "", "", "", ""))
            continue
        state = "ready" if answer["ready"] else "not ready"
        if answer.get("stopping"):
            state = "leaving"
        if "slots" not in answer:
            rows.append((answer["host"], "", address, state, "", "", "", ""))
            continue
        slots = answer["slots"]
        age = answer["view_age_s"]
        rows.append(
            (
                answer["host"],
                answer["data_centre"],
                address,
                state,
                "unknown" if age is None else f"{age:.1f} s",
                f"{slots['owned']}+{slots['backed']} of {slots['total']}",
                f"v{slots['version']}",
                answer["running"],
            )
        )
    head = ("host", "data centre", "entry", "state", "view age")
    print_table((*head, "slots", "owner map", "running"), rows)


def _print_details(answers: list[dict]) -> None:
    print()
    print_table(("object", "version", "in force at"), _in_force(answers))
    print()
    members = {
        (each["host"], member["host"], member["state"])
        for each in answers
        for member in each["members"]
        if member["state"] != "alive"
    }
    for host, member, state in sorted(members):
        print(f"{host} holds {member} to be {state}")
    rows = sorted(
        (target["name"], target["service"], each["host"], target["state"])
        for each in answers
        for target in each["targets"]
        if target["state"] != "in use"
    )
    names = {target["name"] for each in answers for target in each["targets"]}
    print(f"{len(names)} targets, {len({row[0] for row in rows})} shut out somewhere")
    if rows:
        print_table(("target", "service", "by host", "state"), rows)


async def _status(args: argparse.Namespace) -> Exit:
    async with _open_routers(args) as routers:
        found = await _ask_all(routers, addresses_of(args))
    answers = [each for each in found.values() if each is not None]
    if args.json:
        print_json({"hosts": found})
    else:
        _print_hosts(found)
        detailed = [each for each in answers if "versions" in each]
        if detailed:
            _print_details(detailed)
    if not answers:
        print_error("no router answered")
        return Exit.UNREACHABLE
    return Exit.OK


def add_status_command(commands) -> None:
    """Add the command that asks all routers for their accounts."""
    summary = "Show which host has which version in force, members, slots and targets."
    parser = commands.add_parser(
        "status",
        help=summary,
        description=summary,
        epilog="example:\n  turmericflow status --address 127.0.1.1:7000",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(run=_status)
    parser.add_argument("--json", action="store_true", help="print JSON")
    add_router_options(parser)
