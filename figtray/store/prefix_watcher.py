"""Watch of the keys below a prefix that recovers from failures."""

import random
import threading

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.events import unreadable
from figtray.store import base

RETRY_MS = 250
RETRY_JITTER_MS = 150
# Longest wait of the first watch after a failure. A long one that is sent
# while the store is still away would hide its return until it times out.
CONFIRM_WAIT_MS = 300
# A view that was confirmed longer ago than this by the time of an answer, as
# that was large, is confirmed again by a short wait.
SLOW_ANSWER_MS = 2000
# While a view fails to be confirmed, its age is logged this often.
OUTDATED_LOG_INTERVAL_MS = 10_000


class PrefixWatcher:
    """Reports the keys below one prefix, and their changes, to a view.

    The view is confirmed as of a time if it holds all changes made before
    that time. A full read or a request of a watch that is answered confirms
    it as of the time of the request; a watch that breaks confirms nothing.
    A change that the view can't apply is logged and skipped, and the others
    are reported.

    Args:
        store: the Store.
        prefix: common start of the keys.
        clock: the Clock.
        on_reset: called with a tuple of all KeyValues after each full read.
        on_change: called with each changed KeyValue.
        wait_ms: longest wait of a watch; it bounds the staleness.
    """

    def __init__(
        self,
        store,
        prefix,
        clock,
        on_reset,
        on_change,
        wait_ms=base.WATCH_WAIT_MS,
    ):
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._on_reset = on_reset
        self._on_change = on_change
        self._wait_ms = wait_ms
        self._confirmed_ms = None
        self._failing_since_ms = None
        self._outdated_logged_ms = None
        self._unreadable = unreadable.UnreadableLog(clock)
        self.loaded = threading.Event()

    def staleness_ms(self):
        """Return the ms since the view was confirmed; None if it never was."""
        confirmed_ms = self._confirmed_ms
        return (
            None
            if confirmed_ms is None
            else self._clock.now_ms() - confirmed_ms
        )

    def run(self, stop, revision=None, requested_ms=None):
        """Watch the prefix in this thread until a threading.Event is set.

        Args:
            stop: the threading.Event.
            revision: that of a full read which the view holds already; None
                reads the prefix first.
            requested_ms: local time before that read was requested.
        """
        if revision is not None:
            self._confirm(requested_ms)
        while not stop.is_set():
            try:
                if revision is None:
                    revision = self.load()
                # Keeps the last revision, so that a watch that breaks is
                # resumed after it.
                for revision in self._watch_changes(revision, stop):
                    pass
            except errors.HistoryCompacted:
                # The missed changes are gone; only a full read shows their
                # result.
                revision = None
            except errors.StoreUnavailable as exc:
                self._report_failure(exc)
                self._wait(stop)
            except Exception as exc:
                # What the view has missed is unknown; a full read tells.
                revision = None
                self._unreadable.note(self._prefix, exc)
                self._wait(stop)

    def _wait(self, stop):
        jitter_ms = random.random() * RETRY_JITTER_MS
        self._clock.wait(stop, RETRY_MS + jitter_ms)

    def load(self):
        """Read all keys below the prefix once.

        Returns:
            The revision after which the watch has to start.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        requested_ms = self._clock.now_ms()
        result = self._store.range(self._prefix)
        self._on_reset(result.items)
        self._confirm(requested_ms)
        self.loaded.set()
        return result.revision

    def _watch_changes(self, revision, stop):
        """Yield the revision of each change, after it is reported.

        After a failure, or an answer that took long, returns as soon as the
        store has answered once.
        """
        staleness_ms = self.staleness_ms()
        recovering = (
            self._failing_since_ms is not None
            or staleness_ms is not None
            and staleness_ms > SLOW_ANSWER_MS
        )
        wait_ms = self._wait_ms
        if recovering:
            wait_ms = min(wait_ms, CONFIRM_WAIT_MS)
        requested_ms = self._clock.now_ms()
        watch = self._store.watch(self._prefix, revision + 1, stop, wait_ms)
        for item in watch:
            if item is None:
                self._confirm(requested_ms)
                if recovering or self.staleness_ms() > SLOW_ANSWER_MS:
                    return
                requested_ms = self._clock.now_ms()
                continue
            with self._unreadable.skip_on_error(item.key):
                self._on_change(item)
            revision = max(revision, item.mod_revision)
            yield revision

    def _confirm(self, requested_ms):
        self._confirmed_ms = requested_ms
        if self._failing_since_ms is not None:
            log.emit(
                catalogue.STORE_BACK,
                prefix=self._prefix,
                outage_ms=self._clock.now_ms() - self._failing_since_ms,
            )
            self._failing_since_ms = None

    def _report_failure(self, exc):
        now_ms = self._clock.now_ms()
        if self._failing_since_ms is None:
            self._failing_since_ms = self._outdated_logged_ms = now_ms
            log.emit(
                catalogue.STORE_UNAVAILABLE,
                prefix=self._prefix,
                detail=str(exc),
            )
        elif now_ms - self._outdated_logged_ms >= OUTDATED_LOG_INTERVAL_MS:
            self._outdated_logged_ms = now_ms
            log.emit(
                catalogue.VIEW_OUTDATED,
                prefix=self._prefix,
                staleness_ms=self.staleness_ms(),
                detail=str(exc),
            )
