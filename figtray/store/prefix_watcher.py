"""Local copy of the keys below a prefix, kept up to date by a watch."""

import random
import threading

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.store import base

RETRY_MS = 250
RETRY_JITTER_MS = 150


class PrefixWatcher:
    """Follows one prefix of the store in the thread that calls run().

    A view is proven at a time if it holds all changes that were made
    before: a time-out of a watch proves it for the moment at which the
    watch was asked, a stale or cut watch proves nothing.

    Args:
        store: the Store.
        prefix: common start of the keys.
        clock: the Clock.
        reset: called with the tuple of KeyValues after each whole read.
        change: called with each changed KeyValue.
        wait_ms: longest wait of a watch, which bounds the age of the proof.
    """

    def __init__(
        self, store, prefix, clock, reset, change, wait_ms=base.WATCH_WAIT_MS
    ):
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._reset = reset
        self._change = change
        self._wait_ms = wait_ms
        self._proven_ms = None
        self._failing_since_ms = None
        self.loaded = threading.Event()

    def staleness_ms(self):
        """Return the age of the last proof; None if there was none."""
        proven_ms = self._proven_ms
        return None if proven_ms is None else self._clock.now_ms() - proven_ms

    def run(self, stop):
        """Follow the prefix until a threading.Event is set."""
        revision = None
        while not stop.is_set():
            try:
                if revision is None:
                    revision = self.load()
                for revision in self._follow(revision, stop):
                    pass
            except errors.HistoryCompacted:
                # Only a whole read shows what happened meanwhile.
                revision = None
            except errors.StoreUnavailable as exc:
                self._note_failure(exc)
                jitter_ms = random.random() * RETRY_JITTER_MS
                self._clock.wait(stop, RETRY_MS + jitter_ms)

    def load(self):
        """Read the whole prefix once.

        Returns:
            The revision after which changes are to be followed.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        asked_ms = self._clock.now_ms()
        result = self._store.range(self._prefix)
        self._reset(result.items)
        self._prove(asked_ms)
        self.loaded.set()
        return result.revision

    def _follow(self, revision, stop):
        asked_ms = self._clock.now_ms()
        watch = self._store.watch(
            self._prefix, revision + 1, stop, self._wait_ms
        )
        for item in watch:
            if item is None:
                self._prove(asked_ms)
                asked_ms = self._clock.now_ms()
                continue
            self._change(item)
            revision = item.mod_revision
            yield revision

    def _prove(self, asked_ms):
        self._proven_ms = asked_ms
        if self._failing_since_ms is not None:
            log.emit(
                catalogue.STORE_BACK,
                prefix=self._prefix,
                outage_ms=self._clock.now_ms() - self._failing_since_ms,
            )
            self._failing_since_ms = None

    def _note_failure(self, exc):
        if self._failing_since_ms is None:
            self._failing_since_ms = self._clock.now_ms()
            log.emit(
                catalogue.STORE_UNAVAILABLE,
                prefix=self._prefix,
                detail=str(exc),
            )
