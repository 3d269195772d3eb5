# Every target sets up what it needs, from python3 and make alone.

VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
BENCH ?=

.PHONY: setup format check behave test demo bench bench-quick clean

setup:
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	@cat requirements.txt requirements-dev.txt | cmp -s - $(VENV)/installed \
	  || { $(BIN)/pip install --quiet -r requirements-dev.txt \
	  && cat requirements.txt requirements-dev.txt > $(VENV)/installed; }

format: setup
	$(BIN)/ruff format .

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/python -m flake8 .

behave: setup
	PYTHONPATH=. $(BIN)/python -m features.run_all

test: check behave

demo: setup
	PYTHONPATH=. $(BIN)/python -m standins.demo

bench: setup
	PYTHONPATH=. $(BIN)/python -m bench $(BENCH)

bench-quick: setup
	PYTHONPATH=. $(BIN)/python -m bench --quick $(BENCH)

clean:
	rm -rf build dist *.egg-info
