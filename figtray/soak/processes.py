"""Node processes that a test or the soak starts, signals and ends."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys

from figtray import connections
from figtray.platform import settings as settings_lib

LIMIT_S = 60
KILL = signal.SIGKILL
CALL_S = 5


class NodeProcess:
    """One node; its process may be ended and started again.

    Args:
        directory: where its settings file and its logs are written.
        settings: its settings as plain data.
    """

    def __init__(self, directory, settings):
        self.settings = settings
        self._directory = pathlib.Path(directory)
        self.name = settings['node_name']
        self.path = self._directory / f'{self.name}.json'
        self.path.write_text(json.dumps(settings))
        self.front_address = settings.get('listen', {}).get('front')
        self.process = None
        self._runs = 0

    def start(self):
        """Start a process."""
        self._runs += 1
        self.log_path = self._directory / f'{self.path.stem}-{self._runs}.log'
        env = dict(os.environ)
        env[settings_lib.FILE_ENV_VARIABLE] = str(self.path)
        with open(self.log_path, 'wb') as out:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'figtray.platform.main'],
                stdout=out,
                stderr=out,
                env=env,
            )

    def running(self):
        """Tell whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, signum):
        """Send a signal to the process, if it runs."""
        if self.running():
            self.process.send_signal(signum)

    def stop(self, signum=signal.SIGTERM):
        """Send a signal and wait for the end; returns the exit status."""
        self.send(signum)
        return self.process.wait(LIMIT_S)

    def events(self, name=None):
        """Return the logged events."""
        lines = self.log_path.read_text().splitlines()
        # The last line may be written only in part.
        whole = [line for line in lines if line.endswith('}}')]
        found = [json.loads(line) for line in whole]
        return [e for e in found if name is None or e['name'] == name]

    def http_get(self, address, path):
        """Make one GET call; returns (status, text), 0 without an answer."""
        conn = http.client.HTTPConnection(
            *connections.parse_address(address), timeout=CALL_S
        )
        try:
            conn.request('GET', path)
            resp = conn.getresponse()
            return resp.status, resp.read().decode()
        except OSError:
            return 0, ''
        finally:
            conn.close()

    def ready_status(self):
        """Return the status of its readiness page; 0 without an answer."""
        return self.http_get(self.settings['listen']['ready'], '/api/ready')[0]
