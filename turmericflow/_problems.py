"""Validation errors of declared values, with the value got and the value expected."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import TypeAdapter, ValidationError
from pydantic_core import ErrorDetails

MAX_VALUE_CHARS = 80

_EXPECTED_BY_TYPE = {
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
    """A validation error of one value.

    Attributes
    ----------
    path
        Field names and list indexes that lead to the value.
    got
        The value as text, shortened to fit on a line.
    expected
        Description of a valid value.
    """

    path: tuple[str | int, ...]
    got: str
    expected: str

    @property
    def field(self) -> str:
        """Path of the value as text, with dots between its parts."""
        return ".".join(str(part) for part in self.path) or "(whole file)"

    def __str__(self) -> str:
        return f"{self.field}: got {self.got}, expected {self.expected}"


def format_value(value: object) -> str:
    """Return the repr of a value on one line, shortened to `MAX_VALUE_CHARS`."""
    text = " ".join(repr(value).split())
    return text if len(text) <= MAX_VALUE_CHARS else text[:MAX_VALUE_CHARS] + "..."


def _field_names(schema: Mapping[str, Any], path: Iterable[str | int]) -> list[str]:
    defs = schema.get("$defs", {})
    node = schema
    for part in (None, *path):
        if part is not None:
            inner = node.get("items" if isinstance(part, int) else "properties", {})
            node = inner if isinstance(part, int) else inner.get(part, {})
        options = node.get("anyOf", [node])
        node = next((item for item in options if item.get("type") != "null"), node)
        ref = node.get("$ref", "").rsplit("/", 1)[-1]
        node = defs.get(ref, node)
    return sorted(node.get("properties", {}))


def _expected(adapter: TypeAdapter, error: ErrorDetails) -> str:
    if error["type"] == "unexpected_keyword_argument":
        names = _field_names(adapter.json_schema(), error["loc"][:-1])
        return f"one of the fields {', '.join(names)}"
    template = _EXPECTED_BY_TYPE.get(error["type"])
    if template is None:
        return error["msg"]
    return template.format(**error.get("ctx", {}))


def find_problems(adapter: TypeAdapter, exc: ValidationError) -> list[Problem]:
    """Return the errors that a validation found, in the order of the fields."""
    problems = []
    for error in exc.errors():
        got = format_value(error["input"])
        if error["type"] == "missing":
            got = "nothing"
        elif error["type"] == "unexpected_keyword_argument":
            got = f"the unknown field {str(error['loc'][-1])!r}"
        problems.append(Problem(error["loc"], got, _expected(adapter, error)))
    return problems
