"""A deployment of processes on loopback addresses, for the proofs."""

import hashlib
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time

from figtray.api import client as client_lib
from figtray import clock as clock_lib
from figtray.configuration import resources

DIRECTORY = pathlib.Path('/tmp/proofs')
SOURCE = pathlib.Path(__file__).resolve().parents[2]
CREDENTIAL = 'proof-operator'
ENTRIES = 9
ZONES = ('zone-1', 'zone-2', 'zone-3', 'zone-4')
POOLS = ('front', 'back', 'spare')
SLOTS = 8
# Limits are below the slots of a pool, so that they hold tasks back.
LIMITS = {'alpha': 12, 'beta': 8, 'gamma': 4, 'walk-in': 4}
QUEUES = {
    'front': {'pool': 'front'},
    'back': {'pool': 'back'},
    'open': {'pool': 'front', 'open': True, 'open_team': 'walk-in'},
    'ordered': {'pool': 'back', 'ordered': True},
}
RUN_LIMIT_MS = 4000
LIMIT_S = 60
CALL_TIMEOUT_S = 10
CLOCK = clock_lib.SystemClock()


def call(address, path, body=None):
    """Send one request to a stand-in or an admin listener.

    Args:
        address: `host:port`.
        path: path with the query.
        body: value to POST as JSON; None sends a GET.

    Returns:
        (status, decoded body).
    """
    conn = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
    try:
        if body is None:
            conn.request('GET', path)
        else:
            conn.request('POST', path, json.dumps(body))
        response = conn.getresponse()
        return response.status, json.loads(response.read())
    finally:
        conn.close()


def wait_for(condition, what, limit_s=LIMIT_S):
    """Wait until a condition holds; an unreachable process counts as no.

    Raises:
        AssertionError: it does not hold in time.
    """
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            if result := condition():
                return result
        except (OSError, http.client.HTTPException, client_lib.ClientError):
            pass
        time.sleep(0.1)
    raise AssertionError(f'not within {limit_s} s: {what}')


class Process:
    """One process that the proofs started."""

    def __init__(self, name, argv, directory):
        self.name = name
        self._argv = argv
        self._log = directory / f'{name}.log'
        self._popen = None

    def start(self):
        with self._log.open('ab') as log:
            self._popen = subprocess.Popen(
                [sys.executable, '-m', *self._argv],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=self._log.parent,
                env={**os.environ, 'PYTHONPATH': str(SOURCE)},
            )

    def send(self, number):
        self._popen.send_signal(number)

    def wait(self, limit_s=LIMIT_S):
        """Wait for the end and return the exit status."""
        return self._popen.wait(limit_s)

    def kill(self):
        self._popen.kill()
        self._popen.wait()

    def end(self):
        """End the process whatever its state is."""
        if self._popen and self._popen.poll() is None:
            self.kill()


