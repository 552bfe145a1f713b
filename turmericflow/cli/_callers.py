"""Commands for callers."""

from __future__ import annotations

import argparse
import json
import sys
import uuid

from turmericflow.cli._access import (
    CUSTOMER_ENV,
    add_command,
    add_router_options,
    open_caller,
)
from turmericflow.cli._exit import EXIT_BY_VERDICT, CommandError, Exit
from turmericflow.cli._output import print_error, print_json
from turmericflow.client import Answer, BadReply, Token
from turmericflow.verdict import Failure

DEFAULT_TRIES = 3


def _report_failure(failure: Failure, as_json: bool) -> Exit:
    if as_json:
        print_json(
            {
                "error": {
                    "code": failure.code,
                    "verdict": failure.verdict,
                    "message": failure.message,
                    "retry_after_s": failure.retry_after_s,
                }
            }
        )
    print_error(f"{failure.verdict}: {failure.code}: {failure.message}")
    return EXIT_BY_VERDICT[failure.verdict]


def _print_token(token: Token) -> None:
    sys.stdout.write(token.text)
    sys.stdout.flush()


def _report_answer(answer: Answer, key: str, as_json: bool) -> Exit:
    if answer.failure is not None:
        if answer.tokens and not as_json:
            print()
        return _report_failure(answer.failure, as_json)
    if as_json:
        print_json(
            {
                "key": key,
                "text": answer.text,
                "count": len(answer.tokens),
                "last_event_id": answer.last_event_id,
                "reconnects": answer.reconnects,
                "whole": answer.whole,
            }
        )
    else:
        print()
    return Exit.OK


def _read_argument(text: str) -> str:
    return sys.stdin.read() if text == "-" else text


async def _addresses(args: argparse.Namespace) -> Exit:
    async with open_caller(args) as caller:
        try:
            addresses = await caller.fetch_addresses()
        except BadReply as exc:
            raise CommandError(str(exc), Exit.UNREACHABLE) from exc
    if args.json:
        print_json(addresses)
    else:
        print("\n".join(addresses["addresses"]))
    return Exit.OK


async def _generate(args: argparse.Namespace) -> Exit:
    key = args.idempotency_key or str(uuid.uuid4())
    on_token = None if args.json else _print_token
    if not args.json:
        print_error(f"idempotency key {key}")
    prompt = _read_argument(args.prompt)
    async with open_caller(args) as caller:
        answer = await caller.generate(
            args.profile, prompt, key, args.max_tokens, on_token
        )
    return _report_answer(answer, key, args.json)


async def _call(args: argparse.Namespace) -> Exit:
    key = args.idempotency_key or str(uuid.uuid4())
    try:
        payload = json.loads(_read_argument(args.payload))
    except ValueError as exc:
        raise CommandError(f"payload: expected JSON: {exc}", Exit.USAGE) from exc
    async with open_caller(args) as caller:
        answer = await caller.call(args.profile, payload, key)
    if answer.whole and not args.json:
        sys.stdout.write(answer.text)
    return _report_answer(answer, key, args.json)


async def _attach(args: argparse.Namespace) -> Exit:
    on_token = None if args.json else _print_token
    async with open_caller(args) as caller:
        try:
            answer = await caller.attach(args.key, args.last_event_id, on_token)
        except (ValueError, IndexError) as exc:
            message = (
                f"--last-event-id: got {args.last_event_id!r}, expected an event id"
            )
            raise CommandError(message, Exit.USAGE) from exc
    return _report_answer(answer, args.key, args.json)


async def _cancel(args: argparse.Namespace) -> Exit:
    async with open_caller(args) as caller:
        answer = await caller.cancel(args.key)
    if answer.failure is not None:
        return _report_failure(answer.failure, args.json)
    cancelled = bool(answer.body.get("cancelled"))
    if args.json:
        print_json({"key": args.key, "cancelled": cancelled})
    elif cancelled:
        print(f"{args.key} cancelled")
    if not cancelled:
        print_error(f"no running request with key {args.key!r}")
        return Exit.FAILED
    return Exit.OK


def _add(commands, name: str, run, summary: str, example: str):
    parser = add_command(commands, name, run, summary, example)
    add_router_options(parser)
    parser.add_argument(
        "--customer", metavar="NAME", help=f"the customer's name (or {CUSTOMER_ENV})"
    )
    parser.add_argument(
        "--tries",
        type=int,
        default=DEFAULT_TRIES,
        metavar="N",
        help="tries of a temporarily refused request (default %(default)s)",
    )
    return parser


def _add_key(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "-k",
        "--idempotency-key",
        metavar="KEY",
        help="key of the request; a repeat with the same key does not run it again",
    )


def add_caller_commands(commands) -> None:
    """Add the commands for callers."""
    _add(
        commands,
        "addresses",
        _addresses,
        "Print the addresses to use, the preferred one first.",
        "turmericflow addresses --address 127.0.1.1:7000 --customer norte",
    )
    parser = _add(
        commands,
        "generate",
        _generate,
        "Run a generation and print its text as it arrives.",
        "turmericflow generate quotation 'Fascia sign, 3 m' -k tender-17",
    )
    parser.add_argument("profile")
    parser.add_argument("prompt", help="the prompt, or - for standard input")
    parser.add_argument("--max-tokens", type=int, default=256, metavar="N")
    _add_key(parser)
    parser = _add(
        commands,
        "call",
        _call,
        "Call a plain service and print its answer.",
        'turmericflow call booking \'{"arena": 2, "slot": "07:30"}\' -k b-8812',
    )
    parser.add_argument("profile")
    parser.add_argument("payload", help="JSON, or - for standard input")
    _add_key(parser)
    parser = _add(
        commands,
        "attach",
        _attach,
        "Print the rest of a running request, or its recorded answer.",
        "turmericflow attach tender-17 --last-event-id 5f2c.1.40",
    )
    parser.add_argument("key", help="the request's idempotency key")
    parser.add_argument("--last-event-id", default="", metavar="ID")
    parser = _add(
        commands,
        "cancel",
        _cancel,
        "Cancel a request.",
        "turmericflow cancel tender-17",
    )
    parser.add_argument("key", help="the request's idempotency key")
