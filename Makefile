# Each target makes the environment first, from the pinned versions.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: install test lint demo measure slopes golden clean

install: $(BIN)/.installed

$(BIN)/.installed: requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps --editable .
	touch $@

lint: install
	$(BIN)/ruff format --check src tests tools
	$(BIN)/ruff check src tests tools
	$(BIN)/mypy
	$(BIN)/python -m tools.layer_rule

test: install
	$(BIN)/python -m tools.run_tests

demo: install
	$(BIN)/python -m tools.demo

golden: install
	KNAPWEED_RENEW_GOLDEN=1 $(BIN)/python -m tools.run_tests tests.golden

measure: install
	$(BIN)/python -m tools.measure

slopes: install
	$(BIN)/python -m tools.slopes

clean:
	rm -rf $(VENV) build
