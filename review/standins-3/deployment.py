"""A small deployment on loopback addresses: site, workers, nodes, clients."""

import base64
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
HOST = 'jobs.example'
PREFIX = '/jobs/'
ZONES = ('zone-a', 'zone-b', 'zone-c')
BOUNDS = {
    'contact_ms': 3000, 'ack_ms': 4000, 'drain_ms': 2000, 'grace_s': 6,
    'config_ms': 2000, 'revoke_ms': 5000, 'evacuate_ms': 5000,
    'hold_max_ms': 6000, 'stop_ms': 400, 'gang_timeout_ms': 3000,
    'cancel_ms': 3000, 'visible_ms': 3000, 'early_ms': 250, 'finish_s': 14,
    'status_s': 120, 'checkpoint_s': 2, 'restore_ms': 600,
    'notice_ms': 4500, 'move_s': 1.5, 'upkeep_s': 2, 'fencing': False,
    'lease_ms': 3000, 'thaw_ms': 300, 'pace_ms': 100, 'harm_ms': 4000,
    'strict_revoke': True,
}


class CannotRun(Exception):
    """The case could not be run."""


# Ports that were given out; their processes may not listen yet.
_given_ports = set()


def free_ports(count):
    """Return adjacent free ports below the ephemeral range."""
    while True:
        first = random.randrange(10_000, 32_000 - count)
        wanted = range(first, first + count)
        if _given_ports.intersection(wanted):
            continue
        try:
            for port in wanted:
                with socket.socket() as probe:
                    probe.bind(('127.0.0.1', port))
        except OSError:
            continue
        _given_ports.update(wanted)
        return list(wanted)


