"""Prefix caches: hashes of prompt blocks, and the targets expected to hold them."""

from __future__ import annotations

import hashlib

from turmericflow.tables import LoadTable, Target

BLOCK_TOKENS = 16
MAX_BLOCK_AGE_S = 300.0
MAX_BLOCKS = 200_000
MAX_GAP_REPAIRS = 3


def block_names(words: list[str]) -> list[str]:
    """Return the chained hashes of the complete blocks of a prompt."""
    hashes = []
    digest = hashlib.blake2b(digest_size=8)
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        digest.update(" ".join(words[start : start + BLOCK_TOKENS]).encode() + b"\n")
        hashes.append(digest.hexdigest())
    return hashes


def warm_targets(load: LoadTable, blocks: list[str], limit: int) -> list[str]:
    """Return up to ``limit`` targets expected to hold a prompt's longest prefix."""
    # Block hashes are chained: a holder of one block is taken to hold all before it.
    low, high = 0, len(blocks)
    while low < high:
        middle = (low + high + 1) // 2
        if load.block_holders.get(blocks[middle - 1]):
            low = middle
        else:
            high = middle - 1
    if not low:
        return []
    holders = load.block_holders[blocks[low - 1]]
    newest = sorted(holders, key=holders.__getitem__, reverse=True)
    return newest[:limit]


def cached_tokens(load: LoadTable, name: str, blocks: list[str], now: float) -> float:
    """Return how many prompt tokens a target is expected to have cached.

    The number decreases with the age of the last sighting, for the target may
    have evicted the blocks since.
    """
    low, high = 0, len(blocks)
    while low < high:
        middle = (low + high + 1) // 2
        if name in load.block_holders.get(blocks[middle - 1], ()):
            low = middle
        else:
            high = middle - 1
    if not low:
        return 0.0
    age = now - load.block_holders[blocks[low - 1]][name]
    return low * BLOCK_TOKENS * max(0.0, 1.0 - max(0.0, age) / MAX_BLOCK_AGE_S)


def expect_blocks(load: LoadTable, name: str, blocks: list[str], at: float) -> None:
    """Record that a target holds a prompt's blocks from the time ``at`` on.

    Beyond ``MAX_BLOCKS``, the blocks that were recorded longest ago are dropped.
    """
    for block in blocks:
        holders = load.block_holders.pop(block, None)
        if holders is None:
            holders = {}
        load.block_holders[block] = holders
        holders[name] = at
    while len(load.block_holders) > MAX_BLOCKS:
        del load.block_holders[next(iter(load.block_holders))]


def _remove_holder(load: LoadTable, name: str, block: str) -> None:
    holders = load.block_holders.get(block)
    if holders is not None:
        holders.pop(name, None)
        if not holders:
            del load.block_holders[block]


def learn_events(
    load: LoadTable,
    target: Target,
    seq: int,
    events: list[tuple[int, str, str]],
    now: float,
) -> None:
    """Apply a target's cache events, given as ``(number, op, block)``.

    After a gap the next poll asks again for the events from before the gap.
    After ``MAX_GAP_REPAIRS`` polls with a gap, the gap is accepted: all blocks
    recorded for the target are removed, except those of the current events.
    """
    gapless = [number for number, _, _ in events] == list(
        range(target.cache_seq + 1, seq + 1)
    )
    if seq < target.cache_seq:
        forget_target(load, target.name)
    if not gapless and target.cache_gaps >= MAX_GAP_REPAIRS:
        forget_target(load, target.name)
    for _, op, block in events:
        if op == "add":
            expect_blocks(load, target.name, [block], now)
        else:
            _remove_holder(load, target.name, block)
    if gapless or target.cache_gaps >= MAX_GAP_REPAIRS or seq < target.cache_seq:
        target.cache_seq = seq
        target.cache_gaps = 0
    else:
        target.cache_gaps += 1


def forget_target(load: LoadTable, name: str) -> None:
    """Remove all blocks recorded for a target, for instance after its loss."""
    for block in [
        each for each, holders in load.block_holders.items() if name in holders
    ]:
        _remove_holder(load, name, block)
