PY ?= python3
BIN := .venv/bin
PACKAGES := core router daemon cli standins
JOBS ?= 3
STAMP := .venv/.ready

.PHONY: setup demo demo-stay test lint format bench-recovery bench-throughput bench-control bench-batching bench-overhead bench-overload sweep

setup: $(STAMP)

$(STAMP): requirements.lock $(PACKAGES:%=packages/%/pyproject.toml) platform/pyproject.toml
	$(PY) -m venv .venv
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-build-isolation --no-deps $(PACKAGES:%=-e packages/%) -e platform
	touch $(STAMP)

demo: setup
	$(BIN)/python -m hemlockhall_standins.demo

demo-stay: setup
	$(BIN)/python -m hemlockhall_standins.demo --stay

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

test: setup
	.ci/unit
	.ci/features $(JOBS)

bench-recovery: setup
	$(BIN)/python -m hemlockhall_standins.bench.recovery

bench-throughput: setup
	$(BIN)/python -m hemlockhall_standins.bench.throughput

bench-control: setup
	$(BIN)/python -m hemlockhall_standins.bench.control

bench-batching: setup
	$(BIN)/python -m hemlockhall_standins.bench.batching

bench-overhead: setup
	$(BIN)/python -m hemlockhall_standins.bench.overhead

bench-overload: setup
	$(BIN)/python -m hemlockhall_standins.bench.overload

# FLEETBENCH is the users' bench, SITES one site file of each kind of deployment.
sweep: setup
	$(BIN)/python -m hemlockhall_standins.bench.sweep $(FLEETBENCH) $(SITES)
