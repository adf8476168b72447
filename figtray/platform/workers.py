"""Client of the platform's workers, which sends them orders over HTTP."""

import threading
import typing

import msgspec

from figtray import clock as clock_lib
from figtray import decoding
from figtray import errors
from figtray.events import unreadable
from figtray.fleet import base
from figtray.fleet import messages
from figtray.jobs import limits
from figtray.platform import http_client
from figtray import verdict

INCARNATION_HEADER = 'X-Figtray-Expect-Instance'
REPORT_PATH = '/api/hold'

# Ends that a worker lists at a time.
ENDS_PER_REPORT = 500
# A worker has fewer runs.
MAX_ROWS = 10_000
MAX_REPORT_BYTES = 4_000_000
# Far longer ones would make a record too large for the store.
MAX_CHECKPOINT_CHARS = 10_000
# Of a run's share of its speed, and of its load.
MAX_FIGURE = 10**9

_REFUSAL_REASONS = {
    'old': verdict.RefusalReason.STALE_RUN,
    'late': verdict.RefusalReason.LATE,
    'room': verdict.RefusalReason.NO_CAPACITY,
    'ticket': verdict.RefusalReason.TICKET,
}


class _StartRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    task: str
    run: int
    spec: str
    deadline_ms: int  # end of the lease of all runs, on the worker's clock
    fence: int
    last_checkpoint: str = ''
    ticket: str = ''


class _Reply(msgspec.Struct, frozen=True):
    clock_ms: int = 0
    reason: str = ''


_ClockMs = typing.Annotated[
    int, msgspec.Meta(ge=-limits.MAX_TIME_MS, le=limits.MAX_TIME_MS)
]
_Number = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Rows = typing.Annotated[
    tuple[msgspec.Raw, ...], msgspec.Meta(max_length=MAX_ROWS)
]


class _Report(msgspec.Struct, frozen=True):
    # Without it, the report would look like that of another incarnation.
    born: int  # Unix time in ms of the worker's start
    clock_ms: _ClockMs
    running: _Rows = ()
    ended: _Rows = ()


class _RunId(msgspec.Struct, frozen=True, array_like=True):
    """What must be known of a row of running."""

    task: str
    run: _Number


class _EndNumber(msgspec.Struct, frozen=True, array_like=True):
    """What must be known of a row of ended."""

    number: typing.Annotated[
        int, msgspec.Meta(ge=0, le=messages.MAX_END_NUMBER)
    ]


_reply_decoder = msgspec.json.Decoder(_Reply)
_report_decoder = msgspec.json.Decoder(_Report)
_run_decoder = msgspec.json.Decoder(messages.ActiveRun)
_run_id_decoder = msgspec.json.Decoder(_RunId)
_end_decoder = msgspec.json.Decoder(messages.EndedRun)
_end_number_decoder = msgspec.json.Decoder(_EndNumber)


