"""The leader's view of the jobs and cancellations that callers submit."""

from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import records
from figtray.store import prefix_watcher

CHECK_INTERVAL_MS = 1000
# A leader whose view is older ends its term. A working watch confirms the view
# about once a second, and a large change takes some seconds on a narrow link.
MAX_AGE_MS = 8000


class IntakeView:
    """Reads the stored jobs and cancellations, then follows their changes.

    Args:
        store: the Store.
        clock: the Clock.
        term: the Term.
        reader: the IntakeReader, which gets what is read.
    """

    def __init__(self, store, clock, term, reader):
        self._store = store
        self._clock = clock
        self._term = term
        self.reader = reader
        self._revision = None
        self._read_ms = None
        # Local time until which an old view is no fault of this node: it was
        # out of touch with the store as a whole.
        self._excused_until_ms = clock.now_ms()
        self._watcher = prefix_watcher.PrefixWatcher(
            store,
            records.INTAKE_PREFIX,
            clock,
            reader.add,
            reader.handle_change,
        )

    def load(self, progress):
        """Read all jobs and cancellations once.

        Args:
            progress: see IntakeReader.add().

        Returns:
            Number of the records.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        requested_ms = self._clock.now_ms()
        count = 0

        def read_items():
            nonlocal count
            for page in self._store.pages(records.INTAKE_PREFIX):
                count += len(page.items)
                self._revision = page.revision
                yield from page.items

        self.reader.add(read_items(), progress)
        self._read_ms = requested_ms
        return count

    def run(self):
        """Follow the changes since load() until the term has ended."""
        self._watcher.run(self._term.ended, self._revision, self._read_ms)

    def age_ms(self):
        """Return the time since the view was last confirmed; None if never."""
        return self._watcher.staleness_ms()

    def run_checks(self):
        """End the term if it lasts, but the view is too old."""
        while not self._clock.wait(self._term.ended, CHECK_INTERVAL_MS):
            self.check()

    def check(self):
        """End the term if the view is too old; see run_checks()."""
        now_ms = self._clock.now_ms()
        if not self._term.valid():
            self._excused_until_ms = now_ms
        age_ms = self.age_ms()
        if age_ms is None:
            age_ms = now_ms - self._term.began_ms
        if min(age_ms, now_ms - self._excused_until_ms) <= MAX_AGE_MS:
            return
        log.emit(
            catalogue.INTAKE_OUTDATED, epoch=self._term.epoch, age_ms=age_ms
        )
        self._term.end('it does not see the jobs that callers submit')
