"""Client of the platform's workers, which sends them orders over HTTP."""

import threading

import msgspec

from figtray import clock as clock_lib
from figtray import errors
from figtray.fleet import base
from figtray.fleet import messages
from figtray.platform import http_client
from figtray import verdict

INCARNATION_HEADER = 'X-Figtray-Expect-Instance'

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


class _Report(msgspec.Struct, frozen=True):
    born: int = 0  # Unix time in ms of the worker's start
    clock_ms: int = 0
    running: tuple[messages.ActiveRun, ...] = ()
    ended: tuple[messages.EndedRun, ...] = ()


_reply_decoder = msgspec.json.Decoder(_Reply)
_report_decoder = msgspec.json.Decoder(_Report)


class PlatformWorkers(base.WorkerClient):
    """Client of all workers; safe for use by several threads."""

    def __init__(self, clock=None):
        self._clock = clock or clock_lib.SystemClock()
        self._lock = threading.Lock()
        self._clients = {}

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
        reply = self._post(worker, '/api/run-start', body, timeout_ms)
        if reply.status == 200:
            return messages.Started(_decode_reply(worker, reply).clock_ms)
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
            address=worker.address, detail=f'status {reply.status}'
        )

    def stop(self, worker, task, run, epoch, timeout_ms):
        body = {'task': task, 'run': run, 'fence': epoch}
        self._send_order(worker, '/api/run-stop', body, timeout_ms)

    def report(
        self, worker, epoch, acknowledged, lease_until_ms, wait_ms, timeout_ms
    ):
        body = {'fence': epoch, 'ack_cursor': acknowledged}
        if lease_until_ms is not None:
            body['deadline_ms'] = lease_until_ms
        if wait_ms:
            body['wait_ms'] = wait_ms
        reply = self._send_order(worker, '/api/hold', body, timeout_ms)
        try:
            report = _report_decoder.decode(reply.body)
        except msgspec.MsgspecError as exc:
            raise errors.ReplyLost(
                address=worker.address, detail=f'malformed report: {exc}'
            ) from exc
        return messages.Report(
            report.born, report.clock_ms, report.running, report.ended
        )

    def pace(self, worker, task, run, percent, epoch, timeout_ms):
        body = {'task': task, 'run': run, 'percent': percent, 'fence': epoch}
        self._send_order(worker, '/api/pace', body, timeout_ms)

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

    def _send_order(self, worker, path, body, timeout_ms):
        reply = self._post(worker, path, body, timeout_ms)
        if reply.status != 200:
            raise errors.ReplyLost(
                address=worker.address,
                detail=f'status {reply.status}: {reply.body[:200]}',
            )
        return reply

    def _post(self, worker, path, body, timeout_ms):
        reply = self._client_of(worker).call(
            'POST',
            path,
            timeout_ms,
            msgspec.json.encode(body),
            {INCARNATION_HEADER: worker.worker_id},
        )
        if reply.status == 421:
            raise errors.IncarnationMismatch(
                worker_id=worker.worker_id, address=worker.address
            )
        if reply.status == 409:
            if _decode_reply(worker, reply).reason == 'fence':
                raise errors.StaleEpoch(
                    detail=f'{worker.worker_id} has seen a later epoch'
                )
        return reply

    def _client_of(self, worker):
        with self._lock:
            client = self._clients.get(worker.incarnation)
            if client is None:
                client = http_client.HttpClient(worker.address, self._clock)
                self._clients[worker.incarnation] = client
            return client


def _decode_reply(worker, reply):
    try:
        return _reply_decoder.decode(reply.body)
    except msgspec.MsgspecError as exc:
        raise errors.ReplyLost(
            address=worker.address, detail=f'malformed reply: {exc}'
        ) from exc
