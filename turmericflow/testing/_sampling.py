"""Token texts of the stand-in engine, which identify their sampling run.

A token's text is ``RUN.INDEX.LINK.NONCE`` and a space.  ``LINK`` is the CRC-32
of the token before it, which exposes an answer that was put together from two
sampling runs, or from two resumes of one run.
"""

from __future__ import annotations

import zlib


def link_after(text: str) -> str:
    """Return the ``LINK`` of the token that follows a token."""
    return f"{zlib.crc32(text.encode()):08x}"


def next_token(run: str, tokens: list[str], nonce: int) -> str:
    """Return the text of a sampling run's next token."""
    link = link_after(tokens[-1]) if tokens else "0" * 8
    return f"{run}.{len(tokens)}.{link}.{nonce:04x} "


def run_of_token(text: str) -> str:
    """Return the sampling run in a token's text."""
    return text.split(".", 1)[0]
