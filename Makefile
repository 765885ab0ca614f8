PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install test lint format run bench fuzz binary capacity clean

install: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	touch $(STAMP)

test: install
	$(BIN)/python -m pytest

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf build dist

# Real processes on loopback: a federation of the product's own, then a site of the
# users' platform; see tools/run_demo.py and tools/run_platform_demo.py.
run: install
	$(BIN)/python -m tools.run_demo
	$(BIN)/python -m tools.run_platform_demo

# Cases on the size of today; writes build/bench.json.
bench: install
	$(BIN)/python -m tools.bench

# Slopes of state, messages and CPU; rewrites the tables of docs/CAPACITY.md.
capacity: install
	$(BIN)/python -m tools.capacity

# One file that needs no Python on the host.
binary: install
	$(BIN)/python -m tools.build_binary

FUZZ_LONG ?= 2000

# Random walks from a printed random seed; FUZZ_SEED=... repeats a run.
fuzz: install
	FUZZ_LONG=$(FUZZ_LONG) $(BIN)/python -m pytest -s --timeout=0 tests/fuzz tests/scheduling/fuzz -k long
