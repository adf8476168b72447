"""Places of incarnations that were found by a report, before their entries.

A report proves the id, the start time and the address of a worker. Its pool is
assumed to be that of the incarnation before it, until its entry names one.
"""

from figtray.scheduling import enrolment
from figtray.scheduling import hand_over
from figtray.scheduling import state
from figtray.scheduling import worker_orders
from figtray.scheduling import worker_state as worker_state_lib


class Places(hand_over.HandOver, enrolment.Enrolment):
    """Moves incarnations with an assumed place to that of their entries."""

    def _settle_places(self, workers):
        """Apply the places that entries name.

        Args:
            workers: the listed fleet Workers.
        """
        assumed = {
            (incarnation.worker_id, incarnation.born_ms): incarnation
            for incarnation in self._assumed_incarnations()
        }
        if not assumed:
            return
        for worker in workers:
            found = assumed.get((worker.worker_id, worker.born_ms))
            if found is not None and found.address == worker.address:
                self._settle_place(found, worker)

    def _assumed_incarnations(self):
        """Yield the incarnations whose places are not known."""
        for incarnation in self._unresolved:
            if not incarnation.pool:
                yield incarnation
        for incarnation, worker_state in self._worker_states.items():
            if worker_state.is_place_assumed:
                yield incarnation

    def _settle_place(self, incarnation, worker):
        worker_state = self._worker_states.get(incarnation)
        if incarnation == worker.incarnation:
            worker_state.is_place_assumed = False
            return
        if incarnation in self._unresolved:
            self._unresolved.discard(incarnation)
            self._unresolved.add(worker.incarnation)
        if incarnation in self._with_unread_ends:
            self._with_unread_ends.discard(incarnation)
            self._with_unread_ends.add(worker.incarnation)
        self._restarts.rename(incarnation, worker.incarnation)
        if worker_state is not None:
            self._replace(worker_state, worker)

    def _replace(self, worker_state, worker):
        """Keep the WorkerState of an incarnation under another place."""
        placed = worker_state_lib.at_place(worker_state, worker)
        # A single entry may have another writer.
        placed.is_place_assumed = True
        del self._worker_states[worker_state.worker.incarnation]
        self._worker_states[worker.incarnation] = placed
        self._without_session.append(placed)
        if not placed.is_fence_new:
            self._with_old_fences.append(placed)
        if placed.has_reported:
            self._enrol(placed)
        for run in list(worker_state.runs.values()):
            self._hand_over(run, placed, 'its entry names another place')
            if run.phase == state.Phase.STOPPING:
                placed.orders.put(worker_orders.Stop(run))
            elif run.phase == state.Phase.STARTING and run.sent_ms is None:
                # Its order is left out.
                self._revert_start(run)
        worker_state.gone = True
        worker_state.orders.put(None)
        worker_state.wake.set()
