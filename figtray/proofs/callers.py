"""Callers under test and their log of what they were told."""

import collections
import dataclasses
import json
import random
import threading

from figtray.load import caller as caller_lib
from figtray.proofs import deployment

ANSWERED = 'answered'
NOT_RUN = 'not_run'
MAY_HAVE_RUN = 'may_have_run'
# The connection broke after it was accepted, or the answer is pending.
UNKNOWN = 'unknown'
# Answer of the worker stand-in instead of the echo.
LEASE_ENDED = b'the task lease ended'
DEADLINE_MS = 4000
BACKOFF_S = 0.05
MAX_TRIES = 4
PENDING_MS = 1000


@dataclasses.dataclass
class Request:
    """One request with what its caller was told, try by try."""

    mark: str
    team: str
    queue: str
    idempotent: bool
    key: str = ''
    sent_ms: int = 0
    told_ms: int = 0
    told: list = dataclasses.field(default_factory=list)
    details: list = dataclasses.field(default_factory=list)
    echo: bytes | None = None


@dataclasses.dataclass(frozen=True)
class Kind:
    """What one group of callers sends.

    Attributes:
        team: name of the team, for the log.
        secret: key that is presented; '' on an open queue.
        queue: name of the queue.
        run_ms: (shortest, longest) run time.
        callers: number of callers, spread over the entries.
        keyed: send an idempotency key, and repeat after any failure.
        idempotent: declare requests idempotent.
        pause_s: longest pause between two requests of a caller.
        deadline_ms: deadline of each request.
    """

    team: str
    secret: str
    queue: str
    run_ms: tuple = (20, 200)
    callers: int = deployment.ENTRIES
    keyed: bool = False
    idempotent: bool = False
    pause_s: float = 0.05
    deadline_ms: int = DEADLINE_MS


class Load:
    """Callers that send requests through all entries until they are stopped.

    Args:
        fleet: the Deployment.
        kinds: the Kind of each group of callers.
        balancer: function that returns the indices of the entries to use;
            None lets each caller use its own entry first.
    """

    def __init__(self, fleet, kinds, balancer=None):
        self._fleet = fleet
        self._balancer = balancer
        self._stop = threading.Event()
        self.requests = []
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(kind, f'{number}.{i}', i % deployment.ENTRIES),
                daemon=True,
            )
            for number, kind in enumerate(kinds)
            for i in range(kind.callers)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def told(self):
        """Count what callers were told in the end, by verdict."""
        return collections.Counter(
            request.told[-1] for request in self.requests if request.told
        )

    def _run(self, kind, name, entry):
        rng = random.Random(name)
        # One caller per entry: which entry is next is decided here.
        conns = [caller_lib.Caller([item]) for item in self._fleet.callers]
        number = 0
        while not self._stop.is_set():
            number += 1
            mark = f'{name}.{number}.{deployment.CLOCK.now_ms()}'
            request = Request(
                mark, kind.team, kind.queue, kind.idempotent, kind.secret
            )
            self.requests.append(request)
            self._send(conns, kind, request, rng, entry)
            self._stop.wait(rng.uniform(0, kind.pause_s))
        for caller in conns:
            caller.close()

    def _send(self, conns, kind, request, rng, entry):
        body = json.dumps(
            {'echo': request.mark, 'run_ms': rng.randint(*kind.run_ms)}
        ).encode()
        headers = {'Deadline-Ms': str(kind.deadline_ms)}
        headers['Idempotent'] = 'true' if kind.idempotent else 'false'
        if kind.secret:
            headers['Authorization'] = f'Bearer {kind.secret}'
        if kind.keyed:
            headers['Idempotency-Key'] = request.mark
        request.sent_ms = deployment.CLOCK.now_ms()
        while True:
            told = NOT_RUN
            # A refused connection is tried elsewhere; nothing was sent.
            for passed in range(deployment.ENTRIES):
                if self._balancer:
                    entry = rng.choice(self._balancer())
                try:
                    told = self._try(
                        conns[entry], kind, headers, body, request
                    )
                    break
                except caller_lib.NotConnected:
                    entry = (entry + 1) % deployment.ENTRIES
            request.told_ms = deployment.CLOCK.now_ms()
            request.told.append(told)
            # A keyed request may be repeated whatever became of it.
            if told == ANSWERED or not kind.keyed:
                break
            if len(request.told) == MAX_TRIES or self._stop.is_set():
                break
            entry = rng.randrange(deployment.ENTRIES)
            self._stop.wait(BACKOFF_S)

    @staticmethod
    def _try(caller, kind, headers, body, request):
        path = f'/v1/queues/{kind.queue}/tasks'
        try:
            answer, _, _ = caller.call(
                0, 'POST', path, headers, body, kind.deadline_ms
            )
        except caller_lib.Broken as exc:
            request.details.append(str(exc))
            return UNKNOWN
        if answer.status == 202 and kind.secret:
            path = f'{answer.headers["location"]}?wait_ms={PENDING_MS}'
            return Load._fetch(caller, path, headers, request)
        return Load._told(answer, request)

    @staticmethod
    def _fetch(caller, path, headers, request):
        """Ask for the outcome of a request that was answered as pending."""
        try:
            answer, _, _ = caller.call(
                0, 'GET', path, headers, timeout_ms=PENDING_MS
            )
        except (caller_lib.NotConnected, caller_lib.Broken) as exc:
            request.details.append(str(exc))
            return UNKNOWN
        return Load._told(answer, request)

    @staticmethod
    def _told(answer, request):
        if answer.headers.get('verdict') == ANSWERED:
            request.echo = answer.body
            request.details.append(answer.status)
            return ANSWERED
        request.details.append(answer.problem or answer.status)
        return (answer.problem or {}).get('verdict', UNKNOWN)


