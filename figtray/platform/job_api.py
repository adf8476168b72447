"""HTTP API through which callers submit, read and cancel jobs."""

import re

import msgspec

from figtray import channels
from figtray import decoding
from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import intake as intakes
from figtray.jobs import limits
from figtray.jobs import model
from figtray.jobs import ownership
from figtray.jobs import policies
from figtray import listener

JOB_ID_PATTERN = re.compile(r'[0-9a-f]{16}')
MAX_PAYLOAD_BYTES = 4000
MAX_DEADLINE_DIGITS = 9
# Part of the caller's time limit that is kept for sending the response.
RESPONSE_RESERVE_MS = 150
MIN_STORE_CALL_MS = 100
RETRY_AFTER_S = 1
READY_PATH = '/api/ready'


class _Step(msgspec.Struct, frozen=True):
    """A step in the JSON of a submission."""

    count: int
    cpu: int = 0  # thousandths of a core
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ''
    affinity: str = ''  # rack of the data
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    # Limit of a latency-sensitive task's response times, not of its run time.
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    def to_step(self):
        """Return the model.Step with the same content."""
        return model.Step(
            count=self.count,
            needs=model.Resources(self.cpu, self.mem_mb, self.gpu),
            estimate_ms=self.estimate_ms,
            after=self.after,
            checkpoints=self.checkpoints,
            gang=self.gang,
            same_rack=self.same_rack,
            label=self.requires,
            data_rack=self.affinity,
            max_per_worker=self.max_per_server,
            copies=self.speculative,
            lasting=self.long_running,
            image=self.image,
            tail_limit_ms=self.target_ms,
            fills=self.fills,
            may_be_away=self.may_miss,
        )


class _Submission(msgspec.Struct, frozen=True):
    """A job in the JSON of a submission; `spec` is its payload."""

    spec: str
    steps: tuple[_Step, ...]
    repeats: int = 0
    start_ms: int = 0
    interval_ms: int = 0


# Fields of a step, mapped to those of a submission.
_PLATFORM_NAMES = {
    'needs': 'cpu/mem_mb/gpu',
    'tail_limit_ms': 'target_ms',
    'max_per_worker': 'max_per_server',
    'may_be_away': 'may_miss',
}


class _RequestError(Exception):
    """A request that is answered with an error before any store call."""

    def __init__(self, status, reason):
        super().__init__(reason)
        self.status = status
        self.reason = reason


class _Refused(Exception):
    """A submission that is refused for want of room.

    Args:
        result: the Intake's Result.
    """

    def __init__(self, result):
        super().__init__(result.detail)
        self.reason = result.detail
        self.retry_after_s = result.retry_after_s


_submission_decoder = msgspec.json.Decoder(_Submission)


