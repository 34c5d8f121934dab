# `make demo` runs a gang job end to end; `make test` sets up and runs the tests.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/core packages/daemon packages/cli packages/standin

.PHONY: setup demo test lint format

setup: $(VENV)/.installed

$(VENV)/.installed: constraints.txt $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt setuptools wheel pytest hypothesis ruff
	$(BIN)/pip install --quiet --constraint constraints.txt --no-build-isolation $(PACKAGES:%=--editable %)
	touch $@

demo: setup
	$(BIN)/python -m cyclamenshelf_standin.demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
