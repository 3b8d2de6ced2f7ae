# Every target sets up what it needs; see README.md.
PYTHON ?= python3
BIN := .venv/bin
PACKAGES := packages/savoryyoke packages/savoryyoke-wire \
	packages/savoryyoke-edge packages/savoryyoke-entry \
	packages/savoryyoke-target packages/savoryyoke-gateway \
	packages/savoryyoke-agent platform \
	packages/savoryyoke-fakes packages/savoryyoke-soak \
	packages/savoryyoke-emulator
SOURCES := packages platform tests tools

.PHONY: all setup demo measure prove soak emulate test lint format clean

all: lint test

setup: .venv/ready

.venv/ready: requirements.txt requirements-run.txt \
		$(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
		$(foreach package,$(PACKAGES),--editable $(package))
	touch .venv/ready

demo: setup
	$(BIN)/python tools/demo.py

measure: setup
	$(BIN)/python -m tools.measure

prove: setup
	$(BIN)/python tools/prove.py

# Fresh seeds for some minutes; see docs/howto/soak.md.
soak: setup
	$(BIN)/python -m savoryyoke_soak --first=$$(date +%s) --seeds=10 \
		--logs=soak-logs

# What a policy would bring, in seconds: see docs/howto/emulate.md.
emulate: setup
	$(BIN)/python -m savoryyoke_emulator \
		packages/savoryyoke-emulator/experiments/*.toml

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/lint-imports

format: setup
	$(BIN)/ruff format $(SOURCES)

clean:
	rm -rf .venv
