"""Options and connections to the routers and the platform."""

from __future__ import annotations

import argparse
import contextlib
import os
import ssl
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp

from turmericflow.cfg import Address
from turmericflow.cli._exit import CommandError, Exit
from turmericflow.client import Access, Caller
from turmericflow.services._platform import PlatformClient

ADDRESSES_ENV = "TURMERICFLOW_ADDRESSES"
CUSTOMER_ENV = "TURMERICFLOW_CUSTOMER"
KEY_ENV = "TURMERICFLOW_KEY"
PLATFORM_ENV = "TURMERICFLOW_PLATFORM"
PLATFORM_TIMEOUT_S = 5.0


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``, as a type for `argparse`."""
    try:
        return Address.from_text(text)
    except ValueError as exc:
        raise argparse.ArgumentTypeError(f"got {text!r}, expected {exc}") from None


def add_command(commands, name: str, run, summary: str, example: str):
    """Add a command with its help, an example and ``--json``; return its parser."""
    parser = commands.add_parser(
        name,
        help=summary,
        description=summary,
        epilog=f"example:\n  {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(run=run)
    parser.add_argument("--json", action="store_true", help="print JSON")
    return parser


def add_router_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for connecting to routers."""
    parser.add_argument(
        "--address",
        action="append",
        type=parse_address,
        metavar="IP:PORT",
        help=f"a router; may be repeated (or {ADDRESSES_ENV}, separated by commas)",
    )
    parser.add_argument(
        "--key-file",
        type=Path,
        metavar="FILE",
        help=f"file that holds the key to send (or {KEY_ENV}, the key itself)",
    )
    parser.add_argument(
        "--ca",
        type=Path,
        metavar="FILE",
        help="PEM file of the routers' certificate authority",
    )


def add_platform_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the address of the platform's object API."""
    parser.add_argument(
        "--platform",
        type=parse_address,
        metavar="IP:PORT",
        help=f"the platform's object API (or {PLATFORM_ENV})",
    )


def get_addresses(args: argparse.Namespace) -> list[str]:
    """Return the router addresses from the options or the environment."""
    if args.address:
        return [str(address) for address in args.address]
    listed = [part for part in os.environ.get(ADDRESSES_ENV, "").split(",") if part]
    if not listed:
        message = f"expected --address IP:PORT or {ADDRESSES_ENV}"
        raise CommandError(message, Exit.USAGE)
    try:
        return [str(parse_address(part.strip())) for part in listed]
    except argparse.ArgumentTypeError as exc:
        raise CommandError(f"{ADDRESSES_ENV}: {exc}", Exit.USAGE) from exc


def read_key(args: argparse.Namespace) -> str | None:
    """Return the key from its file or the environment, or None."""
    if args.key_file is None:
        return os.environ.get(KEY_ENV)
    try:
        return args.key_file.read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise CommandError(f"{args.key_file}: {exc}", Exit.USAGE) from exc


def create_tls_context(args: argparse.Namespace) -> ssl.SSLContext | None:
    """Return the TLS context, or None for plain connections."""
    if args.ca is None:
        return None
    try:
        return ssl.create_default_context(cafile=args.ca)
    except OSError as exc:
        raise CommandError(f"{args.ca}: {exc}", Exit.USAGE) from exc


def get_customer(args: argparse.Namespace) -> str:
    """Return the customer's name from the options or the environment."""
    customer = args.customer or os.environ.get(CUSTOMER_ENV)
    if not customer:
        raise CommandError(f"expected --customer NAME or {CUSTOMER_ENV}", Exit.USAGE)
    return customer


@contextlib.asynccontextmanager
async def open_caller(args: argparse.Namespace) -> AsyncIterator[Caller]:
    """Yield a caller that is set up from the options."""
    access = Access(
        get_customer(args),
        read_key(args),
        create_tls_context(args),
        max_tries=args.tries,
        learn_addresses=True,
    )
    async with aiohttp.ClientSession() as session:
        yield Caller(session, get_addresses(args), access)


@contextlib.asynccontextmanager
async def open_platform(args: argparse.Namespace) -> AsyncIterator[PlatformClient]:
    """Yield a client of the platform's object API, set up from the options."""
    address = args.platform
    if address is None:
        text = os.environ.get(PLATFORM_ENV)
        if not text:
            message = f"expected --platform IP:PORT or {PLATFORM_ENV}"
            raise CommandError(message, Exit.USAGE)
        try:
            address = parse_address(text)
        except argparse.ArgumentTypeError as exc:
            raise CommandError(f"{PLATFORM_ENV}: {exc}", Exit.USAGE) from exc
    timeout = aiohttp.ClientTimeout(total=PLATFORM_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield PlatformClient(session, address)
