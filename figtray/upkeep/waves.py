"""Maintenance waves: which host is emptied and handed over next."""

import dataclasses

import msgspec

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import model as fleet

RECORD_PREFIX = 'wave/'
# A host that still has short tasks after this time is handed over anyway.
LONGEST_DRAIN_MS = 6000
# Hosts that are emptied while as many as allowed are down already.
DRAIN_AHEAD = 2
# The host list may lag behind an accepted upkeep.
LIST_LAG_MS = 500
UPKEEP_REASON = 'upkeep'


class WaveRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored state of a wave.

    Attributes:
        begun: hosts whose upkeep has begun.
        completed: whether operators were told that all are done.
    """

    begun: tuple[str, ...] = ()
    completed: bool = False


@dataclasses.dataclass
class _WaveState:
    wave: fleet.Wave
    began_ms: int
    begun: dict
    down: dict
    told: str = ''
    closing: dict = dataclasses.field(default_factory=dict)


class WaveKeeper:
    """Carries out the waves during one term.

    Args:
        scheduler: the Scheduler.
        writer: the Writer.
        term: the Term.
        clock: the Clock.
        hosts: the HostService.
        node_name: name of this node.
        bounds: times that the platform promises.
        publish: called with (wave number, whether it is completed); tells
            operators through the writer.
        stored: mapping of wave number to its WaveRecord.
        orders: the HostOrders.
    """

    def __init__(
        self,
        scheduler,
        writer,
        term,
        clock,
        hosts,
        node_name,
        bounds,
        publish,
        stored,
        orders,
    ):
        self._scheduler = scheduler
        self._writer = writer
        self._term = term
        self._clock = clock
        self._hosts = hosts
        self._node_name = node_name
        self._bounds = bounds
        self._publish = publish
        self._stored = stored
        self._orders = orders
        self._states = {}

    def step(self, waves, listed):
        """Do what can be done now for all waves.

        Args:
            waves: the Waves.
            listed: mapping of host id to its fleet Host.
        """
        for wave in waves:
            stored = self._stored.get(wave.number, WaveRecord())
            if not stored.completed:
                self._step_wave(self._state(wave, stored), listed)

    def _state(self, wave, stored):
        current = self._states.get(wave.number)
        if current is None:
            current = _WaveState(
                wave, self._clock.now_ms(), dict.fromkeys(stored.begun, 0), {}
            )
            # A predecessor may have begun these just now.
            current.down = dict.fromkeys(stored.begun, self._clock.now_ms())
            self._states[wave.number] = current
            log.emit(
                catalogue.WAVE_SEEN,
                wave=wave.number,
                hosts=len(wave.host_ids),
                max_down=wave.max_down,
                duration_ms=wave.duration_ms,
                begun=len(stored.begun),
            )
        current.wave = wave
        return current

    def _step_wave(self, current, listed):
        now_ms = self._clock.now_ms()
        self._tell(current, completed=False)
        self._note_returns(current, listed, now_ms)
        pending = [
            listed[host_id]
            for host_id in current.wave.host_ids
            if host_id in listed and host_id not in current.begun
        ]
        self._scheduler.set_upkeep_due(
            {host.worker_id for host in pending if host.worker_id}
        )
        if not pending and not current.down:
            self._tell(current, completed=True)
            return
        self._close_next(current, pending, now_ms)
        ready = [
            host
            for host in pending
            if host.host_id in current.closing
            and self._is_ready(current, host, now_ms)
        ]
        ready = ready[: max(0, current.wave.max_down - len(current.down))]
        if ready and self._orders.announce([h.host_id for h in ready]):
            for host in ready:
                self._hand_over(current, host, now_ms)

    def _note_returns(self, current, listed, now_ms):
        shortest_ms = self._bounds.upkeep_s * 1000 + LIST_LAG_MS
        for host_id, since_ms in list(current.down.items()):
            host = listed.get(host_id)
            if host is None or (
                host.state == fleet.HostState.UP
                and now_ms - since_ms >= shortest_ms
            ):
                del current.down[host_id]

    def _close_next(self, current, pending, now_ms):
        """Empty as many hosts as will soon be allowed to go down."""
        pending_ids = {host.host_id for host in pending}
        for host_id in list(current.closing):
            if host_id not in pending_ids:
                del current.closing[host_id]
        room = (
            current.wave.max_down
            + DRAIN_AHEAD
            - len(current.down)
            - len(current.closing)
        )
        candidates = sorted(
            (
                host
                for host in pending
                if host.host_id not in current.closing
                and host.state == fleet.HostState.UP
            ),
            key=lambda host: self._scheduler.drain_cost(host.worker_id),
        )
        for host in candidates[: max(0, room)]:
            current.closing[host.host_id] = now_ms
            self._scheduler.cordon_worker(host.worker_id, UPKEEP_REASON)
            log.emit(
                catalogue.HOST_DRAINING,
                host=host.host_id,
                pool=host.pool,
                wave=current.wave.number,
                down=len(current.down),
            )

    def _is_ready(self, current, host, now_ms):
        """Tell whether the upkeep of a host may begin."""
        if host.state != fleet.HostState.UP:
            return False
        waited_ms = now_ms - current.closing[host.host_id]
        return self._scheduler.drain_worker(host.worker_id) or (
            waited_ms >= LONGEST_DRAIN_MS
            and not self._scheduler.has_lasting_tasks(host.worker_id)
        )

    def _hand_over(self, current, host, now_ms):
        if not self._term.valid():
            return
        try:
            accepted = self._hosts.begin_upkeep(
                host.host_id,
                current.wave.number,
                self._node_name,
                self._term.epoch,
            )
        except errors.CallNotSent as exc:
            accepted, detail = False, str(exc)
        except errors.ReplyLost as exc:
            # Counted as down until the list shows otherwise; asked again
            # after that, which changes nothing if it was done.
            current.down[host.host_id] = now_ms
            log.emit(
                catalogue.UPKEEP_REFUSED, host=host.host_id, detail=str(exc)
            )
            return
        else:
            detail = 'refused by the platform'
        if not accepted:
            log.emit(
                catalogue.UPKEEP_REFUSED, host=host.host_id, detail=detail
            )
            return
        current.begun[host.host_id] = now_ms
        current.down[host.host_id] = now_ms
        self._scheduler.retire_idle_worker(
            host.worker_id, 'the upkeep of its host has begun'
        )
        log.emit(
            catalogue.UPKEEP_BEGUN,
            host=host.host_id,
            pool=host.pool,
            wave=current.wave.number,
            waited_ms=now_ms - current.closing[host.host_id],
            begun=len(current.begun),
            of=len(current.wave.host_ids),
            down=len(current.down),
        )
        del current.closing[host.host_id]
        self._store(current)

    def _store(self, current, completed=False):
        record = WaveRecord(tuple(sorted(current.begun)), completed)
        self._stored[current.wave.number] = record
        self._writer.enqueue(
            f'{RECORD_PREFIX}{current.wave.number}',
            lambda: msgspec.json.encode(self._stored[current.wave.number]),
        )

    def _tell(self, current, completed):
        state = 'completed' if completed else 'running'
        if current.told in (state, 'completed'):
            return
        current.told = state
        self._publish(current.wave.number, completed)
        if completed:
            self._store(current, completed=True)
            log.emit(
                catalogue.WAVE_COMPLETED,
                wave=current.wave.number,
                duration_ms=self._clock.now_ms() - current.began_ms,
            )
