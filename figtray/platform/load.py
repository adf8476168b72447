"""figtray-jobs: submits jobs to nodes and reports how they end."""

import concurrent.futures
import dataclasses
import http.client
import json
import pathlib
import sys
import time
import uuid

import msgspec
import typer

from figtray import connections
from figtray.platform import settings as settings_lib
from figtray.platform import standin_config

CALL_TIMEOUT_S = 3
POLL_INTERVAL_S = 0.2
DEADLINE_HEADERS = {'X-Figtray-Deadline-Ms': str(CALL_TIMEOUT_S * 1000)}
STEPS = [
    {'count': 3, 'cpu': 1000, 'mem_mb': 256, 'estimate_ms': 400},
    {
        'count': 2,
        'cpu': 1000,
        'mem_mb': 256,
        'estimate_ms': 400,
        'after': [0],
    },
]


@dataclasses.dataclass(frozen=True)
class JobResult:
    """Result of one job.

    Attributes:
        accepted_s: seconds until it was accepted; None if it never was.
        ended_s: seconds until its state was final; None if it never was.
        state: the last state that was read.
        attempts: number of calls, including the polls.
    """

    accepted_s: float | None
    ended_s: float | None
    state: str
    attempts: int


class ConnectionPool:
    """Persistent connections of one caller, one to each node."""

    def __init__(self):
        self._conns = {}

    def call(self, address, method, job_id, key, body=None):
        """Make one request; closes the connection if it fails.

        Returns:
            (HTTP status, decoded body), or (0, {}) if there was no valid
            response.
        """
        conn = self._conns.get(address)
        if conn is None:
            host, port = connections.parse_address(address)
            conn = http.client.HTTPConnection(
                host, port, timeout=CALL_TIMEOUT_S
            )
            self._conns[address] = conn
        headers = {
            'Host': standin_config.CALLER_HOST,
            'Authorization': f'Token {key}',
            **DEADLINE_HEADERS,
        }
        data = json.dumps(body) if body is not None else None
        try:
            conn.request(
                method, standin_config.PATH_PREFIX + job_id, data, headers
            )
            resp = conn.getresponse()
            return resp.status, msgspec.json.decode(resp.read())
        except (OSError, http.client.HTTPException, msgspec.DecodeError):
            conn.close()
            del self._conns[address]
            return 0, {}

    def close(self):
        """Close all connections."""
        for conn in self._conns.values():
            conn.close()


def run_job(addresses, timeout_s=60):
    """Submit one job and poll its state until it ends.

    The calls go to all nodes in turn.

    Args:
        addresses: addresses at which the nodes serve callers.
        timeout_s: time in seconds after which to give up.

    Returns:
        A JobResult.
    """
    pool = ConnectionPool()
    try:
        return _run_job(pool, addresses, timeout_s)
    finally:
        pool.close()


def _run_job(pool, addresses, timeout_s):
    job_id = uuid.uuid4().hex[:16]
    began = time.monotonic()
    attempts, accepted_s, state = 0, None, ''
    while time.monotonic() - began < timeout_s:
        address = addresses[attempts % len(addresses)]
        attempts += 1
        if accepted_s is None:
            body = {'spec': 'demo', 'steps': STEPS}
            status, _ = pool.call(
                address, 'POST', job_id, standin_config.API_KEY, body
            )
            if status == 200:
                accepted_s = time.monotonic() - began
        else:
            status, reply = pool.call(
                address, 'GET', job_id, standin_config.API_KEY
            )
            state = reply.get('state', state)
            if state in ('completed', 'failed', 'cancelled'):
                ended_s = time.monotonic() - began
                return JobResult(accepted_s, ended_s, state, attempts)
        time.sleep(POLL_INTERVAL_S)
    return JobResult(accepted_s, None, state, attempts)


def main(
    directory: str = typer.Argument(help="Directory of the nodes' settings."),
    jobs: int = typer.Option(40, help='Number of jobs.'),
    at_once: int = typer.Option(8, help='Jobs that are under way at once.'),
):
    """Submit jobs, wait for their ends and print a report."""
    addresses = [
        settings_lib.load(str(path)).listen.front
        for path in sorted(pathlib.Path(directory).glob('node-*.json'))
    ]
    with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
        results = list(pool.map(run_job, [addresses] * jobs))
    ended = sorted(r.ended_s for r in results if r.ended_s is not None)
    completed = sum(1 for r in results if r.state == 'completed')
    typer.echo(f'jobs: {jobs}, completed: {completed}')
    if ended:
        middle, last = ended[len(ended) // 2], ended[-1]
        typer.echo(f'time to the end: half {middle:.1f} s, last {last:.1f} s')
    sys.exit(0 if completed == jobs else 1)


def run():
    """Run the program."""
    typer.run(main)


if __name__ == '__main__':
    run()
