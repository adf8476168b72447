"""Stand-in for workers: one process serves one or several of them."""

import dataclasses
import http.client
import json
import sys
import threading
import time
import urllib.parse

import typer

from figtray import clock as clock_lib
from figtray import connections
from figtray.standins import service
from figtray.workers import base
from figtray.workers import memory

DEFAULT_RUN_MS = 10
MAX_RUN_MS = 86_400_000
DRAIN_LIMIT_MS = 600_000
PUBLISH_INTERVAL_MS = 500
HOST_LIST_TIMEOUT_MS = 1000
HOST_TTL_MS = 5000

STATUS_STOPPED = 409
STATUS_LEASE_ENDED = 504
ALL = -1

COUNTED = ('truncate', 'swap', 'lose_answer')


@dataclasses.dataclass(frozen=True)
class Task:
    """What a task body asks for."""

    run_ms: int
    status: int
    answer: bytes


def parse_task(body):
    """Read the run time and outcome of a task from its body.

    Args:
        body: bytes; anything but a JSON object runs 10 ms and is echoed.

    Returns:
        A Task.
    """
    try:
        fields = json.loads(body)
        answer = body
        if 'echo' in fields:
            answer = str(fields['echo']).encode()
        run_ms = int(fields.get('run_ms', DEFAULT_RUN_MS))
        status = int(fields.get('status', 200))
        if not (0 <= run_ms <= MAX_RUN_MS and 200 <= status <= 599):
            raise ValueError('out of range')
        return Task(run_ms, status, answer)
    except (ValueError, TypeError, AttributeError):
        return Task(DEFAULT_RUN_MS, 200, body)


def _integer(text):
    try:
        return int(text)
    except (TypeError, ValueError):
        return None


