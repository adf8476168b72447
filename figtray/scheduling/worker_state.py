"""State of one incarnation of a worker, as the leader knows it."""

import dataclasses
import queue
import threading

from figtray.jobs import model
from figtray.jobs import records
from figtray.scheduling import leases


@dataclasses.dataclass(frozen=True)
class StrayRuns:
    """Runs that a worker lists and the leader does not track.

    Attributes:
        count: number of the runs.
        needs: Resources that they occupy.
        unknown: whether the needs of some are unknown.
        unreadable: whether some can't be told from those that it tracks.
    """

    count: int = 0
    needs: model.Resources = model.NO_RESOURCES
    unknown: bool = False
    unreadable: bool = False


class OrderQueue(queue.SimpleQueue):
    """Queue of orders for one worker.

    Attributes:
        on_put: called without arguments after each put(), with locks held.
    """

    def __init__(self):
        self.on_put = lambda: None

    def put(self, order):
        super().put(order)
        self.on_put()

    def take(self):
        """Return the next order; None if there is none."""
        try:
            return self.get_nowait()
        except queue.Empty:
            return None


class Wake(threading.Event):
    """Event that also calls `on_set`, with locks held, when it is set."""

    def __init__(self):
        super().__init__()
        self.on_set = lambda: None

    def set(self):
        super().set()
        self.on_set()


