"""Submits jobs to nodes, waits for their ends and prints a report."""

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
from figtray.platform import standin_site as site

CALL_S = 3
POLL_S = 0.2
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
class Outcome:
    """How one job went.

    Attributes:
        accepted_s: time until it was accepted; None if it never was.
        ended_s: time until it was shown as ended; None if it never was.
        state: the last state.
        attempts: calls until it was accepted.
    """

    accepted_s: float | None
    ended_s: float | None
    state: str
    attempts: int


def call(address, method, job_id, body=None):
    """Make one call of a caller.

    Returns:
        (status, parsed body); status 0 stands for no answer.
    """
    conn = http.client.HTTPConnection(
        *connections.parse_address(address), timeout=CALL_S
    )
    headers = {
        'Host': site.CALLER_HOST,
        'Authorization': f'Token {site.API_KEY}',
    }
    try:
        data = json.dumps(body) if body is not None else None
        conn.request(method, site.PATH_PREFIX + job_id, data, headers)
        resp = conn.getresponse()
        return resp.status, msgspec.json.decode(resp.read())
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        conn.close()


def run_job(addresses, timeout_s=60):
    """Submit one job and poll it to its end, at any of the nodes.

    Args:
        addresses: callers' addresses of the nodes.
        timeout_s: time after which to give up.

    Returns:
        An Outcome.
    """
    job_id = uuid.uuid4().hex[:16]
    began = time.monotonic()
    attempts, accepted_s, state = 0, None, ''
    while time.monotonic() - began < timeout_s:
        address = addresses[attempts % len(addresses)]
        attempts += 1
        if accepted_s is None:
            body = {'spec': 'demo', 'steps': STEPS}
            status, _ = call(address, 'POST', job_id, body)
            if status == 200:
                accepted_s = time.monotonic() - began
        else:
            status, reply = call(address, 'GET', job_id)
            state = reply.get('state', state)
            if state in ('completed', 'failed', 'cancelled'):
                ended_s = time.monotonic() - began
                return Outcome(accepted_s, ended_s, state, attempts)
        time.sleep(POLL_S)
    return Outcome(accepted_s, None, state, attempts)


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
        outcomes = list(pool.map(run_job, [addresses] * jobs))
    ended = sorted(o.ended_s for o in outcomes if o.ended_s is not None)
    completed = sum(1 for o in outcomes if o.state == 'completed')
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