class PlatformWorkers(base.WorkerClient):
    """Client of all workers; safe for use by several threads."""

    def __init__(self, clock=None):
        self._clock = clock or clock_lib.SystemClock()
        self._lock = threading.Lock()
        self._clients = {}
        self._unreadable = unreadable.UnreadableLog(self._clock)

    def start(self, worker, order, timeout_ms):
        body = _StartRequest(
            task=order.task,
            run=order.run,
            spec=order.payload,
            deadline_ms=order.lease_until_ms,
            fence=order.epoch,
            last_checkpoint=order.checkpoint,
            ticket=order.ticket,
        )
        reply = self._post(
            worker, '/api/run-start', body, timeout_ms, order.epoch
        )
        if reply.status == 200:
            return messages.Started(
                _decode_reply(worker, reply).clock_ms, reply.unchecked
            )
        if reply.status == 409:
            reason = _decode_reply(worker, reply).reason
            if reason in _REFUSAL_REASONS:
                return verdict.NotRun(_REFUSAL_REASONS[reason], reason)
            return verdict.NotRun(verdict.RefusalReason.BUSY, reason)
        if reply.status in (429, 503):
            return verdict.NotRun(
                verdict.RefusalReason.UNHEALTHY, f'status {reply.status}'
            )
        if reply.status == 400:
            return verdict.NotRun(
                verdict.RefusalReason.BAD_REQUEST,
                reply.body[:200].decode(errors='replace'),
            )
        raise errors.ReplyLost(
            address=worker.address,
            detail=f'status {reply.status}',
            unchecked=reply.unchecked,
        )

    def stop(self, worker, task, run, epoch, timeout_ms):
        body = {'task': task, 'run': run, 'fence': epoch}
        self._send_order(worker, '/api/run-stop', body, timeout_ms, epoch)

    def report(
        self, worker, epoch, acknowledged, lease_until_ms, wait_ms, timeout_ms
    ):
        body = {'fence': epoch, 'ack_cursor': acknowledged}
        if lease_until_ms is not None:
            body['deadline_ms'] = lease_until_ms
        if wait_ms:
            body['wait_ms'] = wait_ms
        if lease_until_ms is None and not acknowledged:
            reply = self._ask(worker, body, timeout_ms)
            return self._read_report(worker, reply)
        try:
            reply = self._send_order(
                worker, REPORT_PATH, body, timeout_ms, epoch
            )
        except errors.OtherIncarnation as exc:
            return exc.report
        return self._read_report(worker, reply)

    def _read_report(self, worker, reply):
        if len(reply.body) > MAX_REPORT_BYTES:
            raise errors.ReplyLost(
                address=worker.address,
                detail='malformed: it is too large',
                unchecked=reply.unchecked,
            )
        report = _decode(worker, _report_decoder, reply)
        return self._build_report(worker, report)

    def pace(self, worker, task, run, percent, epoch, timeout_ms):
        body = {'task': task, 'run': run, 'percent': percent, 'fence': epoch}
        self._send_order(worker, '/api/pace', body, timeout_ms, epoch)

    def disconnect(self, worker):
        with self._lock:
            client = self._clients.pop(worker.incarnation, None)
        if client:
            client.close()

    def close(self):
        with self._lock:
            clients, self._clients = list(self._clients.values()), {}
        for client in clients:
            client.close()

    def _send_order(self, worker, path, body, timeout_ms, fence):
        reply = self._post(worker, path, body, timeout_ms, fence)
        _raise_unless_ok(worker, reply)
        return reply

    def _post(self, worker, path, body, timeout_ms, fence):
        """Make a call on a connection to the incarnation that it is for.

        Its header has the id of the worker, which a restart may keep.
        """
        reply = self._client_of(worker).call(
            'POST',
            path,
            timeout_ms,
            msgspec.json.encode(body),
            _headers(worker),
            check=lambda exchange: self._check(worker, fence, exchange),
        )
        _raise_refusal(worker, reply)
        return reply

    def _check(self, worker, fence, exchange):
        """Check which incarnation answers on a new connection.

        Args:
            worker: the Worker.
            fence: the fencing token of the call that follows.
            exchange: makes a call there; see http_client.HttpClient.call().

        Raises:
            OtherIncarnation: another one than that of the Worker.
            CallNotSent: the reply does not tell.
        """
        body = {'fence': fence, 'ack_cursor': 0}
        data = msgspec.json.encode(body)
        reply = exchange('POST', REPORT_PATH, data, _headers(worker))
        _raise_refusal(worker, reply)
        try:
            _raise_unless_ok(worker, reply)
            report = self._read_report(worker, reply)
        except errors.ReplyLost as exc:
            raise errors.CallNotSent(
                address=worker.address, detail=str(exc)
            ) from exc
        if report.born_ms != worker.born_ms:
            raise errors.OtherIncarnation(
                report, address=worker.address, worker_id=worker.worker_id
            )

    def _ask(self, worker, body, timeout_ms):
        """Ask for a report by a call without effect; return the Reply."""
        reply = self._client_of(worker).call(
            'POST',
            REPORT_PATH,
            timeout_ms,
            msgspec.json.encode(body),
            _headers(worker),
            is_expected=lambda reply: _is_from(worker, reply),
        )
        _raise_refusal(worker, reply)
        _raise_unless_ok(worker, reply)
        return reply

    def _build_report(self, worker, report):
        """Return the Report; odd rows are logged, once for each worker."""
        running = [self._read_run(worker, row) for row in report.running]
        ended, last_end = [], 0
        for row in report.ended:
            number, end = self._read_end(worker, row)
            last_end = max(last_end, number)
            if end is not None:
                ended.append(end)
        known = tuple(run for run in running if run is not None)
        return messages.Report(
            report.born,
            report.clock_ms,
            known,
            tuple(sorted(ended, key=lambda end: end.number)),
            len(running) - len(known),
            last_end,
            len(report.ended) >= ENDS_PER_REPORT,
        )

    def _read_run(self, worker, row):
        """Return the ActiveRun of a row; None if its id is unreadable."""
        try:
            # Whatever else is odd, the run is there.
            run_id = decoding.decode('running', _run_id_decoder, row)
        except errors.UnreadableMessage as exc:
            self._note(worker, exc)
            return None
        try:
            run = decoding.decode('running', _run_decoder, row)
            _check_checkpoint('running', run.checkpoint)
            if all(0 <= x <= MAX_FIGURE for x in (run.percent, run.load)):
                return run
            raise decoding.unreadable('running', 'a figure is out of range')
        except errors.UnreadableMessage as exc:
            self._note(worker, exc)
            return messages.ActiveRun(run_id.task, run_id.run)

    def _read_end(self, worker, row):
        """Return the number and the EndedRun of a row; 0 and None if odd."""
        number = 0
        try:
            number = decoding.decode('ended', _end_number_decoder, row).number
            end = decoding.decode('ended', _end_decoder, row)
            _check_checkpoint('ended', end.checkpoint)
            if 0 <= end.run < 2**63:
                return number, end
            raise decoding.unreadable('ended', 'its run is out of range')
        except errors.UnreadableMessage as exc:
            self._note(worker, exc)
            return number, None

    def _note(self, worker, exc):
        self._unreadable.note(f'report of {worker.worker_id}', exc)

    def _client_of(self, worker):
        with self._lock:
            client = self._clients.get(worker.incarnation)
            if client is None:
                client = http_client.HttpClient(worker.address, self._clock)
                self._clients[worker.incarnation] = client
            return client


