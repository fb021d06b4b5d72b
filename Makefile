# Set-up and every check of the project.  `make demo` and `make test` install
# what they need into $(VENV) from the lock file.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed
export PYTHONPATH := src:.:$(PYTHONPATH)
CODE = src fakes dev bench soak features examples
JOBS ?= 4
DEPLOYMENT ?= herd

SEEDS ?= 1 12

.PHONY: test demo lint format bench fleet soak install lock

install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m dev.runtests --jobs $(JOBS) $(FEATURES)

demo: $(STAMP)
	$(BIN)/python -m dev.demo

fleet: $(STAMP)
	@$(BIN)/python -m dev.fleet $(DEPLOYMENT)

bench: $(STAMP)
	$(BIN)/python -m bench.main $(BENCH)

# Plays seeds of the fault soak, SEEDS="first last".
soak: $(STAMP)
	$(BIN)/python -m soak.main many $(SEEDS) --jobs $(JOBS)

lint: $(STAMP)
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)

# Needs pip-tools; writes the lock that `install` uses.
lock:
	$(BIN)/pip-compile --quiet --generate-hashes --allow-unsafe --extra dev \
	  --strip-extras --no-emit-index-url --no-emit-find-links \
	  --no-emit-trusted-host --no-header --output-file requirements.lock pyproject.toml
