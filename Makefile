# Two ways in for a newcomer: `make demo` and `make test`. Both set up what they need.
VENV ?= $(CURDIR)/.venv
PY := $(VENV)/bin/python
SRC := packages/fulmarroad/src packages/fulmarroad-router/src \
	packages/fulmarroad-ctl/src packages/fulmarroad-bench/src \
	packages/fulmarroad-serving/src platform/src
EMPTY :=
SPACE := $(EMPTY) $(EMPTY)
export PYTHONPATH := $(subst $(SPACE),:,$(addprefix $(CURDIR)/,$(SRC)))
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: setup check format test demo bench lab hard-load silences out-of-step capacity

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet -c constraints.txt -r requirements-dev.txt \
		$(addprefix -e ,$(wildcard packages/*) platform)
	touch $@

check: setup
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m mypy $(SRC)

format: setup
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .

test: setup
	$(PY) -m pytest $(ARGS)

demo: setup
	$(PY) -m fulmarroad_bench.demo

SCENARIO ?= bench/scenarios/tadamoun-few-large.toml
SEED ?= 1
POLICY ?= fleet
ROUTERS ?= 0
bench: setup
	$(PY) -m fulmarroad_bench.runner --scenario $(SCENARIO) --seed $(SEED) \
		--policy $(POLICY) --routers $(ROUTERS)

SEEDS ?= 1
lab: setup
	$(PY) -m fulmarroad_bench.lab --seeds $(SEEDS)

FORM ?= uneven_servers
FEATURES ?=
hard-load: setup
	$(PY) -m fulmarroad_bench.hard_load --form $(FORM) --seeds $(SEEDS) \
		--features "$(FEATURES)"

FORMS ?=
TREE ?=
silences: setup
	$(PY) -m fulmarroad_bench.silences --form "$(FORMS)" --seeds $(SEEDS) \
		--tree "$(TREE)"

out-of-step: setup
	$(PY) -m fulmarroad_bench.out_of_step --form "$(FORMS)" --seeds $(SEEDS) \
		--tree "$(TREE)"

capacity: setup
	$(PY) -m fulmarroad_bench.capacity
