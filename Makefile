# All targets run from a fresh clone and need only Python 3.11, pip and make.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
export PYTHONPATH := $(CURDIR)/packages/azurefield/src:$(CURDIR)/packages/azurefield-platform/src:$(CURDIR)/packages/azurefield-entry/src:$(CURDIR)/packages/azurefield-operator/src:$(CURDIR)/packages/azurefield-testkit/src:$(CURDIR)/platform/src

.PHONY: setup format check lint types unit test demo bench cost prove soak clean

# NO_SETUP=1 skips the installation and uses VENV as it is, for instance that of another work tree.
ifdef NO_SETUP
setup:
else
setup: $(VENV)/.installed
endif

$(VENV)/.installed: requirements.lock packages/*/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(addprefix -e ,$(dir $(wildcard packages/*/pyproject.toml)))
	touch $@

format: setup
	$(BIN)/black --quiet packages platform tests
	$(BIN)/ruff check --fix --quiet packages platform tests

lint: setup
	$(BIN)/black --check --quiet packages platform tests
	$(BIN)/ruff check packages platform tests

# mypy runs once per test directory, because several directories have modules of the same name.
types: setup
	$(BIN)/mypy packages/*/src platform/src platform/run.py
	set -e; for tests in packages/*/tests tests/fleet tests/soak; do $(BIN)/mypy $$tests; done

# The tests of crowds measure one process, so they run one at a time and apart from the others.
unit: setup
	$(BIN)/pytest -m "not crowd"
	$(BIN)/pytest -n 0 -m crowd

check: lint types

test: check unit

demo: setup
	$(BIN)/python -m azurefield_testkit.demo

bench: setup
	$(BIN)/python -m azurefield_testkit.bench $(ARGS)

cost: setup
	$(BIN)/python -m azurefield_testkit.cost $(ARGS)

prove: setup
	$(BIN)/python -m azurefield_testkit.prove

# SEED is the first seed, SEEDS their number, SECONDS how long faults are injected with each seed.
soak: setup
	PYTHONPATH=$(PYTHONPATH):tests/fleet:tests/soak $(BIN)/python -m soak.run \
		--seed $(or $(SEED),1) --seeds $(or $(SEEDS),1) --seconds $(or $(SECONDS),30)

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache
