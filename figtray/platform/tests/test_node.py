"""Tests of real node processes against a stand-in site."""

import collections
import concurrent.futures
import signal
import time

import pytest

from figtray.platform import load as jobs
from figtray.platform import main
from figtray.platform import settings as settings_lib
from figtray.platform import standin_site as sites
from figtray.soak import processes

LIMIT_S = 60


def wait_for(condition):
    """Wait until a condition holds."""
    until = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.05)


@pytest.fixture
def site():
    site = sites.Site(workers=3, spares=1, run_ms=(100, 300))
    yield site
    site.close()


@pytest.fixture
def nodes(site, tmp_path):
    nodes = [
        processes.NodeProcess(tmp_path, site.node_settings(f'node-{n}'))
        for n in (0, 1)
    ]
    for node in nodes:
        node.start()
    wait_for(lambda: all(node.ready_status() == 200 for node in nodes))
    yield nodes
    for node in nodes:
        node.stop(signal.SIGKILL)


class TestNodes:
    # Jobs must end once, each task on one worker at a time, although the
    # process that schedules them is killed and comes back.
    def test_leader_is_killed(self, site, nodes):
        addresses = [node.front_address for node in nodes]
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            futures = [
                pool.submit(jobs.run_job, addresses, LIMIT_S)
                for _ in range(16)
            ]
            wait_for(lambda: len(site.starts()) > 10)
            # Log lines are written in batches, after what they tell.
            wait_for(lambda: any(n.events('leader_won') for n in nodes))
            [leader] = [n for n in nodes if n.events('leader_won')]
            leader.stop(signal.SIGKILL)
            leader.start()
            outcomes = [future.result() for future in futures]
        assert [o.state for o in outcomes] == ['completed'] * 16
        tasks = collections.Counter(task for task, _ in site.starts())
        assert len(tasks) == 16 * 5
        assert max(tasks.values()) <= 2

    def test_graceful_stop_and_metrics(self, site, nodes):
        outcome = jobs.run_job([node.front_address for node in nodes], LIMIT_S)
        assert outcome.state == 'completed'
        port = nodes[0].settings['internal_ports'][0] + 2
        status, page = nodes[0].http_get(
            f'{sites.LOOPBACK}:{port}', '/metrics'
        )
        assert status == 200
        assert 'figtray_call_time_ms_bucket' in page
        for node in nodes:
            assert node.stop() == 0
            names = [event['name'] for event in node.events()]
            assert names[0] == 'process_started'
            assert names[-1] == 'process_stopped'

    # A withdrawn key must stop working on every node.
    def test_withdrawn_key(self, site, nodes):
        site.write_config(2, keys=())
        for node in nodes:
            wait_for(
                lambda: jobs.call(node.front_address, 'GET', '0' * 16)[0]
                == 401
            )


class TestViewAge:
    # A zone may have to be empty sooner than a key has to be dead.
    @pytest.mark.parametrize(
        ('revoke_ms', 'evacuate_ms', 'age_ms'),
        [(5000, 5000, 3500), (5000, 3000, 1500), (4000, 9000, 2500)],
    )
    def test_strictest_bound_counts(self, revoke_ms, evacuate_ms, age_ms):
        bounds = settings_lib.Bounds(
            revoke_ms=revoke_ms, evacuate_ms=evacuate_ms
        )
        assert main.max_view_age_ms(bounds) == age_ms


class TestSettings:
    @pytest.mark.parametrize('field', ['ip', 'listen', 'platform'])
    def test_missing_field(self, site, tmp_path, field):
        settings = site.node_settings('node-0')
        del settings[field]
        node = processes.NodeProcess(tmp_path, settings)
        node.start()
        assert node.stop(0) == 2
        assert f'`{field}`' in node.log_path.read_text()
