PYTHON ?= python3
VENV := .venv
PACKAGES := wire http platform config mesh calls services daemon cli testing
ADAPTER_PACKAGES := adapter adapter_testing
EDITABLE := $(foreach name,$(PACKAGES),-e packages/fulmarstile_$(name)) \
	$(foreach name,$(ADAPTER_PACKAGES),-e platform/fulmarstile_$(name))
SEEDS ?= 200
SEED ?= 1
TROUBLE ?= all
TEST_JOBS ?= 4

.PHONY: setup test lint format demo demo-platform soak soak-lost soak-config soak-returns scenarios bench-config bench-calls plots clean

$(VENV)/.installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml platform/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -r requirements-dev.txt
	$(VENV)/bin/pip install -q -c constraints.txt --no-build-isolation $(EDITABLE)
	touch $@

setup: $(VENV)/.installed

test: setup
	$(VENV)/bin/python -m unittest -b tests.test_architecture
	ls -d tests/*/__init__.py | xargs -n 1 dirname | grep -v -x -e tests/services -e tests/limits | \
		xargs -P $(TEST_JOBS) -I{} $(VENV)/bin/python -m unittest discover -s {} -t . -b
	ls tests/services/test_*.py | \
		xargs -P $(TEST_JOBS) -I{} $(VENV)/bin/python -m unittest -b {}
	$(VENV)/bin/python -m unittest discover -s tests/limits -t . -b

lint: setup
	$(VENV)/bin/black --check -q packages platform tests
	$(VENV)/bin/ruff check -q packages platform tests

format: setup
	$(VENV)/bin/black -q packages platform tests
	$(VENV)/bin/ruff check -q --fix packages platform tests

demo: setup
	$(VENV)/bin/python -m fulmarstile_testing.demo

demo-platform: setup
	$(VENV)/bin/python -m fulmarstile_adapter_testing.demo

soak: setup
	$(VENV)/bin/python -m fulmarstile_adapter_testing.soak --seed=$(SEED)

soak-config: setup
	$(VENV)/bin/python -m fulmarstile_adapter_testing.soak_config --seed=$(SEED)

soak-lost: setup
	$(VENV)/bin/python -m fulmarstile_adapter_testing.soak_lost --seed=$(SEED) --trouble=$(TROUBLE)

soak-returns: setup
	$(VENV)/bin/python -m fulmarstile_adapter_testing.soak_returns --seed=$(SEED)

scenarios: setup
	$(VENV)/bin/python -m fulmarstile_testing.scenarios --seeds=$(SEEDS)

bench-config: setup
	$(VENV)/bin/python -m fulmarstile_testing.bench_config

bench-calls: setup
	$(VENV)/bin/python -m fulmarstile_testing.bench_calls

plots: setup
	$(VENV)/bin/python -m fulmarstile_testing.plots --commit=$$(git rev-parse --short HEAD)

clean:
	rm -rf $(VENV)
