PYTHON = .venv/bin/python

.PHONY: build demo format lint run test

build: .venv
	$(PYTHON) -m compileall -q grebedyke

.venv: requirements.txt requirements-tools.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-tools.txt
	touch .venv

demo: build
	$(PYTHON) -m grebedyke demo

format: build
	.venv/bin/pip -q install ruff==0.14.5
	.venv/bin/ruff check --fix-only --select I .
	.venv/bin/ruff format .

lint: build
	.venv/bin/pip -q install ruff==0.14.5
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .

test: build
	.venv/bin/pip -q install pytest==8.4.2
	$(PYTHON) -m pytest

run: build
	trap '' HUP; exec $(PYTHON) -m grebedyke
