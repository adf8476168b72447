"""Stand-in of one worker of the platform, as PROTOCOL.md describes it.

It registers itself in the store, runs tasks on orders under a lease and lists
their ends. The `spec` of a job is JSON: `ms` is how long a task takes. Each
order, start and end is appended to a log, one JSON object a line.
"""

import argparse
import base64
import http.client
import http.server
import json
import pathlib
import socketserver
import threading
import time

MAX_ENDS = 500
# Time for which the connection of an order without an answer stays open.
UNANSWERED_S = 5


class Worker:
    """State of one life of a worker."""

    def __init__(self, args):
        self.args = args
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.cond = threading.Condition()
        self.fence = 0
        self.runs = {}  # task -> [run, started, ms, reason of its end]
        self.highest = {}  # task -> highest run stopped or ended here
        self.ended = []
        self.next_end = 1
        self.lease_until = 0
        self.log_file = open(args.log, 'a', buffering=1)
        # While this file exists and is empty, the next start gets no answer.
        # It is kept there, and the next life under the id carries it out.
        self.late_file = pathlib.Path(args.late_file)
        self.write('up', born=self.born)

    def write(self, event, **fields):
        row = {'t': round(time.time(), 3), 'worker': self.args.id}
        self.log_file.write(
            json.dumps(row | {'event': event} | fields) + '\n'
        )

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def extend(self, deadline_ms):
        if deadline_ms is not None:
            most = self.clock_ms() + self.args.hold_max_ms
            self.lease_until = max(self.lease_until, min(deadline_ms, most))

    def end(self, task, how):
        run = self.runs.pop(task)[0]
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.ended.append([self.next_end, task, run, how, ''])
        self.write('end', task=task, run=run, how=how, number=self.next_end)
        self.next_end += 1
        self.cond.notify_all()

    def tick(self):
        """End what is done, and everything once the lease has expired."""
        now = time.monotonic()
        for task, row in list(self.runs.items()):
            if row[2] is not None and now - row[1] >= row[2] / 1000:
                self.end(task, row[3])
        if self.runs and self.clock_ms() > self.lease_until:
            for task in list(self.runs):
                self.end(task, 'lapsed')

    def run_clock(self):
        while True:
            with self.cond:
                self.tick()
            time.sleep(0.01)

    def is_stale(self, body):
        """Check the fencing token; a higher one is kept."""
        fence = body.get('fence', 0)
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def start(self, body):
        task, run = body['task'], body['run']
        deadline = body['deadline_ms']
        if deadline < self.clock_ms():
            return 409, {'reason': 'late'}
        current = self.runs.get(task)
        if current and current[0] == run:
            self.extend(deadline)
            return 200, {}
        self.extend(deadline)
        if current or run <= self.highest.get(task, 0):
            return 409, {'reason': 'old'}
        plan = json.loads(body['spec'])
        self.runs[task] = [
            run,
            time.monotonic(),
            plan.get('ms'),
            plan.get('how', 'done'),
        ]
        self.write('start', task=task, run=run, fence=self.fence)
        return 200, {}

    def stop(self, body):
        task, run = body['task'], body['run']
        current = self.runs.get(task)
        if current and current[0] <= run:
            self.end(task, 'stopped')
        self.highest[task] = max(self.highest.get(task, 0), run)
        return 200, {}

    def hold(self, body):
        self.extend(body.get('deadline_ms'))
        acknowledged = body.get('ack_cursor', 0)
        if self.ended and self.ended[0][0] <= acknowledged:
            self.write('ack', number=acknowledged)
        self.ended = [row for row in self.ended if row[0] > acknowledged]
        if body.get('wait_ms') and not self.ended:
            self.cond.wait_for(
                lambda: self.ended, min(body['wait_ms'], 2000) / 1000
            )
        self.tick()
        now = time.monotonic()
        return 200, {
            'born': self.born,
            'running': [
                [task, row[0], '', 100 if now - row[1] > 0.3 else 0, 0]
                for task, row in self.runs.items()
            ],
            'ended': self.ended[:MAX_ENDS],
        }

    def keep_for_later(self, path, body):
        """Return whether an order gets no answer and is carried out late."""
        with self.cond:
            is_awaited = (
                path == '/api/run-start'
                and self.late_file.exists()
                and not self.late_file.stat().st_size
            )
            if is_awaited:
                self.late_file.write_text(json.dumps(body))
                self.write('kept', task=body['task'], run=body['run'])
            return is_awaited

    def carry_out_late(self):
        """Carry out the order that the former life has kept."""
        if not self.late_file.exists() or not self.late_file.stat().st_size:
            return
        body = json.loads(self.late_file.read_text())
        self.late_file.unlink()
        status, reply = self.handle('/api/run-start', body)
        self.write('late start', task=body['task'], run=body['run'],
                   status=status, reason=reply.get('reason'))

    def handle(self, path, body):
        with self.cond:
            self.tick()
            if self.is_stale(body):
                self.write('stale', path=path, fence=body.get('fence', 0))
                return 409, {'reason': 'fence', 'clock_ms': self.clock_ms()}
            call = {
                '/api/run-start': self.start,
                '/api/run-stop': self.stop,
                '/api/hold': self.hold,
                '/api/pace': lambda body: (200, {}),
            }.get(path)
            if call is None:
                return 400, {}
            status, reply = call(body)
            return status, reply | {'clock_ms': self.clock_ms()}


