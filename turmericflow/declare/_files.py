"""Reading of declarations from YAML files, reporting all problems at once."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from pydantic import ConfigDict, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as pydantic_dataclass

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
_KIND_BY_LIST = {"profiles": "profile", "customers": "customer", "marks": "mark"}


@pydantic_dataclass(slots=True, config=ConfigDict(extra="forbid"))
class _File:
    profiles: list[Any] = field(default_factory=list)
    customers: list[Any] = field(default_factory=list)
    marks: list[Any] = field(default_factory=list)


_FILE_ADAPTER = TypeAdapter(_File)


@dataclass(slots=True, frozen=True)
class DeclarationProblem:
    """A problem in a declaration file.

    Attributes
    ----------
    file, line
        Location of the problem; lines count from 1.
    problem
        The invalid field, its value, and the expected one.
    """

    file: str
    line: int
    problem: Problem

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.problem}"


@dataclass(slots=True, frozen=True)
class Declaration:
    """One declared object.

    Attributes
    ----------
    kind, name
        The object's kind and name on the platform.
    value
        All fields, including defaults.
    file, line
        Location of the declaration; lines count from 1.
    """

    kind: str
    name: str
    value: dict[str, Any]
    file: str
    line: int

    @property
    def path(self) -> str:
        """Path of the object on the platform, ``KIND/NAME``."""
        return f"{self.kind}/{self.name}"


def _yaml_files(paths: Iterable[Path]) -> list[Path]:
    found = []
    for path in paths:
        files = sorted(path.rglob("*.yaml")) if path.is_dir() else [path]
        found.extend(files)
    return found


def _find_inconsistencies(path: tuple, profile: Profile) -> Iterable[Problem]:
    if profile.kind is ProfileKind.GENERATION and not profile.model:
        yield Problem((*path, "model"), "''", "the model of a generation's profile")
    if profile.wait_s > profile.deadline_s:
        expected = f"at most deadline_s, {profile.deadline_s:g}"
        yield Problem((*path, "wait_s"), f"{profile.wait_s:g}", expected)


class _Reader:
    """Collects declarations and problems from several files."""

    def __init__(self) -> None:
        self.declarations: dict[str, Declaration] = {}
        self.problems: list[DeclarationProblem] = []

    def read(self, file: Path) -> None:
        try:
            documents = parse(file.read_bytes())
        except OSError as exc:
            problem = Problem((), str(exc.strerror), "a YAML file")
            self.problems.append(DeclarationProblem(str(file), 1, problem))
        except YamlError as exc:
            got, _, expected = str(exc).removeprefix("got ").partition(", expected ")
            problem = Problem((), got, expected or "valid YAML")
            self.problems.append(DeclarationProblem(str(file), exc.line, problem))
        else:
            for document in documents:
                self._read_document(str(file), document)

    def _read_document(self, file: str, document: Document) -> None:
        try:
            content = _FILE_ADAPTER.validate_python(document.value)
        except ValidationError as exc:
            for problem in find_problems(_FILE_ADAPTER, exc):
                self._add_problem(file, document, problem)
            return
        for list_name, kind in _KIND_BY_LIST.items():
            for number, raw in enumerate(getattr(content, list_name)):
                self._read_item(file, document, kind, (list_name, number), raw)

    def _read_item(
        self, file: str, document: Document, kind: str, path: tuple, raw: object
    ) -> None:
        adapter = ADAPTERS[kind]
        try:
            item = adapter.validate_python(raw)
        except ValidationError as exc:
            for problem in find_problems(adapter, exc):
                located = replace(problem, path=(*path, *problem.path))
                self._add_problem(file, document, located)
            return
        if isinstance(item, Profile):
            for problem in _find_inconsistencies(path, item):
                self._add_problem(file, document, problem)
        value = adapter.dump_python(item, mode="json")
        line = document.line_of(path)
        self._add(path, Declaration(kind, item.name, value, file, line))

    def _add(self, path: tuple, declaration: Declaration) -> None:
        first = self.declarations.setdefault(declaration.path, declaration)
        if first is not declaration:
            got = (
                f"{format_value(declaration.name)}, "
                f"declared before in {first.file}:{first.line}"
            )
            problem = Problem((*path, "name"), got, "one declaration of each name")
            self.problems.append(
                DeclarationProblem(declaration.file, declaration.line, problem)
            )

    def _add_problem(self, file: str, document: Document, problem: Problem) -> None:
        self.problems.append(
            DeclarationProblem(file, document.line_of(problem.path), problem)
        )


def read_declarations(
    paths: Iterable[Path],
) -> tuple[list[Declaration], list[DeclarationProblem]]:
    """Read all declarations in files and folders.

    Parameters
    ----------
    paths
        Files, or folders whose ``*.yaml`` files are read.

    Returns
    -------
    tuple
        The declarations, and all problems found.
    """
    reader = _Reader()
    for file in _yaml_files(paths):
        reader.read(file)
    return list(reader.declarations.values()), reader.problems
