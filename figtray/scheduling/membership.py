"""Configuration, zones out of service and workers of the scheduler."""

import dataclasses

from figtray import decoding
from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import model as fleet
from figtray.jobs import model
from figtray.scheduling import ends
from figtray.scheduling import job_policies
from figtray.scheduling import places
from figtray.scheduling import worker_ends

# A single refused connection may be a fault of the network.
REFUSALS_TO_END = 2
# The pages of the host list are not one snapshot, so a single list may lack
# a host.
HOST_LOST_TO_END_MS = 500


class Membership(
    job_policies.JobPolicies, worker_ends.WorkerEnds, places.Places
):
    """Keeps the configuration, the zones out of service and the workers."""

    def configure(self, cfg, evacuated_zones):
        """Apply a configuration and the zones out of service.

        Args:
            cfg: the queues.Config.
            evacuated_zones: names of the zones out of service.
        """
        with self.lock:
            evacuated_zones = frozenset(evacuated_zones)
            if evacuated_zones != self._evacuated_zones:
                log.emit(
                    catalogue.ZONES_OUT_OF_SERVICE,
                    zones=sorted(evacuated_zones),
                )
            self._evacuated_zones = evacuated_zones
            if cfg is not self._newest_cfg:
                self._use_config(cfg)

    def set_workers_expected(self, expected):
        """Set whether new workers will be listed soon."""
        self.workers_expected = expected

    def sync_workers(self, workers, trust_absence):
        """Apply the list of workers in the store.

        Args:
            workers: iterable of fleet Workers.
            trust_absence: whether a worker without an entry counts as
                unlisted, so that nothing is started there.

        Returns:
            The new WorkerStates: those of new entries, of unresolved
            incarnations without an entry, which may still run tasks, and of
            those that have answered for an earlier one.
        """
        with self.lock:
            self._prune_ended_incarnations()
            listed = {
                worker.incarnation: worker
                for worker in self._with_known_places(workers)
            }
            self._settle_places(listed.values())
            added = self._add_listed(listed)
            self._end_followed()
            self._handle_missing_entries(listed, trust_absence)
            added += self._add_unlisted()
            added += self._without_session
            self._without_session = []
        self.changed.set()
        return added

    def _with_known_places(self, workers):
        """Yield the Workers, each at the place at which it has answered.

        One life of a worker keeps its address, host and pool. An entry that
        says otherwise has another writer; the next heartbeat replaces it.
        """
        known = {
            (incarnation.worker_id, incarnation.born_ms): incarnation
            for incarnation in self._answered_incarnations()
        }
        for worker in workers:
            incarnation = known.get((worker.worker_id, worker.born_ms))
            if incarnation in (None, worker.incarnation):
                yield worker
                continue
            entry = f'entry of worker {worker.worker_id}'
            detail = f'its address, host or pool is not {incarnation}'
            self._odd_entries.note(entry, decoding.unreadable(entry, detail))
            yield dataclasses.replace(
                worker,
                address=incarnation.address,
                host_id=incarnation.host_id,
                pool=incarnation.pool,
            )

    def _answered_incarnations(self):
        """Yield the incarnations that have answered a leader."""
        for incarnation in self._unresolved:
            # The rosters of early releases lack the pool.
            if incarnation.pool:
                yield incarnation
        for incarnation, worker_state in self._worker_states.items():
            if worker_state.has_reported and not worker_state.is_place_assumed:
                yield incarnation

    def _add_listed(self, listed):
        """Apply the listed workers; return the WorkerStates of new ones."""
        added = []
        for incarnation, worker in listed.items():
            if incarnation in self._ended_incarnations:
                continue
            worker_state = self._worker_states.get(incarnation)
            if worker_state is None:
                worker_state = self._new_worker_state(worker)
                added.append(worker_state)
                _log_seen(worker)
            elif worker.draining and not worker_state.worker.draining:
                log.emit(
                    catalogue.WORKER_DRAINING,
                    worker=worker.worker_id,
                    runs=len(worker_state.runs),
                )
            worker_state.set_worker(worker)
            if worker_state.has_reported or incarnation in self._unresolved:
                self._note_capacity(worker.capacity)
            worker_state.listed = True
        if added:
            self._note_listed_followers(added)
        return added

    def _handle_missing_entries(self, listed, trust_absence):
        """Apply that workers have no entry; see sync_workers()."""
        for incarnation, worker_state in list(self._worker_states.items()):
            if incarnation in listed:
                continue
            if incarnation in self._unresolved:
                # It has not reported, so it may run tasks.
                worker_state.listed = False
            elif not worker_state.listed and not worker_state.runs:
                self._end_incarnation(
                    worker_state,
                    ends.End(ends.Kind.UNKNOWN, 'it has no entry and no runs'),
                )
                # Its entry returns if it was only cut off from the store.
                self._ended_incarnations.pop(incarnation)
            elif trust_absence and worker_state.listed:
                worker_state.listed = False
                log.emit(
                    catalogue.WORKER_UNLISTED,
                    worker=worker_state.worker.worker_id,
                    runs=len(worker_state.runs),
                )
                worker_state.wake.set()

    def _add_unlisted(self):
        """Add and return a WorkerState for each unresolved incarnation."""
        added = []
        for incarnation in self._unresolved:
            if incarnation not in self._worker_states:
                worker_state = self._new_worker_state(
                    _unlisted_worker(incarnation)
                )
                worker_state.listed = False
                worker_state.is_place_assumed = not incarnation.pool
                added.append(worker_state)
        return added

    def _prune_ended_incarnations(self):
        now_ms = self._clock.now_ms()
        for incarnation, until_ms in list(self._ended_incarnations.items()):
            if until_ms <= now_ms:
                del self._ended_incarnations[incarnation]

    def reconcile_hosts(self, listed):
        """End the incarnations that their hosts certainly run no more.

        The list may lag and names no incarnations, so a host that is up in
        the same pool with the same worker id, or none, ends nothing. A worker
        that is silent or refuses connections may be cut off while its runs go
        on, so the list must also show that its host does not run it. If it is
        silent, it must also have no entry.

        Args:
            listed: mapping of host id to its fleet Host.
        """
        with self.lock:
            for incarnation in list(self._unresolved):
                worker_state = self._worker_states.get(incarnation)
                if worker_state is not None and worker_state.listed:
                    continue
                host = listed.get(incarnation.host_id)
                if _has_left_host(incarnation, host):
                    self._resolve_incarnation(
                        incarnation,
                        f'its host is {host.state.value} in {host.pool} '
                        f'with worker {host.worker_id!r}',
                        ends.kind_on_host(worker_state, incarnation, host),
                    )
            for host in listed.values():
                self._note_capacity(host.capacity)
            self._awaited_log.note_hosts(self._unresolved, listed)
            for worker_state in list(self._worker_states.values()):
                _note_host(worker_state, listed, self._clock.now_ms())
                end = _find_end(worker_state, listed, self._clock.now_ms())
                if end is not None:
                    self._end_incarnation(worker_state, end)
            self._end_followed()
        self.changed.set()

    def retire_idle_worker(self, worker_id, reason):
        """End a worker without runs after a move or upkeep of its host.

        The platform also accepts an order that it has carried out before,
        and then ends nothing. So a worker with runs stays: otherwise its
        tasks would start a second time while their first runs go on.
        """
        with self.lock:
            worker_state = self._find_worker(worker_id)
            if worker_state is not None and not worker_state.runs:
                self._end_incarnation(
                    worker_state, ends.End(ends.Kind.REASSIGNED, reason)
                )

    def end_superseded(self, worker_state, reason):
        """Record that another incarnation has answered for a worker."""
        with self.lock:
            self._end_incarnation(
                worker_state,
                ends.of_process(worker_state, reason, answered=True),
            )
        self.changed.set()


