"""Maintenance waves: draining of hosts and the start of their upkeep."""

import msgspec

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import model as fleet
from figtray.upkeep import wave_state

# After this time the upkeep of a host may begin although tasks other than
# lasting ones still run there.
MAX_DRAIN_MS = 6000
# Hosts that are drained in addition to max_down, so that their upkeep can
# begin as soon as other hosts return.
DRAIN_AHEAD_HOSTS = 2
# A lasting task that waits this long for room ends a drain without a bound of
# its own: of a host whose turn has not come, or of one with lasting tasks.
MAX_LASTING_WAIT_MS = 2000
# Such a host is not drained again for this time, and the others of its pool
# only when it is their turn.
POSTPONE_MS = 5000
# The host list may lag this much behind an accepted upkeep.
HOST_LIST_LAG_MS = 500
# Pause after the platform has refused an upkeep; doubled by each refusal.
REFUSED_PAUSE_MS = 250
MAX_REFUSED_PAUSE_MS = 1000
UPKEEP_REASON = 'upkeep'


class WaveRunner:
    """Carries out all waves during one term.

    Args:
        context: the TermContext.
        publish: called with (wave number, whether it is completed); has
            the writer store the status that operators see.
        records: mapping of wave number to its stored WaveRecord.
    """

    def __init__(self, context, publish, records):
        self._context = context
        self._scheduler = context.scheduler
        self._writer = context.writer
        self._clock = context.clock
        self._bounds = context.bounds
        self._orders = context.orders
        self._publish = publish
        self._records = records
        self._states = {}

    def reconcile(self, waves, listed):
        """Cordon and drain hosts and begin upkeeps; none of it is awaited.

        Args:
            waves: the Waves that operators have requested.
            listed: mapping of host id to its fleet Host.
        """
        pending = {}
        for wave in waves:
            record = self._records.get(wave.number, wave_state.WaveRecord())
            if not record.completed:
                state = self._get_state(wave, record)
                pending[wave.number] = self._cordon_hosts(state, listed)
        for number in self._states.keys() - pending.keys():
            self._release_hosts(self._states[number], listed)
        self._scheduler.set_upkeep_due(
            {
                host.worker_id
                for hosts in pending.values()
                for host in hosts
                if host.worker_id
            }
        )
        self._scheduler.set_cordoned(
            UPKEEP_REASON,
            {
                worker_id
                for state in self._states.values()
                for worker_id in state.worker_ids.values()
            },
        )
        for number, hosts in pending.items():
            self._begin_upkeeps(self._states[number], hosts)

    def _release_hosts(self, state, listed):
        """Drain no hosts for a wave that is completed or withdrawn."""
        self._remove_returned(state, listed, self._clock.now_ms())
        state.cordoned_ms.clear()
        self._prune_worker_ids(state)

    def _get_state(self, wave, record):
        state = self._states.get(wave.number)
        if state is None:
            state = wave_state.WaveState(
                wave, self._clock.now_ms(), dict.fromkeys(record.begun, 0), {}
            )
            # Upkeeps that an earlier leader has begun may still go on.
            state.down = dict.fromkeys(record.begun, self._clock.now_ms())
            self._states[wave.number] = state
            log.emit(
                catalogue.WAVE_SEEN,
                wave=wave.number,
                hosts=len(wave.host_ids),
                max_down=wave.max_down,
                duration_ms=wave.duration_ms,
                begun=len(record.begun),
            )
        state.wave = wave
        return state

    def _cordon_hosts(self, state, listed):
        """Choose the hosts to cordon.

        Returns:
            The listed Hosts whose upkeep has not begun.
        """
        now_ms = self._clock.now_ms()
        self._publish_status(state, completed=False)
        self._remove_returned(state, listed, now_ms)
        pending = [
            listed[host_id]
            for host_id in state.wave.host_ids
            if host_id in listed and host_id not in state.begun
        ]
        self._release_for_lasting_tasks(state, pending, now_ms)
        self._cordon_next(state, pending, now_ms)
        if not pending and not state.down:
            self._publish_status(state, completed=True)
        return pending

    def _begin_upkeeps(self, state, pending):
        """Drain cordoned hosts, and begin the upkeep of those drained."""
        now_ms = self._clock.now_ms()
        ready = [
            host
            for host in pending
            if host.host_id in state.cordoned_ms
            and state.refused_until_ms.get(host.host_id, 0) <= now_ms
            and self._drain_host(state, host, now_ms)
        ]
        ready = ready[: state.turns_left()]
        if ready and self._orders.record([h.host_id for h in ready]):
            for host in ready:
                self._begin_upkeep(state, host, now_ms)

    def _remove_returned(self, state, listed, now_ms):
        min_down_ms = self._bounds.upkeep_s * 1000 + HOST_LIST_LAG_MS
        for host_id, since_ms in list(state.down.items()):
            host = listed.get(host_id)
            if host is None or (
                host.state == fleet.HostState.UP
                and now_ms - since_ms >= min_down_ms
            ):
                del state.down[host_id]

    def _cordon_next(self, state, pending, now_ms):
        """Cordon up to DRAIN_AHEAD_HOSTS more hosts than may be down."""
        pending_ids = {host.host_id for host in pending}
        for host_id in list(state.cordoned_ms):
            if host_id not in pending_ids:
                del state.cordoned_ms[host_id]
        turns = state.wave.max_down - len(state.down) - len(state.cordoned_ms)
        costs = self._scheduler.drain_costs(
            {host.worker_id for host in pending}
        )
        candidates = sorted(
            (
                host
                for host in pending
                if host.host_id not in state.cordoned_ms
                and host.state == fleet.HostState.UP
                and state.postponed_until_ms.get(host.host_id, 0) <= now_ms
            ),
            key=lambda host: costs[host.worker_id],
        )
        for host in candidates:
            is_short = state.short_until_ms.get(host.pool, 0) > now_ms
            if turns + (0 if is_short else DRAIN_AHEAD_HOSTS) <= 0:
                continue
            turns -= 1
            state.cordoned_ms[host.host_id] = now_ms
            log.emit(
                catalogue.HOST_DRAINING,
                host=host.host_id,
                pool=host.pool,
                wave=state.wave.number,
                down=len(state.down),
            )
        for host in pending:
            if host.host_id in state.cordoned_ms and host.worker_id:
                state.worker_ids[host.host_id] = host.worker_id
        self._prune_worker_ids(state)

    def _release_for_lasting_tasks(self, state, pending, now_ms):
        """Uncordon a host that a lasting task waits for; see _is_bounded()."""
        hosts = {host.host_id: host for host in pending}
        for host_id in reversed(list(state.cordoned_ms)):
            host = hosts.get(host_id)
            if (
                host is None
                or self._is_bounded(state, host)
                or not self._scheduler.holds_up_lasting_task(
                    host.worker_id, MAX_LASTING_WAIT_MS
                )
            ):
                continue
            del state.cordoned_ms[host_id]
            state.postponed_until_ms[host_id] = now_ms + POSTPONE_MS
            state.short_until_ms[host.pool] = now_ms + POSTPONE_MS
            log.emit(
                catalogue.DRAIN_POSTPONED,
                host=host_id,
                pool=host.pool,
                wave=state.wave.number,
                down=len(state.down),
            )
            return

    def _is_bounded(self, state, host):
        """Return whether the drain of a cordoned host ends in MAX_DRAIN_MS."""
        on_turn = list(state.cordoned_ms)[: state.turns_left()]
        return (
            host.host_id in on_turn
            and not self._scheduler.has_lasting_tasks(host.worker_id)
        )

    def _prune_worker_ids(self, state):
        for host_id in list(state.worker_ids):
            if host_id not in state.cordoned_ms and host_id not in state.down:
                del state.worker_ids[host_id]

    def _drain_host(self, state, host, now_ms):
        """Drain a cordoned host and return whether its upkeep may begin.

        Lasting tasks are awaited without a time limit, others for at most
        MAX_DRAIN_MS, or until a lasting task has waited too long for the room
        of this host.
        """
        if host.state != fleet.HostState.UP:
            return False
        waited_ms = now_ms - state.cordoned_ms[host.host_id]
        if self._scheduler.drain_worker(host.worker_id):
            return True
        if self._scheduler.has_lasting_tasks(host.worker_id):
            return False
        return (
            waited_ms >= MAX_DRAIN_MS
            or self._scheduler.holds_up_lasting_task(
                host.worker_id, MAX_LASTING_WAIT_MS
            )
        )

    def _begin_upkeep(self, state, host, now_ms):
        if not self._context.term.valid():
            return
        if not self._order_upkeep(state, host, now_ms):
            return
        state.begun[host.host_id] = now_ms
        state.down[host.host_id] = now_ms
        self._scheduler.retire_idle_worker(
            host.worker_id, 'the upkeep of its host has begun'
        )
        log.emit(
            catalogue.UPKEEP_BEGUN,
            host=host.host_id,
            pool=host.pool,
            wave=state.wave.number,
            waited_ms=now_ms - state.cordoned_ms[host.host_id],
            begun=len(state.begun),
            of=len(state.wave.host_ids),
            down=len(state.down),
        )
        del state.cordoned_ms[host.host_id]
        self._store_record(state)

    def _order_upkeep(self, state, host, now_ms):
        """Order an upkeep, and return whether the platform has accepted it.

        If the reply is lost, the upkeep may have begun, so the host counts as
        down until the list shows it as up. The order is repeated for a host
        that is listed as up; the platform ignores it if the upkeep is done.
        """
        detail = 'refused by the platform'
        try:
            if self._context.begin_upkeep(host.host_id, state.wave.number):
                return True
            self._note_refusal(state, host, now_ms)
        except errors.CallNotSent as exc:
            detail = str(exc)
        except errors.ReplyLost as exc:
            state.down[host.host_id] = now_ms
            detail = str(exc)
        log.emit(catalogue.UPKEEP_REFUSED, host=host.host_id, detail=detail)
        return False

    def _note_refusal(self, state, host, now_ms):
        """Let other hosts go first for a while."""
        count = state.refusals.get(host.host_id, 0)
        state.refusals[host.host_id] = count + 1
        state.refused_until_ms[host.host_id] = now_ms + min(
            REFUSED_PAUSE_MS << min(count, 10), MAX_REFUSED_PAUSE_MS
        )

    def _store_record(self, state, completed=False):
        record = wave_state.WaveRecord(tuple(sorted(state.begun)), completed)
        self._records[state.wave.number] = record
        self._writer.enqueue(
            f'{wave_state.RECORD_PREFIX}{state.wave.number}',
            lambda: msgspec.json.encode(self._records[state.wave.number]),
        )

    def _publish_status(self, state, completed):
        status = 'completed' if completed else 'running'
        if state.published in (status, 'completed'):
            return
        state.published = status
        self._publish(state.wave.number, completed)
        if completed:
            self._store_record(state, completed=True)
            log.emit(
                catalogue.WAVE_COMPLETED,
                wave=state.wave.number,
                duration_ms=self._clock.now_ms() - state.first_seen_ms,
            )
