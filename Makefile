PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: install demo test lint format measure capacity check-model

install: $(VENV)/installed

$(VENV)/installed: pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $@

demo: install
	$(RUN) -m tools.demo

lint: install
	$(VENV)/bin/black --check --quiet .
	$(VENV)/bin/isort --check-only --quiet .
	$(VENV)/bin/flake8

format: install
	$(VENV)/bin/isort --quiet .
	$(VENV)/bin/black --quiet .

test: lint
	$(RUN) -m tools.run_tests

measure: install
	$(RUN) -m tools.measure $(ARGS)

capacity: install
	$(RUN) -m tools.capacity

check-model: install
	$(RUN) -m tools.check_model