class Deployment:
    """Processes of a small deployment; close() ends all of them.

    Args:
        workers: number of workers, one a machine.
        nodes: number of nodes.
        cpu: capacity of a worker in thousandths of a core.
        tenants: of the configuration; name, api_keys, weight, maximum.
        bounds: changes of BOUNDS.
        link_mbps: bandwidth of each node's link to the store; 0 = no limit.
    """

    # Address of the adviser; empty = there is none.
    advice = ''

    def __init__(
        self,
        workers=6,
        nodes=3,
        cpu=8000,
        tenants=None,
        bounds=None,
        link_mbps=0,
    ):
        self.began = time.time()
        self.dir = pathlib.Path(tempfile.mkdtemp(prefix='figtray-review-'))
        self.log = self.dir / 'workers.log'
        self.log.touch()
        self.lines = []
        self.lock = threading.Lock()
        self.cpu = cpu
        self.link_mbps = link_mbps
        self.bounds = BOUNDS | (bounds or {})
        self.processes = []
        self.workers, self.nodes = {}, {}
        self.env = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/tmp'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': f'{ROOT}:{ROOT}/target/deps',
        }
        self.site = self._spawn(
            [sys.executable, str(HERE / 'site.py')],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )
        try:
            self.store, self.hosts = json.loads(self.site.stdout.readline())
        except ValueError as exc:
            raise CannotRun('the site did not start') from exc
        self.config = {
            'version': 3,
            'routes': [{
                'name': 'jobs', 'host': HOST, 'prefix': PREFIX,
                'service': 'main', 'attempts': 3, 'stretch': 2,
                'target_latency_ms': 1000,
            }],
            # No spare pool, so that no machine is moved.
            'services': [{'name': 'main'}],
            'tenants': tenants or [
                {'name': 'demo', 'api_keys': ['demo-key'], 'weight': 1}
            ],
        }
        self.write_config()
        for number in range(workers):
            self.add_worker(number)
        for number in range(nodes):
            self.add_node(number)

    # Operator.

    def write_config(self):
        self.put('op/config', self.config)

    def put(self, key, value):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.store_call(
            'POST', '/api/kv-txn', {'writes': [{'key': key, 'value': data}]}
        )

    def store_call(self, method, path, body=None):
        return request(self.store, method, path, body)

    def read(self, key):
        status, reply = self.store_call('GET', f'/api/kv-key?key={key}')
        if status != 200:
            return None
        return json.loads(base64.b64decode(reply['value']))

    # Processes.

    def _spawn(self, args, **options):
        process = subprocess.Popen(
            args, cwd=ROOT, env=options.pop('env', self.env), **options
        )
        self.processes.append(process)
        return process

    def add_worker(self, number):
        worker_id = f'w-{number}'
        port = free_ports(1)[0]
        args = [
            sys.executable, str(HERE / 'worker.py'),
            '--id', worker_id, '--port', str(port), '--store', self.store,
            '--service', 'main', '--zone', ZONES[number % len(ZONES)],
            '--machine', f'm-{number}', '--rack', f'r{number // 4}',
            '--log', str(self.log), '--cpu', str(self.cpu),
            '--hold-max-ms', str(self.bounds['hold_max_ms']),
            '--late-file', str(self.dir / f'{worker_id}.late'),
        ]
        self.workers[worker_id] = {'number': number, 'args': args}
        self.start_worker(worker_id)

    def start_worker(self, worker_id):
        worker = self.workers[worker_id]
        worker['process'] = self._spawn(worker['args'])
        self.set_machine(worker['number'], 'up', worker_id)

    def kill_worker(self, worker_id):
        """End the process of a worker; its machine is down from then on."""
        worker = self.workers[worker_id]
        worker['process'].send_signal(signal.SIGKILL)
        worker['process'].wait()
        self.note('driver', event='worker killed', worker=worker_id)
        self.set_machine(worker['number'], 'down', '')

    def set_machine(self, number, state, worker_id, pool='main'):
        row = {
            'machine': f'm-{number}', 'pool': pool, 'state': state,
            'zone': ZONES[number % len(ZONES)], 'rack': f'r{number // 4}',
            'cpu': self.cpu, 'mem': 32000, 'id': worker_id,
        }
        self.site.stdin.write(json.dumps(row) + '\n')
        self.site.stdin.flush()
        self.site.stdout.readline()

    def add_node(self, number):
        # The third of the internal ports serves the metrics.
        ports = free_ports(6)
        name = f'edge-{number}'
        store = self.store
        if self.link_mbps:
            link = self._spawn(
                [sys.executable, str(HERE / 'link.py'), store,
                 '--mbps', str(self.link_mbps)],
                stdout=subprocess.PIPE, text=True,
            )
            store = link.stdout.readline().strip()
        settings = {
            'node_name': name, 'role': 'node', 'machine_class': 'edge',
            'serves': ['edge'], 'ip': '127.0.0.1',
            'zone': ZONES[number % len(ZONES)], 'region': 'region',
            'zones': dict.fromkeys(ZONES, 'region'),
            'listen': {
                'front': f'127.0.0.1:{ports[0]}',
                'ready': f'127.0.0.1:{ports[1]}',
            },
            'internal_ports': [ports[2], ports[5]],
            'seeds': [], 'bootstrap': True, 'advice': self.advice,
            'limits': {
                'cpu_share': 1.0, 'cores': 2, 'memory_mb': 300,
                'max_fds': 4100, 'link_mbps': self.link_mbps or 1000.0, 'disk_mb': 0,
            },
            'heartbeat_ms': 1500, 'commands': 'request',
            'bounds': self.bounds,
            'platform': {
                'address': store, 'form': 'kv', 'writes_per_s': 400,
                'reads_per_s': 2000, 'history_s': 20,
                'value_bytes': 1048576, 'ttl_min_ms': 1000,
            },
            'cloud': {'address': self.hosts, 'rate_per_s': 64.0,
                      'duties': [], 'duty_per_s': 64.0},
        }
        path = self.dir / f'{name}.json'
        path.write_text(json.dumps(settings))
        self.nodes[name] = {
            'path': path, 'front': settings['listen']['front'],
            'ready': settings['listen']['ready'], 'starts': 0,
        }
        self.start_node(name)

    def start_node(self, name):
        """Start a node by the `run` line of the deploy file."""
        node = self.nodes[name]
        node['starts'] += 1
        out = open(self.dir / f'{name}-{node["starts"]}.log', 'wb')
        node['process'] = self._spawn(
            ['python3', '-m', 'figtray.platform.main'],
            env=self.env | {'FIGTRAY_NODE_FILE': str(node['path'])},
            stdout=out, stderr=out,
        )
        out.close()

    def signal_node(self, name, signum):
        self.note('driver', event=f'signal {signum}', node=name)
        self.nodes[name]['process'].send_signal(signum)

    def leader(self, timeout_s=15):
        """Return the name of the node that leads."""
        until = time.time() + timeout_s
        while time.time() < until:
            record = self.read('leader')
            if record:
                return record['node']
            time.sleep(0.05)
        raise CannotRun('no node leads')

    def wait_ready(self, timeout_s=25):
        until = time.time() + timeout_s
        for node in self.nodes.values():
            while time.time() < until:
                if request(node['ready'], 'GET', '/api/ready')[0] == 200:
                    break
                time.sleep(0.1)
            else:
                raise CannotRun('a node is not ready')
        self.leader()

    # Clients.

    def call(self, method, job_id, body=None, node=None, key='demo-key',
             timeout_s=3):
        """Call a node as a client; returns (status or 0, reply)."""
        name = node or random.choice(list(self.nodes))
        status, reply = request(
            self.nodes[name]['front'], method, PREFIX + job_id, body,
            {'Host': HOST, 'Authorization': f'Token {key}',
             'X-Figtray-Deadline-Ms': str(int(timeout_s * 1000))},
            timeout_s,
        )
        self.note('client', method=method, job=job_id, node=name,
                  status=status, reply=reply)
        return status, reply

    def submit(self, job_id, spec, steps, key='demo-key', **fields):
        """Submit a job until it is accepted."""
        body = {'spec': json.dumps(spec), 'steps': steps} | fields
        for _ in range(20):
            status, _ = self.call('POST', job_id, body, key=key)
            if status // 100 == 2:
                return
            time.sleep(0.3)
        raise CannotRun(f'job {job_id} was not accepted')

    def state(self, job_id, key='demo-key'):
        """Return the state of a job; the status if there is none."""
        for _ in range(5):
            status, reply = self.call('GET', job_id, key=key)
            if status == 200:
                return reply['state']
            if status in (410, 404):
                return str(status)
            time.sleep(0.2)
        return str(status)

    # Records.

    def note(self, who, **fields):
        with self.lock:
            self.lines.append({'t': round(time.time(), 3), 'who': who}
                              | fields)

    def worker_events(self):
        """Return what the workers have logged, in the order of time."""
        rows = []
        for line in self.log.read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
        return sorted(rows, key=lambda row: row['t'])

    def node_events(self, *names):
        """Return the log events of the nodes with certain names."""
        found = []
        for path in sorted(self.dir.glob('edge-*.log')):
            for line in path.read_text(errors='replace').splitlines():
                try:
                    row = json.loads(line)
                except ValueError:
                    continue
                if row.get('name') in names:
                    found.append(row)
        return sorted(found, key=lambda row: row['time'])

    def write_record(self, path, verdict):
        rows = self.lines + self.worker_events()
        rows.sort(key=lambda row: row['t'])
        with open(path, 'w') as file:
            file.write(f'{verdict}\n')
            for row in rows:
                at = f'{row.pop("t") - self.began:8.3f}'
                file.write(f'{at} {json.dumps(row)}\n')

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()


