"""Configuration of all tests: strict checks of log fields."""

from figtray.events import log

log.set_strict(True)