class Deployment:
    """Stand-ins, entries, APIs and controllers of one proof module.

    Args:
        name: name of the deployment.
        number: third part of its addresses, 127.9.<number>.x.
        **entry_settings: fields of the entries' settings.
    """

    def __init__(self, name, number, **entry_settings):
        self._net = f'127.9.{number}'
        self._directory = DIRECTORY / name
        self._name = name
        self._entry_settings = entry_settings
        self.processes = {}
        self.kv = self.at(100, 2379)
        self.host_list = self.at(101, 7100)
        self.callers = [self.at(i, 18001) for i in range(1, ENTRIES + 1)]
        self.admins = [self.at(i, 18002) for i in range(1, ENTRIES + 1)]
        self.apis = [self.at(111, 18100), self.at(112, 18100)]
        self.controls = {
            zone: self.at(130 + i, 19001) for i, zone in enumerate(ZONES)
        }
        # One client per API: two operators.
        self.operators = [
            client_lib.Client(client_lib.HttpTransport(api), CREDENTIAL)
            for api in self.apis
        ]
        self.operator = self.operators[0]
        self.keys = {}

    def at(self, last, port):
        """Return an address of this deployment."""
        return f'{self._net}.{last}:{port}'

    def __enter__(self):
        shutil.rmtree(self._directory, ignore_errors=True)
        self._directory.mkdir(parents=True)
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info):
        for process in self.processes.values():
            process.end()

    def __getitem__(self, name):
        return self.processes[name]

    def entry(self, number):
        """Return the process of entry 1 to 9."""
        return self[f'entry-{number}']

    def is_ready(self, number):
        """Tell whether entry 1 to 9 says that it is ready."""
        try:
            return call(self.admins[number - 1], '/ready')[0] == 200
        except (OSError, http.client.HTTPException, ValueError):
            return False

    def wait_ready(self):
        """Wait until all entries are ready."""
        numbers = range(1, ENTRIES + 1)
        wait_for(
            lambda: all(self.is_ready(number) for number in numbers),
            'all entries ready',
        )

    def kv_faults(self, **faults):
        return call(self.kv, '/faults', faults)[1]

    def worker_faults(self, zone, host=None, **faults):
        """Set faults of one worker or all workers of a zone."""
        if host:
            faults['host'] = host
        status, reply = call(self.controls[zone], '/faults', faults)
        assert status == 200, reply

    def worker_log(self, since_ms=0):
        """Return what started and ended, in the order of the machine clock.

        At the same millisecond an end comes before a start: an entry learns
        of the end before it starts another task in its place.
        """
        entries = [
            entry
            for control in self.controls.values()
            for log in call(control, '/log')[1].values()
            for entry in log
            if entry['machine_ms'] >= since_ms
        ]
        return sorted(
            entries, key=lambda e: (e['machine_ms'], e['event'] != 'end')
        )

    def starts(self, since_ms=0):
        """Return the starts of the worker log."""
        log = self.worker_log(since_ms)
        return [entry for entry in log if entry['event'] == 'start']

    def set_team(self, team, limit):
        """Change the limit of a team and return the time of acceptance."""
        kind = resources.Kind.TEAM
        item = self.operator.get(kind, team)
        spec = {**item['spec'], 'limit': limit}
        reply = self.operator.put(kind, team, spec, item['version'])
        assert reply['status']['accepted']
        return CLOCK.now_ms()

    def debug(self, number):
        """Return what entry 1 to 9 believes; never part of an oracle."""
        return call(self.admins[number - 1], '/debug')[1]

    def allotted(self, team):
        """Return the allotments of a team at all entries together."""
        numbers = range(1, ENTRIES + 1)
        views = [self.debug(number)['allotments'] for number in numbers]
        return sum(view[team]['held'] for view in views if team in view)

    def _start(self):
        hosts = self._hosts()
        self._run('kv', 'figtray.standins.kv', '--listen', self.kv)
        self._run(
            'hosts', 'figtray.standins.hosts', '--listen', self.host_list
        )
        for zone in ZONES:
            workers = [
                arg
                for name, spec in hosts.items()
                if spec['zone'] == zone
                for arg in ('--worker', f'{name}={spec["address"]}')
            ]
            self._run(
                f'workers-{zone}',
                'figtray.standins.worker',
                *('--zone', zone, '--slots', str(SLOTS)),
                *('--control', self.controls[zone]),
                *('--host-list', self.host_list),
                *workers,
            )
        wait_for(lambda: call(self.kv, '/stats'), 'key-value stand-in')
        for control in self.controls.values():
            wait_for(lambda c=control: call(c, '/stats'), 'worker stand-in')
        self._start_figtray()
        self.wait_ready()
        wait_for(self.operator.status, 'API')
        self.operator.change(
            [
                {'kind': kind, 'name': name, 'version': 0, 'spec': spec}
                for kind, specs in self._resources(hosts).items()
                for name, spec in specs.items()
            ]
        )
        for team in ('alpha', 'beta', 'gamma'):
            self.keys[team] = self.operator.create_key(team)['secret']
        self.wait_ready()

    def _start_figtray(self):
        slots = [f'entry-{i}' for i in range(1, ENTRIES + 1)]
        common = {
            'deployment': self._name,
            'entries': [
                {'slot': slot, 'address': self.at(i, 17001)}
                for i, slot in enumerate(slots, 1)
            ],
            'store': {'endpoints': [self.kv]},
            'host_list': {'address': self.host_list},
        }
        for i, slot in enumerate(slots, 1):
            self._run_program(
                slot,
                'figtray.entry.main',
                {
                    **common,
                    'zone': ZONES[(i - 1) % len(ZONES)],
                    'slot': slot,
                    'caller_listen': self.callers[i - 1],
                    'admin_listen': self.admins[i - 1],
                    # Short ramp and grace: many stops and returns of zones
                    # fit into one run.
                    'zone_ramp_ms': 2000,
                    'ready_grace_ms': 1000,
                    **self._entry_settings,
                },
            )
        digest = hashlib.sha256(CREDENTIAL.encode()).hexdigest()
        for i, address in enumerate(self.apis, 1):
            self._run_program(
                f'api-{i}',
                'figtray.api.main',
                {
                    **common,
                    'zone': ZONES[i],
                    'listen': address,
                    'credential_hash': digest,
                },
            )
        for i in (1, 2):
            name = f'controller-{i}'
            self._run_program(
                name,
                'figtray.controller.main',
                {
                    **common,
                    'zone': ZONES[i],
                    'name': name,
                    'admin_listen': self.at(120 + i, 18002),
                },
            )

    def _run_program(self, name, module, settings):
        path = self._directory / f'{name}.json5'
        path.write_text(json.dumps(settings, indent=2))
        self._run(name, module, '--settings', str(path))

    def _run(self, name, *argv):
        process = Process(name, argv, self._directory)
        self.processes[name] = process
        process.start()

    def _hosts(self):
        return {
            f'{pool}-{i + 1}': {
                'address': self.at(140 + 10 * number + i, 19000),
                'zone': zone,
                'rack': f'{zone}-rack',
                'pool': pool,
                'slots': SLOTS,
            }
            for number, pool in enumerate(POOLS)
            for i, zone in enumerate(ZONES)
        }

    @staticmethod
    def _resources(hosts):
        return {
            'zones': {zone: {} for zone in ZONES},
            'pools': {
                pool: {'min_slots': 0, 'spare': pool == 'spare'}
                for pool in POOLS
            },
            'teams': {
                team: {'limit': limit} for team, limit in LIMITS.items()
            },
            'hosts': hosts,
            'queues': {
                name: {**spec, 'run_limit_ms': RUN_LIMIT_MS}
                for name, spec in QUEUES.items()
            },
            # Maintenance of hosts would take zones out during a proof.
            'policy': {'deployment': {'maintenance_paused': True}},
        }


def restart(process, number=signal.SIGKILL):
    """End a process by a signal and start it again.

    Returns:
        The exit status.
    """
    process.send(number)
    status = process.wait()
    process.start()
    return status
