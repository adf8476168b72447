"""Latency and throughput of the request path of a running system.

The processes are started by scripts/measure.sh; this command only calls
them.
"""

import concurrent.futures
import http.client
import json
import statistics
import typing
import uuid

import typer

from figtray import clock as clock_lib

WARM_UP = 50
BODY = json.dumps({'run_ms': 0, 'status': 200, 'echo': 'x'}).encode()


class _Client:
    """One keep-alive connection that sends the same kind of request."""

    def __init__(self, address, path, make_headers):
        self._conn = http.client.HTTPConnection(address, timeout=30)
        self._path = path
        self._make_headers = make_headers
        self._clock = clock_lib.SystemClock()

    def call(self):
        """Send a request.

        Returns:
            Its status.
        """
        self._conn.request('POST', self._path, BODY, self._make_headers())
        resp = self._conn.getresponse()
        resp.read()
        return resp.status


def _through_entry(address, queue, key):
    headers = {'Authorization': f'Bearer {key}'}
    return _Client(address, f'/v1/queues/{queue}/tasks', lambda: headers)


def _direct(address):
    def make_headers():
        return {
            'Task-Id': uuid.uuid4().hex,
            'Attempt-Id': uuid.uuid4().hex,
            'Team': 'measure',
            'Queue': 'measure',
            'Incarnation': 'measure',
            'Lease-Ms': '10000',
            # Far ahead on any worker's clock.
            'Start-By': '9' * 15,
        }

    return _Client(address, '/tasks', make_headers)


def measure_latency(client, count):
    """Send requests one after another.

    Args:
        client: a _Client.
        count: number of requests that are measured.

    Returns:
        Mapping with p50_ms, p99_ms and the number of failures.
    """
    for _ in range(WARM_UP):
        client.call()
    times_ms = []
    failed = 0
    for _ in range(count):
        started = clock_lib.now_us()
        failed += client.call() != 200
        times_ms.append((clock_lib.now_us() - started) / 1000)
    cuts = statistics.quantiles(times_ms, n=100)
    return {
        'p50_ms': round(cuts[49], 2),
        'p99_ms': round(cuts[98], 2),
        'failed': failed,
    }


def measure_rate(make_client, threads, seconds):
    """Send requests from several callers as fast as they are answered.

    Returns:
        Mapping with requests per second and the number of failures.
    """
    clock = clock_lib.SystemClock()
    end_ms = clock.now_ms() + seconds * 1000

    def run():
        client = make_client()
        answered = failed = 0
        while clock.now_ms() < end_ms:
            if client.call() == 200:
                answered += 1
            else:
                failed += 1
        return answered, failed

    with concurrent.futures.ThreadPoolExecutor(threads) as executor:
        results = list(executor.map(lambda _: run(), range(threads)))
    return {
        'per_s': round(sum(r[0] for r in results) / seconds),
        'failed': sum(r[1] for r in results),
    }


def run(
    entry: typing.Annotated[str, typer.Option(help='Callers API of an entry')],
    worker: typing.Annotated[str, typer.Option(help='Address of a worker')],
    queue: typing.Annotated[str, typer.Option(help='Queue of that pool')],
    key: typing.Annotated[str, typer.Option(help='Caller key')],
    count: typing.Annotated[int, typer.Option(min=100)] = 2000,
    threads: typing.Annotated[int, typer.Option(min=1, max=256)] = 16,
    seconds: typing.Annotated[int, typer.Option(min=1, max=600)] = 10,
):
    """Compare the path through an entry with direct calls of a worker."""
    direct = measure_latency(_direct(worker), count)
    through = measure_latency(_through_entry(entry, queue, key), count)
    rate = measure_rate(
        lambda: _through_entry(entry, queue, key), threads, seconds
    )
    typer.echo(f'direct call of a worker: {direct}')
    typer.echo(f'through one entry:       {through}')
    typer.echo(f'{threads} callers of one entry: {rate}')


def main():
    """Run the command line."""
    typer.run(run)


if __name__ == '__main__':
    main()
