"""Stored roster, and the workers on which tasks may start."""

from figtray import metrics
from figtray.scheduling import roster as rosters
from figtray.scheduling import scheduler_base


class Enrolment(scheduler_base.SchedulerBase):
    """Keeps the roster, and allows starts on the workers that it names.

    A later leader finds there where tasks of this term may run, and waits
    for these incarnations. So one is on it only once it has reported.
    """

    def begin_adoption(self, roster, until_ms):
        """Hold tasks of earlier terms until their runs are known.

        Args:
            roster: the Roster of earlier leaders; each of its incarnations
                is unresolved until it reports or has ended.
            until_ms: local time in milliseconds after which all leases of
                earlier leaders have expired.
        """
        with self.lock:
            self._unresolved = set(roster.lives)
            self._adoption_until_ms = until_ms
            self._are_placements_known = roster.placements_recorded
            self._is_roster_complete = roster.complete
            self._last_roster = roster
            self._adopt_restarts(roster)

    def _adopt_restarts(self, roster):
        """Record what the last leader knew of restarts.

        Its orders were given until this term began.
        """
        began_ms = self._term.began_ms
        restarted = roster.restarted
        if restarted is None:
            restarted = roster.lives
            self._adoption_until_ms = max(
                self._adoption_until_ms,
                began_ms + self._restarts.longest_lease_ms,
            )
        for incarnation in restarted:
            self._restarts.note_lease(incarnation, began_ms)
        for incarnation in roster.ended:
            self._restarts.note_end(incarnation, -1, began_ms)

    def roster(self):
        """Return the Roster of the incarnations on which tasks may run.

        Adoption ends here if all leases of earlier leaders have expired.
        """
        with self.lock:
            now_ms = self._clock.now_ms()
            if not self._is_adopting(now_ms):
                self._end_adoption()
            lives = {
                incarnation: incarnation for incarnation in self._unresolved
            }
            for incarnation, worker_state in self._worker_states.items():
                if worker_state.has_reported:
                    lives[incarnation] = worker_state.proven_incarnation()
            holders = self._restarts.holders(now_ms)
            return rosters.Roster(
                tuple(sorted(lives.values())),
                self._are_placements_known,
                self._is_roster_complete,
                tuple(
                    sorted(lives[found] for found in holders if found in lives)
                ),
                self._restarts.ended(now_ms),
            )

    def _end_adoption(self):
        """Drop the incarnations that are still unresolved.

        Adopted runs are recorded, so by now all Placements are, whichever
        release the earlier leaders ran.
        """
        if self._unresolved:
            self._awaited_log.log_expiry(self._unresolved, self._worker_states)
            self._record_takeover(metrics.TakeoverPhase.ACCOUNTED)
        self._unresolved.clear()
        self._are_placements_known = True
        self._is_roster_complete = True

    def update_roster(self):
        """Queue a write of the roster if it has changed."""
        with self.lock:
            if self.roster() != self._last_roster:
                self._enqueue_roster()

    def handle_written(self):
        super().handle_written()
        self._admit_enrolled()

    def _enrol(self, worker_state):
        """Put a worker that has reported on the roster, at once.

        An unresolved one is on the stored roster already.
        """
        sequence = 0
        if worker_state.worker.incarnation not in self._unresolved:
            sequence = self._enqueue_roster()
        self._enrolled.append((sequence, worker_state))
        # Workers of a new roster are admitted once that is written.
        if not sequence:
            self._admit_enrolled()

    def _enqueue_roster(self):
        return self._writer.enqueue(
            rosters.ROSTER_KEY, self._encode_roster, urgent=True
        )

    def _encode_roster(self):
        with self.lock:
            self._last_roster = self.roster()
            return rosters.encode(self._last_roster)

    def _admit_enrolled(self):
        """Allow starts on the workers that the stored roster names.

        None is allowed before leases may be granted: it would be taken back.
        """
        with self.lock:
            if not self._enrolled or not self.lease_horizon.remaining_ms(
                self._clock.now_ms()
            ):
                return
            left = []
            for sequence, worker_state in self._enrolled:
                if self._writer.is_written(sequence, rosters.ROSTER_KEY):
                    worker_state.on_roster = True
                else:
                    left.append((sequence, worker_state))
            self._enrolled = left
        self.changed.set()
