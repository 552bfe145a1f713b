"""Output of the command-line tool."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Sequence


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def print_error(message: object) -> None:
    """Print a message to standard error."""
    print(f"turmericflow: {message}", file=sys.stderr)


def print_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a heading and rows in aligned columns."""
    table = [list(head), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in table) for column in range(len(head))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths))
        print("  ".join(cells).rstrip())
