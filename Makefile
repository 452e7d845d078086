# build: what run and sim need; test, lint: what CI checks; run: one balancer by $EDGE_CONFIG; demo: ten seconds of a
# small fleet round one balancer; bench-NAME: a measurement, whose last line is `bench NAME key=value ...`
.PHONY: build dev test lint run demo bench-start bench-rebalance bench-fleet bench-spread bench-scale-runs stage

build:
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements.txt
	.venv/bin/python -m compileall -q puffinford

dev:
	test -x .ci-venv/bin/python || python3 -m venv .ci-venv
	.ci-venv/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt

test: dev
	.ci-venv/bin/python -m pytest -q -p no:cacheprovider

lint: dev
	.ci-venv/bin/ruff check .
	.ci-venv/bin/ruff format --check .
	.ci-venv/bin/mypy
	.ci-venv/bin/lint-imports --no-cache

run: build
	.venv/bin/python -m puffinford serve

demo: build
	.venv/bin/python -m puffinford.stage.demo

# BEFORE=TREE plays another checkout of the program in turns
bench-start: build
	.venv/bin/python -m benchmarks.start $(if $(BEFORE),--before $(BEFORE))

bench-rebalance: build
	.venv/bin/python -m benchmarks.rebalance

# BEFORE=TREE plays another checkout too; the stage needs more than serving does
bench-spread: dev
	.ci-venv/bin/python -m benchmarks.spread $(if $(BEFORE),--before $(BEFORE))

# STORY=NAME or a file
stage: dev
	.ci-venv/bin/python -m puffinford stage play $(or $(STORY),calm)

bench-fleet: build
	.venv/bin/python -m benchmarks.fleet

# RUNS="--hollow 1500 --processes 6 --real 4 --story calm"; docs/scale.md. The records need git for their commit
bench-scale-runs: dev
	.ci-venv/bin/python -m benchmarks.scale.runs $(RUNS)