def _headers(worker):
    return {INCARNATION_HEADER: worker.worker_id}


def _raise_refusal(worker, reply):
    """Raise the error of a reply by which a worker refuses any order."""
    if reply.status == 421:
        raise errors.IncarnationMismatch(
            worker_id=worker.worker_id, address=worker.address
        )
    if reply.status == 409 and _decode_reply(worker, reply).reason == 'fence':
        raise errors.StaleEpoch(
            detail=f'{worker.worker_id} has seen a later epoch'
        )


def _raise_unless_ok(worker, reply):
    if reply.status != 200:
        raise errors.ReplyLost(
            address=worker.address,
            detail=f'status {reply.status}: {reply.body[:200]}',
            unchecked=reply.unchecked,
        )


def _is_from(worker, reply):
    """Return whether a report is one of the incarnation of a Worker."""
    try:
        report = decoding.decode('report', _report_decoder, reply.body)
    except errors.UnreadableMessage:
        return False
    return reply.status == 200 and report.born == worker.born_ms


def _check_checkpoint(what, checkpoint):
    if len(checkpoint) > MAX_CHECKPOINT_CHARS:
        raise decoding.unreadable(what, 'its checkpoint is too long')


def _decode_reply(worker, reply):
    return _decode(worker, _reply_decoder, reply)


def _decode(worker, decoder, reply):
    try:
        return decoding.decode('reply', decoder, reply.body)
    except errors.UnreadableMessage as exc:
        raise errors.ReplyLost(
            address=worker.address,
            detail=f'malformed: {exc}',
            unchecked=reply.unchecked,
        ) from exc
