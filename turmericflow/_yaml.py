"""YAML parser that records the line of each value."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import yaml

MAX_YAML_BYTES = 1_000_000

Path = tuple[str | int, ...]


class YamlError(Exception):
    """Raised if text is not valid YAML, or uses features that are not accepted.

    Attributes
    ----------
    line
        Line of the error, starting at 1.
    """

    def __init__(self, message: str, line: int = 1) -> None:
        super().__init__(message)
        self.line = line


@dataclass(slots=True)
class Document:
    """One YAML document.

    Attributes
    ----------
    value
        Content of the document.
    lines
        Line of each value by its path, starting at 1.
    """

    value: Any
    lines: dict[Path, int] = field(default_factory=dict)

    def line_of(self, path: Path) -> int:
        """Return the line of a value, or of the innermost value that contains it."""
        for length in range(len(path), 0, -1):
            if path[:length] in self.lines:
                return self.lines[path[:length]]
        return self.lines.get((), 1)


class _Loader(yaml.SafeLoader):
    """A safe loader that rejects aliases, which can expand without limit."""

    def compose_node(self, parent: yaml.Node | None, index: Any) -> yaml.Node:
        if self.check_event(yaml.AliasEvent):
            line = self.peek_event().start_mark.line + 1
            raise YamlError("got an alias, expected plain values", line)
        return super().compose_node(parent, index)


def _record_lines(node: yaml.Node, path: Path, lines: dict[Path, int]) -> None:
    lines.setdefault(path, node.start_mark.line + 1)
    match node:
        case yaml.MappingNode():
            _record_field_lines(node, path, lines)
        case yaml.SequenceNode():
            for number, item in enumerate(node.value):
                _record_lines(item, (*path, number), lines)


def _record_field_lines(
    node: yaml.MappingNode, path: Path, lines: dict[Path, int]
) -> None:
    seen: set[str] = set()
    for key, value in node.value:
        line = key.start_mark.line + 1
        if not isinstance(key, yaml.ScalarNode):
            raise YamlError("got a compound field name, expected text", line)
        if key.value in seen:
            message = f"got field {key.value!r} twice, expected it once"
            raise YamlError(message, line)
        seen.add(key.value)
        lines[(*path, key.value)] = line
        _record_lines(value, (*path, key.value), lines)


def _load_documents(loader: _Loader) -> list[Document]:
    documents = []
    while loader.check_node():
        node = loader.get_node()
        lines: dict[Path, int] = {}
        _record_lines(node, (), lines)
        documents.append(Document(loader.construct_document(node), lines))
    return documents


def parse(raw: bytes) -> list[Document]:
    """Return the documents of a YAML file.

    Raises
    ------
    YamlError
        If there are more than `MAX_YAML_BYTES`, or the text is not valid YAML.
    """
    if len(raw) > MAX_YAML_BYTES:
        raise YamlError(f"got {len(raw)} bytes, expected at most {MAX_YAML_BYTES}")
    try:
        return _load_documents(_Loader(raw.decode()))
    except yaml.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 1
        raise YamlError(f"got invalid YAML: {exc.problem}", line) from exc
    except UnicodeDecodeError as exc:
        line = raw[: exc.start].count(b"\n") + 1
        raise YamlError("got bytes that are not UTF-8, expected text", line) from exc
    except yaml.YAMLError as exc:
        reason = " ".join(str(exc).split())
        raise YamlError(f"got invalid YAML: {reason}") from exc
    except RecursionError as exc:
        raise YamlError("got too many levels, expected fewer") from exc
    except (ValueError, TypeError, AttributeError, KeyError) as exc:
        raise YamlError(f"got an invalid value: {exc}") from exc
