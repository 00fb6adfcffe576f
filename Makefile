VENV := .venv
PYTHON := $(VENV)/bin/python
PACKAGES := $(wildcard packages/*) platform

.PHONY: all demo test bench format

all: test

$(VENV)/stamp: requirements.txt $(wildcard packages/*/pyproject.toml) \
		platform/pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation \
		$(addprefix --editable ,$(PACKAGES))
	touch $@

demo: $(VENV)/stamp
	$(PYTHON) -m bluebellbay_standins.demo

test: $(VENV)/stamp
	$(PYTHON) tools/run_tests.py

bench: $(VENV)/stamp
	$(PYTHON) -m bluebellbay_bench

format: $(VENV)/stamp
	$(VENV)/bin/ruff check --quiet --fix-only .
	$(VENV)/bin/ruff format --quiet .
