# build: what run and sim need; test, lint: what CI checks; run: one balancer by $EDGE_CONFIG
.PHONY: build dev test lint run

build:
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -r requirements.txt

dev:
	test -x .ci-venv/bin/python || python3 -m venv .ci-venv
	.ci-venv/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt

test: dev
	.ci-venv/bin/python -m pytest -q -p no:cacheprovider

lint: dev
	.ci-venv/bin/ruff check .
	.ci-venv/bin/ruff format --check .
	.ci-venv/bin/mypy

run: build
	.venv/bin/python -m puffinford serve
