"""Ends of workers, and what they resolve about earlier terms."""

import itertools

from figtray.events import catalogue
from figtray.events import log
from figtray import metrics
from figtray.scheduling import births
from figtray.scheduling import ends
from figtray.scheduling import scheduler_base
from figtray.scheduling import task_suspects


class WorkerEnds(task_suspects.TaskSuspects):
    """Records the ends of workers, and with them those of their runs."""

    def _end_incarnation(self, worker_state, end, later=None):
        """Record that an incarnation has ended, and with it its runs.

        Args:
            worker_state: its WorkerState.
            end: the ends.End.
            later: WorkerState of a later incarnation under its id, which
                gets the runs that it may have been ordered to start; None if
                there is none.
        """
        if worker_state.gone:
            return
        worker_state.gone = True
        worker = worker_state.worker
        log.emit(
            catalogue.WORKER_GONE,
            worker=worker.worker_id,
            born_ms=worker.born_ms,
            runs=len(worker_state.runs),
            kind=end.kind.value,
            reason=end.reason,
        )
        if self._metrics:
            self._metrics.count_worker_end(end.kind.value)
        suspects = ()
        if end.kind == ends.Kind.CRASHED:
            self._note_host_crash(worker_state)
            suspects = self._suspect_runs(worker_state)
        if later is not None:
            self._hand_over_uncertain(worker_state, later)
        for run in list(worker_state.runs.values()):
            self._mark_lost(run, 'its worker is gone')
        for task in suspects:
            self._give_up_if_guilty(task)
        self._worker_states.pop(worker.incarnation, None)
        now_ms = self._clock.now_ms()
        self._ended_incarnations[worker.incarnation] = (
            now_ms + scheduler_base.ENDED_INCARNATION_TTL_MS
        )
        if end.kind != ends.Kind.REASSIGNED:
            self._restarts.note_end(
                worker.incarnation, worker_state.fence, now_ms
            )
        self._resolve_incarnation(worker.incarnation, end.reason, end.kind)
        self._end_unread(worker.incarnation)
        worker_state.orders.put(None)
        worker_state.wake.set()

    def _note_host_crash(self, worker_state):
        """Record that a worker has crashed; the next one there may rest."""
        host_id = worker_state.host_key
        self._crashed_hosts.note_crash(
            host_id, self._clock.now_ms(), worker_state.clock_read_ms
        )
        if not self._crashed_hosts.rest_ms(host_id, self._clock.now_ms()):
            return
        for other in self._worker_states.values():
            if other.up_since_ms is not None and other.host_key == host_id:
                self._rest(other)

    def _note_up_since(self, worker_state):
        """Record since when a worker that has just reported has been up.

        The time of day of its host may differ, so the end of the worker
        before it counts as well.
        """
        now_ms, host_id = self._clock.now_ms(), worker_state.host_key
        up_ms = max(0, self._clock.wall_ms() - worker_state.worker.born_ms)
        most_ms = self._crashed_hosts.most_up_ms(host_id, now_ms)
        if most_ms is not None:
            up_ms = min(up_ms, most_ms)
        worker_state.up_since_ms = now_ms - up_ms

    def _rest(self, worker_state):
        """Start nothing for a while on a host that crashes again and again.

        Its next crash then costs no task anything, and speaks against none.

        Args:
            worker_state: the WorkerState, which has reported.
        """
        now_ms, host_id = self._clock.now_ms(), worker_state.host_key
        rest_ms = self._crashed_hosts.rest_ms(host_id, now_ms)
        left_ms = rest_ms - worker_state.up_ms(now_ms)
        if worker_state.gone or left_ms <= 0:
            return
        worker_state.rest_until_ms = now_ms + left_ms
        log.emit(
            catalogue.WORKER_RESTS,
            worker=worker_state.worker.worker_id,
            host=host_id,
            crashes=self._crashed_hosts.crashes_in_row(host_id, now_ms),
            left_ms=left_ms,
        )

    def _resolve_incarnation(self, incarnation, reason, kind=None):
        """Record that the runs on an incarnation are known or over.

        Args:
            incarnation: the Incarnation.
            reason: what the leader has seen.
            kind: the ends.Kind of its end; None if it goes on.
        """
        if incarnation not in self._unresolved:
            return
        self._unresolved.discard(incarnation)
        log.emit(
            catalogue.LIFE_ACCOUNTED,
            worker=incarnation.worker_id,
            born_ms=incarnation.born_ms,
            reason=reason,
            left=len(self._unresolved),
        )
        self._note_if_accounted()
        if kind in (ends.Kind.CRASHED, ends.Kind.UNKNOWN):
            self._suspect_placed(incarnation, kind)

    def _end_unread(self, incarnation):
        """Record that no ends of earlier terms are unread there."""
        if incarnation in self._with_unread_ends:
            self._with_unread_ends.discard(incarnation)
            self._note_if_accounted()

    def _note_if_accounted(self):
        """Log and measure that no runs of earlier terms are awaited."""
        if (
            not self._unresolved
            and not self._with_unread_ends
            and self._is_roster_complete
        ):
            self._awaited_log.log_all_accounted()
            self._record_takeover(metrics.TakeoverPhase.ACCOUNTED)

    def _end_followed_by(self, worker_state):
        """End the earlier incarnations that a first report proves gone."""
        worker = worker_state.worker
        for found in itertools.chain(self._worker_states, self._unresolved):
            if found.born_ms < worker.born_ms and (
                found.worker_id == worker.worker_id
                or found.address == worker.address
                or found.host_id == worker.host_id
            ):
                self._end_followed()
                return

    def _end_followed(self):
        """End the incarnations that a later one has followed.

        An entry alone proves nothing, as another writer may have put it
        there: the later one must have reported under its start time. Its host
        is known only from the host list.
        """
        latest = births.latest_births(self._worker_states.values())
        reason = 'a later incarnation has reported'
        for incarnation in [*self._worker_states, *self._unresolved]:
            worker_state = self._worker_states.get(incarnation)
            if not latest.follow(incarnation, not _may_answer(worker_state)):
                continue
            if worker_state is not None:
                self._end_incarnation(
                    worker_state,
                    ends.of_process(worker_state, reason),
                    self._find_later(worker_state),
                )
            else:
                self._resolve_incarnation(
                    incarnation, reason, ends.Kind.UNKNOWN
                )


def _may_answer(worker_state):
    """Return whether no request has failed since the last answer."""
    return worker_state is not None and not worker_state.unresponsive
