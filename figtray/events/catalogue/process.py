"""Events of each process, of the store and of the configuration."""

import logbook

from figtray.events import base

PROCESS_STARTED = base.Event(
    100,
    logbook.NOTICE,
    'The process has started; sources is a digest of its code.',
    ('version', 'sources', 'pid', 'zone'),
)
PROCESS_STOPPING = base.Event(
    101,
    logbook.NOTICE,
    'The process received a stop signal; it finishes open work and exits.',
    ('signal',),
)
PROCESS_STOPPED = base.Event(
    102,
    logbook.NOTICE,
    'The process exits. Status 0: stopped, 1: unexpected exception, 2: '
    'invalid settings, 3: cannot listen.',
    ('status',),
)
SETTINGS_INVALID = base.Event(
    103,
    logbook.ERROR,
    'The settings are invalid. On start the process exits; on a reload it '
    'keeps the settings it started with.',
    ('detail',),
)
LISTEN_FAILED = base.Event(
    104,
    logbook.ERROR,
    'The process cannot listen on an address of its settings and exits.',
    ('address', 'detail'),
)
UNEXPECTED_EXCEPTION = base.Event(
    105,
    logbook.ERROR,
    'An unexpected exception was raised; where names the work that failed.',
    ('where', 'error', 'detail', 'traceback'),
)
LIBRARY_MESSAGE = base.Event(
    106,
    logbook.WARNING,
    'A library logged a warning or an error.',
    ('library', 'severity', 'detail', 'error'),
)
SETTINGS_RELOADED = base.Event(
    107,
    logbook.NOTICE,
    'The settings file was read again and is valid; the process keeps the '
    'settings it started with.',
    ('node',),
)
LOG_LINES_DROPPED = base.Event(
    108,
    logbook.WARNING,
    'Log lines were dropped: there were more than the limit, or their '
    'reader is too slow.',
    ('lines',),
)
CALLERS_REFUSED = base.Event(
    109,
    logbook.WARNING,
    'Requests of callers were refused, none of which has run, or connections '
    'were closed: count since the last line with this reason. memory, share: '
    'no room in the budget; stopped: closed for the room of another, as the '
    'caller had stopped; connections: closed as there were too many; slow: '
    'below the least rate. address and phase are those of the last one.',
    ('listener', 'reason', 'count', 'address', 'phase', 'held_bytes'),
)
REPLY_TOO_LARGE = base.Event(
    110,
    logbook.ERROR,
    'A service that this process called has sent more than it may; the '
    'connection was closed, and the response counts as lost.',
    ('address', 'limit_bytes'),
)

STORE_UNAVAILABLE = base.Event(
    200,
    logbook.WARNING,
    'The store does not answer; what was last read below the prefix stays '
    'in use, and reading is retried.',
    ('prefix', 'detail'),
)
STORE_BACK = base.Event(
    201,
    logbook.NOTICE,
    'The store answers again; what is known below the prefix is current.',
    ('prefix', 'outage_ms'),
)
RECORD_UNREADABLE = base.Event(
    205,
    logbook.ERROR,
    'A record in the store cannot be decoded; it is not used until it is '
    'written again.',
    ('record', 'detail'),
)
WRITES_FAIL = base.Event(
    206,
    logbook.WARNING,
    'The leader cannot write its records to the store; it retries while its '
    'term lasts.',
    ('records', 'detail'),
)
WRITES_SUCCEED = base.Event(
    207, logbook.NOTICE, 'The leader can write its records to the store again.'
)
VIEW_OUTDATED = base.Event(
    208,
    logbook.WARNING,
    'What is known below the prefix is still outdated; staleness_ms tells '
    'since when. It is logged each 10 s while reading fails.',
    ('prefix', 'staleness_ms', 'detail'),
)

CONFIG_APPLIED = base.Event(
    302,
    logbook.INFO,
    'A configuration was read from the store and is in use.',
    ('version', 'revision', 'queues', 'pools', 'teams'),
)
ZONES_OUT_OF_SERVICE = base.Event(
    303,
    logbook.NOTICE,
    'The set of zones out of service has changed; no task starts in the '
    'listed zones.',
    ('zones',),
)
