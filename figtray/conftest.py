"""Set-up of all tests."""

from figtray.events import log

log.set_strict(True)
