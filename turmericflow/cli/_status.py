"""Commands that query the routers, usable while the platform is down."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp

from turmericflow.cli._access import (
    add_router_options,
    create_tls_context,
    get_addresses,
    read_key,
)
from turmericflow.cli._exit import CommandError, Exit
from turmericflow.cli._output import print_error, print_json, print_table

ROUTER_TIMEOUT_S = 3.0


class _RouterClient:
    """HTTP client for the routers' status and configuration."""

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
async def _open_client(args: argparse.Namespace) -> AsyncIterator[_RouterClient]:
    key, tls = read_key(args), create_tls_context(args)
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    options = {"headers": headers, "ssl": tls or True}
    timeout = aiohttp.ClientTimeout(total=ROUTER_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield _RouterClient(session, "https" if tls else "http", options)


async def fetch_objects(args: argparse.Namespace) -> list[dict]:
    """Return the declarations in effect at the first router that replies."""
    addresses = get_addresses(args)
    async with _open_client(args) as client:
        for address in addresses:
            config = await client.try_get(address, "/v1/config")
            if config is not None:
                return config["objects"]
    raise CommandError(f"none of {', '.join(addresses)} answered", Exit.UNREACHABLE)


async def _fetch_statuses(
    client: _RouterClient, addresses: list[str]
) -> dict[str, dict | None]:
    """Return the status of all routers, by address.

    Members listed by the given routers are queried too.
    """
    statuses: dict[str, dict | None] = {}
    pending = set(addresses)
    while pending:
        batch = sorted(pending)
        replies = await asyncio.gather(
            *(client.try_get(address, "/v1/status") for address in batch)
        )
        statuses.update(zip(batch, replies))
        for reply in replies:
            members = (reply or {}).get("members", [])
            pending.update(m["entry"] for m in members if m["state"] != "dead")
        pending -= statuses.keys()
    return statuses


def _version_rows(answers: list[dict]) -> list[tuple[str, str, str]]:
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


def _print_hosts(statuses: dict[str, dict | None]) -> None:
    rows = []
    for address, answer in sorted(statuses.items()):
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
    print_table(("object", "version", "in force at"), _version_rows(answers))
    print()
    members = {
        (each["host"], member["host"], member["state"])
        for each in answers
        for member in each["members"]
        if member["state"] != "alive"
    }
    for host, member, state in sorted(members):
        print(f"{host} considers {member} {state}")
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
    async with _open_client(args) as client:
        statuses = await _fetch_statuses(client, get_addresses(args))
    answers = [each for each in statuses.values() if each is not None]
    if args.json:
        print_json({"hosts": statuses})
    else:
        _print_hosts(statuses)
        detailed = [each for each in answers if "versions" in each]
        if detailed:
            _print_details(detailed)
    if not answers:
        print_error("no router answered")
        return Exit.UNREACHABLE
    return Exit.OK


def add_status_command(commands) -> None:
    """Add the ``status`` command."""
    summary = "Show the object versions in effect per host, members, slots and targets."
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
