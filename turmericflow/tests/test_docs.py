"""Tests that the documentation covers settings, error codes, commands and metrics."""

from __future__ import annotations

import dataclasses
import re
from pathlib import Path

import pytest

from turmericflow.cfg import Settings
from turmericflow.cli._exit import Exit
from turmericflow.cli.main import build_parser
from turmericflow.relay._metrics import Metrics
from turmericflow.verdict import ErrorCode

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
# Set by the client library, never sent by a router.
CLIENT_CODES = {ErrorCode.UNREACHABLE}


def read(name):
    return (DOCS / name).read_text("utf-8")


def test_settings_page_names_every_field():
    page = read("settings.md")
    fields = [field.name for field in dataclasses.fields(Settings)]
    missing = [each for each in fields if not re.search(rf"`{each}[`.]", page)]
    assert missing == []


def test_http_page_names_every_error_code():
    page = read("http.md")
    codes = set(ErrorCode) - CLIENT_CODES
    assert [code for code in codes if f"`{code}`" not in page] == []


def test_tool_page_names_every_command_and_exit_code():
    page = read("cli.md")
    (commands,) = (
        action.choices for action in build_parser()._actions if action.choices
    )
    assert [each for each in commands if f"turmericflow {each}" not in page] == []
    assert [code for code in Exit if f"| {int(code)} |" not in page] == []


def test_rules_page_names_tests_that_exist():
    modules = (ROOT / "turmericflow" / "tests").glob("test_*.py")
    texts = [module.read_text("utf-8") for module in modules]
    tests = {name for text in texts for name in re.findall(r"def test_(\w+)", text)}
    quoted = re.findall(r"`([a-z0-9_]+)`", read("design/platform-rules.md"))
    assert len(quoted) > 20 and [name for name in quoted if name not in tests] == []


def test_metrics_page_names_every_metric_of_a_relaying_host():
    page = read("metrics.md")
    text = Metrics().text().decode()
    found = re.findall(r"^# TYPE (\w+) (?:counter|gauge|histogram)", text, re.M)
    metrics = [name for name in found if not name.endswith("_created")]
    assert metrics and [name for name in metrics if f"`{name}`" not in page] == []


@pytest.mark.parametrize("page", sorted(DOCS.rglob("*.md")) + [ROOT / "README.md"])
def test_links_have_existing_targets(page):
    links = re.findall(r"\]\(([^)#:]+)\)", page.read_text("utf-8"))
    assert [link for link in links if not (page.parent / link).exists()] == []