class WorkerState:
    """One incarnation of a worker, with its runs.

    Attributes:
        worker: the fleet Worker.
        fence: the fencing token of all orders for it. Later incarnations have
            higher ones, and refuse the orders for this one.
        runs: mapping of task name to its Run.
        used: Resources that the runs occupy; see occupied().
        has_reported: whether it has reported in the present term.
        is_fence_new: whether no earlier incarnation under its id has its
            fence.
        has_seen_fence: whether it has answered a request with its fence.
        follows_another: whether it may have executed orders that were meant
            for an earlier incarnation under its id.
        on_roster: whether the stored roster has it, so that a later leader
            knows that tasks may run on it.
        listed: whether its entry is in the store.
        is_place_assumed: whether its pool is that of an earlier incarnation,
            as it was found by a report and its entry was not seen yet.
        unresponsive: whether the last request for a report failed; its lease
            is not extended then, so that the end of the lease is known.
        is_doubted: whether another incarnation has answered for it since its
            last report.
        silent_since_ms: local time of the first failed request for a report
            since the last report; None if the last one was answered.
        answered_again_ms: local time of the first report after the last
            silence; its ends may be older.
        report_error: why the last request for a report failed; empty if it
            was answered.
        all_listed_ms: local time of the last request that was answered by a
            list of all runs; None if none was.
        gone: whether this incarnation has ended.
        cordon_reasons: why no task may start on it; empty if tasks may.
        cordon_reason: the same in one string.
        trial: the trials.Trial for which it is kept free of other starts;
            None if there is none.
        upkeep_due: whether its host has an upkeep ahead.
        avoid_until_ms: local time until which no task is started on it.
        rest_until_ms: the same, as its host has crashed again and again.
        up_since_ms: local time of its start; None before its first report.
        seen_end: number of the last end that was recorded.
        acknowledged: number of the last end that is stored.
        sent_acknowledged: number of the last end that the worker has
            certainly forgotten.
        clock_ms: the worker's clock in its last report; None before that.
        clock_read_ms: local time at which that report arrived.
        lease_until_ms: latest end of the lease, on the worker's clock, that
            the worker may have been asked for.
        unchecked_until_ms: local time until which a later incarnation that
            got orders for this one, unseen, may hold a lease; 0 if none may.
        requested_lease_ms: end of the lease in the request for a report that
            is under way; 0 if there is none.
        refused_connections: number of refused connections in a row.
        host_seen: whether a host list of this term has had its host.
        on_host: whether the last host list shows it on its host.
        host_lost_since_ms: local time since which the host lists lack its
            host, or show it down without a worker; None if the last one
            doesn't.
        unanswered_starts: number of starts in a row that got no reply.
        room_refusals: number of starts in a row that it refused for want of
            room.
        strays: for each stray run, the local time of the last order to stop
            it.
        stray_runs: the StrayRuns in its last report.
        orders: OrderQueue of orders that its session sends.
        wake: the Wake that lets its session request a report.
        failures: number of failed runs since a task was last done.
        failed_jobs: ids of the jobs of these runs.
    """

    def __init__(self, worker, fence=0):
        self.worker = worker
        self.fence = fence
        self.runs = {}
        self.used = model.NO_RESOURCES
        self.has_reported = False
        self.is_fence_new = True
        self.has_seen_fence = False
        self.follows_another = False
        self.on_roster = False
        self.listed = True
        self.is_place_assumed = False
        self.unresponsive = False
        self.is_doubted = False
        self.silent_since_ms = None
        self.answered_again_ms = 0
        self.report_error = ''
        self.all_listed_ms = None
        self.gone = False
        self.cordon_reasons = frozenset()
        self.cordon_reason = ''
        self.trial = None
        self.upkeep_due = False
        self.avoid_until_ms = 0
        self.rest_until_ms = 0
        self.up_since_ms = None
        self.seen_end = 0
        self.acknowledged = 0
        self.sent_acknowledged = 0
        self.clock_ms = None
        self.clock_read_ms = None
        self.lease_until_ms = 0
        self.unchecked_until_ms = 0
        self.requested_lease_ms = 0
        self.refused_connections = 0
        self.host_seen = False
        self.on_host = False
        self.host_lost_since_ms = None
        self.unanswered_starts = 0
        self.room_refusals = 0
        self.strays = {}
        self.stray_runs = StrayRuns()
        self.orders = OrderQueue()
        self.wake = Wake()
        self.failed_jobs = set()
        self.failures = 0

    def set_cordoned(self, reason, cordoned):
        """Set whether the worker is cordoned for a reason."""
        reasons = self.cordon_reasons - {reason}
        if cordoned:
            reasons |= {reason}
        self.cordon_reasons = reasons
        self.cordon_reason = ', '.join(sorted(reasons))

    def set_worker(self, worker):
        """Set the Worker that its entry describes.

        A worker whose capacity has changed may have room again.
        """
        if worker.capacity != self.worker.capacity and self.room_refusals:
            self.room_refusals = 0
            self.avoid_until_ms = 0
        self.worker = worker

    @property
    def host_key(self):
        """Id of its host, or its address if it has none."""
        return self.worker.host_id or self.worker.address

    def proven_incarnation(self):
        """Return its Incarnation, without a pool that is only assumed."""
        incarnation = self.worker.incarnation
        if self.is_place_assumed:
            return incarnation._replace(pool='')
        return incarnation

    def placement(self, unsure=False):
        """Return the records.Placement of a run on this incarnation."""
        return records.Placement(
            self.worker.worker_id, self.worker.born_ms, unsure
        )

    def worker_clock(self, now_ms):
        """Return the least time on the worker's clock; None if unknown.

        It is late if anything, so that no lease lasts longer than meant.
        """
        if self.clock_ms is None:
            return None
        passed_ms = (now_ms - self.clock_read_ms) * leases.SLOWEST_CLOCK_RATE
        return self.clock_ms + int(passed_ms)

    def up_ms(self, at_ms):
        """Return for how long it has been up at a local time, or None.

        Its own clock may begin anywhere.
        """
        if self.up_since_ms is None:
            return None
        return max(0, at_ms - self.up_since_ms)

    def next_acknowledged(self):
        """Return the number of the last end that the worker may forget now.

        It is 0 unless the last request was answered and the worker has ends
        to forget: numbers begin anew in each incarnation, and a later one
        under the same id would forget ends that nobody has seen.
        """
        if self.unresponsive or self.acknowledged <= self.sent_acknowledged:
            return 0
        return self.acknowledged

    def extend_lease(self, lease_until_ms):
        """Record that the worker may have been asked for a longer lease."""
        self.lease_until_ms = max(self.lease_until_ms, lease_until_ms)

    def counted_lease_ms(self):
        """Return how long its lease may last after its last report."""
        if self.clock_ms is None:
            return 0
        return max(0, self.lease_until_ms - self.clock_ms)

    def settle_requested_lease(self, was_sent):
        """Record whether the request for a report under way was sent.

        One that was certainly not sent has not extended the lease.
        """
        if was_sent:
            self.extend_lease(self.requested_lease_ms)
        self.requested_lease_ms = 0

    def is_lease_over(self, now_ms, slowest_rate, margin_ms):
        """Return whether the lease on the worker has certainly expired.

        Args:
            now_ms: local time.
            slowest_rate: rate of the slowest possible clock of a worker.
            margin_ms: safety margin in milliseconds.
        """
        if self.clock_ms is None:
            return False
        passed_ms = (now_ms - self.clock_read_ms) * slowest_rate
        return self.clock_ms + passed_ms > self.lease_until_ms + margin_ms

    def free_resources(self):
        """Return the Resources that no run with known needs occupies."""
        return self.worker.capacity - self.used - self.stray_runs.needs

    def is_overloaded(self):
        """Return whether the runs may occupy more than the capacity."""
        return self.stray_runs.unknown or not self.free_resources().covers(
            model.NO_RESOURCES
        )


# What is known of an incarnation whatever its place is.
_FIELDS_OF_PROCESS = (
    'has_reported',
    'is_fence_new',
    'has_seen_fence',
    'follows_another',
    'unresponsive',
    'is_doubted',
    'silent_since_ms',
    'report_error',
    'rest_until_ms',
    'up_since_ms',
    'all_listed_ms',
    'seen_end',
    'acknowledged',
    'sent_acknowledged',
    'clock_ms',
    'clock_read_ms',
    'lease_until_ms',
    'unchecked_until_ms',
    'refused_connections',
    'stray_runs',
)


def at_place(worker_state, worker):
    """Return a WorkerState of the same incarnation at another place.

    Args:
        worker_state: the WorkerState, whose runs and orders are left out.
        worker: the fleet Worker that has the place.
    """
    placed = WorkerState(worker, worker_state.fence)
    for field in _FIELDS_OF_PROCESS:
        setattr(placed, field, getattr(worker_state, field))
    # The answer to a request that is under way is not applied any more.
    placed.extend_lease(worker_state.requested_lease_ms)
    return placed
