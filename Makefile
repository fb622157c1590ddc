PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
# Tests of whole systems mostly wait; each file runs in one process.
TEST_PROCESSES ?= 4
# These stop processes for longer than a lease of one or two seconds. Other
# tests beside them would take the time in which the rest renew theirs.
ALONE = tests/test_cold_faults.py tests/test_stop.py tests/test_submit_faults.py

.PHONY: test lint demo bench generate

$(VENV)/.ready: constraints.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt -e '.[dev]'
	touch $@

test: $(VENV)/.ready
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist loadfile \
		$(addprefix --ignore=,$(ALONE))
	$(BIN)/python -m pytest $(ALONE)

lint: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/flake8 dragonflyramp tests benchmarks
	$(BIN)/mypy dragonflyramp tests benchmarks

demo: $(VENV)/.ready
	$(BIN)/python -m tests.demo

bench: $(VENV)/.ready
	$(BIN)/python -m benchmarks

# Needs grpcio-tools, which the build itself does not.
generate:
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. \
		--grpc_python_out=. dragonflyramp/members/members.proto