def request(address, method, path, body=None, headers=None, timeout_s=3):
    """Make one request; returns (status, decoded body), or (0, error)."""
    conn = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        data = json.dumps(body).encode() if body is not None else None
        head = {'Content-Type': 'application/json'} if data else {}
        conn.request(method, path, data, head | (headers or {}))
        reply = conn.getresponse()
        text = reply.read()
        return reply.status, json.loads(text or b'{}')
    except (OSError, http.client.HTTPException, ValueError) as exc:
        return 0, repr(exc)
    finally:
        conn.close()


def job_id():
    return f'{random.getrandbits(64):016x}'


def run_case(folder, case, **options):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2.

    Args:
        folder: folder of the case, which gets record.txt.
        case: called with (Deployment, whether there is trouble); returns
            the breaks of the rule that it has seen.
        options: of the Deployment.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    deployment = None
    status = 2
    try:
        deployment = Deployment(**options)
        deployment.wait_ready()
        breaks = case(deployment, trouble)
        status = 1 if breaks else 0
        verdict = '\n'.join(['BROKEN', *breaks] if breaks else ['HELD'])
    except CannotRun as exc:
        verdict = f'COULD NOT RUN: {exc}'
    finally:
        if deployment is not None:
            deployment.close()
    print(verdict)
    if deployment is not None:
        deployment.write_record(pathlib.Path(folder) / 'record.txt', verdict)
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(deployment.dir, ignore_errors=True)
        else:
            print(deployment.dir)
    sys.exit(status)
