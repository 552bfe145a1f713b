"""Tests of the decoding of message streams."""

from __future__ import annotations

from random import Random

import pytest

from turmericflow import wire


def test_messages_survive_any_chunking_of_the_stream():
    rng = Random(1)
    sent = [
        wire.Ping(n, "h" * rng.randrange(50), n, n) if n % 3 else wire.Appended(n, [n])
        for n in range(500)
    ]
    data = b"".join(wire.encode(msg) for msg in sent)
    decoder, got = wire.Decoder(), []
    while data:
        size = rng.choice([1, 2, 17, 100, 4000])
        got += decoder.feed(data[:size])
        data = data[size:]
    assert got == sent


@pytest.mark.parametrize("data", [b"\xc1", b"\x92\xa4ping\x01", b"\x91\xa3nox"])
def test_invalid_messages_are_rejected(data):
    decoder = wire.Decoder()
    with pytest.raises(wire.WireError):
        for _ in range(3):
            decoder.feed(data)
