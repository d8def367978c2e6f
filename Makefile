# `make day` plays the bad day against a real assigner, `make serve` runs one on loopback, `make test` runs lint and tests.
PY = .venv/bin/python

.PHONY: day test serve

.venv/ready: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip -q install --disable-pip-version-check -r requirements.txt -r requirements-dev.txt
	$(PY) -m pip -q install --disable-pip-version-check --no-deps -e .
	touch $@

day: .venv/ready
	.venv/bin/hollyridge day examples/bad-day.ini

serve: .venv/ready
	.venv/bin/hollyridge serve examples/loopback.ini

test: .venv/ready
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m pytest
