"""Tokens of the stand-in engine, which name the sampling run they come from.

A token's text is ``RUN.INDEX.LINK.NONCE`` and a space.  ``LINK`` is the CRC-32
of the token before it, so that an answer put together from two sampling runs,
or from two resumes of one run, shows.
"""

from __future__ import annotations

import zlib


def link_after(text: str) -> str:
    """Return the link that the token after ``text`` carries."""
    return f"{zlib.crc32(text.encode()):08x}"


def next_token(run: str, tokens: list[str], nonce: int) -> str:
    """Return the token that follows ``tokens`` in a sampling run."""
    link = link_after(tokens[-1]) if tokens else "0" * 8
    return f"{run}.{len(tokens)}.{link}.{nonce:04x} "


def run_of_token(text: str) -> str:
    """Return the sampling run that a token names."""
    return text.split(".", 1)[0]
