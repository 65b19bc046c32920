VENV ?= .venv
BIN = $(VENV)/bin

PROJECTS = libs/model libs/consensus libs/admission libs/quota libs/ledger \
	libs/retry libs/membership libs/link libs/placement daemon cli bench \
	platform

$(VENV)/.installed: requirements.txt $(addsuffix /pyproject.toml,$(PROJECTS))
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps \
		$(addprefix -e ./,$(PROJECTS))
	touch $@

.PHONY: setup test lint format demo bench capacity
setup: $(VENV)/.installed

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8
	$(BIN)/lint-imports

format: setup
	$(BIN)/ruff format .

test: lint
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m cactusloft_bench.demo

bench: setup
	$(BIN)/python -m cactusloft_bench.measures

capacity: setup
	$(BIN)/python -m cactusloft_bench.capacity
