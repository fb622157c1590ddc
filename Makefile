PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
# End-to-end tests spend most of their time waiting, so several run at once. The
# tests of a file run in one process.
TEST_PROCESSES ?= 4
# Seed or range of seeds for `make soak`, such as 7 or 1-50.
SEEDS ?= 1-50
EXPERIMENT ?= benchmarks/experiments/stragglers.toml
.PHONY: test lint demo soak bench

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

soak: $(VENV)/.ready
	$(BIN)/python -m tests.soak --seeds $(SEEDS)

bench: $(VENV)/.ready
	$(BIN)/python -m benchmarks.experiment $(EXPERIMENT)

demo: $(VENV)/.ready
	$(BIN)/python -m tests.demo
