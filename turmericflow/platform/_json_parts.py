"""Splits JSON text into its parts without decoding them.

A part may be too deeply nested, or hold strings or numbers, that no decoder accepts.
"""

from __future__ import annotations

import re

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)


def split_parts(text: bytes) -> list[bytes]:
    """Return the elements of an array, or the members of an object, as text.

    Raises
    ------
    ValueError
        If the text is neither an array nor an object.
    """
    text = text.strip()
    if text[:1] + text[-1:] not in (b"[]", b"{}"):
        raise ValueError(f"got {text[:40]!r}, expected an array or an object")
    parts, depth, start = [], 0, 1
    for match in _TOKEN.finditer(text, 1, len(text) - 1):
        token = match.group()
        if token in (b"[", b"{"):
            depth += 1
        elif token in (b"]", b"}"):
            depth -= 1
        elif token == b"," and not depth:
            parts.append(text[start : match.start()])
            start = match.end()
    parts.append(text[start:-1])
    return [part.strip() for part in parts if part.strip()]


def split_members(text: bytes) -> dict[bytes, bytes]:
    """Return the values of an object's members by name, as text.

    Raises `ValueError` if the text is no object.
    """
    members = {}
    for part in split_parts(text):
        name = _TOKEN.match(part)
        if name is None or not part[name.end() :].lstrip().startswith(b":"):
            raise ValueError(f"got {part[:40]!r}, expected a member of an object")
        members[name.group().strip(b'"')] = part[name.end() :].lstrip()[1:].strip()
    return members
