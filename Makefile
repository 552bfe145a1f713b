PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup test demo check format

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

test: setup
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m turmericflow.testing.demo

check: setup
	$(BIN)/black --check --quiet turmericflow benchmarks
	$(BIN)/isort --check-only turmericflow benchmarks
	$(BIN)/flake8 turmericflow benchmarks

format: setup
	$(BIN)/isort turmericflow benchmarks
	$(BIN)/black --quiet turmericflow benchmarks
