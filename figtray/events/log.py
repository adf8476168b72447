"""Log output: one JSON line for each event, written with logbook."""

import atexit
import collections
import functools
import logging
import os
import sys
import threading
import time
import traceback

import logbook
import msgspec

from figtray.events import catalogue

STDERR = 'stderr'
STDOUT = 'stdout'
MAX_FIELD_LENGTH = 2000
# Rate limit of the standard output (a token bucket); further lines are dropped
# and counted.
LINES_PER_S = 500
BURST_LINES = 3000
# Part of the burst that is reserved for level NOTICE and above, so that lines
# on single requests and tasks don't displace those on leadership, dependencies
# and failures.
RESERVED_LINES = 300
# Limit of the lines that wait for a slow reader of the output.
MAX_WAITING_LINES = 4000
WRITE_INTERVAL_S = 0.1
# Log collectors truncate longer writes.
MAX_WRITE_BYTES = 8192

_logger = logbook.Logger('figtray')
_strict = False


def setup(level, destination, program, instance=''):
    """Write all events to one destination, in place of an earlier one.

    Args:
        level: lowest level that is written, such as `info`.
        destination: `stderr`, `stdout` (rate-limited; a slow reader never
            blocks emit()) or the name of a file, which is reopened after
            it was renamed.
        program: name of the program, written with every event.
        instance: name of this process, such as its slot.

    Raises:
        OSError: the file can't be opened.
        LookupError: no such level.
    """
    lowest = logbook.lookup_level(level.upper())
    if destination == STDERR:
        handler = logbook.StreamHandler(sys.stderr)
    elif destination == STDOUT:
        handler = _BoundedHandler(sys.stdout.fileno())
    else:
        handler = logbook.MonitoringFileHandler(destination)
    handler.formatter = functools.partial(_format, program, instance)
    reset()
    _logger.handlers = [handler]
    _logger.level = lowest
    _redirect_libraries()


def reset():
    """Undo setup(); events go to logbook's default handler."""
    handlers, _logger.handlers = _logger.handlers, []
    _logger.level = logbook.NOTSET
    for handler in handlers:
        handler.close()
    logging.getLogger().removeHandler(_library_handler)


def flush():
    """Write the lines that are queued for the standard output."""
    for handler in _logger.handlers:
        if isinstance(handler, _BoundedHandler):
            handler.drain()


def set_strict(strict):
    """Set what emit() does with a field that the event does not declare.

    Args:
        strict: True raises TypeError, for tests; False drops the field, so
            that a wrong log call never fails a request.
    """
    global _strict
    _strict = strict


def emit(event, **fields):
    """Log an event.

    Args:
        event: an Event of the catalogue.
        fields: values of the fields that the event declares.

    Raises:
        TypeError: a field is not declared, in strict mode.
    """
    if event.level < _logger.level and not _strict:
        return
    unknown = fields.keys() - set(event.fields)
    if unknown:
        if _strict:
            raise TypeError(
                f'event {event.number} does not declare {sorted(unknown)}'
            )
        fields = {
            name: value
            for name, value in fields.items()
            if name not in unknown
        }
    _logger.log(
        event.level, event.message, extra={'event': event, 'fields': fields}
    )


def emit_exception(where, exc):
    """Log an unexpected exception.

    Args:
        where: name of the work that failed.
        exc: the exception.
    """
    emit(
        catalogue.UNEXPECTED_EXCEPTION,
        where=where,
        error=type(exc).__name__,
        detail=str(exc),
        traceback=''.join(traceback.format_tb(exc.__traceback__)),
    )


class _BoundedHandler(logbook.Handler):
    """Writes lines to a descriptor in a separate thread, at a limited rate.

    A slow reader of the output never blocks emit(): lines beyond the rate
    or the queue's limit are dropped, and their number is logged.
    """

    def __init__(self, descriptor):
        super().__init__()
        self._descriptor = descriptor
        self._lines = collections.deque()
        self._tokens = float(BURST_LINES)
        self._refilled_s = time.monotonic()
        self._dropped = 0
        self._lock = threading.Lock()
        self._write_lock = threading.Lock()
        self._has_lines = threading.Event()
        threading.Thread(target=self._run, name='log', daemon=True).start()
        atexit.register(self.drain)

    def emit(self, record):
        with self._lock:
            now_s = time.monotonic()
            self._tokens = min(
                BURST_LINES,
                self._tokens + (now_s - self._refilled_s) * LINES_PER_S,
            )
            self._refilled_s = now_s
            required_tokens = (
                1 if record.level >= logbook.NOTICE else RESERVED_LINES
            )
            if (
                self._tokens < required_tokens
                or len(self._lines) >= MAX_WAITING_LINES
            ):
                self._dropped += 1
                return
            self._tokens -= 1
        self._lines.append(self.format(record))
        self._has_lines.set()

    def drain(self):
        """Write all queued lines."""
        with self._write_lock:
            while self._lines:
                chunk, size = [], 0
                while self._lines and size < MAX_WRITE_BYTES:
                    line = f'{self._lines.popleft()}\n'.encode()
                    chunk.append(line)
                    size += len(line)
                data = b''.join(chunk)
                while data:
                    data = data[os.write(self._descriptor, data) :]

    def _run(self):
        while True:
            self._has_lines.wait()
            time.sleep(WRITE_INTERVAL_S)
            self._has_lines.clear()
            with self._lock:
                dropped, self._dropped = self._dropped, 0
            if dropped:
                emit(catalogue.LOG_LINES_DROPPED, lines=dropped)
            try:
                self.drain()
            except OSError as exc:
                # The event log itself has failed; standard error is left.
                sys.stderr.write(f'log output: {exc}\n')
                return


class _LibraryHandler(logging.Handler):
    """Emits the log records of libraries as events."""

    def emit(self, record):
        try:
            emit(
                catalogue.LIBRARY_MESSAGE,
                library=record.name,
                severity=record.levelname.lower(),
                detail=record.getMessage(),
                error=repr(record.exc_info[1]) if record.exc_info else '',
            )
        except Exception:
            self.handleError(record)


_library_handler = _LibraryHandler(logging.WARNING)


def _redirect_libraries():
    root = logging.getLogger()
    if _library_handler not in root.handlers:
        root.addHandler(_library_handler)
    # waitress warns of each request that waits for a thread; that is no fault.
    logging.getLogger('waitress.queue').setLevel(logging.ERROR)


@functools.cache
def _event_names():
    return {event.number: name for name, event in catalogue.by_name().items()}


def _format(program, instance, record, handler):
    event = record.extra['event']
    line = {
        'time': f'{record.time.isoformat(timespec="milliseconds")}Z',
        'level': record.level_name.lower(),
        'program': program,
        'instance': instance,
        'number': event.number,
        'name': _event_names().get(event.number, ''),
        'message': event.message,
        'fields': {
            name: _shorten(value)
            for name, value in record.extra['fields'].items()
        },
    }
    return msgspec.json.encode(line, enc_hook=str).decode()


def _shorten(value):
    # Keeps the end, which in a traceback names the place of the fault.
    if isinstance(value, str) and len(value) > MAX_FIELD_LENGTH:
        return f'...{value[-MAX_FIELD_LENGTH:]}'
    return value