class JobApi:
    """WSGI application that serves callers.

    Args:
        view: the OperatorView.
        intake: the Intake.
        clock: the Clock.
        metrics: the Metrics.
    """

    def __init__(self, view, intake, clock, metrics):
        self._view = view
        self._intake = intake
        self._clock = clock
        self._metrics = metrics

    def __call__(self, environ, start_response):
        began_ms = self._clock.now_ms()
        cfg = self._view.config()
        method = environ['REQUEST_METHOD']
        queue, job_id, retry_after_s = None, '', RETRY_AFTER_S
        try:
            queue, job_id = self._find_queue(cfg, environ)
            team = self._authenticate(cfg, queue, environ)
            status, body, reason = self._dispatch(
                method, cfg, queue, job_id, team, environ
            )
        except _RequestError as exc:
            reason = exc.reason
            status, body = exc.status, {'error': reason}
        except _Refused as exc:
            reason, retry_after_s = exc.reason, exc.retry_after_s
            status, body = 429, {'error': 'no room'}
            self._metrics.count_refused_job(queue.name)
        except errors.StoreUnavailable as exc:
            reason = f'store unavailable: {exc}'
            status, body = 503, {'error': 'the store does not answer'}
        except errors.UnreadableMessage as exc:
            # It is neither unknown nor can its state be told.
            reason = f'unreadable record: {exc}'
            status, body = 503, {
                'error': 'the record of the job is unreadable'
            }
        except Exception as exc:
            log.emit_exception(f'{method} {job_id}', exc)
            reason = type(exc).__name__
            status, body = 500, {'error': 'internal error'}
        duration_ms = self._clock.now_ms() - began_ms
        queue_name = queue.name if queue else ''
        self._metrics.record_call(queue_name, method, status, duration_ms)
        log.emit(
            catalogue.CALL_ANSWERED,
            job_id=job_id,
            queue=queue_name,
            method=method,
            status=status,
            reason=reason,
            config=cfg.version if cfg else None,
            proof_age_ms=self._view.staleness_ms(),
            duration_ms=duration_ms,
        )
        headers = []
        if status in (429, 503):
            headers.append(('Retry-After', str(retry_after_s)))
        return listener.json_response(start_response, status, body, headers)

    def _find_queue(self, cfg, environ):
        """Return the Queue and the rest of the path, which is the job id.

        Raises:
            _RequestError: there is no configuration, no such queue, or an
                outdated configuration lacks the queue.
        """
        if cfg is None:
            raise _RequestError(503, 'no configuration yet')
        host = environ.get('HTTP_HOST', '').partition(':')[0]
        path = environ['PATH_INFO']
        queue = cfg.find_queue(host, path)
        if queue is None:
            self._check_view_is_fresh()
            raise _RequestError(404, 'no such queue')
        return queue, path[len(queue.prefix) :]

    def _authenticate(self, cfg, queue, environ):
        """Return the name of the caller's team.

        It is empty on an open queue without a key. A key that is sent has to
        be valid there as well: a withdrawn one gives no rights anywhere.

        Raises:
            _RequestError: the key is unknown or can't be checked.
        """
        scheme, _, key = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
        has_key = scheme.lower() == 'token'
        if queue.open and not has_key:
            return ''
        team = cfg.team_of_key(key.strip()) if has_key else None
        # The key may have been withdrawn since the view was confirmed.
        self._check_view_is_fresh()
        if team is None:
            raise _RequestError(401, 'unknown key')
        return team

    def _check_view_is_fresh(self):
        if not self._view.is_fresh():
            raise _RequestError(503, 'the configuration may be outdated')

    def _dispatch(self, method, cfg, queue, job_id, team, environ):
        """Return the status, the body and the reason that is logged."""
        place = ownership.place_of(cfg, queue)
        if not job_id and method == 'GET':
            count = self._intake.count_waiting(
                place.queue, self._store_timeout_ms(environ)
            )
            return 200, {'pending': count}, 'counted'
        if not JOB_ID_PATTERN.fullmatch(job_id):
            raise _RequestError(404, 'no such job id')
        match method:
            case 'POST':
                return self._submit(cfg, place, job_id, team, environ)
            case 'GET':
                return self._read_state(place, job_id, team, environ)
            case 'DELETE':
                return self._cancel(place, job_id, team, environ)
        raise _RequestError(405, 'method not allowed')

    def _submit(self, cfg, place, job_id, team, environ):
        submission = _parse_submission(environ)
        job = model.Job(
            queue=place.queue,
            team=team,
            payload=submission.spec,
            steps=tuple(step.to_step() for step in submission.steps),
            repeats=submission.repeats,
            start_ms=submission.start_ms,
            interval_ms=submission.interval_ms,
            accepted_ms=self._clock.wall_ms(),
            host=place.host,
            prefix=place.prefix,
            queue_policy=policies.of_queue(cfg, place.queue),
            team_policy=policies.of_team(cfg, team),
        )
        if problem := limits.problem(job):
            raise _RequestError(400, _in_platform_names(problem))
        result = self._intake.submit(
            job_id, job, self._store_timeout_ms(environ), place
        )
        if result.outcome == intakes.Outcome.REFUSED:
            raise _Refused(result)
        return _describe_result(result)

    def _read_state(self, place, job_id, team, environ):
        state = self._intake.state(
            job_id, self._store_timeout_ms(environ), team, place
        )
        if state is None:
            return 410, {'error': 'no such job'}, 'unknown'
        return 200, {'state': state.value}, state.value

    def _cancel(self, place, job_id, team, environ):
        return _describe_result(
            self._intake.cancel(
                job_id, team, self._store_timeout_ms(environ), place
            )
        )

    def _store_timeout_ms(self, environ):
        """Return the timeout of a store call in milliseconds.

        It is derived from the caller's time limit; None if the caller sent
        no valid one, so that the default of the store's client applies.
        """
        text = environ.get('HTTP_X_FIGTRAY_DEADLINE_MS', '')
        if not (text.isascii() and text.isdecimal()):
            return None
        # A longer time than any call takes.
        if len(text) > MAX_DEADLINE_DIGITS:
            return None
        return max(MIN_STORE_CALL_MS, int(text) - RESPONSE_RESERVE_MS)


class ReadinessApp:
    """WSGI application that answers the load balancer's probes.

    Args:
        unready_reason: returns why this node should get no requests, or ''.
    """

    def __init__(self, unready_reason):
        self._unready_reason = unready_reason

    def __call__(self, environ, start_response):
        if environ['PATH_INFO'] != READY_PATH:
            return listener.json_response(
                start_response, 404, {'error': 'no such page'}
            )
        reason = self._unready_reason()
        return listener.json_response(
            start_response, 503 if reason else 200, {'reason': reason}
        )


def _describe_result(result):
    """Return the status, the body and the logged reason of a write.

    Args:
        result: the Intake's result of a submission or cancellation.
    """
    match result.outcome:
        case intakes.Outcome.STORED | intakes.Outcome.EXISTS:
            return 200, {}, result.outcome.value
        case intakes.Outcome.UNKNOWN_JOB:
            return 410, {'error': 'no such job'}, result.detail
        case intakes.Outcome.ID_TAKEN:
            return 409, {'error': 'the id is taken'}, result.detail
        case intakes.Outcome.NOT_STORED:
            return 503, {'error': 'not stored'}, result.detail
    return 504, {'error': 'may have been stored'}, result.detail


def _in_platform_names(problem):
    for field, name in _PLATFORM_NAMES.items():
        problem = problem.replace(f'.{field}:', f'.{name}:')
    return problem


def _parse_submission(environ):
    """Return the _Submission of a request's body.

    Raises:
        _RequestError: the body is malformed, or its payload too large, or
            there is no room for its parsed form.
    """
    body = environ['wsgi.input'].read()
    take_room = environ.get(channels.TAKE_ROOM)
    if take_room is not None and not take_room(body):
        # An earlier attempt may have stored it.
        raise _RequestError(504, 'no room for this request')
    try:
        submission = decoding.decode(
            'unreadable job', _submission_decoder, body
        )
    except errors.UnreadableMessage as exc:
        raise _RequestError(400, str(exc)) from exc
    if len(submission.spec.encode()) > MAX_PAYLOAD_BYTES:
        raise _RequestError(400, f'spec: over {MAX_PAYLOAD_BYTES} bytes')
    return submission
