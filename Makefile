PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test demo bench matrix soak lint format clean

setup: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(STAMP)

test: setup
	$(BIN)/python -m tests

demo: setup
	$(BIN)/python -m bramleypin.demo $(ARGS)

bench: setup
	$(BIN)/python -m bramleypin.bench $(ARGS)

matrix: setup
	$(BIN)/bramleypin-matrix $(or $(ARGS),--all --variants)

soak: setup
	$(BIN)/python -m tests.soak $(ARGS)

lint: setup
	$(BIN)/black --quiet --check --diff src tests
	$(BIN)/flake8 src tests

format: setup
	$(BIN)/black --quiet src tests

clean:
	rm -rf $(VENV) build src/*.egg-info