def make_handler(worker):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'
        disable_nagle_algorithm = True
        wbufsize = -1

        def do_POST(self):
            length = int(self.headers.get('Content-Length', '0'))
            body = json.loads(self.rfile.read(length) or b'{}')
            expected = self.headers.get('X-Figtray-Expect-Instance')
            if worker.keep_for_later(self.path, body):
                time.sleep(UNANSWERED_S)
                self.close_connection = True
                return
            if expected not in (None, worker.args.id):
                status, reply = 421, {}
            else:
                status, reply = worker.handle(self.path, body)
            data = json.dumps(reply).encode()
            self.send_response_only(status)
            self.send_header('Content-Type', 'application/json')
            self.send_header('Content-Length', str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()

        def log_message(self, *args):
            pass

    return Handler


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignore a connection that its client has reset."""


def register(worker):
    """Write the entry in the store, and renew it each heartbeat."""
    args = worker.args
    sequence, lease = 0, 0
    while True:
        sequence += 1
        entry = {
            'service': args.service,
            'address': f'127.0.0.1:{args.port}',
            'zone': args.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': sequence,
            'born': worker.born,
            'machine': args.machine,
            'capacity': {'cpu': args.cpu, 'mem_mb': args.mem, 'gpu': 0},
            'labels': ['a', args.rack],
        }
        try:
            if not lease or call(args, f'/api/kv-keep/{lease}')[0] != 200:
                body = {'ttl_ms': 3 * args.heartbeat_ms}
                lease = call(args, '/api/kv-lease', body)[1]['lease']
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            write = {
                'key': f'servers/{args.id}',
                'value': value,
                'lease': lease,
            }
            call(args, '/api/kv-txn', {'writes': [write]})
        except OSError:
            lease = 0
        time.sleep(args.heartbeat_ms / 1000)


def call(args, path, body=None):
    conn = http.client.HTTPConnection(args.store, timeout=2)
    try:
        conn.request('POST', path, json.dumps(body or {}))
        reply = conn.getresponse()
        return reply.status, json.loads(reply.read() or b'{}')
    finally:
        conn.close()


def run():
    parser = argparse.ArgumentParser()
    for name in ('id', 'store', 'service', 'zone', 'machine', 'rack', 'log'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--cpu', type=int, default=8000)
    parser.add_argument('--mem', type=int, default=32000)
    parser.add_argument('--hold-max-ms', type=int, default=6000)
    parser.add_argument('--heartbeat-ms', type=int, default=1500)
    parser.add_argument('--late-file', default='/nonexistent/late')
    parser.add_argument('--late-after-ms', type=int, default=50)
    args = parser.parse_args()
    worker = Worker(args)
    server = Server(('127.0.0.1', args.port), make_handler(worker))
    threading.Thread(target=worker.run_clock, daemon=True).start()
    threading.Thread(target=register, args=(worker,), daemon=True).start()
    threading.Timer(
        args.late_after_ms / 1000, worker.carry_out_late
    ).start()
    server.serve_forever()


if __name__ == '__main__':
    run()
