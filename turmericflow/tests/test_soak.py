"""Tests of the fault soak: one seed gives one schedule, and a short soak is sound."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from turmericflow.tests.soak import SIZES, SoakConfig, run_soak

SEED = 21
SECONDS = 40.0
GRACE_S = 4.0  # so that several stops fit into the run
STREAM_S = (1.0, 2.5)
ROOT = Path(__file__).parents[2]


def _printed_schedule(seed: int, hash_seed: str) -> str:
    command = (sys.executable, "-m", "turmericflow.tests.soak", "--schedule")
    return subprocess.run(
        (*command, "--seed", str(seed), "--size", "usual"),
        env=os.environ | {"PYTHONPATH": str(ROOT), "PYTHONHASHSEED": hash_seed},
        check=True,
        capture_output=True,
        text=True,
    ).stdout


def test_one_seed_gives_one_schedule() -> None:
    printed = _printed_schedule(1, "1")
    assert printed.count("\n") > 10
    assert printed == _printed_schedule(1, "2")
    assert printed != _printed_schedule(2, "1")


@pytest.mark.integration
def test_soak_breaks_no_rule(tmp_path: Path) -> None:
    # Guards against requests that get no answer around SIGTERM, SIGHUP, changes of the
    # configuration and targets that fall silent for a moment.
    cfg = SoakConfig(SEED, SECONDS, SIZES["small"], tmp_path, GRACE_S, STREAM_S)
    soak = run_soak(cfg)
    assert not soak.findings, soak.report()
