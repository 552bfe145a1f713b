"""Tests of what is kept in memory of bodies that are refused."""

from __future__ import annotations

import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable
from types import SimpleNamespace

import pytest

from turmericflow._body_memory import BodyMemory, BodyTooLong, read_bounded
from turmericflow.relay._answers import AnswerMemory
from turmericflow.verdict import TargetFailed

CHUNK_BYTES = 1_000_000


async def endless() -> AsyncIterator[bytes]:
    while True:
        yield bytes(CHUNK_BYTES)


async def accept_charge(size: int) -> bool:
    return True


async def read_body() -> None:
    await read_bounded(endless(), BodyMemory())


async def read_answer() -> None:
    reply = SimpleNamespace(length=None, chunks=endless)
    hold = SimpleNamespace(charge_answer=accept_charge, release=lambda size: None)
    await AnswerMemory().read(reply, hold)


# Guards against bodies that are kept, but no longer counted, while a call goes on
# elsewhere with the error of its first attempt.
@pytest.mark.parametrize("read", [read_body, read_answer])
async def test_a_refused_body_is_released_while_its_error_is_kept(
    read: Callable[[], Awaitable[None]],
):
    tracemalloc.start()
    try:
        with pytest.raises((BodyTooLong, TargetFailed)) as failed:
            await read()
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert failed.value.__traceback__ is not None
    assert kept_bytes < 2 * CHUNK_BYTES
