"""Client of the worker protocol over HTTP/1.1."""

import collections
import contextlib
import dataclasses
import http.client
import json
import threading
import urllib.parse

from figtray import connections
from figtray import errors
from figtray import verdict
from figtray.workers import base
from figtray.workers import memory

# Nothing of a start is sent while connecting, so a slow worker is given up
# early and the start goes to another one.
CONNECT_TIMEOUT_MS = 1000
# Clocks that drift apart by 100 ppm differ by 6 ms after this time.
SAMPLE_AGE_MS = 60_000
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_REPORT_BYTES = 1024 * 1024
# Idle connections to all workers; the one that was used longest ago closes.
IDLE_CONNECTIONS = 1024

_REASON = verdict.UncertainReason


class _Pool:
    """Connections to one address."""

    def __init__(self, lock):
        self.cond = threading.Condition(lock)
        self.in_use = 0
        self.idle = []
        self.waiting = {}


class _Connection(connections.Connection):
    """Connection with a sample of the clock of the worker behind it.

    The sample belongs to the connection, because a connection does not
    outlive the worker process that accepted it.
    """

    sample = None

    def note_clock(self, worker_ms, local_ms):
        """Keep a reading of the worker's clock.

        Args:
            worker_ms: the reading.
            local_ms: local time after the reading was received. The mapped
                time is then never too late, even if the reading is old.
        """
        self.sample = (worker_ms, local_ms)

    def has_sample(self, now_ms):
        """Tell whether the sample is recent enough."""
        return self.sample and now_ms - self.sample[1] < SAMPLE_AGE_MS

    def worker_time(self, local_ms):
        """Map a local time to the worker's clock."""
        worker_ms, sampled_ms = self.sample
        return worker_ms + local_ms - sampled_ms


@dataclasses.dataclass(frozen=True)
class _Sent:
    """A start whose answer is awaited."""

    task_id: str
    conn: _Connection
    sent_ms: int


def parse_report(data):
    """Parse the JSON of a report.

    Args:
        data: bytes.

    Returns:
        A WorkerReport.

    Raises:
        ValueError: the data is no report.
    """
    try:
        fields = json.loads(data)
        running = tuple(
            base.RunningTask(
                task_id=str(item['task_id']),
                attempt_id=str(item['attempt_id']),
                team=str(item['team']),
                incarnation=str(item['incarnation']),
                lease_left_ms=int(item['lease_left_ms']),
            )
            for item in fields['running']
        )
        return base.WorkerReport(
            host=str(fields['host']),
            boot_id=str(fields['boot_id']),
            clock_ms=int(fields['clock_ms']),
            slots=int(fields['slots']),
            leaving=bool(fields['leaving']),
            running=running,
        )
    except (TypeError, LookupError, AttributeError) as exc:
        raise ValueError(f'malformed report: {exc!r}')


def _uncertain_reason(exc):
    if isinstance(exc, TimeoutError):
        return _REASON.TIMEOUT
    # RemoteDisconnected is an OSError as well as an HTTPException.
    if isinstance(exc, OSError):
        return _REASON.CONNECTION_LOST
    return _REASON.BROKEN_ANSWER


