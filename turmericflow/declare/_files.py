"""Reading of declarations from YAML files, with every fault found at once."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from pydantic import ConfigDict, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as checked

from turmericflow._problems import Problem, find_problems, format_value
from turmericflow._yaml import Document, YamlError, parse
from turmericflow.profile import (
    CUSTOMER_ADAPTER,
    MARK_ADAPTER,
    PROFILE_ADAPTER,
    Profile,
    ProfileKind,
)

ADAPTERS: dict[str, TypeAdapter] = {
    "profile": PROFILE_ADAPTER,
    "customer": CUSTOMER_ADAPTER,
    "mark": MARK_ADAPTER,
}
_LISTS = {"profiles": "profile", "customers": "customer", "marks": "mark"}


@checked(slots=True, config=ConfigDict(extra="forbid"))
class _File:
    profiles: list[Any] = field(default_factory=list)
    customers: list[Any] = field(default_factory=list)
    marks: list[Any] = field(default_factory=list)


_FILE_ADAPTER = TypeAdapter(_File)


@dataclass(slots=True, frozen=True)
class Fault:
    """One fault of a file.

    Attributes
    ----------
    file, line
        Where it stands.
    problem
        What is wrong.
    """

    file: str
    line: int
    problem: Problem

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.problem}"


@dataclass(slots=True, frozen=True)
class Declaration:
    """One object as declared.

    Attributes
    ----------
    kind, name
        The object's kind and name on the platform.
    value
        All of its fields, defaults included.
    file, line
        Where it is declared.
    """

    kind: str
    name: str
    value: dict[str, Any]
    file: str
    line: int

    @property
    def path(self) -> str:
        """The object's path on the platform."""
        return f"{self.kind}/{self.name}"


def _yaml_files(paths: Iterable[Path]) -> list[Path]:
    found = []
    for path in paths:
        inner = sorted(path.rglob("*.yaml")) if path.is_dir() else [path]
        found.extend(inner)
    return found


def _find_inconsistent(path: tuple, profile: Profile) -> Iterable[Problem]:
    if profile.kind is ProfileKind.GENERATION and not profile.model:
        yield Problem((*path, "model"), "''", "the model of a generation's profile")
    if profile.wait_s > profile.deadline_s:
        expected = f"at most deadline_s, {profile.deadline_s:g}"
        yield Problem((*path, "wait_s"), f"{profile.wait_s:g}", expected)


class _Reader:
    """Collects declarations and faults over several files."""

    def __init__(self) -> None:
        self.declarations: dict[str, Declaration] = {}
        self.faults: list[Fault] = []

    def read(self, file: Path) -> None:
        try:
            documents = parse(file.read_bytes())
        except OSError as exc:
            problem = Problem((), str(exc.strerror), "a YAML file")
            self.faults.append(Fault(str(file), 1, problem))
        except YamlError as exc:
            got, _, expected = str(exc).removeprefix("got ").partition(", expected ")
            problem = Problem((), got, expected or "valid YAML")
            self.faults.append(Fault(str(file), exc.line, problem))
        else:
            for document in documents:
                self._take(str(file), document)

    def _take(self, file: str, document: Document) -> None:
        try:
            content = _FILE_ADAPTER.validate_python(document.value)
        except ValidationError as exc:
            for problem in find_problems(_FILE_ADAPTER, exc):
                self._fault(file, document, problem)
            return
        for listed, kind in _LISTS.items():
            for number, raw in enumerate(getattr(content, listed)):
                self._take_item(file, document, kind, (listed, number), raw)

    def _take_item(
        self, file: str, document: Document, kind: str, path: tuple, raw: object
    ) -> None:
        adapter = ADAPTERS[kind]
        try:
            item = adapter.validate_python(raw)
        except ValidationError as exc:
            for problem in find_problems(adapter, exc):
                whole = replace(problem, path=(*path, *problem.path))
                self._fault(file, document, whole)
            return
        if isinstance(item, Profile):
            for problem in _find_inconsistent(path, item):
                self._fault(file, document, problem)
        value = adapter.dump_python(item, mode="json")
        line = document.line_of(path)
        self._add(path, Declaration(kind, item.name, value, file, line))

    def _add(self, path: tuple, found: Declaration) -> None:
        first = self.declarations.setdefault(found.path, found)
        if first is not found:
            got = (
                f"{format_value(found.name)}, "
                f"declared before in {first.file}:{first.line}"
            )
            problem = Problem((*path, "name"), got, "one declaration of each name")
            self.faults.append(Fault(found.file, found.line, problem))

    def _fault(self, file: str, document: Document, problem: Problem) -> None:
        self.faults.append(Fault(file, document.line_of(problem.path), problem))


def read_declarations(
    paths: Iterable[Path],
) -> tuple[list[Declaration], list[Fault]]:
    """Read all declarations of files and folders.

    Parameters
    ----------
    paths
        Files, or folders whose ``*.yaml`` files are read.

    Returns
    -------
    tuple
        The declarations, and every fault found.
    """
    reader = _Reader()
    for file in _yaml_files(paths):
        reader.read(file)
    return list(reader.declarations.values()), reader.faults
