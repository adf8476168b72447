"""Node processes that tests and the soak start, signal and stop."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys

from figtray import connections
from figtray.platform import settings as settings_lib

EXIT_TIMEOUT_S = 60
KILL = signal.SIGKILL
CALL_TIMEOUT_S = 5


class NodeProcess:
    """A node, whose process can be stopped and started again.

    Args:
        directory: directory for the settings file and the logs.
        settings: settings of the node as plain data.
    """

    def __init__(self, directory, settings):
        self.settings = settings
        self._directory = pathlib.Path(directory)
        self.name = settings['node_name']
        self.settings_path = self._directory / f'{self.name}.json'
        self.settings_path.write_text(json.dumps(settings))
        self.front_address = settings.get('listen', {}).get('front')
        self.process = None
        self._start_count = 0

    def start(self):
        """Start the process; each start writes a new log file."""
        self._start_count += 1
        self.log_path = (
            self._directory
            / f'{self.settings_path.stem}-{self._start_count}.log'
        )
        env = dict(os.environ)
        env[settings_lib.FILE_ENV_VARIABLE] = str(self.settings_path)
        with open(self.log_path, 'wb') as out:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'figtray.platform.main'],
                stdout=out,
                stderr=out,
                env=env,
            )

    def is_running(self):
        """Check whether the process was started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, signum):
        """Send a signal to the process if it is running."""
        if self.is_running():
            self.process.send_signal(signum)

    def stop(self, signum=signal.SIGTERM):
        """Send a signal and wait for the process to exit.

        Returns:
            The exit status; negative if a signal ended the process.

        Raises:
            subprocess.TimeoutExpired: the process did not exit in time.
        """
        self.send_signal(signum)
        return self.process.wait(EXIT_TIMEOUT_S)

    def events(self, name=None):
        """Return the events in the log of the latest process.

        Args:
            name: name of the events to return; None returns all.
        """
        lines = self.log_path.read_text().splitlines()
        # The last line may be incomplete.
        complete_lines = [line for line in lines if line.endswith('}}')]
        events = [json.loads(line) for line in complete_lines]
        return [
            event for event in events if name is None or event['name'] == name
        ]

    def http_get(self, address, path):
        """Make a GET request.

        Returns:
            (HTTP status, body), or (0, '') if there was no response.
        """
        conn = http.client.HTTPConnection(
            *connections.parse_address(address), timeout=CALL_TIMEOUT_S
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
        """Return the HTTP status of the readiness page; 0 if unreachable."""
        return self.http_get(self.settings['listen']['ready'], '/api/ready')[0]
