"""Load generators: callers that submit, poll and cancel jobs."""

import threading

from figtray.platform import load
from figtray.platform import standin_config

POLL_INTERVAL_S = 0.15
TASK_MILLI = 1000
STEP = {'cpu': TASK_MILLI, 'mem_mb': 64}
SUBMIT_ATTEMPTS = 4
CANCEL_PROBABILITY = 0.12
END_STATES = ('completed', 'failed', 'cancelled')


class Caller:
    """Submits jobs, cancels some and polls all; one request at a time.

    Attributes:
        key: API key of its team.

    Args:
        rng: random.Random that no other caller uses.
        addresses: addresses of the nodes for callers.
        checker: InvariantChecker to notify.
        stop_submitting: threading.Event after which no new job is submitted.
        stop_polling: threading.Event that also ends the polling of jobs.
    """

    key = standin_config.API_KEY

    def __init__(self, rng, addresses, checker, stop_submitting, stop_polling):
        self._rng = rng
        self._addresses = addresses
        self._checker = checker
        self._stop_submitting = stop_submitting
        self._stop_polling = stop_polling
        self._pool = load.ConnectionPool()
        self._unfinished_jobs = []
        self.thread = threading.Thread(target=self._run, name='caller')

    def _run(self):
        while not self._stop_submitting.is_set():
            self._submit()
            self._poll()
        while self._unfinished_jobs and not self._stop_polling.is_set():
            self._poll()
        self._pool.close()

    def _call(self, method, job_id, body=None):
        address = self._rng.choice(self._addresses)
        return self._pool.call(address, method, job_id, self.key, body)

    def _submit(self):
        job_id = self._submit_job(_make_steps)
        if job_id and self._rng.random() < CANCEL_PROBABILITY:
            self._cancel(job_id)

    def _submit_job(self, make_steps):
        """Submit a random job.

        Args:
            make_steps: called with the random.Random; returns the steps.

        Returns:
            The job's id, or None if it is not known to be accepted.
        """
        job_id = f'{self._rng.getrandbits(64):016x}'
        steps = make_steps(self._rng)
        self._checker.record_submit_attempt(job_id, steps)
        statuses = []
        for _ in range(SUBMIT_ATTEMPTS):
            status, _ = self._call(
                'POST', job_id, {'spec': 'soak', 'steps': steps}
            )
            statuses.append(status)
            if status == 200 or self._stop_polling.wait(POLL_INTERVAL_S):
                break
        self._checker.record_submit_result(job_id, statuses)
        if statuses[-1] != 200:
            return None
        self._unfinished_jobs.append(job_id)
        return job_id

    def _cancel(self, job_id):
        self._checker.record_cancel_attempt(job_id)
        status, _ = self._call('DELETE', job_id)
        if status == 200:
            self._checker.record_cancel_acknowledged(job_id)

    def _poll(self):
        for job_id in list(self._unfinished_jobs):
            status, reply = self._call('GET', job_id)
            state = reply.get('state', '')
            self._checker.check_job_response(job_id, status, state)
            if state in END_STATES:
                self._unfinished_jobs.remove(job_id)
        self._stop_polling.wait(POLL_INTERVAL_S)


def _make_steps(rng):
    """Return the steps of a random job as a caller submits them."""
    step = {**STEP, 'estimate_ms': 300}
    steps = [{**step, 'count': rng.randint(1, 4)}]
    if rng.random() < 0.5:
        steps.append({**step, 'count': rng.randint(1, 3), 'after': [0]})
    return steps
