"""Commands for operators, to read and write declarations."""

from __future__ import annotations

import argparse
import json
from dataclasses import asdict
from pathlib import Path

from turmericflow.cli._access import (
    add_command,
    add_platform_option,
    add_router_options,
    open_platform,
)
from turmericflow.cli._exit import EXIT_BY_OUTCOME, CommandError, Exit
from turmericflow.cli._output import print_error, print_json, print_table
from turmericflow.cli._status import fetch_objects
from turmericflow.declare import (
    ADAPTERS,
    ApplyResult,
    Change,
    ChangeKind,
    Declaration,
    FieldChange,
    Outcome,
    apply_change,
    compare,
    read_declarations,
)
from turmericflow.profile import Mark
from turmericflow.services._platform import PlatformClient, PlatformError


def _read(args: argparse.Namespace) -> list[Declaration]:
    declarations, problems = read_declarations(args.paths)
    if not problems:
        return declarations
    if args.json:
        print_json(
            {
                "faults": [
                    {
                        "file": each.file,
                        "line": each.line,
                        "field": each.problem.field,
                        "got": each.problem.got,
                        "expected": each.problem.expected,
                    }
                    for each in problems
                ]
            }
        )
    for each in problems:
        print_error(each)
    raise CommandError(f"{len(problems)} faults; nothing was changed", Exit.USAGE)


async def _compare_all(
    platform: PlatformClient, declarations: list[Declaration]
) -> list[Change]:
    try:
        found = await platform.list()
    except PlatformError as exc:
        raise CommandError(str(exc), Exit.UNREACHABLE) from exc
    present = {f"{item.kind}/{item.name}": item for item in found.items}
    return [compare(each, present.get(each.path)) for each in declarations]


def _fields(changes: tuple[FieldChange, ...]) -> list[dict]:
    return [asdict(each) for each in changes]


def _print_fields(changes: tuple[FieldChange, ...]) -> None:
    for each in changes:
        present = json.dumps(each.present)
        print(f"    {each.field}: {present} -> {json.dumps(each.wanted)}")


async def _check(args: argparse.Namespace) -> Exit:
    declarations = _read(args)
    if args.json:
        print_json({"faults": [], "declarations": [d.path for d in declarations]})
    else:
        print(f"{len(declarations)} declarations, no fault")
    return Exit.OK


async def _diff(args: argparse.Namespace) -> Exit:
    declarations = _read(args)
    async with open_platform(args) as platform:
        changes = await _compare_all(platform, declarations)
    if args.json:
        rows = [
            {
                "path": each.declaration.path,
                "change": each.kind,
                "version": each.version,
                "fields": _fields(each.fields),
            }
            for each in changes
        ]
        print_json({"changes": rows})
        return Exit.OK
    for each in changes:
        if each.kind is not ChangeKind.NONE:
            print(f"{each.kind} {each.declaration.path} (version {each.version})")
            _print_fields(each.fields)
    unchanged = sum(1 for each in changes if each.kind is ChangeKind.NONE)
    print(f"{len(changes) - unchanged} to change, {unchanged} as declared")
    return Exit.OK


def _read_expected(path: Path) -> dict[str, int]:
    try:
        rows = json.loads(path.read_text("utf-8"))["changes"]
        return {row["path"]: int(row["version"]) for row in rows}
    except (OSError, ValueError, KeyError, TypeError) as exc:
        message = f"{path}: got {exc!r}, expected the output of diff --json"
        raise CommandError(message, Exit.USAGE) from exc


def _find_conflict(change: Change, expected: dict[str, int]) -> ApplyResult | None:
    version = expected.get(change.declaration.path, change.version)
    if version == change.version or change.kind is ChangeKind.NONE:
        return None
    return ApplyResult(change, Outcome.RACED, change.version, change.fields)


async def _apply_all(
    platform: PlatformClient, changes: list[Change], expected: dict[str, int]
) -> list[ApplyResult]:
    results = []
    for change in changes:
        conflict = _find_conflict(change, expected)
        results.append(conflict or await apply_change(platform, change))
    return results


def _print_result(result: ApplyResult) -> None:
    path = result.change.declaration.path
    print(f"{result.outcome} {path} (version {result.version})")
    if result.outcome is Outcome.RACED:
        print(
            "    another operator changed the object; its value -> the declared value:"
        )
        _print_fields(result.differing_fields)
    if result.message:
        print(f"    {result.message}")


def _report_results(results: list[ApplyResult], as_json: bool) -> Exit:
    if as_json:
        rows = [
            {
                "path": each.change.declaration.path,
                "outcome": each.outcome,
                "version": each.version,
                "differs": _fields(each.differing_fields),
                "message": each.message,
            }
            for each in results
        ]
        print_json({"results": rows})
    else:
        for each in results:
            _print_result(each)
    code = max((EXIT_BY_OUTCOME[each.outcome] for each in results), default=Exit.OK)
    if code is not Exit.OK:
        failed = sum(
            1 for each in results if EXIT_BY_OUTCOME[each.outcome] is not Exit.OK
        )
        print_error(f"{failed} of {len(results)} objects are not as declared")
    return code


