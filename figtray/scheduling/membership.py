"""Configuration, zones and workers, as far as they are known."""

from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import model as fleet
from figtray.scheduling import book
from figtray.scheduling import state


class Membership(book.Book):
    """Configuration, zones and workers, as far as they are known."""

    def configure(self, cfg, evacuated):
        """Take over a configuration and the zones out of service.

        Args:
            cfg: the queues.Config.
            evacuated: names of the zones.
        """
        with self.lock:
            evacuated = frozenset(evacuated)
            if evacuated != self._evacuated:
                log.emit(
                    catalogue.ZONES_OUT_OF_SERVICE, zones=sorted(evacuated)
                )
            self._evacuated = evacuated
            if cfg is self._cfg:
                return
            self._cfg = cfg
            for job in self._jobs.values():
                job.queue = cfg.queues.get(job.spec.queue, job.queue)

    def await_workers(self, lives, until_ms):
        """Hold back old jobs until workers have reported.

        Args:
            lives: lives of the workers on which earlier leaders may have
                started tasks.
            until_ms: local time at which whatever ran there has ended.
        """
        with self.lock:
            self._unaccounted = set(lives)
            self._adoption_ends_ms = until_ms

    def lives_in_use(self):
        """Return the lives on which tasks may run, in order."""
        with self.lock:
            if not self._adopting(self._clock.now_ms()):
                self._unaccounted.clear()
            return tuple(sorted({*self._places, *self._unaccounted}))

    def set_workers_expected(self, expected):
        """Note whether new workers are about to be listed."""
        self.workers_expected = expected

    def allow_starts(self, lives):
        """Allow starts on workers that a later leader would know of."""
        with self.lock:
            for life in lives:
                if life in self._places:
                    self._places[life].on_roster = True
        self.changed.set()

    def sync_workers(self, workers, trust_absence):
        """Take over the list of workers.

        Args:
            workers: iterable of fleet Workers.
            trust_absence: whether a worker that is missing is gone.

        Returns:
            The new WorkerStates.
        """
        added = []
        with self.lock:
            listed = {worker.incarnation: worker for worker in workers}
            self._forget_past_lives()
            for life, worker in listed.items():
                if life in self._past_lives:
                    continue
                place = self._places.get(life)
                if place is None:
                    place = state.WorkerState(worker)
                    self._places[life] = place
                    added.append(place)
                    log.emit(
                        catalogue.WORKER_SEEN,
                        worker=worker.worker_id,
                        born_ms=worker.born_ms,
                        pool=worker.pool,
                        zone=worker.zone,
                        host=worker.host_id,
                        address=worker.address,
                    )
                elif worker.draining and not place.worker.draining:
                    log.emit(
                        catalogue.WORKER_DRAINING,
                        worker=worker.worker_id,
                        runs=len(place.runs),
                    )
                place.worker = worker
                place.listed = True
            latest = _latest_births(listed.values())
            for life in list(self._unaccounted):
                if latest.get(life.worker_id, 0) > life.born_ms or (
                    latest.get(life.address, 0) > life.born_ms
                ):
                    self._account_for(life, 'a later life is listed')
            for life, place in list(self._places.items()):
                if life in listed:
                    continue
                if latest.get(life.worker_id, 0) > life.born_ms or (
                    latest.get(life.address, 0) > life.born_ms
                ):
                    self._life_over(place, 'a later life is listed')
                elif not place.listed and not place.runs:
                    self._life_over(place, 'it left')
                elif trust_absence and place.listed:
                    place.listed = False
                    log.emit(
                        catalogue.WORKER_UNLISTED,
                        worker=place.worker.worker_id,
                        runs=len(place.runs),
                    )
                    place.wake.set()
        self.changed.set()
        return added

    def _forget_past_lives(self):
        now_ms = self._clock.now_ms()
        for life, until_ms in list(self._past_lives.items()):
            if until_ms <= now_ms:
                del self._past_lives[life]

    def reconcile_hosts(self, listed):
        """End the lives of workers that their hosts have left behind.

        A list that lags shows an earlier life, which ends nothing. A host
        that is said to be down may only be cut off, and counts for nothing.

        Args:
            listed: mapping of host id to its fleet Host.
        """
        with self.lock:
            for life in list(self._unaccounted):
                host = listed.get(life.host_id)
                if _has_left(life, host):
                    self._account_for(
                        life,
                        f'its host is {host.state.value} in {host.pool} '
                        f'with worker {host.worker_id!r}',
                    )
            for life, place in list(self._places.items()):
                if not place.listed and _has_left(
                    life, listed.get(life.host_id)
                ):
                    self._life_over(place, 'its host has another worker')
        self.changed.set()

    def retire_idle_worker(self, worker_id, reason):
        """Note that a worker has ended by a move or upkeep of its host.

        The platform also accepts what was done before, and then ends
        nothing; so runs are given up by other evidence only.
        """
        with self.lock:
            place = self._by_id(worker_id)
            if place is not None and not place.runs:
                self._life_over(place, reason)

    def life_over(self, place, reason):
        """Note that a life of a worker has ended with all its runs."""
        with self.lock:
            self._life_over(place, reason)
        self.changed.set()


def _has_left(life, host):
    """Tell whether a host certainly runs a life of a worker no more."""
    if host is None:
        return False
    if host.state in (fleet.HostState.MOVING, fleet.HostState.UPKEEP):
        return True
    if host.state != fleet.HostState.UP:
        return False
    return host.pool != life.pool or (
        host.worker_id != '' and host.worker_id != life.worker_id
    )


def _latest_births(workers):
    """Return the latest birth at each id and each address."""
    latest = {}
    for worker in workers:
        for place in (worker.worker_id, worker.address):
            latest[place] = max(latest.get(place, 0), worker.born_ms)
    return latest
