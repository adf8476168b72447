"""Log of the incarnations of workers that a takeover awaits."""

from figtray.events import catalogue
from figtray.events import log

# Least time after which the awaited incarnations are named again.
NAMING_INTERVAL_MS = 2000
# Most incarnations that are named at a time.
MAX_NAMED = 10
# Logged as the state of a host that the host list lacks.
ABSENT = 'absent'
# Reasons of the end of the wait, as logged.
ALL_ACCOUNTED = 'all incarnations are accounted for'
LEASES_ENDED = 'the longest lease has ended'


class AwaitedLog:
    """Names the awaited incarnations of one term in the log.

    The caller holds the scheduler's lock.
    """

    def __init__(self):
        self._hosts = {}
        self._named_ms = None

    def note_hosts(self, incarnations, listed):
        """Keep what the host list tells of the awaited incarnations.

        Args:
            incarnations: the awaited Incarnations.
            listed: mapping of host id to its fleet Host.
        """
        self._hosts = {
            incarnation.host_id: listed.get(incarnation.host_id)
            for incarnation in incarnations
            if incarnation.host_id
        }

    def name_if_due(self, incarnations, worker_states, now_ms, leases_end_ms):
        """Name the incarnations, at most each NAMING_INTERVAL_MS.

        Args:
            incarnations: the awaited Incarnations.
            worker_states: mapping of Incarnation to its WorkerState.
            now_ms: local time.
            leases_end_ms: returns the local time at which an Incarnation
                has no lease any more.
        """
        if not incarnations or (
            self._named_ms is not None
            and now_ms - self._named_ms < NAMING_INTERVAL_MS
        ):
            return
        self._named_ms = now_ms
        self._name(
            incarnations,
            worker_states,
            lambda incarnation: max(0, leases_end_ms(incarnation) - now_ms),
        )

    def log_expiry(self, incarnations, worker_states):
        """Log that the wait has ended by time.

        Args:
            incarnations: the Incarnations that were awaited to the end.
            worker_states: mapping of Incarnation to its WorkerState.
        """
        self._name(incarnations, worker_states, lambda _: 0)
        log.emit(
            catalogue.WORKERS_ACCOUNTED,
            reason=LEASES_ENDED,
            left=len(incarnations),
        )

    def log_all_accounted(self):
        """Log that no incarnation is awaited any more."""
        log.emit(catalogue.WORKERS_ACCOUNTED, reason=ALL_ACCOUNTED, left=0)

    def _name(self, incarnations, worker_states, left_ms):
        # Those without an entry first, as only the others can still report.
        ordered = sorted(
            (_is_listed(worker_states.get(incarnation)), incarnation)
            for incarnation in incarnations
        )
        for listed, incarnation in ordered[:MAX_NAMED]:
            worker_state = worker_states.get(incarnation)
            host_state, host_worker = self._describe_host(incarnation)
            log.emit(
                catalogue.INCARNATION_AWAITED,
                worker=incarnation.worker_id,
                born_ms=incarnation.born_ms,
                pool=incarnation.pool,
                host=incarnation.host_id,
                address=incarnation.address,
                listed=listed,
                host_state=host_state,
                host_worker=host_worker,
                report_error=worker_state.report_error if worker_state else '',
                left_ms=left_ms(incarnation),
                unnamed=max(0, len(ordered) - MAX_NAMED),
            )

    def _describe_host(self, incarnation):
        """Return (state, worker id) of a host, both empty if unknown."""
        if incarnation.host_id not in self._hosts:
            return '', ''
        host = self._hosts[incarnation.host_id]
        if host is None:
            return ABSENT, ''
        return host.state.value, host.worker_id


def _is_listed(worker_state):
    return worker_state is not None and worker_state.listed
