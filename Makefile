# build: what run and sim need; test, lint: what CI checks; run: one balancer by $EDGE_CONFIG; demo: ten seconds of a
# small fleet round one balancer; bench-NAME: a measurement, whose last line is `bench NAME key=value ...`, with the
# options in ARGS. Each target installs what it needs: .venv serves, .stage-venv plays stories, .bench-venv
# measures slopes and plays scale runs, .ci-venv tests.
.PHONY: build dev test lint run demo bench-start bench-rebalance bench-fleet bench-spread stage stage-packages
.PHONY: bench-scale bench-scale-runs bench-packages

build:
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements.txt
	.venv/bin/python -m compileall -q puffinford

dev:
	test -x .ci-venv/bin/python || python3 -m venv .ci-venv
	.ci-venv/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt

stage-packages:
	test -x .stage-venv/bin/python || python3 -m venv .stage-venv
	.stage-venv/bin/pip -q install --disable-pip-version-check -r requirements-stage.txt

bench-packages:
	test -x .bench-venv/bin/python || python3 -m venv .bench-venv
	.bench-venv/bin/pip -q install --disable-pip-version-check -r requirements-bench.txt

test: dev
	.ci-venv/bin/python -m pytest -q -p no:cacheprovider

lint: dev
	.ci-venv/bin/ruff check .
	.ci-venv/bin/ruff format --check .
	.ci-venv/bin/mypy
	.ci-venv/bin/lint-imports --no-cache

run: build
	.venv/bin/python -m puffinford serve

demo: stage-packages
	.stage-venv/bin/python -m puffinford.stage.demo

.PHONY: capacity
# docs/CAPACITY.md from the committed results and targets
capacity: dev
	.ci-venv/bin/python -m benchmarks.capacity $(ARGS)

# BEFORE=TREE plays another checkout of the program in turns
bench-start: build
	.venv/bin/python -m benchmarks.start $(ARGS) $(if $(BEFORE),--before $(BEFORE))

bench-rebalance: build
	.venv/bin/python -m benchmarks.rebalance $(ARGS)

# BEFORE=TREE plays another checkout too
bench-spread: stage-packages
	.stage-venv/bin/python -m benchmarks.spread $(ARGS) $(if $(BEFORE),--before $(BEFORE))

# STORY=NAME or a file
stage: stage-packages
	.stage-venv/bin/python -m puffinford stage play $(or $(STORY),calm)

.PHONY: soak bench-size
# SEEDS stories drawn from seeds, by hand: about 12 s each; FIRST is the first seed
soak: stage-packages
	.stage-venv/bin/python -m puffinford stage soak --seeds $(or $(SEEDS),50) --first $(or $(FIRST),1) $(ARGS)

# one real balancer among 200 and 3,200 servers, beside what the operators allow
bench-size: build
	.venv/bin/python -m benchmarks.size $(ARGS)

bench-fleet: build
	.venv/bin/python -m benchmarks.fleet $(ARGS)

# the slopes (docs/scale-slopes.md); without ARGS it takes 20 min and writes the committed results anew
bench-scale: bench-packages
	.bench-venv/bin/python -m benchmarks.scale $(ARGS)

# ARGS="--hollow 1500 --processes 6 --real 4 --story calm"; docs/scale.md. The records need git for their commit
bench-scale-runs: bench-packages
	.bench-venv/bin/python -m benchmarks.scale.runs $(ARGS)