class HttpWorkerClient(base.WorkerClient):
    """Starts tasks over kept-alive connections.

    Args:
        clock: clock.Clock.
        max_connections: bound of the connections of starts to one address.
            A report or a stop may open one more for a moment.
    """

    def __init__(self, clock, max_connections):
        super().__init__()
        self._clock = clock
        self._max_connections = max_connections
        self._lock = threading.Lock()
        self._pools = {}
        self._idle = collections.OrderedDict()
        self._closed = False

    def start(self, address, start, timeout_ms, check):
        end_ms = self._clock.now_ms() + timeout_ms
        pool = self._pool(address)
        if not self._enter(pool, end_ms):
            return verdict.NotRun(
                verdict.RefusalReason.BUSY,
                f'all {self._max_connections} connections are in use',
            )
        conn = None
        try:
            conn = self._connect(pool, address, end_ms)
            return self._send(pool, conn, start, end_ms, check)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            # _send() handles all failures after the first byte itself.
            return verdict.NotRun(
                verdict.RefusalReason.CONNECT_FAILED,
                f'{address}: {exc or repr(exc)}',
            )
        finally:
            self._leave(pool, conn)

    def report(self, address, timeout_ms):
        try:
            conn = _Connection(address, self._clock)
            with contextlib.closing(conn):
                conn.open(self._clock.now_ms() + timeout_ms)
                return self._get_report(conn)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise errors.WorkerUnavailable(
                address=address, detail=exc or repr(exc)
            )

    def stop(self, address, task_id, timeout_ms):
        path = '/tasks/' + urllib.parse.quote(task_id, safe='')
        try:
            conn = _Connection(address, self._clock)
            with contextlib.closing(conn):
                conn.open(self._clock.now_ms() + timeout_ms)
                conn.request('DELETE', path, headers={'Connection': 'close'})
                resp = conn.getresponse()
                resp.read(MAX_REPORT_BYTES)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise errors.WorkerUnavailable(
                address=address, detail=exc or repr(exc)
            )
        if resp.status not in (200, 202, 204, 404):
            raise errors.WorkerUnavailable(
                address=address, detail=f'status {resp.status}'
            )

    def probe(self, address, timeout_ms):
        answered = super().probe(address, timeout_ms)
        if answered:
            self._drop_idle(self._pool(address))
        return answered

    def waiting(self, address):
        now_ms = self._clock.now_ms()
        with self._lock:
            pool = self._pools.get(address)
            sent = list(pool.waiting.items()) if pool else []
        return [
            base.WaitingStart(item.task_id, attempt_id, now_ms - item.sent_ms)
            for attempt_id, item in sent
        ]

    def abandon(self, address, attempt_id):
        with self._lock:
            pool = self._pools.get(address)
            sent = pool.waiting.get(attempt_id) if pool else None
            if sent:
                sent.conn.abort()

    def close(self):
        with self._lock:
            self._closed = True
            pools = list(self._pools.values())
            for pool in pools:
                for sent in pool.waiting.values():
                    sent.conn.abort()
        for pool in pools:
            self._drop_idle(pool)

    def _pool(self, address):
        with self._lock:
            if address not in self._pools:
                self._pools[address] = _Pool(self._lock)
            return self._pools[address]

    def _enter(self, pool, end_ms):
        """Wait for one of the bounded connections."""
        with pool.cond:
            while pool.in_use >= self._max_connections:
                left_ms = end_ms - self._clock.now_ms()
                if left_ms <= 0 or not pool.cond.wait(left_ms / 1000):
                    return False
            pool.in_use += 1
            return True

    def _leave(self, pool, conn):
        """Keep a connection that is still open, if one is given."""
        oldest = None
        with pool.cond:
            pool.in_use -= 1
            pool.cond.notify()
            if conn and conn.sock:
                if self._closed:
                    oldest = conn
                else:
                    pool.idle.append(conn)
                    self._idle[conn] = pool
                if len(self._idle) > IDLE_CONNECTIONS:
                    oldest, other = self._idle.popitem(last=False)
                    other.idle.remove(oldest)
        if oldest:
            oldest.close()

    def _take_idle(self, pool):
        with self._lock:
            if not pool.idle:
                return None
            conn = pool.idle.pop()
            del self._idle[conn]
            return conn

    def _drop_idle(self, pool):
        while conn := self._take_idle(pool):
            conn.close()

    def _connect(self, pool, address, end_ms):
        """Return a connection with a recent sample of the worker's clock."""
        while conn := self._take_idle(pool):
            pending = conn.pending()
            if pending is None and self._refresh(conn, end_ms):
                return conn
            if pending:
                with self._lock:
                    self.late_answers += 1
            conn.close()
        conn = _Connection(address, self._clock)
        try:
            conn.open(min(end_ms, self._clock.now_ms() + CONNECT_TIMEOUT_MS))
            self._get_report(conn)
        except BaseException:
            conn.close()
            raise
        return conn

    def _refresh(self, conn, end_ms):
        now_ms = self._clock.now_ms()
        if conn.has_sample(now_ms):
            return True
        try:
            conn.set_limit(min(end_ms, now_ms + CONNECT_TIMEOUT_MS))
            self._get_report(conn)
        except (OSError, http.client.HTTPException, ValueError):
            return False
        return True

    def _get_report(self, conn):
        conn.request('GET', '/report')
        resp = conn.getresponse()
        if resp.status != 200:
            raise ValueError(f'status {resp.status} instead of a report')
        if resp.length is None or resp.length > MAX_REPORT_BYTES:
            raise ValueError('the report has no or too large a length')
        report = parse_report(resp.read())
        conn.note_clock(report.clock_ms, self._clock.now_ms())
        return report

    def _send(self, pool, conn, start, end_ms, check):
        """Send a start and return its verdict.

        Raises:
            OSError, HTTPException or ValueError: only if nothing was sent.
        """
        conn.set_limit(end_ms)
        with self._lock:
            pool.waiting[start.attempt_id] = _Sent(
                start.task_id, conn, self._clock.now_ms()
            )
        try:
            allowed = check()
            if isinstance(allowed, verdict.NotRun):
                return allowed
            if allowed <= self._clock.now_ms():
                return verdict.NotRun(
                    verdict.RefusalReason.START_EXPIRED,
                    'the right to start ended before the send',
                )
            self._request(conn, start, conn.worker_time(int(allowed)))
            return self._receive(conn, start)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            conn.close()
            timed_out = isinstance(exc, TimeoutError)
            if timed_out:
                # The other connections may be half-open as well.
                self._drop_idle(pool)
            if not conn.sent_bytes:
                if isinstance(exc, ValueError):
                    return verdict.NotRun(
                        verdict.RefusalReason.BAD_REQUEST, str(exc)
                    )
                raise
            if timed_out:
                with self._lock:
                    self._note_timeout(conn.address)
            return verdict.MayHaveRun(_uncertain_reason(exc), repr(exc))
        except BaseException:
            conn.close()
            raise
        finally:
            with self._lock:
                pool.waiting.pop(start.attempt_id, None)

    @staticmethod
    def _request(conn, start, start_by_ms):
        headers = {
            'Task-Id': start.task_id,
            'Attempt-Id': start.attempt_id,
            'Team': start.team,
            'Queue': start.queue,
            'Incarnation': start.incarnation,
            'Lease-Ms': str(start.lease_ms),
            'Start-By': str(start_by_ms),
        }
        conn.request('POST', '/tasks', start.body, headers)

    def _receive(self, conn, start):
        """Read the answer; close the connection on anything unexpected."""
        resp = conn.getresponse()
        received_ms = self._clock.now_ms()
        answered_id = resp.getheader('Attempt-Id')
        if answered_id != start.attempt_id:
            conn.close()
            with self._lock:
                self.foreign_answers += 1
            return verdict.MayHaveRun(
                _REASON.FOREIGN_ANSWER, f'answer to attempt {answered_id}'
            )
        if resp.length is None or resp.length > MAX_ANSWER_BYTES:
            conn.close()
            return verdict.MayHaveRun(
                _REASON.BROKEN_ANSWER, 'no or too large a Content-Length'
            )
        body = resp.read()
        worker_ms = resp.getheader('Worker-Clock', '')
        if worker_ms.isascii() and worker_ms.isdecimal():
            conn.note_clock(int(worker_ms), received_ms)
        with self._lock:
            self._clear_timeouts(conn.address)
        refused = resp.getheader('Start-Refused')
        if refused is not None:
            return memory.refusal_verdict(refused)
        if not 200 <= resp.status <= 599:
            conn.close()
            return verdict.MayHaveRun(
                _REASON.BROKEN_ANSWER, f'status {resp.status}'
            )
        content_type = resp.getheader('Content-Type', '')
        return verdict.Answered(
            resp.status, body, content_type or 'application/octet-stream'
        )
