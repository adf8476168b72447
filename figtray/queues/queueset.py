"""Queued requests by queue, team and class, with bounds and deadlines."""

import collections
import dataclasses
import heapq
import itertools
import threading

from figtray import verdict

DEFAULT_MAX_BYTES = 256 * 1024 * 1024
# Run times that the estimate of a start looks back on, per pool and team.
SERVICE_SAMPLES = 64
# With fewer run times than this no request is refused by an estimate.
MIN_SERVICE_SAMPLES = 16
# The estimate uses this quantile of the recent run times. Sizes are wrong by
# up to ten times either way, so a mean would refuse requests that a few
# wrongly long tasks only seem to delay.
SERVICE_QUANTILE = 0.1
# Entries of removed requests that the deadline heap may hold besides as
# many as there are queued requests.
_HEAP_SLACK = 64


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A request that waits for its start.

    `item` is whatever the owner of the queue set needs with the request; it
    is not compared. Times are of this process's clock.
    """

    task_id: str
    queue: str
    pool: str
    team: str
    key_id: str
    urgent: bool
    enqueued_ms: int
    deadline_ms: int
    size_bytes: int
    attempt: int = 0
    item: object = dataclasses.field(default=None, compare=False, repr=False)


@dataclasses.dataclass(frozen=True)
class Waiting:
    """Numbers of requests of a team for a pool that could start now."""

    pool: str
    team: str
    urgent: int
    normal: int


class _Queue:
    """Bounds of a queue."""

    def __init__(self, pool, max_queued, ordered):
        self.pool = pool
        self.max_queued = max_queued
        self.ordered = ordered
        self.count = 0


class _Lane:
    """Requests of one queue, team and class in the order of their start."""

    def __init__(self, queue, team, urgent):
        self.queue = queue
        self.team = team
        self.urgent = urgent
        # The order is that of the start; a plain dict would take linear
        # time to find its first key after many removals at the front.
        self.requests = collections.OrderedDict()
        self.in_flight = 0
        # Task id -> attempts of it that may still run.
        self.doubtful = collections.Counter()

    def startable(self, ordered):
        if not ordered:
            return len(self.requests)
        if not self.requests or self.in_flight:
            return 0
        # The request itself may be tried again beside its doubtful attempt.
        return int(self.doubtful.keys() <= {next(iter(self.requests))})

    def is_used(self):
        return bool(self.in_flight or self.doubtful)


class QueueSet:
    """All queued requests of an entry.

    Each request is in one of three states: queued, taken (an attempt is
    under way) or gone. `take` hands out a request once; after it the owner
    calls `retry` or `ended` exactly once. Every request that leaves in
    another way is returned to the owner by exactly one call, so that each
    one is answered once.

    Thread safe by one lock.
    """

    def __init__(self, clock, max_bytes=DEFAULT_MAX_BYTES):
        """Create a set without queues.

        Args:
            clock: a Clock.
            max_bytes: bound of the bodies of all queued requests, in bytes.
        """
        self._clock = clock
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._queues = {}
        self._lanes = {}
        # (pool, team, urgent) -> lanes with queued requests.
        self._filled = {}
        self._queued = {}
        self._taken = {}
        self._cancelled = set()
        self._by_key = {}
        self._withdrawn = set()
        self._bytes = 0
        self._deadlines = []
        self._sequence = itertools.count()
        self._expired = []
        self._run_times = {}

    def configure(self, queue, pool, max_queued, ordered=False):
        """Add a queue or change it; queued requests stay.

        Args:
            queue: name of the queue.
            pool: pool on which its requests run.
            max_queued: largest number of queued requests.
            ordered: whether a request starts only after the one before it
                of the same team and class has ended.

        Returns:
            List of the queued QueuedRequests that had another pool.
        """
        with self._lock:
            state = self._queues.get(queue)
            if state is None:
                self._queues[queue] = _Queue(pool, max_queued, ordered)
                return []
            lanes = [ln for ln in self._lanes.values() if ln.queue == queue]
            for lane in lanes:
                self._unlist(lane)
            state.pool = pool
            state.max_queued = max_queued
            state.ordered = ordered
            moved = []
            for lane in lanes:
                self._list(lane)
                moved += [r for r in lane.requests.values() if r.pool != pool]
            for request in moved:
                self._replace(dataclasses.replace(request, pool=pool))
            return moved

    def in_current_pool(self, request):
        """Return a request with the pool that its queue has now."""
        with self._lock:
            queue = self._queues.get(request.queue)
            if queue is None or queue.pool == request.pool:
                return request
            return dataclasses.replace(request, pool=queue.pool)

    def add(self, request, slots=None):
        """Queue a request at the end of its lane.

        Args:
            request: the QueuedRequest.
            slots: number of slots that the team can count on at this entry.
                If given, a request is refused that could not be answered
                in time even if all before it were as short as the shortest
                tenth of the recent tasks.

        Returns:
            None, or the verdict.NotRun that refuses the request.

        Raises:
            ValueError: the task id is already queued or taken.
        """
        with self._lock:
            task_id = request.task_id
            if task_id in self._queued or task_id in self._taken:
                raise ValueError(f'task {task_id} is already queued')
            refusal = self._refusal(request)
            if refusal is not None:
                return refusal
            queue = self._queues[request.queue]
            if queue.count >= queue.max_queued:
                return _not_run('QUEUE_FULL', f'{queue.count} are queued')
            if self._bytes + request.size_bytes > self._max_bytes:
                return _not_run('QUEUE_FULL', 'the bodies exceed the memory')
            if slots is not None:
                left_ms = request.deadline_ms - self._clock.now_ms()
                needed_ms = self._estimate_ms(request, slots)
                if needed_ms > left_ms:
                    return _not_run(
                        'DEADLINE',
                        f'needs at least {needed_ms} ms of {left_ms} ms',
                    )
            self._insert(request, at_front=False)
            return None

    def retry(self, request):
        """Queue a taken request again, at the front of its lane.

        The bounds do not apply, as the request was admitted before.

        Returns:
            None, or the verdict.NotRun if the request was cancelled, its
            key was withdrawn, its queue was dropped or its deadline has
            passed. It is gone then.

        Raises:
            ValueError: the request is not taken.
        """
        with self._lock:
            self._release(request.task_id)
            if request.task_id in self._cancelled:
                self._cancelled.discard(request.task_id)
                return _not_run('CANCELLED')
            refusal = self._refusal(request)
            if refusal is None:
                self._insert(request, at_front=True)
            return refusal

    def ended(self, task_id, run_ms=None):
        """Note that a taken request needs no further attempt.

        Args:
            task_id: the task.
            run_ms: run time of the task if it ran, for later estimates.

        Raises:
            ValueError: the request is not taken.
        """
        with self._lock:
            request = self._release(task_id)
            self._cancelled.discard(task_id)
            if run_ms is not None:
                self._run_times.setdefault(
                    (request.pool, request.team),
                    collections.deque(maxlen=SERVICE_SAMPLES),
                ).append(run_ms)

    def hold(self, request):
        """Note that an attempt of a taken request may run beyond its end.

        Until release_hold(), no later request of an ordered queue starts
        after it.
        """
        with self._lock:
            self._lane_of(request).doubtful[request.task_id] += 1

    def release_hold(self, request):
        """Note that the attempt of hold() certainly runs no more."""
        with self._lock:
            doubtful = self._lane_of(request).doubtful
            doubtful[request.task_id] -= 1
            if not doubtful[request.task_id]:
                del doubtful[request.task_id]

    def take(self, pool, team, urgent):
        """Hand out the next request of a team and class.

        Of several queues, the one with the oldest request is served.

        Returns:
            The QueuedRequest, or None if none may start now.
        """
        with self._lock:
            self._collect_expired()
            lanes = [
                lane
                for lane in self._filled.get((pool, team, urgent), {}).values()
                if lane.startable(self._queues[lane.queue].ordered)
            ]
            if not lanes:
                return None
            lane = min(lanes, key=_oldest)
            request = next(iter(lane.requests.values()))
            self._remove(request.task_id)
            if request.pool != pool:
                request = dataclasses.replace(request, pool=pool)
            self._taken[request.task_id] = request
            lane.in_flight += 1
            return request

    def cancel(self, task_id):
        """Cancel a request.

        A taken request is not stopped, but its retry is refused.

        Returns:
            The QueuedRequest if it was queued; None if it was taken or is
            not known.
        """
        with self._lock:
            if task_id in self._taken:
                self._cancelled.add(task_id)
            if task_id not in self._queued:
                return None
            return self._remove(task_id)

    def expire(self):
        """Remove the requests whose deadline has passed.

        Returns:
            List of the QueuedRequests, by deadline.
        """
        with self._lock:
            self._collect_expired()
            expired, self._expired = self._expired, []
            return expired

    def next_deadline_ms(self):
        """Return the earliest deadline of a queued request, or None."""
        with self._lock:
            if self._expired:
                return self._expired[0].deadline_ms
            self._skip_removed()
            return self._deadlines[0][0] if self._deadlines else None

    def drop_key(self, key_id):
        """Remove the requests of a withdrawn key and refuse further ones.

        Returns:
            List of the QueuedRequests that were queued.
        """
        with self._lock:
            self._withdrawn.add(key_id)
            return [
                self._remove(task_id)
                for task_id in list(self._by_key.get(key_id, ()))
            ]

    def restore_key(self, key_id):
        """Admit requests of a key again that was withdrawn."""
        with self._lock:
            self._withdrawn.discard(key_id)

    def drop_queue(self, queue):
        """Remove a queue with its requests.

        Returns:
            List of the QueuedRequests that were queued.
        """
        with self._lock:
            lanes = [ln for ln in self._lanes.values() if ln.queue == queue]
            dropped = [
                self._remove(task_id)
                for lane in lanes
                for task_id in list(lane.requests)
            ]
            for lane in lanes:
                if not lane.is_used():
                    del self._lanes[lane.queue, lane.team, lane.urgent]
            self._queues.pop(queue, None)
            return dropped

    def drop_all(self):
        """Remove all requests, for example to hand them to a peer.

        Returns:
            List of the QueuedRequests that were queued.
        """
        with self._lock:
            return [self._remove(task_id) for task_id in list(self._queued)]

    def waiting(self):
        """Return a Waiting for each pool and team with work to start."""
        with self._lock:
            self._collect_expired()
            counts = {}
            for (pool, team, urgent), lanes in self._filled.items():
                startable = sum(
                    lane.startable(self._queues[lane.queue].ordered)
                    for lane in lanes.values()
                )
                if startable:
                    counts.setdefault((pool, team), {})[urgent] = startable
            return [
                Waiting(
                    pool, team, by_class.get(True, 0), by_class.get(False, 0)
                )
                for (pool, team), by_class in sorted(counts.items())
            ]

    def count(self, queue=None):
        """Return the number of queued requests, of one queue or of all."""
        with self._lock:
            if queue is None:
                return len(self._queued)
            state = self._queues.get(queue)
            return state.count if state else 0

    def size_bytes(self):
        """Return the bytes of the bodies of all queued requests."""
        with self._lock:
            return self._bytes

    def estimate_ms(self, request, slots):
        """Return the least time in ms until a new request is answered."""
        with self._lock:
            return self._estimate_ms(request, slots)

    def _refusal(self, request):
        if request.queue not in self._queues:
            return _not_run('UNKNOWN_QUEUE', request.queue)
        if request.key_id in self._withdrawn:
            return _not_run('KEY_REFUSED')
        if request.deadline_ms <= self._clock.now_ms():
            return _not_run('DEADLINE', 'the deadline has passed')
        return None

    def _estimate_ms(self, request, slots):
        queue = self._queues.get(request.queue)
        pool = queue.pool if queue else request.pool
        times = self._run_times.get((pool, request.team), ())
        if len(times) < MIN_SERVICE_SAMPLES:
            return 0
        run_ms = sorted(times)[int(len(times) * SERVICE_QUANTILE)]
        lane = self._lanes.get((request.queue, request.team, request.urgent))
        if queue is not None and queue.ordered:
            return run_ms * (1 + (len(lane.requests) if lane else 0))
        ahead = sum(
            len(other.requests)
            for urgent in {True, request.urgent}
            for other in self._filled.get(
                (pool, request.team, urgent), {}
            ).values()
        )
        return run_ms * (1 + ahead // max(1, slots))

    def _insert(self, request, at_front):
        key = (request.queue, request.team, request.urgent)
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = _Lane(*key)
        lane.requests[request.task_id] = request
        if at_front:
            lane.requests.move_to_end(request.task_id, last=False)
        self._list(lane)
        self._queued[request.task_id] = request
        self._by_key.setdefault(request.key_id, {})[request.task_id] = None
        self._queues[request.queue].count += 1
        self._bytes += request.size_bytes
        heapq.heappush(
            self._deadlines,
            (request.deadline_ms, next(self._sequence), request),
        )

    def _replace(self, request):
        """Change fields of a queued request that its order is not by."""
        task_id = request.task_id
        lane = self._lane_of(request)
        lane.requests[task_id] = self._queued[task_id] = request
        heapq.heappush(
            self._deadlines,
            (request.deadline_ms, next(self._sequence), request),
        )

    def _remove(self, task_id):
        request = self._queued.pop(task_id)
        key = (request.queue, request.team, request.urgent)
        lane = self._lanes[key]
        del lane.requests[task_id]
        if not lane.requests:
            self._unlist(lane)
        by_key = self._by_key[request.key_id]
        del by_key[task_id]
        if not by_key:
            del self._by_key[request.key_id]
        self._queues[request.queue].count -= 1
        self._bytes -= request.size_bytes
        if len(self._deadlines) > 2 * len(self._queued) + _HEAP_SLACK:
            self._deadlines = [
                entry
                for entry in self._deadlines
                if self._queued.get(entry[2].task_id) is entry[2]
            ]
            heapq.heapify(self._deadlines)
        return request

    def _release(self, task_id):
        request = self._taken.pop(task_id, None)
        if request is None:
            raise ValueError(f'task {task_id} is not taken')
        self._lane_of(request).in_flight -= 1
        return request

    def _lane_of(self, request):
        return self._lanes[request.queue, request.team, request.urgent]

    def _list(self, lane):
        if lane.requests:
            pool = self._queues[lane.queue].pool
            lanes = self._filled.setdefault((pool, lane.team, lane.urgent), {})
            lanes[lane.queue] = lane

    def _unlist(self, lane):
        key = (self._queues[lane.queue].pool, lane.team, lane.urgent)
        lanes = self._filled.get(key, {})
        lanes.pop(lane.queue, None)
        if not lanes:
            self._filled.pop(key, None)

    def _skip_removed(self):
        while self._deadlines:
            request = self._deadlines[0][2]
            if self._queued.get(request.task_id) is request:
                return
            heapq.heappop(self._deadlines)

    def _collect_expired(self):
        now_ms = self._clock.now_ms()
        self._skip_removed()
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            request = heapq.heappop(self._deadlines)[2]
            self._expired.append(self._remove(request.task_id))
            self._skip_removed()


def _oldest(lane):
    request = next(iter(lane.requests.values()))
    return request.enqueued_ms, lane.queue


def _not_run(reason, detail=''):
    return verdict.NotRun(verdict.RefusalReason[reason], detail)