def mixed(fleet, **changes):
    """Return the kinds of a steady mixed load of four teams."""
    keys = fleet.keys
    return [
        Kind('alpha', keys['alpha'], 'front', **changes),
        Kind('alpha', keys['alpha'], 'back', **changes),
        Kind('beta', keys['beta'], 'back', **changes),
        Kind('gamma', keys['gamma'], 'front', **changes),
        Kind('walk-in', '', 'open', **changes),
    ]


def warm_up(fleet, zones=deployment.ZONES):
    """Wait until every team's tasks and every zone's hosts are in use."""
    since_ms = deployment.CLOCK.now_ms()
    wanted = {*zones, *deployment.LIMITS}

    def in_use():
        starts = fleet.starts(since_ms)
        return wanted <= {e[f] for e in starts for f in ('zone', 'team')}

    with Load(fleet, mixed(fleet)):
        deployment.wait_for(in_use, 'starts in all zones, of all teams')


def check_verdicts(requests, log):
    """Compare what callers were told with what the workers started.

    Args:
        requests: the Requests, all of them ended.
        log: the worker log that covers them.

    Returns:
        Counter of the verdicts.

    Raises:
        AssertionError: a verdict is not true, or a request ran twice.
    """
    starts = collections.Counter(
        mark_of(entry) for entry in log if entry['event'] == 'start'
    )
    leases_ended = {
        mark_of(entry) for entry in log if entry['outcome'] == 'lease'
    }
    faults = []
    counts = collections.Counter()
    for request in requests:
        ran = starts[request.mark]
        counts[request.told[-1]] += 1
        if ran > 1 and not request.idempotent:
            faults.append(f'{ran} starts: {request}')
        if ran and set(request.told) == {NOT_RUN}:
            faults.append(f'refused as not run, {ran} starts: {request}')
        if request.told[-1] == ANSWERED:
            if ran == 0:
                faults.append(f'answered without a start: {request}')
            expected = request.mark.encode()
            if request.mark in leases_ended:
                expected = LEASE_ENDED
            if request.echo != expected:
                faults.append(f'another answer: {request}')
    assert not faults, '\n'.join([str(len(faults)), *faults[:5]])
    return counts


def mark_of(entry):
    """Return the mark of the request that a worker log entry is about."""
    try:
        return json.loads(entry['body'])['echo']
    except (ValueError, KeyError):
        return None