class WorkerService:
    """Worker protocol, log and faults of one worker."""

    def __init__(self, worker):
        self.worker = worker
        self.server = None
        self._lock = threading.Lock()
        self._down = False
        self._delay_ms = 0
        self._counts = dict.fromkeys(COUNTED, 0)
        self._silent = set()
        self._muted = set()
        self._other = ('foreign-attempt', 200, b'')

    def handle(self, handler, body):
        """Answer one request."""
        path, _, query = handler.path.partition('?')
        method = handler.command
        if path in ('/faults', '/log', '/stats'):
            self._control(handler, path, query, body)
            return
        if self._down:
            handler.drop()
            return
        if handler.connection in self._silent:
            return  # the connection stays open without an answer
        if self._delay_ms:
            time.sleep(self._delay_ms / 1000)
        if (method, path) == ('GET', '/report'):
            report = dataclasses.asdict(self.worker.report())
            self._answer(handler, 200, json.dumps(report).encode())
        elif (method, path) == ('POST', '/tasks'):
            self._start(handler, body)
        elif method == 'DELETE' and path.startswith('/tasks/'):
            self.worker.stop(urllib.parse.unquote(path[len('/tasks/') :]))
            self._answer(handler, 204)
        else:
            self._answer(handler, 404, b'no such path')

    def set_faults(self, faults, keep=None):
        """Change faults.

        Args:
            faults: mapping of names to values; others stay as they are.
            keep: connection that no fault touches.

        Returns:
            Mapping of all faults.

        Raises:
            ValueError: a name or value is not known.
        """
        known = {
            'down',
            'freeze',
            'mute',
            'delay_ms',
            'fail_all',
            'leaving',
            'report_lag_ms',
            'refuse',
            *COUNTED,
        }
        if set(faults) - known:
            raise ValueError(f'unknown faults: {sorted(set(faults) - known)}')
        worker = self.worker
        with self._lock:
            self._delay_ms = int(faults.get('delay_ms', self._delay_ms))
            for name in COUNTED:
                value = faults.get(name, self._counts[name])
                self._counts[name] = ALL if value is True else int(value)
        worker.fail_all = bool(faults.get('fail_all', worker.fail_all))
        worker.leaving = bool(faults.get('leaving', worker.leaving))
        worker.refuse = faults.get('refuse', worker.refuse)
        worker.set_report_lag(
            int(faults.get('report_lag_ms', worker.report_lag_ms))
        )
        if faults.get('freeze'):
            self._silent |= self.server.connections() - {keep}
        if faults.get('mute'):
            self._muted |= self.server.connections() - {keep}
        if 'down' in faults:
            self._set_down(bool(faults['down']), keep)
        return {
            'down': self._down,
            'delay_ms': self._delay_ms,
            'fail_all': worker.fail_all,
            'leaving': worker.leaving,
            'refuse': worker.refuse,
            'report_lag_ms': worker.report_lag_ms,
            **self._counts,
        }

    def _set_down(self, down, keep):
        """Break all connections and tasks, as a power failure does."""
        if down and not self._down:
            self._down = True
            self.worker.restart()
            self.server.close_connections(keep)
        self._down = down

    def _control(self, handler, path, query, body):
        if path == '/log':
            fields = urllib.parse.parse_qs(query)
            since = _integer(fields.get('since', ['0'])[0]) or 0
            handler.reply_json(200, {'log': self.worker.log(since)})
            return
        if path == '/stats':
            handler.reply_json(200, self.stats())
            return
        try:
            faults = json.loads(body or b'{}')
            reply = self.set_faults(faults, handler.connection)
        except (ValueError, TypeError, AttributeError) as exc:
            handler.reply_json(400, {'error': str(exc)})
            return
        handler.reply_json(200, reply)

    def is_down(self):
        """Tell whether the worker is switched off."""
        return self._down

    def stats(self):
        """Return the numbers of connections and running tasks."""
        return {
            'host': self.worker.host,
            'connections': len(self.server.connections()),
            'running': self.worker.running_count(),
        }

    def _start(self, handler, body):
        headers = handler.headers
        attempt_id = headers.get('Attempt-Id')
        start = base.TaskStart(
            task_id=headers.get('Task-Id'),
            attempt_id=attempt_id,
            team=headers.get('Team', ''),
            queue=headers.get('Queue', ''),
            incarnation=headers.get('Incarnation', ''),
            lease_ms=_integer(headers.get('Lease-Ms')) or 0,
            body=body,
        )
        if not start.task_id or not attempt_id:
            self._answer(handler, 400, b'Task-Id or Attempt-Id is missing')
            return
        start_by_ms = _integer(headers.get('Start-By'))
        execution = self.worker.begin(start, start_by_ms)
        if isinstance(execution, str):
            refused = (('Start-Refused', execution),)
            status = 409 if execution == memory.DUPLICATE else 503
            self._answer(handler, status, b'', attempt_id, refused)
            return
        status, answer = self._run(execution, parse_task(body))
        if status is None:
            handler.drop()
            return
        self._send_outcome(handler, attempt_id, status, answer)

    def _run(self, execution, task):
        """Run a task to its end.

        Returns:
            (status, body); status None if the worker went down.
        """
        run_ms = min(task.run_ms, execution.start.lease_ms)
        if self.worker.fail_all:
            run_ms = min(run_ms, DEFAULT_RUN_MS)
        execution.stopped.wait(run_ms / 1000)
        status, answer = task.status, task.answer
        if self.worker.fail_all:
            status, answer = 500, b'injected failure'
        own = str(status)
        if task.run_ms > run_ms and not self.worker.fail_all:
            own = 'lease'
        outcome = self.worker.end(execution, own)
        if outcome == 'killed':
            return None, b''
        if outcome == 'lease':
            return STATUS_LEASE_ENDED, b'the task lease ended'
        if outcome == 'stopped':
            return STATUS_STOPPED, b'the task was stopped'
        return status, answer

    def _send_outcome(self, handler, attempt_id, status, answer):
        if self._take('lose_answer'):
            handler.drop()
            return
        with self._lock:
            other = self._other
            self._other = (attempt_id, status, answer)
        if self._take('swap'):
            attempt_id, status, answer = other
        cut = 0
        if answer and self._take('truncate'):
            cut = (len(answer) + 1) // 2
        self._answer(handler, status, answer, attempt_id, cut=cut)

    def _take(self, name):
        with self._lock:
            left = self._counts[name]
            if left > 0:
                self._counts[name] = left - 1
            return left != 0

    def _answer(
        self, handler, status, body=b'', attempt_id=None, headers=(), cut=0
    ):
        conn = handler.connection
        if conn in self._silent or conn in self._muted:
            return
        headers = [*headers, ('Worker-Clock', str(self.worker.clock_ms()))]
        if attempt_id:
            headers.append(('Attempt-Id', attempt_id))
        handler.reply(status, body, headers, cut)


class ControlService:
    """Log and faults of all workers of the process on one address."""

    def __init__(self, servers):
        self._services = [server.service for server in servers]

    def handle(self, handler, body):
        """Answer one request; `host` in the faults selects one worker."""
        path, _, query = handler.path.partition('?')
        fields = urllib.parse.parse_qs(query)
        try:
            if path == '/log':
                since = _integer(fields.get('since', ['0'])[0]) or 0
                reply = {
                    item.worker.host: item.worker.log(since)
                    for item in self._services
                }
            elif path == '/stats':
                reply = {
                    item.worker.host: item.stats() for item in self._services
                }
            elif path == '/faults':
                reply = self._set_faults(json.loads(body or b'{}'))
            else:
                handler.reply_json(404, {'error': f'no such path: {path}'})
                return
        except (ValueError, TypeError, AttributeError) as exc:
            handler.reply_json(400, {'error': str(exc)})
            return
        handler.reply_json(200, reply)

    def _set_faults(self, faults):
        host = faults.pop('host', None)
        chosen = [
            item for item in self._services if host in (None, item.worker.host)
        ]
        if not chosen:
            raise ValueError(f'no worker has the host name {host!r}')
        return {item.worker.host: item.set_faults(faults) for item in chosen}


