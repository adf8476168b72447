"""Clients that hand in small jobs at a steady rate."""

import json
import random
import threading
import time

import deployment

CLIENTS = 8


class Traffic:
    """Runs until stop() is called.

    Args:
        site: the Deployment.
        jobs_per_s: rate of all clients together.
        spec_bytes: length of the `spec` of each job.
    """

    def __init__(self, site, jobs_per_s, spec_bytes):
        self.accepted = 0
        self.nodes = list(site.nodes)
        self._site = site
        self._pause_s = CLIENTS / jobs_per_s
        text = json.dumps({'ms': 100, 'note': ''})
        note = 'x' * (spec_bytes - len(text))
        self.body = {
            'spec': json.dumps({'ms': 100, 'note': note}),
            'steps': [
                {'count': 1, 'cpu': 100, 'mem_mb': 10, 'estimate_ms': 100}
            ],
        }
        self._ended = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(CLIENTS)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self):
        while not self._ended.wait(self._pause_s):
            # Ids of the case begin with another digit, so they come last.
            job = '0' + deployment.job_id()[1:]
            node = random.choice(self.nodes)
            status, _ = self._site.call('POST', job, self.body, node=node)
            self.accepted += status == 200

    def wait_until_accepted(self, count, timeout_s):
        until = time.time() + timeout_s
        while self.accepted < count:
            if time.time() > until:
                raise deployment.CannotRun(f'{self.accepted} jobs accepted')
            time.sleep(0.1)

    def stop(self):
        self._ended.set()
        for thread in self._threads:
            thread.join()