async def _apply(args: argparse.Namespace) -> Exit:
    declarations = _read(args)
    expected = _read_expected(args.expect) if args.expect else {}
    async with open_platform(args) as platform:
        changes = await _compare_all(platform, declarations)
        results = await _apply_all(platform, changes, expected)
    return _report_results(results, args.json)


async def _fetch_platform_objects(args: argparse.Namespace) -> list[dict]:
    async with open_platform(args) as platform:
        try:
            found = await platform.list()
        except PlatformError as exc:
            raise CommandError(str(exc), Exit.UNREACHABLE) from exc
    return [
        {
            "path": f"{each.kind}/{each.name}",
            "version": each.version,
            "value": each.value,
        }
        for each in found.items
        if each.kind in ADAPTERS and each.value is not None
    ]


def _filter_objects(objects: list[dict], path: str) -> list[dict]:
    if "/" in path:
        return [each for each in objects if each["path"] == path]
    prefix = f"{path}/" if path else ""
    return [each for each in objects if each["path"].startswith(prefix)]


async def _get(args: argparse.Namespace) -> Exit:
    fetch = fetch_objects if args.from_routers else _fetch_platform_objects
    objects = _filter_objects(await fetch(args), args.path)
    if "/" in args.path and not objects:
        raise CommandError(f"got {args.path!r}, expected an object that exists")
    if args.json:
        print_json({"objects": objects})
        return Exit.OK
    rows = [
        (each["path"], each["version"], json.dumps(each["value"])) for each in objects
    ]
    print_table(("object", "version", "value"), rows)
    return Exit.OK


async def _set(args: argparse.Namespace, kind: str, name: str, value: dict) -> Exit:
    declared = Declaration(kind, name, value, "", 0)
    async with open_platform(args) as platform:
        try:
            change = compare(declared, await platform.get(kind, name))
        except PlatformError as exc:
            raise CommandError(str(exc), Exit.UNREACHABLE) from exc
        result = await apply_change(platform, change)
    return _report_results([result], args.json)


async def _retire(args: argparse.Namespace) -> Exit:
    async with open_platform(args) as platform:
        try:
            found = await platform.get("profile", args.profile)
        except PlatformError as exc:
            raise CommandError(str(exc), Exit.UNREACHABLE) from exc
        if found is None or found.value is None:
            raise CommandError(f"got {args.profile!r}, expected a declared profile")
        declared = Declaration(
            "profile", args.profile, {**found.value, "retired": True}, "", 0
        )
        change = Change(declared, ChangeKind.UPDATE, found.version)
        if found.value.get("retired"):
            change = Change(declared, ChangeKind.NONE, found.version)
        result = await apply_change(platform, change)
    return _report_results([result], args.json)


async def _leave(args: argparse.Namespace) -> Exit:
    value = ADAPTERS["mark"].dump_python(Mark(args.target, not args.undo))
    return await _set(args, "mark", args.target, value)


def _add(commands, name: str, run, summary: str, example: str, platform: bool = True):
    parser = add_command(commands, name, run, summary, example)
    if platform:
        add_platform_option(parser)
    return parser


def _add_paths(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "paths", nargs="+", type=Path, metavar="PATH", help="YAML file or folder"
    )


def add_operator_commands(commands) -> None:
    """Add the commands for operators."""
    summary = "Check declarations without a connection."
    parser = _add(
        commands, "check", _check, summary, "turmericflow check declarations/", False
    )
    _add_paths(parser)
    summary = "Show what apply would change."
    parser = _add(commands, "diff", _diff, summary, "turmericflow diff declarations/")
    _add_paths(parser)
    summary = "Apply declarations, each only to the version that it was compared with."
    parser = _add(
        commands, "apply", _apply, summary, "turmericflow apply declarations/"
    )
    _add_paths(parser)
    parser.add_argument(
        "--expect",
        type=Path,
        metavar="FILE",
        help="output of diff --json; objects changed since then are not written",
    )
    summary = "Print objects as stored on the platform."
    parser = _add(commands, "get", _get, summary, "turmericflow get profile/quotation")
    parser.add_argument("path", nargs="?", default="", metavar="KIND[/NAME]")
    parser.add_argument(
        "--from-routers",
        action="store_true",
        help="read the objects from a router, for use while the platform is down",
    )
    add_router_options(parser)
    summary = "Refuse new requests of a profile; running work finishes."
    parser = _add(commands, "retire", _retire, summary, "turmericflow retire quotation")
    parser.add_argument("profile")
    summary = "Mark a target as leaving: it receives no new work."
    parser = _add(commands, "leave", _leave, summary, "turmericflow leave redactor-3")
    parser.add_argument("target")
    parser.add_argument("--undo", action="store_true", help="remove the mark")
