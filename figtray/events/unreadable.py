"""Log of the records that can't be read, each named once."""

import contextlib
import threading

from figtray import errors
from figtray.events import catalogue
from figtray.events import log

# Further unreadable records of a reader are skipped without a line each.
MAX_NAMED = 200
# A name may come from the record.
MAX_NAME_CHARS = 200
# A record that was readable, or gone, for this long is named again.
FORGET_MS = 60_000


class UnreadableLog:
    """Names each unreadable record of one reader once.

    A record stays named while it is unreadable, whatever its error is, so
    one that changes at each read costs one line.

    Args:
        clock: the Clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        # Local time at which each named record was last found unreadable.
        self._seen_ms = {}
        self._is_full = False

    def read(self, record, decode, data):
        """Return a decoded record; None, with a log line, if unreadable.

        Args:
            record: its name, such as its key.
            decode: returns the record of its bytes.
            data: the bytes.
        """
        try:
            return decode(data)
        except errors.UnreadableMessage as exc:
            self.note(record, exc)
            return None

    @contextlib.contextmanager
    def skip_on_error(self, record):
        """Skip the rest of the block, with a log line, if it raises.

        Args:
            record: name of the record that the block applies.
        """
        try:
            yield
        except Exception as exc:
            self.note(record, exc)

    def note(self, record, exc):
        """Log that a record is skipped, unless it is named already.

        Args:
            record: its name, such as its key.
            exc: the UnreadableMessage, or an unexpected exception.
        """
        name = self._name_to_log(record)
        if not name:
            return
        if isinstance(exc, errors.UnreadableMessage):
            log.emit(catalogue.RECORD_UNREADABLE, record=name, detail=str(exc))
        else:
            log.emit_exception(f'record {name}', exc)

    def _name_to_log(self, record):
        """Return how to name a record now; empty if it was named."""
        record = record[:MAX_NAME_CHARS]
        with self._lock:
            now_ms = self._clock.now_ms()
            seen_ms = self._seen_ms.get(record)
            if seen_ms is None and not self._has_room(now_ms):
                if self._is_full:
                    return ''
                self._is_full = True
                return f'{record} and others'
            self._seen_ms[record] = now_ms
            if seen_ms is not None and now_ms - seen_ms < FORGET_MS:
                return ''
            return record

    def _has_room(self, now_ms):
        """Return whether one more record can be named."""
        if len(self._seen_ms) < MAX_NAMED:
            return True
        self._seen_ms = {
            record: seen_ms
            for record, seen_ms in self._seen_ms.items()
            if now_ms - seen_ms < FORGET_MS
        }
        has_room = len(self._seen_ms) < MAX_NAMED
        self._is_full &= not has_room
        return has_room
