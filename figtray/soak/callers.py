"""Callers that keep their connections open until the node is gone."""

import http.client
import json
import threading

import msgspec

from figtray import connections
from figtray.platform import standin_site as sites

CALL_S = 3
POLL_S = 0.15
TASK_MILLI = 1000
DEADLINE = {'X-Figtray-Deadline-Ms': str(CALL_S * 1000)}
SUBMIT_ATTEMPTS = 4
CANCEL_SHARE = 0.12


class Connections:
    """Kept-alive connections of one caller to the nodes."""

    def __init__(self):
        self._open = {}

    def call(self, address, method, job_id, key, body=None):
        """Make one call.

        Returns:
            (status, parsed body); status 0 stands for no answer.
        """
        conn = self._open.get(address)
        if conn is None:
            host, port = connections.parse_address(address)
            conn = http.client.HTTPConnection(host, port, timeout=CALL_S)
            self._open[address] = conn
        headers = {
            'Host': sites.CALLER_HOST,
            'Authorization': f'Token {key}',
            **DEADLINE,
        }
        data = json.dumps(body) if body is not None else None
        try:
            conn.request(method, sites.PATH_PREFIX + job_id, data, headers)
            resp = conn.getresponse()
            return resp.status, msgspec.json.decode(resp.read())
        except (OSError, http.client.HTTPException, msgspec.DecodeError):
            conn.close()
            del self._open[address]
            return 0, {}

    def close(self):
        """Close all connections."""
        for conn in self._open.values():
            conn.close()


class Caller:
    """Submits jobs, polls them and cancels some, one after the other.

    Args:
        rng: random.Random of its own.
        addresses: callers' addresses of the nodes.
        oracle: the Oracle.
        stop: threading.Event after which no new job is submitted.
        end: threading.Event that ends the polls as well.
    """

    def __init__(self, rng, addresses, oracle, stop, end):
        self._rng = rng
        self._addresses = addresses
        self._oracle = oracle
        self._stop = stop
        self._end = end
        self._conns = Connections()
        self._open_jobs = []
        self.thread = threading.Thread(target=self._run, name='caller')

    def _run(self):
        while not self._stop.is_set():
            self._submit()
            self._poll()
        while self._open_jobs and not self._end.is_set():
            self._poll()
        self._conns.close()

    def _call(self, method, job_id, body=None):
        address = self._rng.choice(self._addresses)
        return self._conns.call(address, method, job_id, sites.API_KEY, body)

    def _submit(self):
        job_id = f'{self._rng.getrandbits(64):016x}'
        steps = _make_steps(self._rng)
        self._oracle.submitting(job_id, steps)
        statuses = []
        for _ in range(SUBMIT_ATTEMPTS):
            status, _ = self._call(
                'POST', job_id, {'spec': 'soak', 'steps': steps}
            )
            statuses.append(status)
            if status == 200 or self._end.wait(POLL_S):
                break
        self._oracle.submitted(job_id, statuses)
        if statuses[-1] != 200:
            return
        self._open_jobs.append(job_id)
        if self._rng.random() < CANCEL_SHARE:
            self._oracle.cancelling(job_id)
            status, _ = self._call('DELETE', job_id)
            if status == 200:
                self._oracle.cancelled(job_id)

    def _poll(self):
        for job_id in list(self._open_jobs):
            status, reply = self._call('GET', job_id)
            state = reply.get('state', '')
            self._oracle.shown(job_id, status, state)
            if state in ('completed', 'failed', 'cancelled'):
                self._open_jobs.remove(job_id)
        self._end.wait(POLL_S)


def _make_steps(rng):
    """Return the steps of a random job as callers write them."""
    step = {'cpu': TASK_MILLI, 'mem_mb': 64, 'estimate_ms': 300}
    steps = [{**step, 'count': rng.randint(1, 4)}]
    if rng.random() < 0.5:
        steps.append({**step, 'count': rng.randint(1, 3), 'after': [0]})
    return steps
