VENV ?= .venv
PY = $(VENV)/bin/python
STAMP = $(VENV)/.installed
# Options that deselect the tests listed in KNOWN-RED.txt.
KNOWN_RED = $(shell sed -n 's/^test: /--deselect=/p' KNOWN-RED.txt)

.PHONY: demo test check format

demo: $(STAMP)
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" sh scripts/demo.sh

test: $(STAMP) check
	$(PY) -m pytest -n 4 -m 'not crowd' $(KNOWN_RED)
	$(PY) -m pytest -m crowd $(KNOWN_RED)

check: $(STAMP)
	$(PY) -m black --check figtray
	$(PY) -m flake8 figtray

format: $(STAMP)
	$(PY) -m black --quiet figtray

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check \
		-r requirements-dev.txt
	$(PY) -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation --editable .
	touch $(STAMP)