def _note_host(worker_state, listed, now_ms):
    """Record whether a host list has the host of a worker, and not as lost."""
    host_id = worker_state.worker.host_id
    # An empty list is taken for a fault of the host service.
    if not listed or not host_id:
        return
    host = listed.get(host_id)
    worker_state.host_seen |= host is not None
    worker_state.on_host = (
        host is not None and host.worker_id == worker_state.worker.worker_id
    )
    if host is not None and not _is_down(host):
        worker_state.host_lost_since_ms = None
    elif worker_state.host_lost_since_ms is None:
        worker_state.host_lost_since_ms = now_ms


def _find_end(worker_state, listed, now_ms):
    """Return the End of an incarnation that has certainly ended, or None.

    Args:
        worker_state: its WorkerState.
        listed: mapping of host id to its fleet Host.
        now_ms: local time.
    """
    incarnation = worker_state.proven_incarnation()
    host = listed.get(incarnation.host_id)
    if not worker_state.listed and _has_left_host(incarnation, host):
        return ends.on_host(worker_state, host, 'its host has another worker')
    refuses = worker_state.refused_connections >= REFUSALS_TO_END
    if refuses and host and not _may_run_on_host(incarnation, host):
        return ends.on_host(
            worker_state,
            host,
            'it refuses connections and its host does not run it',
        )
    lost_since_ms = worker_state.host_lost_since_ms
    if lost_since_ms is None or now_ms - lost_since_ms < HOST_LOST_TO_END_MS:
        return None
    if host is None and refuses:
        return ends.End(
            ends.Kind.HOST_LOST,
            'it refuses connections and its host has left the list',
        )
    # The list may lag, so a new host may be missing from it for a while.
    was_host_seen = host is None and worker_state.host_seen
    if worker_state.unresponsive and (
        was_host_seen or not worker_state.listed
    ):
        return ends.End(
            ends.Kind.HOST_LOST,
            'it is silent and its host is down or has left the list',
        )
    return None


def _is_down(host):
    return host.state == fleet.HostState.DOWN and not host.worker_id


def _may_run_on_host(incarnation, host):
    if host.state == fleet.HostState.UNKNOWN:
        return True
    return host.state == fleet.HostState.UP and host.worker_id in (
        '',
        incarnation.worker_id,
    )


def _has_left_host(incarnation, host):
    """Return whether a host certainly runs an incarnation no more."""
    if host is None:
        return False
    if host.state in (fleet.HostState.MOVING, fleet.HostState.UPKEEP):
        return True
    if host.state != fleet.HostState.UP:
        return False
    return incarnation.pool not in ('', host.pool) or (
        host.worker_id != '' and host.worker_id != incarnation.worker_id
    )


def _log_seen(worker):
    log.emit(
        catalogue.WORKER_SEEN,
        worker=worker.worker_id,
        born_ms=worker.born_ms,
        pool=worker.pool,
        zone=worker.zone,
        host=worker.host_id,
        address=worker.address,
    )


def _unlisted_worker(incarnation):
    """Return the Worker of an incarnation that has no entry."""
    return fleet.Worker(
        worker_id=incarnation.worker_id,
        born_ms=incarnation.born_ms,
        address=incarnation.address,
        pool=incarnation.pool,
        zone='',
        labels=(),
        capacity=model.NO_RESOURCES,
        host_id=incarnation.host_id,
    )