def start(worker, listen, max_connections=None):
    """Start a server of one worker.

    Args:
        worker: the MemoryWorker.
        listen: address, `host:port`; port 0 takes a free one.
        max_connections: further connections are closed at once.

    Returns:
        The running service.Server; its `service` is the WorkerService.

    Raises:
        OSError: the address can't be used.
    """
    worker_service = WorkerService(worker)
    server = service.Server(listen, worker_service, max_connections)
    worker_service.server = server
    server.start()
    return server


def _publish(address, servers, clock):
    """Send the state of all workers to the host list stand-in."""
    hosts = [
        {
            'host': item.service.worker.host,
            'presence': 'leaving' if item.service.worker.leaving else 'live',
            'boot_id': item.service.worker.boot_id,
            'running': item.service.worker.running_count(),
            'ttl_ms': HOST_TTL_MS,
        }
        for item in servers
        if not item.service.is_down()
    ]
    conn = connections.Connection(address, clock)
    try:
        conn.open(clock.now_ms() + HOST_LIST_TIMEOUT_MS)
        conn.request('POST', '/hosts', json.dumps({'hosts': hosts}))
        conn.getresponse().read()
    except (OSError, http.client.HTTPException):
        pass  # the host list is down; the next round may reach it
    finally:
        conn.close()


def _parse_workers(workers, count, listen, prefix):
    """Return pairs of host name and address."""
    pairs = []
    for text in workers:
        host, separator, address = text.partition('=')
        if not separator:
            raise ValueError(f'{text!r} is not of the form HOST=ADDRESS')
        pairs.append((host, address))
    if not pairs:
        address, port = connections.parse_address(listen)
        for number in range(count):
            own_port = port + number if port else 0
            pairs.append((f'{prefix}{number + 1}', f'{address}:{own_port}'))
    return pairs


def _start_all(pairs, control, slots, max_connections, zone, clock):
    servers = []
    for host, address in pairs:
        worker = memory.MemoryWorker(host, slots, clock, zone)
        servers.append(start(worker, address, max_connections))
        typer.echo(f'{host} listening on {servers[-1].address}')
    if not control:
        return servers, None
    control_server = service.Server(control, ControlService(servers))
    control_server.start()
    typer.echo(f'control listening on {control_server.address}')
    return servers, control_server


def run(
    listen: str = typer.Option(
        '127.0.0.1:9000', help='Address of the first worker, host:port.'
    ),
    count: int = typer.Option(
        1, min=1, max=1000, help='Number of workers on successive ports.'
    ),
    prefix: str = typer.Option(
        'host-', help='Start of the host names with --count.'
    ),
    worker: list[str] = typer.Option(
        [], help='HOST=ADDRESS of one worker, instead of --count; repeatable.'
    ),
    zone: str = typer.Option('', help='Name of the zone, for the log.'),
    slots: int = typer.Option(8, min=1, help='Tasks at once per worker.'),
    max_connections: int = typer.Option(
        64, min=1, help='Connections per worker.'
    ),
    control: str = typer.Option(
        '', help='Address for log and faults of all workers.'
    ),
    host_list: str = typer.Option(
        '', help='Address of the host list stand-in to report to.'
    ),
    version: bool = typer.Option(
        False,
        '--version',
        callback=service.show_version,
        is_eager=True,
        help='Show the version and exit.',
    ),
):
    """Serve the worker protocol for one or several workers."""
    clock = clock_lib.SystemClock()

    def begin():
        pairs = _parse_workers(worker, count, listen, prefix)
        return _start_all(pairs, control, slots, max_connections, zone, clock)

    servers, control_server = service.start_or_exit(begin)
    stop = threading.Event()
    publisher = None
    if host_list:

        def publish():
            while not stop.wait(PUBLISH_INTERVAL_MS / 1000):
                _publish(host_list, servers, clock)

        publisher = threading.Thread(target=publish, daemon=True)
        publisher.start()
    service.wait_for_signal()
    for server in servers:
        server.service.set_faults({'leaving': True})
    for server in servers:
        server.service.worker.wait_idle(DRAIN_LIMIT_MS)
    stop.set()
    for server in servers:
        server.drain()
        server.stop()
    if control_server:
        control_server.stop()


def main():
    """Run the program."""
    service.run_program(run)


if __name__ == '__main__':
    sys.exit(main())
