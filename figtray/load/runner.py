"""Sender of the planned requests at their times, in a few threads."""

import json
import threading

from figtray.load import caller as caller_lib
from figtray.load import results as results_lib
from figtray.load import schedule


class Runner:
    """One run of the load.

    Requests are due at their planned times whatever happened to the ones
    before (open loop). If all threads are busy, a request is sent late and
    its latency still counts from the intended time. A request that could
    not be sent before its deadline or the end of the run is counted as
    unsent, with the time it has waited.
    """

    def __init__(self, cfg, clock):
        """Plan a run.

        Args:
            cfg: LoadSettings.
            clock: a Clock.
        """
        self._cfg = cfg
        self._clock = clock
        self._planned = schedule.plan(cfg)
        self._next = 0
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._start_ms = 0
        self.results = results_lib.Results()

    def run(self):
        """Send everything and wait for the answers.

        Returns:
            The Results. The run takes duration_ms and at most the longest
            deadline with its margin in addition.
        """
        for planned in self._planned:
            team = self._cfg.teams[planned.load].team
            self.results.planned(team, planned.urgent)
        self._start_ms = self._clock.now_ms()
        count = min(self._cfg.threads, max(1, len(self._planned)))
        threads = [
            threading.Thread(target=self._send_all, name=f'caller-{number}')
            for number in range(count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self.results

    def stop(self):
        """End the run early; what is not sent yet counts as unsent."""
        self._stop.set()

    def _send_all(self):
        caller = caller_lib.Caller(self._cfg.entries)
        try:
            while (planned := self._take()) is not None:
                self._send(caller, planned)
        finally:
            caller.close()

    def _take(self):
        with self._lock:
            if self._next >= len(self._planned):
                return None
            self._next += 1
            return self._planned[self._next - 1]

    def _send(self, caller, planned):
        load = self._cfg.teams[planned.load]
        due_ms = self._start_ms + planned.at_ms
        # A keyed request may be repeated after the end of the run.
        end_ms = (
            self._start_ms
            + self._cfg.duration_ms
            + (load.deadline_ms if planned.is_repeat else 0)
        )
        self._clock.wait(self._stop, due_ms - self._clock.now_ms())
        delay_ms = max(0, self._clock.now_ms() - due_ms)
        left_ms = int(load.deadline_ms - delay_ms)
        if (
            self._stop.is_set()
            or left_ms <= 0
            or self._clock.now_ms() > end_ms
        ):
            self.results.unsent(load.team, planned.urgent, 'unsent', delay_ms)
            return
        try:
            answer = self._exchange(caller, planned, load, left_ms, delay_ms)
        except caller_lib.NotConnected:
            waited_ms = self._clock.now_ms() - due_ms
            self.results.unsent(
                load.team, planned.urgent, 'not_connected', waited_ms
            )
            return
        except caller_lib.Broken:
            total_ms = self._clock.now_ms() - due_ms
            self.results.broken(load.team, planned.urgent, total_ms)
            return
        total_ms = self._clock.now_ms() - due_ms
        self.results.received(
            load.team, planned.urgent, planned, answer, total_ms
        )

    def _exchange(self, caller, planned, load, left_ms, delay_ms):
        """Submit a request and follow it to its end or its deadline."""
        headers = _headers(planned, load, left_ms)
        self.results.attempted(load.team, planned.urgent, delay_ms)
        wait_ms = 0 if planned.cancelled else left_ms
        entry = hash((planned.at_ms, planned.load)) % len(self._cfg.entries)
        answer, entry, passed_over = caller.call(
            entry,
            'POST',
            f'/v1/queues/{load.queue}/tasks',
            headers | {'Prefer': f'wait={wait_ms}'},
            _body(planned, load),
            wait_ms,
        )
        self.results.count_passed_over(passed_over)
        end_ms = self._clock.now_ms() + left_ms
        auth = {k: v for k, v in headers.items() if k == 'Authorization'}
        path = answer.headers.get('location', '')
        if planned.cancelled and answer.status == 202 and path:
            self._clock.wait(self._stop, load.cancel_after_ms)
            self._follow(caller, entry, 'DELETE', path, auth, 0)
        while answer.status == 202 and path:
            wait_ms = int(end_ms - self._clock.now_ms())
            if wait_ms <= 0 or self._stop.is_set():
                break
            answer = self._follow(
                caller,
                entry,
                'GET',
                f'{path}?wait_ms={wait_ms}',
                auth,
                wait_ms,
            )
        return answer

    @staticmethod
    def _follow(caller, entry, method, path, headers, wait_ms):
        try:
            return caller.call(
                entry, method, path, headers, timeout_ms=wait_ms
            )[0]
        except caller_lib.NotConnected as exc:
            # The request itself was sent before.
            raise caller_lib.Broken('no entry accepts connections') from exc


def _headers(planned, load, left_ms):
    headers = {
        'Content-Type': 'application/json',
        'Deadline-Ms': str(left_ms),
        'Idempotent': 'true' if planned.idempotent else 'false',
        'Urgent': 'true' if planned.urgent else 'false',
    }
    if load.key:
        headers['Authorization'] = f'Bearer {load.key}'
    if planned.keyed:
        headers['Idempotency-Key'] = planned.token
    return headers


def _body(planned, load):
    fields = {'token': planned.token, 'work_ms': load.work_ms, 'pad': ''}
    fields['pad'] = '.' * (load.body_bytes - len(json.dumps(fields)))
    return json.dumps(fields).encode()
