"""End-to-end test with real processes."""

from __future__ import annotations

import pytest

from turmericflow.testing import demo


@pytest.mark.integration
def test_demo_keeps_every_promise():
    assert demo.main() == 0
