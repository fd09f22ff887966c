# Every chore is one word: make test, make demo, make bench, make format.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SOURCES := mulberryway standins soak tests benchmarks tools

.PHONY: help setup format lint test unit demo bench thrift clean

help:
	@echo "make test    set up, then formatter, linter and all tests"
	@echo "make demo    three entry VMs and stand-ins on loopback"
	@echo "make bench   the brief's measures, printed and as JSON in out/"
	@echo "make format  lay out the code"
	@echo "make thrift  generate the peers' messages anew (needs thrift)"

$(VENV)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

setup: $(VENV)/.ready

format: setup
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

unit: setup
	$(BIN)/python -m tools.suite

test: lint unit

demo: setup
	$(BIN)/python -m benchmarks.demo

bench: setup
	$(BIN)/python -m benchmarks

thrift:
	for file in mulberryway/peers/idl/*.thrift; do \
		thrift --gen py:slots,package_prefix=mulberryway.peers.gen. \
			-out mulberryway/peers/gen $$file || exit 1; \
	done
	rm -f mulberryway/peers/gen/*/*-remote

clean:
	rm -rf build out $(VENV)
