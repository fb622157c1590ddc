PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
# Tests of whole systems mostly wait; each file runs in one process.
TEST_PROCESSES ?= 4
.PHONY: test lint demo

$(VENV)/.ready: constraints.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt -e '.[dev]'
	touch $@

test: $(VENV)/.ready
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist loadfile

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/flake8 dragonflyramp tests benchmarks
	$(BIN)/mypy dragonflyramp tests benchmarks

demo: $(VENV)/.ready
	$(BIN)/python -m tests.demo
