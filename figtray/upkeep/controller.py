"""The leader's loop over hosts: waves, and moves between pools."""

import concurrent.futures
import dataclasses

import msgspec

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.upkeep import host_orders
from figtray.upkeep import lending
from figtray.upkeep import waves

RETRY_MS = 300
TICK_MS = 120
# Moves that are asked for at the same time.
MOVE_TASKS = 8
LOG_LOADS_MS = 1000


@dataclasses.dataclass(frozen=True)
class _Crew:
    """What looks after hosts during one term."""

    orders: host_orders.HostOrders
    keeper: waves.WaveKeeper
    lender: lending.Lender


class HostController:
    """Looks after hosts during a term.

    Args:
        store: the Store.
        clock: the Clock.
        view: the view of the operators' wishes.
        hosts: the HostService.
        node_name: name of this node.
        bounds: times that the platform promises.
        status: called with (wave number, completed); returns the store key
            and the bytes that tell operators how a wave stands.
    """

    def __init__(self, store, clock, view, hosts, node_name, bounds, status):
        self._store = store
        self._clock = clock
        self._view = view
        self._hosts = hosts
        self._node_name = node_name
        self._bounds = bounds
        self._status = status
        self._logged_ms = 0

    def run(self, scheduler, writer, term):
        """Work until the term has ended."""
        with concurrent.futures.ThreadPoolExecutor(
            MOVE_TASKS, thread_name_prefix='moves'
        ) as executor:
            self._look_after_hosts(scheduler, writer, term, executor)

    def _look_after_hosts(self, scheduler, writer, term, executor):
        crew = None
        while not term.ended.is_set():
            self._log_loads(scheduler)
            try:
                if term.valid():
                    if crew is None:
                        crew = self._crew(scheduler, writer, term, executor)
                    self._step(scheduler, crew)
            except errors.HostListUnavailable as exc:
                log.emit(catalogue.HOST_LIST_FAILED, detail=str(exc))
                self._clock.wait(term.ended, RETRY_MS)
            except errors.StoreUnavailable as exc:
                log.emit(catalogue.TAKEOVER_FAILED, detail=str(exc))
                self._clock.wait(term.ended, RETRY_MS)
            self._clock.wait(term.ended, TICK_MS)

    def _step(self, scheduler, crew):
        cfg = self._view.config()
        if cfg is None:
            return
        listed = {host.host_id: host for host in self._hosts.list_hosts()}
        scheduler.reconcile_hosts(listed)
        if not scheduler.loaded.is_set():
            return
        # Upkeeps that the previous leader has begun may not be stored yet,
        # and count for the most hosts that may be down.
        if crew.orders.all_free():
            crew.keeper.step(list(self._view.waves().values()), listed)
        crew.lender.step(cfg, listed, self._view.evacuated_zones())

    def _log_loads(self, scheduler):
        now_ms = self._clock.now_ms()
        if now_ms - self._logged_ms < LOG_LOADS_MS:
            return
        self._logged_ms = now_ms
        for pool, load in scheduler.pool_loads().items():
            log.emit(
                catalogue.POOL_LOAD, pool=pool, **dataclasses.asdict(load)
            )

    def _crew(self, scheduler, writer, term, executor):
        """Read what earlier leaders have stored; returns a _Crew."""
        orders = self._read_orders(writer, term)
        return _Crew(
            orders,
            self._keeper(scheduler, writer, term, orders),
            lending.Lender(
                scheduler,
                term,
                self._clock,
                self._hosts,
                self._node_name,
                self._bounds,
                executor,
                orders,
            ),
        )

    def _read_orders(self, writer, term):
        item = self._store.get(host_orders.KEY)
        former = ()
        if item is not None:
            writer.set_revision(item.key, item.mod_revision)
            former = host_orders.decode(item.value).host_ids
        return host_orders.HostOrders(
            writer, term, self._clock, self._bounds.lease_ms, former
        )

    def _keeper(self, scheduler, writer, term, orders):
        stored = {}
        for item in self._store.range(waves.RECORD_PREFIX).items:
            writer.set_revision(item.key, item.mod_revision)
            number = int(item.key.removeprefix(waves.RECORD_PREFIX))
            stored[number] = msgspec.json.decode(
                item.value, type=waves.WaveRecord
            )
        for wave in self._view.waves().values():
            key, _ = self._status(wave.number, False)
            current = self._store.get(key)
            if current is not None:
                writer.set_revision(key, current.mod_revision)

        def publish(number, completed):
            key, value = self._status(number, completed)
            writer.enqueue(key, lambda: value)

        return waves.WaveKeeper(
            scheduler,
            writer,
            term,
            self._clock,
            self._hosts,
            self._node_name,
            self._bounds,
            publish,
            stored,
            orders,
        )
