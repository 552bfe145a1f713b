"""Finds the outer parts of a JSON text that no decoder accepts.

A part may be nested too deeply, or hold strings or numbers that cannot be decoded. The
text is read once, in steps between which other tasks run.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from turmericflow.platform._steps import Step

TOKENS_PER_CHECK = 256
# In possessive form, as the matcher keeps no state for each byte then. Repeated parts
# are bounded in number, so that one match does not take long.
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_PLAIN = rb'[^"\[\]{}]*+'  # numbers, commas and the like
_STRINGS = rb"(?:" + _STRING + _PLAIN + rb"){1,256}+"
_FLAT = (
    rb"(?:[\[{]" + _PLAIN + rb"(?:" + _STRINGS + rb")?+[\]}]" + _PLAIN + rb"){1,256}+"
)
_BRACKETS = rb"(?P<open>[\[{]++)|(?P<close>[\]}]++)"
_TOKEN = re.compile(
    rb'[^"\[\]{},]*+(?:' + _STRING + rb"|" + _BRACKETS + rb"|(?P<comma>,))", re.S
)
# Of what is too far inside, all but brackets around others is passed over at once.
_INNER_TOKEN = re.compile(
    _PLAIN + rb"(?:" + _STRINGS + rb"|" + _FLAT + rb"|" + _BRACKETS + rb")", re.S
)
_OPEN, _CLOSE, _COMMA = map(_TOKEN.groupindex.__getitem__, ("open", "close", "comma"))
_NAME = re.compile(rb"\s*+(" + _STRING + rb")\s*+:", re.S)
_SPACE = re.compile(rb"\s*+")


@dataclass(slots=True, frozen=True)
class Value:
    """A value in an outline.

    Attributes
    ----------
    text
        The value's text.
    part
        Its parts, or None if it is no array or object, or is too far inside.
    """

    text: bytes
    part: Part | None


class Part:
    """An array or an object of a text, with the values in it."""

    __slots__ = ("_text", "_start", "_end", "_commas", "_parts")

    def __init__(self, text: bytes, start: int) -> None:
        self._text = text
        self._start = start
        self._end = len(text)
        self._commas: list[int] = []
        self._parts: dict[int, Part] = {}  # by the position of the first bracket

    def add_part(self, start: int) -> Part:
        """Add and return the part that begins at a position."""
        self._parts[start] = part = Part(self._text, start)
        return part

    def add_comma(self, position: int) -> None:
        """Add the position of a comma between two values."""
        self._commas.append(position)

    def close(self, end: int) -> None:
        """Set the position after the last bracket."""
        self._end = end

    def _value(self, start: int, end: int) -> Value:
        start = _SPACE.match(self._text, start, end).end()
        text = self._text[start:end].rstrip()
        part = self._parts.get(start)
        whole = part is not None and part._end == start + len(text)
        return Value(text, part if whole else None)

    def _spans(self) -> list[tuple[int, int]]:
        """Return the positions of the values, also of empty ones."""
        starts = [self._start + 1, *(at + 1 for at in self._commas)]
        return list(zip(starts, [*self._commas, self._end - 1]))

    def elements(self) -> list[Value]:
        """Return the elements of an array."""
        values = [self._value(*span) for span in self._spans()]
        return [value for value in values if value.text]

    def members(self) -> dict[bytes, Value]:
        """Return the values of an object's members by name, as text.

        Raises `ValueError` if this is no object.
        """
        members = {}
        for start, end in self._spans():
            if not self._text[start:end].strip():
                continue
            name = _NAME.match(self._text, start, end)
            if name is None:
                raise ValueError(f"got no member of an object at byte {start}")
            members[name.group(1)[1:-1]] = self._value(name.end(), end)
        return members


async def read_outline(text: bytes, levels: int) -> Part:
    """Return the outermost array or object of a text.

    Parameters
    ----------
    text
        The text.
    levels
        Number of levels of nesting at which parts are found, two at least.

    Raises
    ------
    ValueError
        If the text is no array or object, or its brackets do not match.
    """
    outermost = Part(text, -1)  # holds the text's one value
    open_parts = [outermost]
    depth = position = tokens = 0
    step = Step()
    while token := (_TOKEN if depth <= levels else _INNER_TOKEN).match(text, position):
        position, kind = token.end(), token.lastindex
        if kind == _COMMA:
            open_parts[-1].add_comma(position - 1)
        elif kind == _OPEN:
            start = token.start(_OPEN)
            for offset in range(min(position - start, levels - depth)):
                open_parts.append(open_parts[-1].add_part(start + offset))
            depth += position - start
        elif kind == _CLOSE:
            start = token.start(_CLOSE)
            left = depth - (position - start)
            if left < 0:
                raise ValueError("got a closing bracket too many")
            for closed in range(min(depth, levels), left, -1):
                open_parts.pop().close(start + depth - closed + 1)
            depth = left
        tokens += 1
        if not tokens % TOKENS_PER_CHECK:
            await step.end()
    outermost.close(len(text) + 1)
    values = outermost.elements()
    if b'"' in text[position:] or depth or len(values) != 1 or not values[0].part:
        raise ValueError("got no array or object")
    return values[0].part
