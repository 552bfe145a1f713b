"""Faults of declared values: the field, the value got and the value expected."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import TypeAdapter, ValidationError
from pydantic_core import ErrorDetails

MAX_SHOWN_CHARS = 80

_EXPECTED = {
    "missing": "a value",
    "string_type": "text",
    "int_type": "an integer",
    "int_parsing": "an integer",
    "int_from_float": "an integer",
    "float_type": "a number",
    "float_parsing": "a number",
    "finite_number": "a finite number",
    "bool_type": "true or false",
    "bool_parsing": "true or false",
    "list_type": "a list",
    "dataclass_type": "a mapping of fields",
    "greater_than": "a value greater than {gt}",
    "greater_than_equal": "a value of at least {ge}",
    "less_than": "a value less than {lt}",
    "less_than_equal": "a value of at most {le}",
    "string_pattern_mismatch": "text of the form {pattern}",
    "string_too_long": "at most {max_length} characters",
    "too_long": "at most {max_length} items",
    "enum": "{expected}",
    "value_error": "{error}",
}


@dataclass(slots=True, frozen=True)
class Problem:
    """One fault of a value.

    Attributes
    ----------
    path
        Where the value stands.
    got
        The value, shortened for a line.
    expected
        What it should have been.
    """

    path: tuple[str | int, ...]
    got: str
    expected: str

    @property
    def field(self) -> str:
        """The path as text."""
        return ".".join(str(part) for part in self.path) or "(whole file)"

    def __str__(self) -> str:
        return f"{self.field}: got {self.got}, expected {self.expected}"


def format_value(value: object) -> str:
    """Return a value's form for an error line, on one line and not long."""
    text = " ".join(repr(value).split())
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."


def _known_fields(schema: Mapping[str, Any], path: Iterable[str | int]) -> list[str]:
    defs = schema.get("$defs", {})
    node = schema
    for part in (None, *path):
        if part is not None:
            inner = node.get("items" if isinstance(part, int) else "properties", {})
            node = inner if isinstance(part, int) else inner.get(part, {})
        options = node.get("anyOf", [node])
        node = next((each for each in options if each.get("type") != "null"), node)
        ref = node.get("$ref", "").rsplit("/", 1)[-1]
        node = defs.get(ref, node)
    return sorted(node.get("properties", {}))


def _expected(adapter: TypeAdapter, error: ErrorDetails) -> str:
    if error["type"] == "unexpected_keyword_argument":
        known = _known_fields(adapter.json_schema(), error["loc"][:-1])
        return f"one of the fields {', '.join(known)}"
    form = _EXPECTED.get(error["type"])
    if form is None:
        return error["msg"]
    return form.format(**error.get("ctx", {}))


def find_problems(adapter: TypeAdapter, exc: ValidationError) -> list[Problem]:
    """Return the faults that a validation found, in the order of the fields."""
    problems = []
    for error in exc.errors():
        got = format_value(error["input"])
        if error["type"] == "missing":
            got = "nothing"
        elif error["type"] == "unexpected_keyword_argument":
            got = f"the unknown field {str(error['loc'][-1])!r}"
        problems.append(Problem(error["loc"], got, _expected(adapter, error)))
    return problems
