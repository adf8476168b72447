"""The leader's loop over hosts: waves, and moves between pools."""

import concurrent.futures
import dataclasses

import msgspec

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.upkeep import lending
from figtray.upkeep import waves

RETRY_MS = 300
TICK_MS = 120
# Moves that are asked for at the same time.
MOVE_TASKS = 8
LOG_LOADS_MS = 1000


class HostDuty:
    """Looks after hosts during a term.

    Args:
        store: the Store.
        clock: the Clock.
        view: the view of the operators' wishes.
        hosts: the HostService.
        holder: name of this node.
        bounds: times that the platform promises.
        status: called with (wave number, completed); returns the store key
            and the bytes that tell operators how a wave stands.
    """

    def __init__(self, store, clock, view, hosts, holder, bounds, status):
        self._store = store
        self._clock = clock
        self._view = view
        self._hosts = hosts
        self._holder = holder
        self._bounds = bounds
        self._status = status
        self._logged_ms = 0

    def run(self, scheduler, writer, term):
        """Work until the term has ended."""
        with concurrent.futures.ThreadPoolExecutor(
            MOVE_TASKS, thread_name_prefix='moves'
        ) as executor:
            lender = lending.Lender(
                scheduler,
                term,
                self._clock,
                self._hosts,
                self._holder,
                self._bounds,
                executor,
            )
            self._look_after_hosts(scheduler, writer, term, lender)

    def _look_after_hosts(self, scheduler, writer, term, lender):
        keeper = None
        while not term.ended.is_set():
            self._log_loads(scheduler)
            try:
                if term.valid():
                    if keeper is None:
                        keeper = self._keeper(scheduler, writer, term)
                    self._step(scheduler, keeper, lender, term)
            except errors.HostListUnavailable as exc:
                log.emit(catalogue.HOST_LIST_FAILED, detail=str(exc))
                self._clock.wait(term.ended, RETRY_MS)
            except errors.StoreUnavailable as exc:
                log.emit(catalogue.TAKEOVER_FAILED, detail=str(exc))
                self._clock.wait(term.ended, RETRY_MS)
            self._clock.wait(term.ended, TICK_MS)

    def _step(self, scheduler, keeper, lender, term):
        cfg = self._view.config()
        if cfg is None:
            return
        listed = {host.host_id: host for host in self._hosts.list_hosts()}
        scheduler.note_hosts(listed)
        if not scheduler.loaded.is_set():
            return
        # Orders of the previous leader may still be on their way.
        if self._clock.now_ms() < term.began_ms + self._bounds.lease_ms:
            return
        keeper.step(list(self._view.waves().values()), listed)
        lender.step(cfg, listed, self._view.evacuated())

    def _log_loads(self, scheduler):
        now_ms = self._clock.now_ms()
        if now_ms - self._logged_ms < LOG_LOADS_MS:
            return
        self._logged_ms = now_ms
        for pool, load in scheduler.pool_loads().items():
            log.emit(
                catalogue.POOL_LOAD, pool=pool, **dataclasses.asdict(load)
            )

    def _keeper(self, scheduler, writer, term):
        stored = {}
        for item in self._store.range(waves.RECORDS).items:
            writer.know(item.key, item.mod_revision)
            number = int(item.key.removeprefix(waves.RECORDS))
            stored[number] = msgspec.json.decode(item.value, type=waves.Record)
        for wave in self._view.waves().values():
            key, _ = self._status(wave.number, False)
            current = self._store.get(key)
            if current is not None:
                writer.know(key, current.mod_revision)

        def publish(number, completed):
            key, value = self._status(number, completed)
            writer.mark(key, lambda: value)

        return waves.WaveKeeper(
            scheduler,
            writer,
            term,
            self._clock,
            self._hosts,
            self._holder,
            self._bounds,
            publish,
            stored,
        )
